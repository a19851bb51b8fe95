package core

import (
	"cmp"
	"slices"
)

// stopState is the graceful stop of the instance.
type stopState struct {
	requested      bool
	latestDeadline Instant // StopRequested.LatestDeadline; valid if requested
}

// allows reports whether r may be sent to a target or relayed.
func (st *stopState) allows(r *request) bool { return !st.requested || r.deadline <= st.latestDeadline }

// stopRequested begins the stop and refuses the waiting requests that must no longer be sent.
func (s *Service) stopRequested(now Instant, ev StopRequested, out []Effect) []Effect {
	s.stop = stopState{requested: true, latestDeadline: ev.LatestDeadline}
	var refused []*request
	for _, r := range s.requests {
		if r.phase < phaseDecided && r.phase != phaseInFlight && !s.stop.allows(r) {
			refused = append(refused, r)
		}
	}
	slices.SortFunc(refused, func(a, b *request) int { return cmp.Compare(a.id, b.id) }) // the order of a map is random
	for _, r := range refused {
		out = s.cancelAndRefuse(now, r, ReasonStopping, out)
	}
	return out
}
