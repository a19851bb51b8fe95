package core

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file keeps the request rates that targets state to accept. A rate is for all instances together, which do not
// coordinate each request. It is divided evenly among a few of them, the senders, each of which has a token bucket that
// holds one request. All instances that know the same fleet agree on the senders of a target without communication.
//
// Dividing among all instances would let a large fleet send a burst: after a pause, each instance may send one request
// at once. The number of senders follows the rate, so that the burst is about what the target accepts in one second.

const (
	// additionalSenders is the number of senders beyond one for each request per second. Several senders remain for a
	// low rate, so that most instances may send to some target of the service.
	additionalSenders = 2
	// rateLimitCheckInterval is how often a target is probed although the limit admits no request. It bounds the time
	// until an instance that sends nothing notices the end of the limit.
	rateLimitCheckInterval = time.Second
	// rateLimitTTL is the time without a response after which one request may be sent to find out whether the limit
	// still holds.
	rateLimitTTL = 30 * time.Second
	// tokenTolerance absorbs the rounding of times to nanoseconds.
	tokenTolerance = 1e-6
)

// rateLimit is the request rate that a target accepts from all instances together, and the share of this instance.
type rateLimit struct {
	active    bool
	perSecond float64 // requests per second, for all instances
	// statedAt is the time of the latest response that confirmed the limit.
	statedAt Instant
	// share is the part of perSecond that this instance may use; 0 if it is not a sender.
	share float64
	// tokens is the number of requests that may be sent at refilledAt, at most 1.
	tokens     float64
	refilledAt Instant
}

// refill adds the tokens since the last refill.
func (l *rateLimit) refill(now Instant) {
	l.tokens = min(1, l.tokens+l.share*(now-l.refilledAt).Seconds())
	l.refilledAt = now
}

// wait returns the time until the limit admits a request; 0 if it admits one now, never for an instance that is not a
// sender.
func (l *rateLimit) wait(now Instant) time.Duration {
	missing := 1 - tokenTolerance - l.tokens - l.share*(now-l.refilledAt).Seconds()
	switch {
	case !l.active || missing <= 0 || now-l.statedAt >= rateLimitTTL:
		return 0
	case l.share <= 0:
		return never
	}
	return time.Duration(math.Ceil(min(missing/l.share, maxStatedWait.Seconds()) * float64(time.Second)))
}

// admits reports whether a request may be sent now.
func (l *rateLimit) admits(now Instant) bool { return l.wait(now) == 0 }

// take records that a request is sent.
func (l *rateLimit) take(now Instant) {
	if !l.active {
		return
	}
	l.refill(now)
	l.tokens = max(l.tokens-1, 0)
	if now-l.statedAt >= rateLimitTTL {
		l.statedAt = now
	}
}

// isCheckDue reports whether a probe may find out whether a limit that admits no request still holds.
func (l *rateLimit) isCheckDue(now Instant) bool { return now-l.statedAt >= rateLimitCheckInterval }

// recordRequestRate applies the request rate that t states on a response, or its absence.
func (s *Service) recordRequestRate(now Instant, t *targetState, st Statement, out []Effect) []Effect {
	if !st.Responded {
		return out
	}
	l := &t.rateLimit
	if !st.HasRequestRate && !l.active {
		return out
	}
	changed := st.HasRequestRate != l.active || st.RequestRate != l.perSecond
	l.statedAt = now
	if !changed {
		return out
	}
	if !l.active {
		l.tokens, l.refilledAt = s.randFloat(), now // instances that learn of the limit together do not send together
	}
	l.active, l.perSecond = st.HasRequestRate, st.RequestRate
	s.updateRateShare(now, t)
	if s.targets[t.id] == t {
		s.schedule(&t.timer, now) // dispatches waiting requests in this step if t has gained capacity
	}
	return append(out, Effect{Kind: ReportRateLimit, Target: t.id, Rate: l.perSecond, Unlimited: !l.active})
}

// setFleet replaces the IDs of the instances and the shares of this one that depend on them.
func (s *Service) setFleet(now Instant, instances []string) {
	s.fleet = slices.Clone(instances)
	for _, t := range s.targets {
		if t.rateLimit.active {
			s.updateRateShare(now, t)
			s.scheduleTarget(now, t)
		}
	}
}

// updateRateShare recomputes the share of this instance in the request rate of t.
func (s *Service) updateRateShare(now Instant, t *targetState) {
	l := &t.rateLimit
	l.refill(now)
	l.share = s.rateShare(t.id, l.perSecond)
	if l.share == 0 {
		l.tokens = 0
	}
}

// rateShare returns the share of this instance in a request rate of a target. The senders are the instances with the
// highest rendezvous hash of instance and target. While the fleet is unknown, all instances count as senders.
func (s *Service) rateShare(id TargetID, perSecond float64) float64 {
	if len(s.fleet) == 0 {
		return perSecond / float64(max(s.policy.InstanceCount, 1))
	}
	senders := min(float64(len(s.fleet)), math.Ceil(perSecond)+additionalSenders)
	own, rank := instanceHash(s.policy.InstanceID, id), 0.0
	for _, instance := range s.fleet {
		if instance != s.policy.InstanceID && instanceHash(instance, id) > own {
			rank++
		}
	}
	if rank >= senders {
		return 0
	}
	return perSecond / senders
}

// instanceHash returns the rendezvous hash of an instance and a target.
func instanceHash(instance string, id TargetID) uint64 {
	return xxhash.Sum64String(instance + "/" + string(id))
}
