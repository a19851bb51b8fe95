package core

import "time"

// recordAttempt updates the state of the target from an attempt that has ended.
func (s *Service) recordAttempt(now Instant, a *attempt, ev AttemptEnded, out []Effect) []Effect {
	t := a.target
	outdated := a.sentAt < t.evacuationEndedAt
	if !outdated {
		t.observedAt, t.trafficObservedAt = now, now
	}
	switch {
	case ev.Unreachable:
		out = s.recordUnreachable(now, t, out)
	case ev.Reason == ReasonSlow && !ev.Statement.Responded:
		s.recordUnanswered(now)
	case ev.Outcome == OutcomeAnswered, ev.Outcome == OutcomeRefused, ev.Statement.Responded:
		out = s.recordReached(out)
	}
	ev.Statement.Leaving = ev.Statement.Leaving || ev.Reason == ReasonDraining
	out = s.recordAttemptStatement(now, a, ev.Statement, out)
	if !outdated {
		s.recordLoad(now, t, ev.Load, 0)
	}
	good := false
	if a.sentAt >= s.resumedAt && !outdated { // a time that spans a pause of this process says nothing about the target
		good, out = s.recordOutcome(now, a, ev, out)
	}
	if a.trial {
		s.endTrial(now, a, good)
	}
	return out
}

// recordOutcome updates the state of the target from the outcome and reports whether the outcome was good: a response
// that was not slow. A response that broke off after AttemptCommitted counts as a failure only if AttemptEnded marks it
// as one, because the caller may be the cause.
func (s *Service) recordOutcome(now Instant, a *attempt, ev AttemptEnded, out []Effect) (bool, []Effect) {
	t, elapsed := a.target, a.responseTime(now)
	switch {
	case a.cancelled:
		return false, s.recordCancelled(now, a, elapsed, out)
	case ev.GaveUp, ev.Outcome == OutcomeNotSent && ev.Reason != ReasonNotSent:
		return false, out // not caused by the target
	case ev.Outcome == OutcomeRefused && ev.Reason == ReasonShed:
		s.recordShed(now, a)
		return false, out
	case ev.Outcome == OutcomeRefused && ev.Reason == ReasonDraining:
		return false, out
	case ev.Outcome == OutcomeRefused, ev.Reason == ReasonSlow:
		return false, s.recordCancelled(now, a, elapsed, out)
	case !ev.Failed && (ev.Outcome == OutcomeAnswered || a.respondedAt != never):
		return s.recordSuccess(now, a, elapsed, out)
	}
	return false, s.recordFailure(now, t, max(s.normalizeLatency(a.request, elapsed), failureLatencyRatio*s.typicalLatency()), out)
}

// recordCancelled updates the state of the target from an attempt that was cancelled, took too long or was refused for
// a reason other than ReasonShed and ReasonDraining. The time elapsed is a lower bound of the latency that the attempt
// would have had.
func (s *Service) recordCancelled(now Instant, a *attempt, elapsed time.Duration, out []Effect) []Effect {
	if elapsed > a.request.latencies.slowThreshold() {
		s.countSlow(now, a.target, true)
	}
	s.observeLatencyAtLeast(now, a.target, s.normalizeLatency(a.request, elapsed))
	return s.ejectIfSlow(now, a.target, ReasonSlow, out)
}

func (s *Service) recordSuccess(now Instant, a *attempt, elapsed time.Duration, out []Effect) (bool, []Effect) {
	t, l := a.target, a.request.latencies
	// The first responses establish what is usual, so none of them counts as slow.
	good := l.median.samples < minSlowSamples || elapsed <= l.slowThreshold()
	l.observe(elapsed)
	s.latencies.observe(elapsed)
	s.observeRunTime(a, elapsed)
	s.raiseLimit(t)
	if a.sentAt >= t.shedAt {
		t.consecutiveSheds = 0
	}
	if a.trial {
		return good, out
	}
	s.countSlow(now, t, !good)
	s.observeLatency(now, t, s.normalizeLatency(a.request, elapsed))
	return good, s.ejectIfSlow(now, t, ReasonSlow, out)
}

// recordFailure adds sample, a high latency that stands for a failure, to the latency estimate of t. A target that fails
// fast would otherwise look like the best one.
func (s *Service) recordFailure(now Instant, t *targetState, sample time.Duration, out []Effect) []Effect {
	s.observeLatency(now, t, sample)
	return s.ejectIfSlow(now, t, ReasonFailed, out)
}
