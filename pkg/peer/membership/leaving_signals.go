package membership

import "time"

const (
	// leavingSignalTTL is how long a signal is kept if its start ID is not the one last observed for its target. It is
	// longer than the lag of the instance list, and limits how long signals of removed targets circulate.
	leavingSignalTTL = 10 * time.Minute
	// MaxLeavingSignals is the maximum number of leaving signals, and also of ended starts and of targets with an
	// observed start. It bounds the memory for signals from outside.
	MaxLeavingSignals = 2048
)

// Sign is a leaving signal: the process named by Target is leaving while its start ID is Start. Target is the identity
// of a target (discovery.Instance.Identity) or the peer address of an instance. gob sends the names of the type and its
// fields.
type Sign struct {
	Target string
	Start  string
}

// leavingSignals holds the leaving signals in effect. A signal applies to one start of a target. Start IDs are random
// and never return, so that a start that was followed by another has ended for good.
type leavingSignals struct {
	receivedAt map[Sign]time.Duration // signals in effect and when they arrived
	// ended holds starts that have ended, so that signals for them are ignored. Without it, two instances would pass
	// such a signal back and forth forever.
	ended map[Sign]bool
	// endedOrder lists the keys of ended, oldest first. Beyond MaxLeavingSignals, the oldest key is removed from both.
	endedOrder   []Sign
	currentStart map[string]string // target -> last observed start ID
	listReceived bool
}

func newLeavingSignals() leavingSignals {
	return leavingSignals{
		receivedAt: make(map[Sign]time.Duration), ended: make(map[Sign]bool), currentStart: make(map[string]string),
	}
}

// add stores a signal and reports whether it did: it ignores signals that are known, have ended or exceed
// MaxLeavingSignals.
func (s *leavingSignals) add(now time.Duration, signal Sign) bool {
	if signal.Start == "" {
		return false // without a start ID, no later start could end the signal
	}
	if _, known := s.receivedAt[signal]; known || s.ended[signal] || len(s.receivedAt) >= MaxLeavingSignals {
		return false
	}
	s.receivedAt[signal] = now
	return true
}

// retainTargets removes the observed starts of targets that are not on a new instance list, to bound the memory.
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

// observeStart records the start ID of a target. It ignores a start that has ended, because the instance list lags and
// can still report it.
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

// removeExpired ends signals older than leavingSignalTTL that do not match the observed start of their target. Before
// the first instance list there is nothing to compare with, and all are kept.
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
