package membership

import (
	"strings"
	"time"
)

// ZoneOf returns the zone of the instance at an address, empty if it is unknown. Instances connect from other ports than
// those at which they accept, so that an instance at the same IP counts if none has the address.
func (s *State) ZoneOf(address string) string {
	if m := s.members[address]; m != nil {
		return m.zone
	}
	host := address[:strings.LastIndexByte(address, ':')+1]
	for _, known := range s.insertionOrder {
		if host != "" && strings.HasPrefix(known, host) {
			return s.members[known].zone
		}
	}
	return ""
}

// Peer is another instance with its zone.
type Peer struct{ Address, Zone string }

// ReachablePeers returns the instances in contact that are not leaving and have answered recently if asked.
func (s *State) ReachablePeers(now time.Duration) []Peer {
	list := make([]Peer, 0, len(s.insertionOrder))
	for _, address := range s.insertionOrder {
		if m := s.members[address]; m.isReachable(now) {
			list = append(list, Peer{m.address, m.zone})
		}
	}
	return list
}

// StartOf returns the start ID of the instance at an address, empty if it is unknown.
func (s *State) StartOf(address string) string {
	if m := s.members[address]; m != nil {
		return m.start
	}
	return ""
}
