package core

import (
	"math"
	"slices"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/fleetrate"
)

// This file keeps the request rates that targets state to accept. A rate is for all instances together, which do not
// coordinate each request; package fleetrate divides it among a few of them.
//
// The number of senders follows the rate, so that the burst after a pause is about what the target accepts in one second.

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
)

// rateLimit is the request rate that a target accepts from all instances together, and the share of this instance.
type rateLimit struct {
	active    bool
	perSecond float64 // requests per second, for all instances
	// statedAt is the time of the latest response that confirmed the limit.
	statedAt Instant
	bucket   fleetrate.Bucket
}

// wait returns the time until the limit admits a request; 0 if it admits one now, never for an instance that is not a
// sender.
func (l *rateLimit) wait(now Instant) time.Duration {
	if !l.active || now-l.statedAt >= rateLimitTTL {
		return 0
	}
	return l.bucket.Wait(now, maxStatedWait)
}

// admits reports whether a request may be sent now.
func (l *rateLimit) admits(now Instant) bool { return l.wait(now) == 0 }

// take records that a request is sent.
func (l *rateLimit) take(now Instant) {
	if !l.active {
		return
	}
	l.bucket.Take(now)
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
		l.bucket.Start(now, s.randFloat()) // instances that learn of the limit together do not send together
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
	before := s.fleet
	s.fleet = slices.Clone(instances)
	s.learnFleet(now, before)
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
	l.bucket.SetShare(now, s.rateShare(t.id, l.perSecond))
}

// rateShare returns the share of this instance in a request rate of a target. While the fleet is unknown, all instances
// count as senders.
func (s *Service) rateShare(id TargetID, perSecond float64) float64 {
	if len(s.fleet) == 0 {
		return perSecond / float64(max(s.policy.InstanceCount, 1))
	}
	senders := int(math.Ceil(perSecond)) + additionalSenders
	return fleetrate.Share(perSecond, senders, s.policy.InstanceID, s.fleet, string(id))
}
