package membership

import "time"

const (
	// leavingSignalTTL is how long a sign is kept whose start is not the one on the instance list. It is longer than the list
	// lags, and bounds how long the sign of a target that is gone circulates.
	leavingSignalTTL = 10 * time.Minute
	// MaxLeavingSignals bounds the memory for signs that come from outside.
	MaxLeavingSignals = 2048
)

// Sign states that one start of a target leaves.
type Sign struct {
	Target string
	Start  string
}

// leavingSignals holds the leaving leavingSignals. A sign holds for its start of the target; start ids are random and do not return, so
// a start that was followed by another is over for good.
type leavingSignals struct {
	receivedAt map[Sign]time.Duration // time of arrival
	// ended holds starts that ended. Without it, two instances would pass a sign back and forth for ever.
	ended map[Sign]bool
	// endedOrder bounds over: the oldest entry is dropped first.
	endedOrder   []Sign
	currentStart map[string]string // target -> start last observed
	listReceived bool
}

func newLeavingSignals() leavingSignals {
	return leavingSignals{receivedAt: make(map[Sign]time.Duration), ended: make(map[Sign]bool), currentStart: make(map[string]string)}
}

// add takes a sign and reports whether it is new.
func (s *leavingSignals) add(now time.Duration, signal Sign) bool {
	if signal.Start == "" {
		return false // nothing could ever release it
	}
	if _, held := s.receivedAt[signal]; held || s.ended[signal] || len(s.receivedAt) >= MaxLeavingSignals {
		return false
	}
	s.receivedAt[signal] = now
	return true
}

// retainTargets forgets the observed starts of targets that are not on the instance list, to bound the memory.
func (s *leavingSignals) retainTargets(listed []Process) {
	s.listReceived = true
	next := make(map[string]string, len(listed))
	for _, l := range listed {
		if start, ok := s.currentStart[l.Address]; ok {
			next[l.Address] = start
		}
	}
	s.currentStart = next
}

// observeStart notes the start of a target. The instance list lags, so a start that is known to be over is ignored.
func (s *leavingSignals) observeStart(target, start string) {
	if start == "" || s.ended[Sign{target, start}] {
		return
	}
	before, known := s.currentStart[target]
	if !known && len(s.currentStart) >= MaxLeavingSignals {
		return
	}
	s.currentStart[target] = start
	if known && before != start {
		s.markEnded(Sign{target, before})
	}
}

func (s *leavingSignals) markEnded(signal Sign) {
	delete(s.receivedAt, signal)
	if s.ended[signal] {
		return
	}
	s.ended[signal] = true
	s.endedOrder = append(s.endedOrder, signal)
	if len(s.endedOrder) > MaxLeavingSignals {
		delete(s.ended, s.endedOrder[0])
		s.endedOrder = s.endedOrder[1:]
	}
}

// removeExpired drops signs that do not concern the observed start of their target. Without an instance list there is nothing
// to judge by, and all are kept.
func (s *leavingSignals) removeExpired(now time.Duration) {
	for signal, received := range s.receivedAt {
		if s.listReceived && now-received > leavingSignalTTL && s.currentStart[signal.Target] != signal.Start {
			s.markEnded(signal)
		}
	}
}

func (s *leavingSignals) all() []Sign {
	list := make([]Sign, 0, len(s.receivedAt))
	for signal := range s.receivedAt {
		list = append(list, signal)
	}
	return list
}
