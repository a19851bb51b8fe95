package core

import "time"

const (
	// retryFirst and retryMax bound the jittered time before a retry; it doubles with each attempt.
	retryFirst = 2 * time.Millisecond
	retryMax   = 100 * time.Millisecond
	// hedgeSamples is the number of answers before the hedge delay is trusted.
	hedgeSamples = 20
	// hedgeReserve is the share of the hedge budget open to attempts just past the delay. The rest is kept for attempts
	// that stay slow: a delay at the 95 % quantile alone would spend a budget of 5 %.
	hedgeReserve = 0.8
	// trialHedgeRatio is the time, in multiples of the typical latency, after which a trial is hedged.
	trialHedgeRatio = 2
)

// planRetry schedules the next attempt of r, or returns why there is none.
func (s *Service) planRetry(now Instant, r *request, cause Reason, out []Effect) (Reason, []Effect) {
	wait := s.jitter(doubled(retryFirst, r.started, retryMax))
	switch {
	case r.callerLeft:
		return ReasonCallerLeft, out
	case r.class == ClassOnce && !r.notRun():
		return ReasonMayHaveRun, out
	case r.started >= r.maxAttempts:
		return ReasonAttempts, out
	case now+wait >= r.deadline:
		return ReasonDeadline, out
	case s.usable == 0:
		return ReasonNoTarget, out
	case !s.budget.takeRetry(now, &s.policy):
		return ReasonRetryBudget, append(out, Effect{Kind: CountDenied, Reason: cause})
	}
	r.phase = phaseBackoff
	r.retryAt = now + wait
	r.retryReason = cause
	r.hedgeAt = never
	return "", out
}

// planHedge sets the time of the hedge for the attempt just sent.
func (s *Service) planHedge(now Instant, r *request) {
	q := &r.latencies.hedge
	r.hedgeAt = never
	if r.class != ClassOnce && !r.hedged && q.quantile > 0 && q.samples >= hedgeSamples {
		r.hedgeAt = now + q.value
	}
}

// hedge sends a second attempt beside the first, or tries again later: an attempt that stays slow is worth more of the
// budget than one that is a little late. There is no hedge while requests wait, because no target has room then.
func (s *Service) hedge(now Instant, r *request, out []Effect) []Effect {
	share := hedgeReserve
	first := r.pending()
	if now >= r.deadline || r.phase != phaseActive || first == nil || r.started >= r.maxAttempts {
		r.hedgeAt = never
		return out
	}
	if r.hedgeDenied || first.trial {
		share = 1
	}
	r.hedgeAt = now + max(now-first.sentAt, time.Millisecond)
	if !s.budget.hedgeAllowed(now, &s.policy, share) {
		return s.denyHedge(r, out)
	}
	t, out := s.chooseHedge(now, r, out)
	if t == nil {
		return out
	}
	s.budget.addHedge()
	r.hedged = true
	r.hedgeAt = never
	a, basis := s.startAttempt(now, r, t)
	out = append(out, Effect{Kind: CountHedge, Target: t.id, Reason: ReasonSlow})
	return s.emitSend(r, a, basis, out)
}

// chooseHedge returns the target of a hedge, or nil. A service that asks its targets looks for a good report, and asks
// so that there is one the next time.
func (s *Service) chooseHedge(now Instant, r *request, out []Effect) (*targetState, []Effect) {
	if !s.probesLoad() {
		return s.choose(now, r, true), out
	}
	if len(s.backlog.waiting) > 0 {
		return nil, out
	}
	if t, estimate := s.bestReported(now, r, freshReportAge); t != nil && estimate <= goodEstimate {
		return t, out
	}
	r.hedgeAt = now + loadProbeTimeout
	accept := func(t *targetState) bool { return s.isCandidate(t, now, r) }
	return nil, s.sendLoadProbes(now, s.near, s.policy.AskLocal, accept, func(*targetState) {}, out)
}

// denyHedge counts a denied hedge once per request.
func (s *Service) denyHedge(r *request, out []Effect) []Effect {
	if r.hedgeDenied {
		return out
	}
	r.hedgeDenied = true
	return append(out, Effect{Kind: CountDenied, Reason: ReasonSlow})
}
