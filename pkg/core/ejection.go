package core

import (
	"slices"
	"time"
)

const (
	// ejectLatencyRatio is the latency estimate, in multiples of the typical latency of the service, from which a
	// target is ejected. A single response 20 times slower than typical reaches it.
	ejectLatencyRatio = 6
	// ejectSlowResponses is the number of slow responses in a row from which a target is ejected. One in 20 responses
	// of a healthy target is slow, so three in a row happen once in 8,000 responses.
	ejectSlowResponses = 3
	// suspectOutstandingRatio is the age of the oldest outstanding attempt, in multiples of the typical latency of its
	// kind of request, above which a target is suspect: its score gets a penalty.
	suspectOutstandingRatio = 4
	// suspectLatencyRatio is the latency estimate, in multiples of the typical latency, above which a target is suspect.
	suspectLatencyRatio = 2.5
	// onceSuspectTime is how long a single slow response adds onceSuspectPenalty to the score of a target for
	// non-idempotent requests.
	onceSuspectTime = time.Second
	// maxEjectedDivisor limits ejections to one in this many usable targets. If more of them look slow, the network is
	// the likelier cause.
	maxEjectedDivisor = 3
	// firstEjectionTime and maxEjectionTime bound the time without trial requests, which doubles with each ejection in
	// a row.
	firstEjectionTime = time.Second
	maxEjectionTime   = 30 * time.Second
	// ejectionResetTime is the time in service after which an ejection counts as the first in a row again.
	ejectionResetTime = time.Minute
	// requestsPerTrial limits trial requests to one in this many requests.
	requestsPerTrial = 20
	// maxTrialWait is how long an ejected target waits for a trial request. Only idempotent requests can be trials;
	// without any, the target returns through slow start after this time.
	maxTrialWait = 10 * time.Second
)

// ejection is the ejection state of one target. An ejected target gets no requests except trials: after some time a
// single idempotent request is sent to it, and a good response restores it.
type ejection struct {
	active      bool
	reason      Reason
	consecutive int // ejections in a row
	// timerAt is the end of the time without trial requests, and after that the end of the wait for one.
	timerAt           Instant
	readyForTrial     bool
	trialInFlight     bool
	probeOfferedTrial bool // offerTrial has already acted on a good probe since consecutive was last 0
	restoredAt        Instant
}

// maxEjected returns the maximum number of targets that may be ejected at a time.
func (s *Service) maxEjected() int { return s.usableCount / maxEjectedDivisor }

// ejectIfSlow ejects t if its latency estimate, which failures raise too, is too high or too many responses in a row
// were slow.
func (s *Service) ejectIfSlow(now Instant, t *targetState, why Reason, out []Effect) []Effect {
	if t.consecutiveSlow < ejectSlowResponses && s.latencyRatio(t, now) < ejectLatencyRatio {
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

// extendEjection starts the next, longer period without trial requests.
func (s *Service) extendEjection(now Instant, t *targetState, why Reason) {
	e := &t.ejection
	e.reason = why
	e.consecutive++
	e.readyForTrial, e.trialInFlight = false, false
	e.timerAt = now + s.jitter(exponentialBackoff(firstEjectionTime, e.consecutive, maxEjectionTime))
	s.scheduleTarget(now, t)
}

// endEjection ends the ejection of t, if any, without a slow start.
func (s *Service) endEjection(t *targetState) {
	if !t.ejection.active {
		return
	}
	t.ejection.active, t.ejection.readyForTrial, t.ejection.trialInFlight = false, false, false
	s.ejectedCount--
	s.stopAwaitingTrial(t)
}

// restore returns t to service through slow start. It discards the former latencies, which would eject t again.
func (s *Service) restore(now Instant, t *targetState) {
	s.endEjection(t)
	t.ejection.restoredAt = now
	t.hasLatency, t.consecutiveSlow = false, 0
	s.startSlowStart(now, t)
}

// enforceMaxEjected ends ejections until at most maxEjected targets are ejected. The maximum falls when targets are
// removed or leave.
func (s *Service) enforceMaxEjected(now Instant) {
	for _, t := range s.usableTargets {
		if s.ejectedCount <= s.maxEjected() {
			return
		}
		s.endEjection(t)
		s.scheduleTarget(now, t)
	}
}

// onEjectionTimer starts the wait for a trial request or, if that wait has ended without a trial, restores t.
func (s *Service) onEjectionTimer(now Instant, t *targetState) {
	e := &t.ejection
	e.timerAt = now + maxTrialWait
	switch {
	case e.trialInFlight, e.readyForTrial && t.inFlight > 0:
		// Wait for the attempt in flight: the result of a trial decides, and any other attempt delays the trial.
	case e.readyForTrial:
		s.restore(now, t)
	default:
		e.readyForTrial = true
		s.awaitingTrial = append(s.awaitingTrial, t)
	}
}

// chooseTrialTarget returns an ejected target for a trial by r and marks the trial as in flight, or returns nil. Trials
// are hedged early, so r has to be idempotent.
func (s *Service) chooseTrialTarget(now Instant, r *request) *targetState {
	if len(s.awaitingTrial) == 0 || s.policy.Selection.isBaseline() || r.class == ClassOnce || r.attemptsStarted > 0 || s.requestsSinceTrial < requestsPerTrial {
		return nil
	}
	for i, t := range s.awaitingTrial {
		if t.inFlight > 0 || t.awaitsProbe(now) || now < t.backoffEnd() || !s.admits(t, now) {
			continue
		}
		s.awaitingTrial = slices.Delete(s.awaitingTrial, i, i+1)
		t.ejection.readyForTrial, t.ejection.trialInFlight = false, true
		s.requestsSinceTrial = 0
		return t
	}
	return nil
}

// stopAwaitingTrial removes t from the targets that wait for a trial request.
func (s *Service) stopAwaitingTrial(t *targetState) {
	if i := slices.Index(s.awaitingTrial, t); i >= 0 {
		s.awaitingTrial = slices.Delete(s.awaitingTrial, i, i+1)
	}
}

// endTrial restores the target of a after a good trial and extends its ejection after a bad one.
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
