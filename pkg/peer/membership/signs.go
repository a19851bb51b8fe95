package membership

import "time"

const (
	// signMemory is how long a sign is kept whose start is not the one on the instance list. It is longer than the list
	// lags, and bounds how long the sign of a target that is gone circulates.
	signMemory = 10 * time.Minute
	// MaxSigns bounds the memory for signs that come from outside.
	MaxSigns = 2048
)

// Sign states that one start of a target leaves.
type Sign struct {
	Target string
	Start  string
}

// signs holds the leaving signs. A sign holds for its start of the target; start ids are random and do not return, so
// a start that was followed by another is over for good.
type signs struct {
	leaving map[Sign]time.Duration // time of arrival
	// over holds starts that ended. Without it, two instances would pass a sign back and forth for ever.
	over map[Sign]bool
	// overOrder bounds over: the oldest entry is dropped first.
	overOrder []Sign
	current   map[string]string // target -> start last observed
	haveList  bool
}

func newSigns() signs {
	return signs{leaving: make(map[Sign]time.Duration), over: make(map[Sign]bool), current: make(map[string]string)}
}

// add takes a sign and reports whether it is new.
func (s *signs) add(now time.Duration, sign Sign) bool {
	if sign.Start == "" {
		return false // nothing could ever release it
	}
	if _, held := s.leaving[sign]; held || s.over[sign] || len(s.leaving) >= MaxSigns {
		return false
	}
	s.leaving[sign] = now
	return true
}

// keep forgets the observed starts of targets that are not on the instance list, to bound the memory.
func (s *signs) keep(listed []Listing) {
	s.haveList = true
	next := make(map[string]string, len(listed))
	for _, l := range listed {
		if start, ok := s.current[l.Address]; ok {
			next[l.Address] = start
		}
	}
	s.current = next
}

// observe notes the start of a target. The instance list lags, so a start that is known to be over is ignored.
func (s *signs) observe(target, start string) {
	if start == "" || s.over[Sign{target, start}] {
		return
	}
	before, known := s.current[target]
	if !known && len(s.current) >= MaxSigns {
		return
	}
	s.current[target] = start
	if known && before != start {
		s.end(Sign{target, before})
	}
}

func (s *signs) end(sign Sign) {
	delete(s.leaving, sign)
	if s.over[sign] {
		return
	}
	s.over[sign] = true
	s.overOrder = append(s.overOrder, sign)
	if len(s.overOrder) > MaxSigns {
		delete(s.over, s.overOrder[0])
		s.overOrder = s.overOrder[1:]
	}
}

// expire drops signs that do not concern the observed start of their target. Without an instance list there is nothing
// to judge by, and all are kept.
func (s *signs) expire(now time.Duration) {
	for sign, since := range s.leaving {
		if s.haveList && now-since > signMemory && s.current[sign.Target] != sign.Start {
			s.end(sign)
		}
	}
}

func (s *signs) held() []Sign {
	list := make([]Sign, 0, len(s.leaving))
	for sign := range s.leaving {
		list = append(list, sign)
	}
	return list
}
