package core

import "time"

// This file applies what targets state about themselves on responses. leaving.go and rate_limit.go hold the parts on
// starts and on request rates.

// maxStatedWait bounds the wait for what targets state. It stands for the wait of an instance that is the sender of no
// target.
const maxStatedWait = time.Hour

// recordAttemptStatement applies the statement on the response to a, once.
func (s *Service) recordAttemptStatement(now Instant, a *attempt, st Statement, out []Effect) []Effect {
	if a.statementRecorded {
		return out
	}
	a.statementRecorded = true
	return s.recordStatement(now, a.target, a.targetStart, st, ReasonResponse, out)
}

// recordStatement applies what t states on a response to a request or probe; see recordStart for knownStart and source.
// A restart comes first, because it discards what the former process stated.
func (s *Service) recordStatement(
	now Instant, t *targetState, knownStart string, st Statement, source Reason, out []Effect,
) []Effect {
	out = s.recordStart(now, t, knownStart, st, source, out)
	s.recordRetryAfter(now, t, st)
	return s.recordRequestRate(now, t, st, out)
}

// recordRetryAfter starts the time without requests that t asks for. It also holds for probes, and no later response
// shortens it.
func (s *Service) recordRetryAfter(now Instant, t *targetState, st Statement) {
	if st.RetryAfter <= 0 {
		return
	}
	t.retryAfterUntil = max(t.retryAfterUntil, now+st.RetryAfter)
	s.scheduleTarget(now, t)
}

// backoffEnd returns the end of the time without new attempts on t, which may have passed.
func (t *targetState) backoffEnd() Instant { return max(t.backoffUntil, t.retryAfterUntil) }

// statedWait returns how long a request would wait for what the targets state, their request rates, warm-ups and
// Retry-After, if the given number of requests were sent before it. It returns false if there is no usable target or one
// of them accepts a request now without a limit. A target that may be cold counts as one that accepts a request, because
// a probe has to find out.
func (s *Service) statedWait(now Instant, ahead int) (wait time.Duration, stated bool) {
	if len(s.usableTargets) == 0 {
		return 0, false
	}
	share, next, allLimited, untilUnlimited := 0.0, maxStatedWait, true, maxStatedWait
	for _, t := range s.usableTargets {
		if s.isOutOfReach(t, now) {
			continue
		}
		l := &t.rateLimit
		untilAccepted := max(l.wait(now), t.retryAfterUntil-now)
		isCold := s.warmthOf(t, now) == cold
		if !l.active && !isCold && untilAccepted <= 0 {
			return 0, false
		}
		if isCold {
			if !l.active {
				untilUnlimited = min(untilUnlimited, max(t.warmup.coldUntil, t.retryAfterUntil)-now)
			}
			untilAccepted = max(untilAccepted, s.warmupWait(t, now))
			share += s.warmupBucket(now, t).Share()
		} else {
			share += l.bucket.Share()
		}
		next = min(next, untilAccepted)
		allLimited = allLimited && (l.active || isCold)
	}
	if allLimited && share > 0 {
		next += time.Duration(float64(ahead) / share * float64(time.Second))
	}
	return min(next, untilUnlimited, maxStatedWait), true
}
