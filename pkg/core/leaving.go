package core

import "time"

const (
	// startMemory is the number of former and of leaving starts remembered per target.
	startMemory = 8
	// absentMemory is how long the starts of an unlisted target are remembered: longer than the instance list may lag.
	absentMemory = 10 * time.Minute
)

// startSet remembers the latest few start ids.
type startSet struct {
	ids  [startMemory]string
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
	s.next = (s.next + 1) % startMemory
}

// lineage is what is known about the starts of one target. It outlives the target's place on the instance list, so
// that neither a stale list nor a sign that came before the list revives a leaving target.
type lineage struct {
	current string   // newest start; empty when unknown
	former  startSet // starts before the current one; news about them is stale
	left    startSet // starts that a leaving sign named
	// leftUnknown marks a leaving sign for a start whose id was unknown.
	leftUnknown bool
	// seenAt is the time of the last list entry or sign.
	seenAt Instant
}

func (l *lineage) leaving() bool { return l.leftUnknown || l.left.has(l.current) }

// learn takes note of a start id and reports whether the target has been started anew.
func (l *lineage) learn(start string) bool {
	if start == "" || start == l.current || l.former.has(start) {
		return false
	}
	restarted := l.current != "" || l.leftUnknown
	l.former.add(l.current)
	l.current = start
	l.leftUnknown = false
	return restarted
}

// adopt learns the start from an answer. When no start was known before, the id belongs to the process that is already
// known, so a leaving sign without an id still applies to it.
func (l *lineage) adopt(start string) bool {
	if l.current == "" && l.leftUnknown {
		l.left.add(start)
	}
	return l.learn(start)
}

// leave takes note of a leaving sign. A sign about another start than the current one is kept until that start appears.
func (l *lineage) leave(start string) {
	if start == "" {
		start = l.current
	}
	if start == "" {
		l.leftUnknown = true
		return
	}
	if l.current == "" {
		l.current = start
	}
	l.left.add(start)
}

// lineage returns the starts of the target with the given id.
func (s *Service) lineage(now Instant, id TargetID) *lineage {
	l := s.startHistories[id]
	if l == nil {
		l = &lineage{}
		s.startHistories[id] = l
	}
	l.seenAt = now
	return l
}

// forgetLineages drops the starts of targets that have not been listed or named for a long time.
func (s *Service) forgetLineages(now Instant) {
	for id, l := range s.startHistories {
		if now-l.seenAt > absentMemory && s.targets[id] == nil {
			delete(s.startHistories, id)
		}
	}
}

// targetLeaving applies a sign from a peer or an operator.
func (s *Service) targetLeaving(now Instant, ev TargetLeaving) {
	s.lineage(now, ev.Target).leave(ev.Start)
	s.startsChanged(now, s.targets[ev.Target], false)
}

// learnStart applies what an answer or a probe tells about the start of t. Asked is the start that was known when it was
// sent for: an answer that names the same start again is no news, however many starts were seen since.
func (s *Service) learnStart(now Instant, t *targetState, asked, start string, leaving bool) {
	if start == "" && !leaving {
		return
	}
	if start == "" {
		start = asked
	}
	restarted := start != asked && t.starts.adopt(start)
	if leaving {
		t.starts.leave(start)
	}
	s.startsChanged(now, s.targets[t.id], restarted)
}

// startsChanged applies a change of the starts of t, which may be nil.
func (s *Service) startsChanged(now Instant, t *targetState, restarted bool) {
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
