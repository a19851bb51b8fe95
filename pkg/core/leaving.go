package core

import "time"

const (
	// maxRememberedStarts is the number of former and of leaving starts remembered per target.
	maxRememberedStarts = 8
	// absentTargetTTL is how long the starts of an unlisted target are remembered: longer than the instance list may lag.
	absentTargetTTL = 10 * time.Minute
)

// startSet remembers the latest few start ids.
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

// startHistory is what is known about the starts of one target. It outlives the target's place on the instance list, so
// that neither a stale list nor a sign that came before the list revives a leaving target.
type startHistory struct {
	current       string   // newest start; empty when unknown
	formerStarts  startSet // starts before the current one; news about them is stale
	leavingStarts startSet // starts that a leaving sign named
	// unknownStartLeaving marks a leaving sign for a start whose id was unknown.
	unknownStartLeaving bool
	// seenAt is the time of the last list entry or sign.
	seenAt Instant
}

func (h *startHistory) leaving() bool { return h.unknownStartLeaving || h.leavingStarts.has(h.current) }

// setCurrent takes note of a start id and reports whether the target has been started anew.
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

// setCurrentFromAnswer learns the start from an answer. When no start was known before, the id belongs to the process that is already
// known, so a leaving sign without an id still applies to it.
func (h *startHistory) setCurrentFromAnswer(start string) bool {
	if h.current == "" && h.unknownStartLeaving {
		h.leavingStarts.add(start)
	}
	return h.setCurrent(start)
}

// markLeaving takes note of a leaving sign. A sign about another start than the current one is kept until that start appears.
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

// startHistory returns the starts of the target with the given id.
func (s *Service) startHistory(now Instant, id TargetID) *startHistory {
	h := s.startHistories[id]
	if h == nil {
		h = &startHistory{}
		s.startHistories[id] = h
	}
	h.seenAt = now
	return h
}

// expireStartHistories drops the starts of targets that have not been listed or named for a long time.
func (s *Service) expireStartHistories(now Instant) {
	for id, h := range s.startHistories {
		if now-h.seenAt > absentTargetTTL && s.targets[id] == nil {
			delete(s.startHistories, id)
		}
	}
}

// targetLeaving applies a sign from a peer or an operator.
func (s *Service) targetLeaving(now Instant, ev TargetLeaving) {
	s.startHistory(now, ev.Target).markLeaving(ev.Start)
	s.applyStartChange(now, s.targets[ev.Target], false)
}

// recordStart applies what an answer or a probe tells about the start of t. Asked is the start that was known when it was
// sent for: an answer that names the same start again is no news, however many starts were seen since.
func (s *Service) recordStart(now Instant, t *targetState, knownStart, start string, leaving bool) {
	if start == "" && !leaving {
		return
	}
	if start == "" {
		start = knownStart
	}
	restarted := start != knownStart && t.starts.setCurrentFromAnswer(start)
	if leaving {
		t.starts.markLeaving(start)
	}
	s.applyStartChange(now, s.targets[t.id], restarted)
}

// applyStartChange applies a change of the starts of t, which may be nil.
func (s *Service) applyStartChange(now Instant, t *targetState, restarted bool) {
	if t == nil {
		return
	}
	if restarted {
		s.resetTarget(now, t)
	}
	if leaving := t.starts.leaving(); leaving != t.leaving {
		t.leaving = leaving
		s.refreshTargets(now)
	}
}
