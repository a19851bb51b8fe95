package core

import (
	"slices"
	"time"
)

// This file rates the targets that have told their load: when they would answer, and which of them a request may have.

const (
	// warmupFactor is the estimate of a target that has just started: caches and compilers make it about half as fast.
	warmupFactor = 2
	// lastSlotSlowdown is the slowdown of a request that takes the last free slot of a target. Logged runs on targets of three
	// and four slots took 1.58 to 1.63 times as long.
	lastSlotSlowdown = 1.6
	// minFullThroughputShare is the share of its throughput that a full target has to keep for its last slot to be used. A slot that
	// is left free costs more than the rest: between the end of one run and the next it leaves a larger part of a small
	// target idle.
	minFullThroughputShare = 0.9
	// contentionClearRuns is the number of run times without a waiting request after which late requests are served: slots
	// that were full then have become free about twice.
	contentionClearRuns = 2
	// unhealthyEstimatePenalty is the estimate added for a target that answers probes but says that it is ill: more than askGood allows, so
	// that others come first. It may serve all the same; if it does not, its failures eject it.
	unhealthyEstimatePenalty = 0.5
	// remoteZoneEstimatePenalty is the estimate added for a target in another zone: the traffic between zones costs more than the round
	// trip takes.
	remoteZoneEstimatePenalty = 0.1
)

// estimatedInUse returns the requests that t works on or holds, as far as is known.
func (t *targetState) estimatedInUse() int { return t.reportedInUse + t.sentSinceReport }

// fullSpeedSlots returns the number of requests that t works on without slowing down.
func (s *Service) fullSpeedSlots(t *targetState) int {
	return max(1, int(s.policy.Headroom*float64(s.slots(t))+1e-9))
}

// usableSlots returns the number of requests that t holds before it counts as full. Filling all slots slows the target down:
// with four slots it completes 4/1.6 runs in the time of 3, which is too little, with three slots 3/1.6 in the time of 2.
func (s *Service) usableSlots(t *targetState) int {
	slots, fullSpeed := s.slots(t), s.fullSpeedSlots(t)
	if float64(slots)/lastSlotSlowdown >= minFullThroughputShare*float64(fullSpeed) {
		return slots
	}
	return fullSpeed
}

// responseEstimate returns when t would answer one more request, in multiples of an undisturbed run.
func (s *Service) responseEstimate(t *targetState, now Instant) float64 {
	slots, inUse := s.slots(t), t.estimatedInUse()
	estimate := t.slowdown
	if inUse+1 > s.fullSpeedSlots(t) {
		estimate *= lastSlotSlowdown
	}
	if now < t.warmupUntil {
		estimate *= warmupFactor
	}
	if queued := inUse + 1 - slots; queued > 0 {
		estimate += t.slowdown * float64(queued) / float64(slots)
	}
	if s.policy.Zone != "" && t.zone != s.policy.Zone {
		estimate += remoteZoneEstimatePenalty
	}
	if t.unhealthy {
		estimate += unhealthyEstimatePenalty
	}
	if s.isSuspect(t, now) {
		estimate += suspectPenalty
	}
	return estimate
}

// isCandidate reports whether r may be sent to t at all.
func (s *Service) isCandidate(t *targetState, now Instant, r *request) bool {
	return !t.ejection.active && now >= t.backoffUntil && !r.tried(t)
}

// hasReportedFreeSlots reports whether t has told at most the given time ago that it has room for n requests.
func (s *Service) hasReportedFreeSlots(t *targetState, now Instant, age time.Duration, n int) bool {
	return t.hasReport && now-t.reportedAt <= age && t.estimatedInUse()+n <= s.usableSlots(t)
}

// maxReportAge is the longest age at which a report is used to place a request.
const maxReportAge = loadProbeTimeout + freshReportAge

// recentReports returns the targets whose report may still be used. Few of a large service are among them, so that a choice
// need not look at all.
func (s *Service) recentReports(now Instant) []*targetState {
	s.reportedTargets = slices.DeleteFunc(s.reportedTargets, func(t *targetState) bool {
		t.inReported = t.usable() && t.hasReport && now-t.reportedAt <= maxReportAge
		return !t.inReported
	})
	return s.reportedTargets
}

// bestReported returns the target with the lowest estimate among those that told at most the given time ago that they
// have room, and that would answer r in time.
func (s *Service) bestReported(now Instant, r *request, age time.Duration) (best *targetState, estimate float64) {
	limit := s.timeLimit(now, r)
	run := s.runTime(r)
	required := s.requiredFreeSlots(now, r)
	for _, t := range s.recentReports(now) {
		if !s.hasReportedFreeSlots(t, now, age, required) || !s.isCandidate(t, now, r) {
			continue
		}
		e := s.responseEstimate(t, now)
		if now+time.Duration(e*float64(run)) > limit {
			continue
		}
		if best == nil || e < estimate {
			best, estimate = t, e
		}
	}
	return best, estimate
}

// unattainableSlots is more than any target has.
const unattainableSlots = 1 << 20

// requiredFreeSlots returns how many requests a target has to have room for to get r.
//
// A request that is late gets none while requests that can be in time had to wait lately: it would take their room, and
// on a slow target for longest, which by the time it ends would be fast again. Otherwise it leaves room for one more, as
// does a request while more urgent ones had to wait.
func (s *Service) requiredFreeSlots(now Instant, r *request) int {
	clearSince := now - contentionClearRuns*s.runTime(r)
	late := s.isLate(now, r)
	for priority, at := range s.contendedAt {
		if at <= clearSince || at == 0 {
			continue
		}
		if late {
			return unattainableSlots
		}
		if priority < min(r.priority, numPriorities-1) {
			return 2
		}
	}
	if late {
		return 2
	}
	return 1
}

// isLate reports whether r would miss its objective on every target.
func (s *Service) isLate(now Instant, r *request) bool { return now+s.runTime(r) > r.objective }

// timeLimit is the time by which r has to be answered: the objective while it can be met, then the deadline. A request
// that can still be in time thus does not go to a target that is slow at the moment, and one that is late takes what
// others leave.
func (s *Service) timeLimit(now Instant, r *request) Instant {
	if s.isLate(now, r) {
		return r.deadline
	}
	return r.objective
}
