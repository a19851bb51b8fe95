package core

import "time"

// This file detects requests that a caller retries after a refusal. Callers state how long they still wait, and a retry
// states less time than first attempts of the same kind of request do. The objective of a retry counts from the
// caller's first attempt. This matters in bursts, in which a third of the requests are retries: treated as first
// attempts, they would take the slots of requests that can still meet their objective.

// callerTimeoutWindow is the length of one window of timeoutTracker. The longest caller timeout is taken over the
// current window and the one before, which covers pauses in the traffic of a rule.
const callerTimeoutWindow = 30 * time.Second

// timeoutTracker tracks the longest timeout that callers of one kind of request state.
type timeoutTracker struct {
	currentMax, previousMax time.Duration // maxima of the current window and of the one before
	windowStart             Instant
}

func (c *timeoutTracker) observe(now Instant, timeout time.Duration) {
	if elapsed := now - c.windowStart; elapsed >= callerTimeoutWindow {
		c.previousMax, c.currentMax, c.windowStart = c.currentMax, 0, now
		if elapsed >= 2*callerTimeoutWindow {
			c.previousMax = 0
		}
	}
	c.currentMax = max(c.currentMax, timeout)
}

func (c *timeoutTracker) longest() time.Duration { return max(c.currentMax, c.previousMax) }

// waitedBefore returns the minimum time that the caller has waited since its first attempt, given the timeout that it
// states now. It returns 0 if this can be a first attempt or no timeout is stated.
func (s *Service) waitedBefore(now Instant, l *latencyStats, callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 || s.policy.FirstAttemptShare <= 0 {
		return 0
	}
	l.callerTimeouts.observe(now, callerTimeout)
	return max(0, time.Duration(s.policy.FirstAttemptShare*float64(l.callerTimeouts.longest()))-callerTimeout)
}
