package core

import (
	"slices"
	"time"
)

const (
	// ejectRatio is the ratio of the latency estimate against the service at which a target is ejected. One answer 20
	// times slower than typical reaches it.
	ejectRatio = 6
	// ejectSlow is the number of slow answers in a row at which a target is ejected. One in twenty answers of a healthy
	// target is slow, so three in a row are one in 8,000.
	ejectSlow = 3
	// suspectOutstandingRatio is the ratio at which an outstanding attempt makes a target a last choice.
	suspectOutstandingRatio = 4
	// suspectLatencyRatio is the ratio of the latency estimate at which a target becomes a last choice.
	suspectLatencyRatio = 2.5
	// onceSuspectTime is how long a single slow answer makes a target a last choice for non-idempotent requests.
	onceSuspectTime = time.Second
	// maxEjectedShare is one over the share of a service that may be ejected: when more targets look unhealthy, the
	// network is the likelier cause.
	maxEjectedShare = 3
	// ejectFirst and ejectMax bound the time without trial traffic; it doubles with each ejection in a row.
	ejectFirst = time.Second
	ejectMax   = 30 * time.Second
	// ejectMemory is the time in service after which the next ejection is the first again.
	ejectMemory = time.Minute
	// trialEvery bounds trial traffic to one in this many requests.
	trialEvery = 20
	// trialPatience is how long an ejected target waits for a trial. Without idempotent traffic there is none, and the
	// target returns through slow start.
	trialPatience = 10 * time.Second
)

// ejection is the state of the ejections of one target.
type ejection struct {
	active bool
	reason Reason
	step   int // ejections in a row
	// wakeAt is the end of the time without trials, and after that the end of the wait for a trial.
	wakeAt     Instant
	ready      bool // waits for a trial
	trying     bool // a trial is in flight
	probed     bool // a probe has led to a trial since step was last 0
	returnedAt Instant
}

// maxEjected returns the number of targets that may be ejected.
func (s *Service) maxEjected() int { return s.usableCount / maxEjectedShare }

// updateEjection ejects t when its latency estimate is too high or too many answers in a row were slow.
func (s *Service) updateEjection(now Instant, t *targetState, why Reason, out []Effect) []Effect {
	if t.consecutiveSlow < ejectSlow && s.slowness(t, now) < ejectRatio {
		return out
	}
	if !t.usable() || t.ejection.active || s.ejectedCount >= s.maxEjected() {
		return out
	}
	if now-t.ejection.returnedAt > ejectMemory {
		t.ejection.step, t.ejection.probed = 0, false
	}
	t.ejection.active = true
	s.ejectedCount++
	s.extendEjection(now, t, why)
	return append(out, Effect{Kind: CountEjection, Target: t.id, Reason: why})
}

// extendEjection starts the next, longer time without trials.
func (s *Service) extendEjection(now Instant, t *targetState, why Reason) {
	e := &t.ejection
	e.reason = why
	e.step++
	e.ready, e.trying = false, false
	e.wakeAt = now + s.jitter(exponentialBackoff(ejectFirst, e.step, ejectMax))
	s.scheduleTarget(now, t)
}

// release ends the ejection of t.
func (s *Service) release(t *targetState) {
	if !t.ejection.active {
		return
	}
	t.ejection.active, t.ejection.ready, t.ejection.trying = false, false, false
	s.ejectedCount--
	s.dropTrial(t)
}

// restore returns t to service through slow start. The former evidence would eject it again.
func (s *Service) restore(now Instant, t *targetState) {
	s.release(t)
	t.ejection.returnedAt = now
	t.hasLatency, t.consecutiveSlow = false, 0
	s.startSlowStart(now, t)
}

// trimEjections releases targets when the service has become too small for the number of ejected ones.
func (s *Service) trimEjections(now Instant) {
	for _, t := range s.usableTargets {
		if s.ejectedCount <= s.maxEjected() {
			return
		}
		s.release(t)
		s.scheduleTarget(now, t)
	}
}

// ejectionDue begins the wait for a trial or ends it without one.
func (s *Service) ejectionDue(now Instant, t *targetState) {
	e := &t.ejection
	e.wakeAt = now + trialPatience
	switch {
	case e.trying, e.ready && t.inFlight > 0:
		// The attempt in flight will tell.
	case e.ready:
		s.restore(now, t)
	default:
		e.ready = true
		s.awaitingTrial = append(s.awaitingTrial, t)
	}
}

// chooseTrial returns an ejected target that r may try, or nil. Trials are hedged early, so r must be idempotent.
func (s *Service) chooseTrial(now Instant, r *request) *targetState {
	if len(s.awaitingTrial) == 0 || s.policy.Selection.baseline() || r.class == ClassOnce || r.attemptsStarted > 0 || s.requestsSinceTrial < trialEvery {
		return nil
	}
	for i, t := range s.awaitingTrial {
		if t.inFlight > 0 || now < t.backoffUntil {
			continue
		}
		s.awaitingTrial = slices.Delete(s.awaitingTrial, i, i+1)
		t.ejection.ready, t.ejection.trying = false, true
		s.requestsSinceTrial = 0
		return t
	}
	return nil
}

// dropTrial removes t from the targets that wait for a trial.
func (s *Service) dropTrial(t *targetState) {
	if i := slices.Index(s.awaitingTrial, t); i >= 0 {
		s.awaitingTrial = slices.Delete(s.awaitingTrial, i, i+1)
	}
}

// endTrial restores a target after a good trial and extends its ejection after a bad one.
func (s *Service) endTrial(now Instant, a *attempt, good bool) {
	t := a.target
	if !t.ejection.active || !t.ejection.trying {
		return
	}
	if !good {
		s.extendEjection(now, t, t.ejection.reason)
		return
	}
	s.restore(now, t)
	s.observe(now, t, s.comparable(a.request, a.responseTime(now)))
}
