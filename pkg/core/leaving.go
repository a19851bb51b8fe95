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
	current string   // newest start; empty when unknown
	former  startSet // starts before the current one; news about them is stale
	left    startSet // starts that a leaving sign named
	// unknownStartLeft marks a leaving sign for a start whose id was unknown.
	unknownStartLeft bool
	// seenAt is the time of the last list entry or sign.
	seenAt Instant
}

func (l *startHistory) leaving() bool { return l.unknownStartLeft || l.left.has(l.current) }

// setCurrent takes note of a start id and reports whether the target has been started anew.
func (l *startHistory) setCurrent(start string) bool {
	if start == "" || start == l.current || l.former.has(start) {
		return false
	}
	restarted := l.current != "" || l.unknownStartLeft
	l.former.add(l.current)
	l.current = start
	l.unknownStartLeft = false
	return restarted
}

// setCurrentFromAnswer learns the start from an answer. When no start was known before, the id belongs to the process that is already
// known, so a leaving sign without an id still applies to it.
func (l *startHistory) setCurrentFromAnswer(start string) bool {
	if l.current == "" && l.unknownStartLeft {
		l.left.add(start)
	}
	return l.setCurrent(start)
}

// markLeaving takes note of a leaving sign. A sign about another start than the current one is kept until that start appears.
func (l *startHistory) markLeaving(start string) {
	if start == "" {
		start = l.current
	}
	if start == "" {
		l.unknownStartLeft = true
		return
	}
	if l.current == "" {
		l.current = start
	}
	l.left.add(start)
}

// startHistory returns the starts of the target with the given id.
func (s *Service) startHistory(now Instant, id TargetID) *startHistory {
	l := s.startHistories[id]
	if l == nil {
		l = &startHistory{}
		s.startHistories[id] = l
	}
	l.seenAt = now
	return l
}

// expireStartHistories drops the starts of targets that have not been listed or named for a long time.
func (s *Service) expireStartHistories(now Instant) {
	for id, l := range s.startHistories {
		if now-l.seenAt > absentTargetTTL && s.targets[id] == nil {
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
