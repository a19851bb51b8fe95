package core

import (
	"slices"
	"time"
)

const (
	// ejectLatencyRatio is the ratio of the latency estimate against the service at which a target is ejected. One answer 20
	// times slower than typical reaches it.
	ejectLatencyRatio = 6
	// ejectSlowAnswers is the number of slow answers in a row at which a target is ejected. One in twenty answers of a healthy
	// target is slow, so three in a row are one in 8,000.
	ejectSlowAnswers = 3
	// suspectOutstandingRatio is the ratio at which an outstanding attempt makes a target a last choice.
	suspectOutstandingRatio = 4
	// suspectLatencyRatio is the ratio of the latency estimate at which a target becomes a last choice.
	suspectLatencyRatio = 2.5
	// onceSuspectTime is how long a single slow answer makes a target a last choice for non-idempotent requests.
	onceSuspectTime = time.Second
	// maxEjectedDivisor is one over the share of a service that may be ejected: when more targets look unhealthy, the
	// network is the likelier cause.
	maxEjectedDivisor = 3
	// firstEjectionTime and ejectMax bound the time without trial traffic; it doubles with each ejection in a row.
	firstEjectionTime = time.Second
	maxEjectionTime   = 30 * time.Second
	// ejectionResetTime is the time in service after which the next ejection is the first again.
	ejectionResetTime = time.Minute
	// requestsPerTrial bounds trial traffic to one in this many requests.
	requestsPerTrial = 20
	// maxTrialWait is how long an ejected target waits for a trial. Without idempotent traffic there is none, and the
	// target returns through slow start.
	maxTrialWait = 10 * time.Second
)

// ejection is the state of the ejections of one target.
type ejection struct {
	active      bool
	reason      Reason
	consecutive int // ejections in a row
	// timerAt is the end of the time without trials, and after that the end of the wait for a trial.
	timerAt           Instant
	awaitingTrial     bool // waits for a trial
	trialInFlight     bool // a trial is in flight
	probeOfferedTrial bool // a probe has led to a trial since step was last 0
	restoredAt        Instant
}

// maxEjected returns the number of targets that may be ejected.
func (s *Service) maxEjected() int { return s.usableCount / maxEjectedDivisor }

// ejectIfUnhealthy ejects t when its latency estimate is too high or too many answers in a row were slow.
func (s *Service) ejectIfUnhealthy(now Instant, t *targetState, why Reason, out []Effect) []Effect {
	if t.consecutiveSlow < ejectSlowAnswers && s.latencyRatio(t, now) < ejectLatencyRatio {
		return out
	}
	if !t.usable() || t.ejection.active || s.ejectedCount >= s.maxEjected() {
		return out
	}
	if now-t.ejection.restoredAt > ejectionResetTime {
		t.ejection.consecutive, t.ejection.probeOfferedTrial = 0, false
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
	e.consecutive++
	e.awaitingTrial, e.trialInFlight = false, false
	e.timerAt = now + s.jitter(exponentialBackoff(firstEjectionTime, e.consecutive, maxEjectionTime))
	s.scheduleTarget(now, t)
}

// endEjection ends the ejection of t.
func (s *Service) endEjection(t *targetState) {
	if !t.ejection.active {
		return
	}
	t.ejection.active, t.ejection.awaitingTrial, t.ejection.trialInFlight = false, false, false
	s.ejectedCount--
	s.removeTrial(t)
}

// restore returns t to service through slow start. The former evidence would eject it again.
func (s *Service) restore(now Instant, t *targetState) {
	s.endEjection(t)
	t.ejection.restoredAt = now
	t.hasLatency, t.consecutiveSlow = false, 0
	s.startSlowStart(now, t)
}

// enforceMaxEjected releases targets when the service has become too small for the number of ejected ones.
func (s *Service) enforceMaxEjected(now Instant) {
	for _, t := range s.usableTargets {
		if s.ejectedCount <= s.maxEjected() {
			return
		}
		s.endEjection(t)
		s.scheduleTarget(now, t)
	}
}

// onEjectionTimer begins the wait for a trial or ends it without one.
func (s *Service) onEjectionTimer(now Instant, t *targetState) {
	e := &t.ejection
	e.timerAt = now + maxTrialWait
	switch {
	case e.trialInFlight, e.awaitingTrial && t.inFlight > 0:
		// The attempt in flight will tell.
	case e.awaitingTrial:
		s.restore(now, t)
	default:
		e.awaitingTrial = true
		s.awaitingTrial = append(s.awaitingTrial, t)
	}
}

// chooseTrialTarget returns an ejected target that r may try, or nil. Trials are hedged early, so r must be idempotent.
func (s *Service) chooseTrialTarget(now Instant, r *request) *targetState {
	if len(s.awaitingTrial) == 0 || s.policy.Selection.isBaseline() || r.class == ClassOnce || r.attemptsStarted > 0 || s.requestsSinceTrial < requestsPerTrial {
		return nil
	}
	for i, t := range s.awaitingTrial {
		if t.inFlight > 0 || now < t.backoffUntil {
			continue
		}
		s.awaitingTrial = slices.Delete(s.awaitingTrial, i, i+1)
		t.ejection.awaitingTrial, t.ejection.trialInFlight = false, true
		s.requestsSinceTrial = 0
		return t
	}
	return nil
}

// removeTrial removes t from the targets that wait for a trial.
func (s *Service) removeTrial(t *targetState) {
	if i := slices.Index(s.awaitingTrial, t); i >= 0 {
		s.awaitingTrial = slices.Delete(s.awaitingTrial, i, i+1)
	}
}

// endTrial restores a target after a good trial and extends its ejection after a bad one.
func (s *Service) endTrial(now Instant, a *attempt, good bool) {
	t := a.target
	if !t.ejection.active || !t.ejection.trialInFlight {
		return
	}
	if !good {
		s.extendEjection(now, t, t.ejection.reason)
		return
	}
	s.restore(now, t)
	s.observeLatency(now, t, s.normalizeLatency(a.request, a.responseTime(now)))
}
