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
)

// reachability is whether this instance can connect to the targets of a service. Evidence are connections that cannot
// be opened: a target that is overloaded or slow still accepts them.
type reachability struct {
	unreachable    bool
	failures       int            // since the last response of any target
	failedTargets  []*targetState // the first unreachableTargets of them
	firstFailureAt Instant
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
	return append(out, Effect{Kind: ReportReachability, Unreachable: true})
}

// recordReached records that a target has responded.
func (s *Service) recordReached(out []Effect) []Effect {
	r := &s.reachability
	r.failures = 0
	clear(r.failedTargets)
	r.failedTargets = r.failedTargets[:0]
	if !r.unreachable {
		return out
	}
	r.unreachable = false
	return append(out, Effect{Kind: ReportReachability})
}
