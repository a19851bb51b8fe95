package core

import "time"

const (
	// maxRememberedStarts is the number of former and of leaving starts remembered per target.
	maxRememberedStarts = 8
	// absentTargetTTL is how long the starts of an unlisted target are remembered. It exceeds the time by which the
	// instance list may be out of date.
	absentTargetTTL = 10 * time.Minute
)

// startSet holds the latest few start IDs; older ones are overwritten.
type startSet struct {
	ids  [maxRememberedStarts]string
	next int
}

func (s *startSet) has(id string) bool {
	for _, known := range s.ids {
		if known == id && id != "" {
			return true
		}
	}
	return false
}

func (s *startSet) add(id string) {
	if id == "" || s.has(id) {
		return
	}
	s.ids[s.next] = id
	s.next = (s.next + 1) % maxRememberedStarts
}

// startHistory holds what is known about the starts of one target; a start is one run of its process. The history
// exists independently of the target's entry on the instance list. A leaving target thus stays unusable if a stale list
// adds it again, and also if its leaving signal arrives before the list that adds it.
type startHistory struct {
	current       string   // start ID of the newest start; empty when unknown
	formerStarts  startSet // starts before the current one; messages about them are stale
	leavingStarts startSet // starts that a leaving signal named
	// unknownStartLeaving is set by a leaving signal while the start ID is unknown.
	unknownStartLeaving bool
	// seenAt is the time of the last list entry or signal.
	seenAt Instant
}

func (h *startHistory) leaving() bool { return h.unknownStartLeaving || h.leavingStarts.has(h.current) }

// setCurrent records a start ID and reports whether the target has restarted.
func (h *startHistory) setCurrent(start string) bool {
	if start == "" || start == h.current || h.formerStarts.has(start) {
		return false
	}
	restarted := h.current != "" || h.unknownStartLeaving
	h.formerStarts.add(h.current)
	h.current = start
	h.unknownStartLeaving = false
	return restarted
}

// setCurrentFromResponse records the start ID on a response to a request or probe. If no start ID was known before, the
// ID belongs to the process already known, so a leaving signal without an ID still applies to it.
func (h *startHistory) setCurrentFromResponse(start string) bool {
	if h.current == "" && h.unknownStartLeaving {
		h.leavingStarts.add(start)
	}
	return h.setCurrent(start)
}

// markLeaving records a leaving signal. A signal for a start other than the current one is kept until that start
// appears.
func (h *startHistory) markLeaving(start string) {
	if start == "" {
		start = h.current
	}
	if start == "" {
		h.unknownStartLeaving = true
		return
	}
	if h.current == "" {
		h.current = start
	}
	h.leavingStarts.add(start)
}

// startHistory returns the start history of the given target, creating it if needed.
func (s *Service) startHistory(now Instant, id TargetID) *startHistory {
	h := s.startHistories[id]
	if h == nil {
		h = &startHistory{}
		s.startHistories[id] = h
	}
	h.seenAt = now
	return h
}

// expireStartHistories drops the history of targets that have been neither listed nor named in a leaving signal for
// absentTargetTTL.
func (s *Service) expireStartHistories(now Instant) {
	for id, h := range s.startHistories {
		if now-h.seenAt > absentTargetTTL && s.targets[id] == nil {
			delete(s.startHistories, id)
		}
	}
}

// targetLeaving applies a leaving signal from a peer or an operator.
func (s *Service) targetLeaving(now Instant, ev TargetLeaving, out []Effect) []Effect {
	s.startHistory(now, ev.Target).markLeaving(ev.Start)
	return s.applyStartChange(now, s.targets[ev.Target], false, ReasonPeer, out)
}

// recordStart applies what a response to a request or probe states about the start of t. The parameter knownStart is
// the start ID that was current when the request was sent or, for a probe, when its response arrived. A response with
// the same start ID is no sign of a restart, even if another start has become current since the request was sent. A
// leaving target that states no start ID is taken for knownStart. The source tells where the response comes from.
func (s *Service) recordStart(
	now Instant, t *targetState, knownStart string, st Statement, source Reason, out []Effect,
) []Effect {
	start := st.Start
	if start == "" && !st.Leaving {
		return out
	}
	if start == "" {
		start = knownStart
	}
	restarted := start != knownStart && t.starts.setCurrentFromResponse(start)
	if st.Leaving {
		t.starts.markLeaving(start)
	}
	return s.applyStartChange(now, s.targets[t.id], restarted, source, out)
}

// applyStartChange updates t, which may be nil, after a change of its start history.
func (s *Service) applyStartChange(now Instant, t *targetState, restarted bool, source Reason, out []Effect) []Effect {
	if t == nil {
		return out
	}
	if restarted {
		s.resetTarget(now, t)
	}
	if leaving := t.starts.leaving(); leaving != t.leaving {
		t.leaving = leaving
		s.refreshTargets(now)
		out = countLeaving(t, source, out)
	}
	return out
}

// countLeaving reports t if it is leaving.
func countLeaving(t *targetState, source Reason, out []Effect) []Effect {
	if !t.leaving {
		return out
	}
	return append(out, Effect{Kind: CountLeaving, Target: t.id, Reason: source})
}
