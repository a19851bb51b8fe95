package core

import (
	"slices"
	"time"
)

const (
	// unreachableTargets, unreachableFailures and unreachableTime are the number of different targets to which
	// connections have to fail, the number of failures, and the time that they have to last, without any response in
	// between, before the targets of a service count as unreachable. Single targets that are down do not reach them.
	unreachableTargets  = 3
	unreachableFailures = 5
	unreachableTime     = 100 * time.Millisecond
	// suspectFailures is the number of attempts and probes without a response, one after the other, from which on
	// connections to random targets are tried. An instance with little traffic would otherwise notice a partition too late.
	suspectFailures = 3
	// suspectCheckInterval and reachabilityCheckInterval are the mean intervals between these tries, before and after the
	// targets are known to be unreachable. Each is for reachabilityCheckTargets targets and takes at most
	// reachabilityCheckTimeout.
	suspectCheckInterval      = 100 * time.Millisecond
	reachabilityCheckInterval = 250 * time.Millisecond
	reachabilityCheckTargets  = 3
	reachabilityCheckTimeout  = 250 * time.Millisecond
)

// reachability is whether this instance can connect to the targets of a service. Evidence are connections that cannot
// be opened: a target that is overloaded or slow still accepts them.
type reachability struct {
	unreachable bool
	// unanswered is the number of attempts and probes without a response since the last response of any target, and
	// failures that of failed connections.
	unanswered     int
	failures       int
	failedTargets  []*targetState // the first unreachableTargets of them
	firstFailureAt Instant
	timer          timer // of the next check
}

// recordUnanswered records that a target did not respond, or that it could not be connected to.
func (s *Service) recordUnanswered(now Instant) {
	r := &s.reachability
	r.unanswered++
	if r.unanswered >= suspectFailures && r.timer.heapPosition == 0 {
		s.schedule(&r.timer, now) // runs onReachabilityTimer in this step
	}
}

// recordUnreachable records that no connection to t could be opened.
func (s *Service) recordUnreachable(now Instant, t *targetState, out []Effect) []Effect {
	if t.evacuated { // the zone may be without power
		return out
	}
	s.recordUnanswered(now)
	r := &s.reachability
	if r.failures == 0 {
		r.firstFailureAt = now
	}
	r.failures++
	if len(r.failedTargets) < unreachableTargets && !slices.Contains(r.failedTargets, t) {
		r.failedTargets = append(r.failedTargets, t)
	}
	enoughTargets := len(r.failedTargets) >= min(unreachableTargets, s.usableCount)
	if r.unreachable || !enoughTargets || r.failures < unreachableFailures || now-r.firstFailureAt < unreachableTime {
		return out
	}
	r.unreachable = true
	s.schedule(&r.timer, now) // runs onReachabilityTimer in this step
	return append(out, Effect{Kind: ReportReachability, Unreachable: true})
}

// recordReached records that a target has responded, or accepted a connection.
func (s *Service) recordReached(out []Effect) []Effect {
	r := &s.reachability
	r.unanswered, r.failures = 0, 0
	s.unschedule(&r.timer)
	clear(r.failedTargets)
	r.failedTargets = r.failedTargets[:0]
	if !r.unreachable {
		return out
	}
	r.unreachable = false
	return append(out, Effect{Kind: ReportReachability})
}

// onReachabilityTimer tries to connect to random targets. While none can be reached, it relays the requests that wait for
// them.
func (s *Service) onReachabilityTimer(now Instant, out []Effect) []Effect {
	interval := suspectCheckInterval
	switch {
	case s.reachability.unreachable:
		interval = reachabilityCheckInterval
		out = s.relayWaiting(now, out)
	case len(s.usableTargets) == 0:
		return out // the next failure schedules a check
	}
	for i := range min(reachabilityCheckTargets, len(s.usableTargets)) {
		j := i + s.randIntN(len(s.usableTargets)-i)
		s.usableTargets[i], s.usableTargets[j] = s.usableTargets[j], s.usableTargets[i]
		out = append(out, Effect{Kind: CheckConnection, Target: s.usableTargets[i].id, At: now + reachabilityCheckTimeout})
	}
	s.schedule(&s.reachability.timer, now+s.jitter(interval*4/3))
	return out
}

func (s *Service) connectionChecked(now Instant, ev ConnectionChecked, out []Effect) []Effect {
	t := s.targets[ev.Target]
	switch {
	case t == nil:
		return out
	case ev.Unreachable:
		return s.recordUnreachable(now, t, out)
	case ev.OK:
		return s.dispatch(now, t, s.recordReached(out))
	}
	return out
}
