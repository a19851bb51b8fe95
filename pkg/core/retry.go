package core

import "time"

const (
	// retryBackoffInitial and retryBackoffMax bound the jittered time before a retry; it doubles with each attempt.
	retryBackoffInitial = 2 * time.Millisecond
	retryBackoffMax     = 100 * time.Millisecond
	// minHedgeSamples is the number of responses before the hedge delay is trusted.
	minHedgeSamples = 20
	// earlyHedgeShare is the share of the hedge budget open to attempts just past the hedge delay. The rest is reserved
	// for attempts that stay slow: with a delay at the 95 % quantile, hedges of attempts just past it would use up a
	// budget of 5 %.
	earlyHedgeShare = 0.8
	// trialHedgeRatio is the time, in multiples of the typical latency, after which a trial request to an ejected
	// target is hedged.
	trialHedgeRatio = 2
)

// planRetry schedules the next attempt of r, or returns the reason why there is none.
func (s *Service) planRetry(now Instant, r *request, cause Reason, out []Effect) (Reason, []Effect) {
	backoff := s.jitter(exponentialBackoff(retryBackoffInitial, r.attemptsStarted, retryBackoffMax))
	stated, _ := s.statedWait(now, 0)
	switch {
	case r.callerLeft:
		return ReasonCallerLeft, out
	case r.quarantined:
		return ReasonCrashesTargets, out
	case r.class == ClassOnce && !r.provedNotRun():
		return ReasonMayHaveRun, out
	case r.attemptsStarted >= r.maxAttempts:
		return ReasonAttemptsExhausted, out
	case !s.stop.allows(r):
		return ReasonStopping, out
	case now+backoff >= r.deadline:
		return ReasonDeadline, out
	case now+stated >= r.deadline:
		return s.statedWaitReason(now), out
	case s.usableCount == 0:
		return s.noTargetReason(), out
	case !s.budget.reserveRetry(now, &s.policy):
		return ReasonRetryBudget, append(out, Effect{Kind: CountDenied, Reason: cause})
	}
	r.phase = phaseBackoff
	r.retryAt = now + max(backoff, stated)
	r.retryReason = cause
	r.hedgeAt = never
	return "", out
}

// countRetry counts a planned retry of r that is sent now, if there is one.
func (s *Service) countRetry(now Instant, r *request, t TargetID, out []Effect) []Effect {
	if r.retryReason == "" {
		return out
	}
	s.budget.countReserved(now)
	out = append(out, Effect{Kind: CountRetry, Target: t, Reason: r.retryReason})
	r.retryReason = ""
	return out
}

// planHedge sets the time of the hedge for the attempt just sent.
func (s *Service) planHedge(now Instant, r *request) {
	q := &r.latencies.hedge
	r.hedgeAt = never
	if r.class != ClassOnce && !r.hedged && q.quantile > 0 && q.samples >= minHedgeSamples {
		r.hedgeAt = now + q.value
	}
}

// tryHedge sends a second attempt in parallel with the first. If the budget or the targets do not allow that now, it
// sets the time of the next try. After a denial by the budget, the next try may use the whole budget, because an
// attempt that stays slow justifies more of it than one that is slightly late. There is no hedge while requests are
// queued, because no target has capacity then.
func (s *Service) tryHedge(now Instant, r *request, out []Effect) []Effect {
	budgetShare := earlyHedgeShare
	first := r.pendingAttempt()
	if now >= r.deadline || r.phase != phaseInFlight || first == nil || r.attemptsStarted >= r.maxAttempts || !s.stop.allows(r) {
		r.hedgeAt = never
		return out
	}
	if r.hedgeDenied || first.trial {
		budgetShare = 1
	}
	r.hedgeAt = now + max(now-first.sentAt, time.Millisecond)
	if !s.budget.allowsHedge(now, &s.policy, budgetShare) {
		return s.denyHedge(r, out)
	}
	t, out := s.chooseHedgeTarget(now, r, out)
	if t == nil {
		return out
	}
	s.budget.addHedge()
	r.hedged = true
	r.hedgeAt = never
	a, info := s.startAttempt(now, r, t)
	out = append(out, Effect{Kind: CountHedge, Target: t.id, Reason: ReasonSlow})
	return s.appendSendEffect(r, a, info, out)
}

// chooseHedgeTarget returns the target of a hedge, or nil. With load probes it requires a recent report with a good
// estimate; without one it sends probes, so that the next try finds one.
func (s *Service) chooseHedgeTarget(now Instant, r *request, out []Effect) (*targetState, []Effect) {
	if !s.probesLoad() {
		return s.chooseTarget(now, r, true), out
	}
	if len(s.backlog.waiting) > 0 {
		return nil, out
	}
	if t, estimate := s.bestReported(now, r, freshReportAge); t != nil && estimate <= goodEstimate {
		return t, out
	}
	r.hedgeAt = now + loadProbeTimeout
	accept := func(t *targetState) bool { return s.isWorthProbing(t, now) && !r.tried(t) }
	return nil, s.sendLoadProbes(now, s.subset, s.policy.LoadProbesLocal, accept, func(*targetState) {}, out)
}

// denyHedge counts a denied hedge once per request.
func (s *Service) denyHedge(r *request, out []Effect) []Effect {
	if r.hedgeDenied {
		return out
	}
	r.hedgeDenied = true
	return append(out, Effect{Kind: CountDenied, Reason: ReasonSlow})
}
