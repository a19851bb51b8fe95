package core

import "time"

// learn takes the evidence of an ended attempt.
func (s *Service) learn(now Instant, a *attempt, ev AttemptEnded, out []Effect) []Effect {
	t := a.target
	t.evidenceAt, t.trafficAt = now, now
	s.learnStart(now, t, a.targetStart, ev.Start, ev.Leaving || ev.Reason == ReasonDraining)
	s.noteLoad(now, t, ev.Load, 0)
	good := false
	if a.sentAt >= s.resumedAt { // a time that spans a pause of this process says nothing about the target
		good, out = s.learnOutcome(now, a, ev, out)
	}
	if a.trial {
		s.endTrial(now, a, good)
	}
	return out
}

// learnOutcome takes the evidence of the outcome and reports whether it speaks for the target. An answer that broke after
// its commit counts as a failure only when marked so, because the caller may have broken it.
func (s *Service) learnOutcome(now Instant, a *attempt, ev AttemptEnded, out []Effect) (bool, []Effect) {
	t, elapsed := a.target, a.responseTime(now)
	switch {
	case a.cancelled:
		return false, s.learnCancelled(now, a, elapsed, out)
	case ev.GaveUp, ev.Outcome == OutcomeNotSent && ev.Reason != ReasonNotSent:
		return false, out // not the target's doing
	case ev.Outcome == OutcomeRefused && ev.Reason == ReasonShed:
		s.recordShed(now, a)
		return false, out
	case ev.Outcome == OutcomeRefused && ev.Reason == ReasonDraining:
		return false, out
	case ev.Outcome == OutcomeRefused, ev.Reason == ReasonSlow:
		return false, s.learnCancelled(now, a, elapsed, out)
	case !ev.Failed && (ev.Outcome == OutcomeAnswered || a.respondedAt != never):
		return s.succeeded(now, a, elapsed, out)
	}
	return false, s.failed(now, t, max(s.comparable(a.request, elapsed), failureRatio*s.typicalLatency()), out)
}

// learnCancelled takes the evidence of an attempt that was ended early: it would have taken longer than it was given.
func (s *Service) learnCancelled(now Instant, a *attempt, elapsed time.Duration, out []Effect) []Effect {
	if elapsed > a.request.latencies.slowAfter() {
		s.countSlow(now, a.target, true)
	}
	s.observeAtLeast(now, a.target, s.comparable(a.request, elapsed))
	return s.updateEjection(now, a.target, ReasonSlow, out)
}

func (s *Service) succeeded(now Instant, a *attempt, elapsed time.Duration, out []Effect) (bool, []Effect) {
	t, l := a.target, a.request.latencies
	// The first answers show what is usual.
	good := l.median.samples < usualSamples || elapsed <= l.slowAfter()
	l.observe(elapsed)
	s.latencies.observe(elapsed)
	s.observeRun(a, elapsed)
	s.raiseLimit(t)
	if a.sentAt >= t.shedAt {
		t.sheds = 0
	}
	if a.trial {
		return good, out
	}
	s.countSlow(now, t, !good)
	s.observe(now, t, s.comparable(a.request, elapsed))
	return good, s.updateEjection(now, t, ReasonSlow, out)
}

// failed takes a failure as a slow answer. A target that fails fast would otherwise look like the best one.
func (s *Service) failed(now Instant, t *targetState, sample time.Duration, out []Effect) []Effect {
	s.observe(now, t, sample)
	return s.updateEjection(now, t, ReasonFailed, out)
}
