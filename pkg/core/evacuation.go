package core

import (
	"cmp"
	"slices"
)

// This file applies orders to evacuate availability zones. While the zone of a target is evacuated, the target is not
// usable: it gets no attempts and no probes, and attempts in flight are left to complete. All paths to targets follow
// from targetState.usable and refreshTargets. When the order ends, what was known about the target is out of date, and
// it is probed before it gets requests.

// EvacuationChanged replaces the availability zones that are evacuated.
type EvacuationChanged struct{ Zones []Zone }

func (EvacuationChanged) event() {}

// ReasonEvacuated is the reason for refusals while only targets in evacuated zones are left. It is also the reason of
// TargetStatusEvacuated.
const ReasonEvacuated Reason = "evacuated"

// TargetStatusEvacuated is the status of a target in an evacuated zone, unless the target is leaving.
const TargetStatusEvacuated TargetStatus = "evacuated"

// setEvacuatedZones replaces the evacuated zones and decides again on the requests that wait.
func (s *Service) setEvacuatedZones(now Instant, zones []Zone, out []Effect) []Effect {
	s.evacuatedZones = slices.Clone(zones)
	s.refreshTargets(now)
	s.scheduleProbes(now)
	out = s.reviewProbingRequests(now, out)
	if s.usableCount == 0 {
		out = s.refuseAwaitingRetry(now, out)
	}
	return s.dispatch(now, nil, out)
}

// applyEvacuation updates which targets are in evacuated zones. It must run before the sums over usable targets are
// computed.
func (s *Service) applyEvacuation(now Instant) {
	for _, t := range s.listedTargets {
		evacuated := slices.Contains(s.evacuatedZones, t.zone)
		ended := t.evacuated && !evacuated
		t.evacuated = evacuated
		if ended {
			s.endEvacuation(now, t)
		}
	}
}

// endEvacuation makes t usable again, with a slow start and, if the service sends probes, not before t has answered one.
// Health probes have a small budget, so the wait for one of them is bounded.
func (s *Service) endEvacuation(now Instant, t *targetState) {
	t.evacuationEndedAt = now
	t.markWarmupUnknown()
	s.setLimit(t, float64(s.slots(t)))
	switch {
	case s.probesLoad():
		t.unprobedUntil = never
	case s.sendsHealthProbes():
		t.unprobedUntil = now + maxTrialWait
		t.observedAt = 0 // probed first
	}
	s.startSlowStart(now, t)
}

// markWarmupUnknown discards the load, latency and warm-up state of t, which may be out of date. Request rates and
// Retry-After that the target has stated stay in force.
func (t *targetState) markWarmupUnknown() {
	t.hasReport, t.reportedInUse, t.sentSinceReport, t.othersInUse, t.slowdown = false, 0, 0, 0, 1
	t.hasLatency, t.consecutiveSlow, t.unhealthy = false, 0, false
	t.consecutiveSheds, t.backoffUntil = 0, 0
	t.unansweredProbeAt = 0
	t.warmup.markUnknown()
}

// awaitsProbe reports whether t has to answer a probe before it gets requests, since its zone is no longer evacuated.
func (t *targetState) awaitsProbe(now Instant) bool { return now < t.unprobedUntil }

// recordProbeAnswer ends the wait of t for an answer to a probe. An answer that reports a failure counts too, because it
// is not out of date.
func (s *Service) recordProbeAnswer(now Instant, t *targetState, ev ProbeEnded) {
	if t.awaitsProbe(now) && (ev.OK || ev.Load.Slots > 0 || ev.Statement.Responded) {
		t.unprobedUntil = 0
		s.schedule(&t.timer, now) // dispatches waiting requests in this step
	}
}

// inFlightOutsideEvacuation returns the number of attempts in flight, apart from those that are left to complete in
// evacuated zones. They may hang there until their deadlines, and must not take the capacity of the other zones.
func (s *Service) inFlightOutsideEvacuation() int {
	n := s.inFlight
	if len(s.evacuatedZones) == 0 {
		return n
	}
	for _, t := range s.listedTargets {
		if t.evacuated {
			n -= t.inFlight
		}
	}
	return n
}

// noTargetReason returns the reason to refuse a request while no target is usable.
func (s *Service) noTargetReason() Reason {
	if slices.ContainsFunc(s.listedTargets, func(t *targetState) bool { return t.evacuated && !t.leaving }) {
		return ReasonEvacuated
	}
	return ReasonNoTarget
}

// refuseAwaitingRetry refuses the requests that wait for the time of their next attempt, because no target is left.
func (s *Service) refuseAwaitingRetry(now Instant, out []Effect) []Effect {
	var waiting []*request
	for _, r := range s.requests {
		if r.phase == phaseBackoff {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.id, b.id) }) // the order of a map is random
	for _, r := range waiting {
		out = s.refuse(now, r, s.noTargetReason(), out)
	}
	return out
}
