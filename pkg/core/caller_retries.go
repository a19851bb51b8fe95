package core

import "time"

// This file tells requests of callers that come back after a refusal from first ones. Callers state how long they still
// wait: one that comes back states less than callers of the same kind do with their first attempt, and its objective
// began with that first attempt. It answers bursts in which a third of the requests are repeated ones: taken for first
// ones, they would get the room of requests that can still be in time.

// callerTimeoutWindow is half of the time over which the longest stated wait is kept. It covers pauses in the traffic of a rule.
const callerTimeoutWindow = 30 * time.Second

// callerTimeouts tracks the longest wait that callers of one kind state.
type callerTimeouts struct {
	currentMax, previousMax time.Duration // maximum of the current span and of the one before
	windowStart             Instant       // begin of the current span
}

func (c *callerTimeouts) observe(now Instant, timeout time.Duration) {
	if elapsed := now - c.windowStart; elapsed >= callerTimeoutWindow {
		c.previousMax, c.currentMax, c.windowStart = c.currentMax, 0, now
		if elapsed >= 2*callerTimeoutWindow {
			c.previousMax = 0
		}
	}
	c.currentMax = max(c.currentMax, timeout)
}

func (c *callerTimeouts) max() time.Duration { return max(c.currentMax, c.previousMax) }

// waitedBefore returns how long the caller of a request has waited at least since its first attempt, if it states that it
// still waits for the given time. It is 0 while that can be a first attempt, and if the time is not stated.
func (s *Service) waitedBefore(now Instant, l *latencyStats, callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 || s.policy.FirstAttemptShare <= 0 {
		return 0
	}
	l.callerTimeouts.observe(now, callerTimeout)
	return max(0, time.Duration(s.policy.FirstAttemptShare*float64(l.callerTimeouts.max()))-callerTimeout)
}
