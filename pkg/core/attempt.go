package core

import (
	"slices"
	"time"
)

// attempt is one attempt in flight.
type attempt struct {
	id          AttemptID
	request     *request
	target      *targetState
	targetStart string // start ID of the target that was known when the attempt was sent
	sentAt      Instant
	respondedAt Instant // time of AttemptCommitted or of the cancellation; equals never until then
	cancelled   bool
	dropped     bool // its 5xx response is not delivered, because another attempt is in flight or follows
	relay       bool // relayed to another instance
	trial       bool // a trial request to an ejected target
	// statementRecorded is set once the statement on the response has been applied.
	statementRecorded bool
	// estimate is the DecisionInfo.Estimate with which the attempt was sent; 0 without an estimate.
	estimate float64

	listNode node[attempt] // in the list of its target
}

// responseTime returns the time to the response, to the cancellation, or to now if there is neither. It excludes the
// transfer of the response to the caller, which depends on how fast the caller reads.
func (a *attempt) responseTime(now Instant) time.Duration { return min(a.respondedAt, now) - a.sentAt }

// send starts the next attempt of r on t and plans its hedge.
func (s *Service) send(now Instant, r *request, t *targetState, out []Effect) []Effect {
	a, info := s.startAttempt(now, r, t)
	out = s.countRetry(now, r, t.id, out)
	r.phase = phaseInFlight
	s.planHedge(now, r)
	s.scheduleRequest(r)
	return s.appendSendEffect(r, a, info, out)
}

// startAttempt adds an attempt of r on t and returns it with the inputs of the decision for t.
func (s *Service) startAttempt(now Instant, r *request, t *targetState) (*attempt, DecisionInfo) {
	info := s.decisionInfo(now, r, t)
	a := s.addAttempt(now, r, t)
	r.attemptsStarted++
	a.estimate = info.Estimate
	return a, info
}

// decisionInfo returns the inputs of the decision to send r to t. It must be called before the attempt is added,
// because addAttempt changes some of the inputs.
func (s *Service) decisionInfo(now Instant, r *request, t *targetState) DecisionInfo {
	info := s.requestInfo(now, r)
	info.AttemptNumber++
	if t.hasReport {
		info.Report = LoadReport{InUse: t.reportedInUse, Slots: t.slots, Slowdown: t.slowdown}
		info.ReportAge = now - t.reportedAt
	}
	if s.probesLoad() {
		info.Estimate = s.responseEstimate(t, now)
	}
	return info
}

// requestInfo returns the inputs of a decision on r that do not depend on a target.
func (s *Service) requestInfo(now Instant, r *request) DecisionInfo {
	info := DecisionInfo{Waited: now - r.arrived, WaitedBefore: r.waitedBefore, AttemptNumber: r.attemptsStarted, Waiting: len(s.backlog.waiting) + s.queue.length()}
	if s.probesLoad() {
		info.RunTime = s.runTime(r)
	}
	return info
}

func (s *Service) sendTrial(now Instant, r *request, t *targetState, out []Effect) []Effect {
	out = s.send(now, r, t, out)
	r.attempts[0].trial = true
	r.hedgeAt = now + trialHedgeRatio*s.typicalLatencyFor(r)
	s.scheduleRequest(r)
	return out
}

func (s *Service) appendSendEffect(r *request, a *attempt, info DecisionInfo, out []Effect) []Effect {
	out = countNotAdmitted(r, out)
	return append(out, Effect{
		Kind: SendAttempt, Request: r.id, Attempt: a.id, Target: a.target.id, At: r.deadline, FreshConnection: r.class == ClassOnce,
		DecisionInfo: info,
	})
}

func (s *Service) addAttempt(now Instant, r *request, t *targetState) *attempt {
	a := &attempt{}
	if n := len(s.freeAttempts); n > 0 {
		a, s.freeAttempts = s.freeAttempts[n-1], s.freeAttempts[:n-1]
	}
	s.lastAttemptID++
	*a = attempt{
		id: s.lastAttemptID, request: r, target: t, targetStart: t.starts.current, sentAt: now, respondedAt: never,
		relay: t == s.otherInstances,
	}
	if !a.relay {
		s.takeAdmission(now, t)
	}
	t.attempts.push(&a.listNode, a)
	t.inFlight++
	t.sentSinceReport++
	if !a.relay {
		s.inFlight++
	}
	r.attempts = append(r.attempts, a)
	r.triedTargets = append(r.triedTargets, t)
	if t.rateLimit.active || s.boundsWarmup() {
		s.scheduleTarget(now, t)
	}
	return a
}

