package core

import (
	"cmp"
	"slices"
	"time"
)

// This file relays requests to another instance while this one can connect to no target. The other instance treats such a
// request as one of its callers', but never relays it again. Instances that cannot serve it say so within a round trip.

const (
	// maxRelays bounds the instances to which one request is relayed, one after the other.
	maxRelays = 6
	// relayPause is how long no request is relayed after no instance was left that may serve one.
	relayPause = 500 * time.Millisecond
)

// canRelay reports whether r may be relayed to another instance: its outcome is still the one it would have here, and
// another instance may serve it before this one stops.
func (s *Service) canRelay(now Instant, r *request) bool {
	return s.stop.allows(r) && len(s.fleet) > 1 && now >= s.relayPausedUntil && !r.relayed && r.relays < maxRelays && now < r.deadline &&
		r.attemptsLeft() > 0 && (r.class != ClassOnce || r.provedNotRun())
}

// attemptsLeft returns the number of attempts that may still reach a target, apart from those in flight.
func (r *request) attemptsLeft() int { return r.maxAttempts - r.attemptsReached - len(r.attempts) }

// relay sends r to another instance, which decides on it.
func (s *Service) relay(now Instant, r *request, out []Effect) []Effect {
	left, declined := r.attemptsLeft(), r.relays
	a := s.addAttempt(now, r, s.otherInstances)
	r.relays++
	r.phase = phaseInFlight
	r.retryAt, r.hedgeAt = never, never
	out = s.countRetry(now, r, "", out)
	s.scheduleRequest(r)
	return append(out, Effect{
		Kind: RelayAttempt, Request: r.id, Attempt: a.id, At: r.deadline, FreshConnection: r.class == ClassOnce,
		MaxAttempts: left, Declined: declined, DecisionInfo: s.requestInfo(now, r),
	})
}

// relayEnded decides on a request that another instance did not answer. If its outcome is unknown, it may have used all
// attempts there.
func (s *Service) relayEnded(now Instant, r *request, ev AttemptEnded, out []Effect) []Effect {
	if ev.Outcome == OutcomeNotSent && ev.Reason == ReasonNoInstance {
		s.relayPausedUntil = now + relayPause
	}
	if r.relays == maxRelays && ev.Outcome.ProvesNotRun() {
		out = append(out, Effect{Kind: CountDenied, Reason: ReasonRelaysExhausted})
	}
	switch {
	case r.callerLeft:
		return s.refuse(now, r, ReasonCallerLeft, out)
	case r.quarantined:
		return s.refuse(now, r, ReasonCrashesTargets, out)
	case r.class == ClassOnce && !r.provedNotRun():
		return s.refuse(now, r, ReasonMayHaveRun, out)
	case !ev.Outcome.ProvesNotRun(), r.attemptsStarted >= r.maxAttempts && !s.canRelay(now, r):
		return s.refuse(now, r, ReasonAttemptsExhausted, out)
	case r.attemptsStarted >= r.maxAttempts:
		return s.relay(now, r, out)
	}
	return s.sendOrQueue(now, r, out)
}

// relayWaiting relays the requests that wait for targets to other instances, and refuses those that come from one. An
// idempotent request also waits if its only attempt has no response yet: its connection may have fallen silent.
func (s *Service) relayWaiting(now Instant, out []Effect) []Effect {
	var waiting []*request
	for _, r := range s.requests {
		if r.phase < phaseDecided && (r.phase != phaseInFlight || r.isUnanswered()) {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.id, b.id) }) // the order of a map is random
	for _, r := range waiting {
		switch {
		case r.relayed:
			out = s.cancelAndRefuse(now, r, ReasonUnreachable, out) // a further instance may serve it
		case !s.canRelay(now, r):
		case r.phase != phaseInFlight:
			s.stopWaiting(now, r)
			out = s.relay(now, r, out)
		case s.budget.takeRetry(now, &s.policy):
			out = append(out, Effect{Kind: CountRetry, Reason: ReasonSlow})
			out = s.cancelExcept(now, r, nil, out)
			out = s.relay(now, r, out)
		}
	}
	return out
}

// isUnanswered reports whether r is idempotent and its only attempt, on a target, has no response yet.
func (r *request) isUnanswered() bool {
	return r.class != ClassOnce && !r.relayed && len(r.attempts) == 1 && !r.attempts[0].relay && r.attempts[0].respondedAt == never
}
