package membership

import "strings"

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
