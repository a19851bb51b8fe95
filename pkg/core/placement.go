package core

import (
	"slices"
	"time"
)

// This file ranks the targets with recent load reports: when each is expected to respond, and which of them a request
// may be sent to.

const (
	// warmupFactor is the slowdown of a target that has just started: with cold caches and compilers still at work it
	// runs about half as fast.
	warmupFactor = 2
	// lastSlotSlowdown is the slowdown of a request beyond the fullSpeedSlots of a target. With three or four slots and
	// the default headroom this request takes the last free slot; logged runs in that slot took 1.58 to 1.63 times as
	// long.
	lastSlotSlowdown = 1.6
	// minFullThroughputShare is the share of its throughput that a target has to keep with all slots in use for the
	// last slot to be used. It is below 1 because keeping that slot unused costs throughput as well: whenever another
	// slot is idle between two runs, a large part of a small target does no work.
	minFullThroughputShare = 0.9
	// contentionClearRuns is the time without contention, in run times, that has to pass before late requests are sent.
	// Contention means that a request that could meet its objective had to wait. After two run times, each slot that
	// was in use at the last contention has become free about twice.
	contentionClearRuns = 2
	// unhealthyEstimatePenalty is added to the estimate of a target that answers probes but reports itself unhealthy.
	// It is large enough to exceed goodEstimate, so that other targets are preferred. Such a target may serve all the
	// same; if it does not, its failures eject it.
	unhealthyEstimatePenalty = 0.5
	// remoteZoneEstimatePenalty is added to the estimate of a target in another zone: traffic between zones costs more
	// than the additional round trip.
	remoteZoneEstimatePenalty = 0.1
)

// estimatedInUse returns the number of requests that t holds as far as this instance knows: the last report plus the
// attempts sent since.
func (t *targetState) estimatedInUse() int { return t.reportedInUse + t.sentSinceReport }

// fullSpeedSlots returns the number of requests that t works on at once without slowing down.
func (s *Service) fullSpeedSlots(t *targetState) int {
	return max(1, int(s.policy.Headroom*float64(s.slots(t))+1e-9))
}

// usableSlots returns the number of requests at which t counts as full. Using all slots slows the target down. A target
// with four slots completes 4/1.6 = 2.5 runs instead of 3 in the same time, less than minFullThroughputShare, so one
// slot stays free. With three slots it completes 3/1.6 = 1.9 instead of 2, so all are used.
func (s *Service) usableSlots(t *targetState) int {
	slots, fullSpeed := s.slots(t), s.fullSpeedSlots(t)
	if float64(slots)/lastSlotSlowdown >= minFullThroughputShare*float64(fullSpeed) {
		return slots
	}
	return fullSpeed
}

// responseEstimate returns the expected time until t responds to one more request, in multiples of an undisturbed run.
func (s *Service) responseEstimate(t *targetState, now Instant) float64 {
	slots, inUse := s.slots(t), t.estimatedInUse()
	estimate := t.slowdown
	if inUse+1 > s.fullSpeedSlots(t) {
		estimate *= lastSlotSlowdown
	}
	if now < t.warmupUntil && !s.boundsWarmup() || s.warmthOf(t, now) == cold {
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

// isCandidate reports whether r may be sent to t: t is available, and r has not tried it.
func (s *Service) isCandidate(t *targetState, now Instant, r *request) bool {
	return s.isAvailable(t, now) && !r.tried(t)
}

// hasReportedFreeSlots reports whether t has n free slots according to a report of at most the given age.
func (s *Service) hasReportedFreeSlots(t *targetState, now Instant, age time.Duration, n int) bool {
	return t.hasReport && now-t.reportedAt <= age && t.estimatedInUse()+n <= s.usableSlots(t)
}

// maxReportAge is the maximum age of a report used to choose a target. A report that was fresh at the beginning of a
// round of load probes is still used when the round times out.
const maxReportAge = loadProbeTimeout + freshReportAge

// recentReports returns the targets whose report is recent enough to be used, and drops the others from
// reportedTargets. In a large service few remain, so a choice does not scan all targets.
func (s *Service) recentReports(now Instant) []*targetState {
	s.reportedTargets = slices.DeleteFunc(s.reportedTargets, func(t *targetState) bool {
		t.inReported = t.usable() && t.hasReport && now-t.reportedAt <= maxReportAge
		return !t.inReported
	})
	return s.reportedTargets
}

// bestReported returns the target with the lowest response estimate among those that have enough free slots, by a
// report of at most the given age, and would respond to r in time. It returns nil if there is none.
func (s *Service) bestReported(now Instant, r *request, age time.Duration) (best *targetState, estimate float64) {
	limit := s.timeLimit(now, r)
	run := s.runTime(r)
	required := s.requiredFreeSlots(now, r)
	for _, t := range s.recentReports(now) {
		if !s.hasReportedFreeSlots(t, now, age, required) {
			continue
		}
		if !s.isCandidate(t, now, r) {
			s.recordNotAdmitted(now, r, t)
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

// unattainableSlots is more than the slots of any target.
const unattainableSlots = 1 << 20

// requiredFreeSlots returns the number of slots that have to be free on a target for r to be sent to it.
//
// A late request is not sent if requests that could meet their objective had to wait recently, because it would take
// their slots. This costs most on a slow target: the request would still hold the slot when the target is fast again
// and could serve the others. Otherwise a late request has to leave one slot free, and so does any request if more
// urgent ones had to wait recently.
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

// timeLimit returns the time by which r has to be answered: its objective while it can be met, its deadline after that.
// A request that can still meet its objective is thus not sent to a target that is slow at the moment, and a late one
// may use such a target.
func (s *Service) timeLimit(now Instant, r *request) Instant {
	if s.isLate(now, r) {
		return r.deadline
	}
	return r.objective
}