func (s *Service) removeAttempt(a *attempt) {
	t, r := a.target, a.request
	t.attempts.remove(&a.listNode)
	t.inFlight--
	if !a.relay {
		s.inFlight--
	}
	i := slices.Index(r.attempts, a)
	r.attempts = slices.Delete(r.attempts, i, i+1)
	s.freeAttempts = append(s.freeAttempts, a)
}

// cancelExcept cancels the attempts of r other than winner, which may be nil.
func (s *Service) cancelExcept(now Instant, r *request, winner *attempt, out []Effect) []Effect {
	for _, a := range r.attempts {
		if a == winner || a.cancelled || a.dropped {
			continue
		}
		a.cancelled = true
		a.respondedAt = now
		out = append(out, Effect{Kind: CancelAttempt, Request: r.id, Attempt: a.id})
	}
	return out
}

// attemptCommitted decides whether a response that is ready is delivered or its request retried. Responses to decided
// requests and of cancelled attempts are ignored.
func (s *Service) attemptCommitted(now Instant, ev AttemptCommitted, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil {
		return out
	}
	a := r.findAttempt(ev.Attempt)
	if a == nil {
		return out
	}
	if !a.relay {
		out = s.recordReached(out)
		out = s.recordAttemptStatement(now, a, ev.Statement, out)
	}
	if a.cancelled || a.dropped {
		return out
	}
	a.respondedAt = min(a.respondedAt, now)
	if r.phase == phaseDecided {
		return out
	}
	if !ev.Failed || ev.GaveUp || r.class == ClassOnce {
		return s.deliver(now, r, a, out)
	}
	return s.handleFailedResponse(now, r, a, out)
}

// handleFailedResponse drops a complete 5xx response when another attempt is in flight or can follow, and delivers it
// otherwise.
func (s *Service) handleFailedResponse(now Instant, r *request, a *attempt, out []Effect) []Effect {
	a.dropped = true
	r.mayHaveRun = true
	if r.pendingAttempt() != nil {
		return out
	}
	reason, out := s.planRetry(now, r, ReasonFailed, out)
	if reason == "" {
		s.scheduleRequest(r)
		return out
	}
	a.dropped = false
	return s.deliver(now, r, a, out)
}

// attemptEnded removes an attempt, retries or refuses its request if no other attempt can still respond, and dispatches
// queued requests to the freed capacity.
func (s *Service) attemptEnded(now Instant, ev AttemptEnded, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil {
		return out
	}
	a := r.findAttempt(ev.Attempt)
	if a == nil {
		return out
	}
	dropped, relayed, freed := a.dropped, a.relay, a.target
	if relayed {
		freed = nil
	} else {
		out = s.recordAttempt(now, a, ev, out)
		s.completions.count(now)
		if ev.Outcome != OutcomeNotSent {
			r.attemptsReached++
		}
	}
	s.removeAttempt(a)
	if !ev.Outcome.ProvesNotRun() {
		r.mayHaveRun = true
	}
	r.unconnected = r.unconnected || ev.Unreachable
	r.shed = ev.Outcome == OutcomeRefused && ev.Reason == ReasonShed
	if r.phase == phaseInFlight && !dropped && r.pendingAttempt() == nil {
		if relayed {
			out = s.relayEnded(now, r, ev, out)
		} else {
			out = s.retryOrRefuse(now, r, ev, out)
		}
	}
	s.releaseIfDone(r)
	return s.dispatch(now, freed, out)
}

// retryOrRefuse retries or refuses a request that has no attempt left whose response could be delivered.
func (s *Service) retryOrRefuse(now Instant, r *request, ev AttemptEnded, out []Effect) []Effect {
	if ev.GaveUp {
		return s.refuse(now, r, ReasonNestedGiveUp, out)
	}
	reason, out := s.planRetry(now, r, ev.Reason, out)
	if reason == ReasonAttemptsExhausted && r.unconnected && r.provedNotRun() && s.canRelay(now, r) {
		return s.relay(now, r, out)
	}
	if reason != "" {
		return s.refuse(now, r, reason, out)
	}
	s.scheduleRequest(r)
	return out
}
