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
	// reachabilityCheckInterval is the mean interval at which connections to reachabilityCheckTargets random targets are
	// tried while none can be reached, each for reachabilityCheckTimeout.
	reachabilityCheckInterval = 250 * time.Millisecond
	reachabilityCheckTargets  = 2
	reachabilityCheckTimeout  = 250 * time.Millisecond
)

// reachability is whether this instance can connect to the targets of a service. Evidence are connections that cannot
// be opened: a target that is overloaded or slow still accepts them.
type reachability struct {
	unreachable    bool
	failures       int            // since the last response of any target
	failedTargets  []*targetState // the first unreachableTargets of them
	firstFailureAt Instant
	timer          timer // of the next check while unreachable is set
}

// recordUnreachable records that no connection to t could be opened.
func (s *Service) recordUnreachable(now Instant, t *targetState, out []Effect) []Effect {
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
	r.failures = 0
	clear(r.failedTargets)
	r.failedTargets = r.failedTargets[:0]
	if !r.unreachable {
		return out
	}
	r.unreachable = false
	s.unschedule(&r.timer)
	return append(out, Effect{Kind: ReportReachability})
}

// onReachabilityTimer relays the requests that wait for targets which cannot be reached, and checks whether some can be
// again.
func (s *Service) onReachabilityTimer(now Instant, out []Effect) []Effect {
	out = s.relayWaiting(now, out)
	for i := range min(reachabilityCheckTargets, len(s.usableTargets)) {
		j := i + s.randIntN(len(s.usableTargets)-i)
		s.usableTargets[i], s.usableTargets[j] = s.usableTargets[j], s.usableTargets[i]
		out = append(out, Effect{Kind: CheckConnection, Target: s.usableTargets[i].id, At: now + reachabilityCheckTimeout})
	}
	s.schedule(&s.reachability.timer, now+s.jitter(reachabilityCheckInterval*4/3))
	return out
}

func (s *Service) connectionChecked(now Instant, ev ConnectionChecked, out []Effect) []Effect {
	if !ev.OK {
		return out
	}
	return s.dispatch(now, s.targets[ev.Target], s.recordReached(out))
}
