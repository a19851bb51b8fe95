package core

import "time"

// This file decides how long the caller of a refused request waits before it retries.

const (
	// retryAfterMin and retryAfterMax bound Retry-After.
	retryAfterMin = 100 * time.Millisecond
	retryAfterMax = 30 * time.Second
	// shedRetryAfter is the Retry-After of a request that was shed while no other request waits. The targets have free
	// slots then and shed for another reason, so that a later retry is not more likely to succeed. With 100 ms, the second
	// retry of a request that takes 200 ms misses an objective of 400 ms.
	shedRetryAfter = 20 * time.Millisecond
	// quarantineRetryAfter is how long the caller of a quarantined request should wait. The same request is likely to be
	// refused then too.
	quarantineRetryAfter = time.Minute
	// StoppingRetryAfter is the Retry-After of a request that may outlast this instance. Another instance can serve it now.
	StoppingRetryAfter = 20 * time.Millisecond
)

// retryAfter returns how long the caller of a request that is refused for the given reason should wait before it retries:
// the time for which it would have to wait in the queue. With SelectAsk it adds up to half of the wait as jitter: a burst
// leads to many refusals at the same time, whose retries would arrive together.
func (s *Service) retryAfter(now Instant, r *request, reason Reason) time.Duration {
	if reason == ReasonCrashesTargets {
		return quarantineRetryAfter
	}
	if !s.stop.allows(r) {
		return StoppingRetryAfter
	}
	wait := s.expectedQueueWait(now, r.class)
	if s.probesLoad() {
		wait = s.expectedBacklogWait(now, r)
		wait += time.Duration(s.randIntN(int(wait/2) + 1))
	}
	if wait >= maxStatedWait {
		wait = rateLimitCheckInterval // this instance may send to no target, but others may
	}
	shortest := retryAfterMin
	if s.wasShedWithoutLoad(r, reason) {
		shortest = shedRetryAfter
	}
	return min(max(wait, shortest), retryAfterMax)
}

// wasShedWithoutLoad reports whether r is refused because a target shed it although no request waits for free slots.
func (s *Service) wasShedWithoutLoad(r *request, reason Reason) bool {
	return r.shed && r.provedNotRun() && s.probesLoad() && len(s.backlog.waiting) == 0 &&
		(reason == ReasonRetryBudget || reason == ReasonAttemptsExhausted)
}
