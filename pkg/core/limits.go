package core

import "time"

const (
	// limitIncrease is the additive increase per successful response. It is small because all instances increase at
	// once.
	limitIncrease = 0.02
	// limitDecreaseFactor is the multiplicative decrease when a target sheds an attempt.
	limitDecreaseFactor = 0.7
	// maxLimitPerSlot bounds the limit in multiples of the slots.
	maxLimitPerSlot = 4
	// shedBackoffInitial and shedBackoffMax bound the time without new attempts after consecutive sheds.
	shedBackoffInitial = 10 * time.Millisecond
	shedBackoffMax     = time.Second
	slowStartDuration  = 5 * time.Second
	// slowStartInitialShare is the share of traffic at the beginning of the slow start.
	slowStartInitialShare = 0.1
	// slowStartRecheckInterval is the interval at which queued requests are dispatched to capacity that a slow start
	// has added.
	slowStartRecheckInterval = slowStartDuration / 10
)

// minLimit returns the lower bound of the limit of t: this instance's fair share of the slots, at most 1. If there are
// at least as many instances as slots, the limits of all instances for t never add up to less than its slots.
func (s *Service) minLimit(t *targetState) float64 {
	return min(1, float64(s.slots(t))/float64(max(s.policy.InstanceCount, 1)))
}

// slots returns the reported number of slots of t, or the configured one before a report.
func (s *Service) slots(t *targetState) int {
	if t.slots > 0 {
		return t.slots
	}
	return max(s.policy.SlotsPerTarget, 1)
}

// setLimit sets the limit of t within its bounds and updates the sum over all usable targets.
func (s *Service) setLimit(t *targetState, limit float64) {
	limit = min(max(limit, s.minLimit(t)), maxLimitPerSlot*float64(s.slots(t)))
	if t.usable() {
		s.limitSum += limit - t.limit
	}
	t.limit = limit
}

// serviceLimit returns the number of attempts that may be in flight on all targets together. It is needed for targets
// with a limit below one, because capacity allows at least one attempt on each target: if 14 instances each had one
// attempt on a target with four slots, it would have more than three times as many requests as it can process at once.
func (s *Service) serviceLimit() int { return max(1, int(s.limitSum)) }

// capacity returns the number of attempts that may be in flight on t.
func (s *Service) capacity(t *targetState, now Instant) int {
	return max(1, int(t.limit*t.slowStartShare(now)))
}

// raiseLimit raises the limit of t after a successful response if two conditions hold: requests are queued here or at
// least half of the limit is in use, so that the limit is needed; and t reports no requests queued on itself.
func (s *Service) raiseLimit(t *targetState) {
	used := s.queue.length() > 0 || float64(t.inFlight) >= t.limit/2
	if used && t.reportedInUse <= s.slots(t) {
		s.setLimit(t, t.limit+limitIncrease)
	}
}

// recordShed lowers the limit and starts the backoff of the target that shed a. Sheds of attempts that were in flight
// together count once.
func (s *Service) recordShed(now Instant, a *attempt) {
	t := a.target
	if t.consecutiveSheds > 0 && a.sentAt < t.shedAt {
		return
	}
	s.setLimit(t, t.limit*limitDecreaseFactor)
	t.shedAt = now
	t.consecutiveSheds++
	t.backoffUntil = now + s.jitter(exponentialBackoff(shedBackoffInitial, t.consecutiveSheds, shedBackoffMax))
	s.scheduleTarget(now, t)
}

// exponentialBackoff returns the backoff after the given number of consecutive failures: initial after the first,
// doubled with each further one, and at most limit.
func exponentialBackoff(initial time.Duration, failures int, limit time.Duration) time.Duration {
	for range failures - 1 {
		if initial >= limit {
			break
		}
		initial *= 2
	}
	return min(initial, limit)
}

// slowStartShare returns the share of traffic that the slow start admits.
func (t *targetState) slowStartShare(now Instant) float64 {
	if now >= t.slowStartUntil {
		return 1
	}
	return 1 - (1-slowStartInitialShare)*float64(t.slowStartUntil-now)/float64(slowStartDuration)
}

// startSlowStart begins the slow start of t.
func (s *Service) startSlowStart(now Instant, t *targetState) {
	t.slowStartUntil = now + slowStartDuration
	s.scheduleTarget(now, t)
}
