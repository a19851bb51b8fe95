package core

import "time"

// This file tells requests of callers that come back after a refusal from first ones. Callers state how long they still
// wait: one that comes back states less than callers of the same kind do with their first attempt, and its objective
// began with that first attempt. It answers bursts in which a third of the requests are repeated ones: taken for first
// ones, they would get the room of requests that can still be in time.

// statedSpan is half of the time over which the longest stated wait is kept. It covers pauses in the traffic of a rule.
const statedSpan = 30 * time.Second

// statedWaits tracks the longest wait that callers of one kind state.
type statedWaits struct {
	current, last time.Duration // maximum of the current span and of the one before
	began         Instant       // begin of the current span
}

func (w *statedWaits) observe(now Instant, stated time.Duration) {
	if elapsed := now - w.began; elapsed >= statedSpan {
		w.last, w.current, w.began = w.current, 0, now
		if elapsed >= 2*statedSpan {
			w.last = 0
		}
	}
	w.current = max(w.current, stated)
}

func (w *statedWaits) longest() time.Duration { return max(w.current, w.last) }

// waitedBefore returns how long the caller of a request has waited at least since its first attempt, if it states that it
// still waits for the given time. It is 0 while that can be a first attempt, and if the time is not stated.
func (s *Service) waitedBefore(now Instant, l *latencies, stated time.Duration) time.Duration {
	if stated <= 0 || s.policy.FirstAttemptShare <= 0 {
		return 0
	}
	l.stated.observe(now, stated)
	return max(0, time.Duration(s.policy.FirstAttemptShare*float64(l.stated.longest()))-stated)
}
