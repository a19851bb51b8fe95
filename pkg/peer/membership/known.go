package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// agingTime is the age of a contact from which on an instance asks its peers for newer ones.
	agingTime = contactTTL / 2
	// ageUnit is the unit of ages in a list of ages, which has one byte for each instance.
	ageUnit = contactTTL / 240
	// newsTime is how long a start counts as news, which each peer gets.
	newsTime = 15 * time.Second
	// minKnownSample and knownSampleShare determine how many other instances a list of some known ones has. In a fleet of
	// 1,100, 82 members per second are enough to learn of 99 % of them within contactTTL.
	minKnownSample   = 16
	knownSampleShare = 16
)

// NeedsAges reports whether some contact is so old that newer ones are needed to keep its instance in contact.
func (s *State) NeedsAges(now time.Duration) bool {
	return slices.ContainsFunc(s.Known(now), func(k Known) bool { return k.Age > agingTime })
}

// KnownCount returns the number of instances that Known returns.
func (s *State) KnownCount(now time.Duration) int { return len(s.Known(now)) }

// KnownFor returns the known instances to send to a peer that knows others: all if it knows clearly fewer or has not
// stated how many (0). Otherwise one or a few are new or have expired, and it gets the new ones and a sample, which repairs
// what has been lost.
func (s *State) KnownFor(now time.Duration, peerCount int, random uint64) []Known {
	known := s.Known(now)
	sample := max(minKnownSample, len(known)/knownSampleShare)
	if peerCount < len(known)*9/10 || peerCount == 0 {
		return known
	}
	r := rand.New(rand.NewPCG(random, 0))
	r.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	isNews := func(k Known) bool { return now-s.members[k.Address].learnedAt < newsTime }
	news := 0
	for i, k := range known {
		if isNews(k) {
			known[i], known[news] = known[news], known[i]
			news++
		}
	}
	return known[:min(news+sample, len(known))]
}

// sorted returns the known instances and this one in an order on which all instances with the same fingerprint agree.
func (s *State) sorted(now time.Duration) []Known {
	list := append(s.Known(now), Known{Address: s.cfg.Self, Zone: s.cfg.Zone, Start: s.cfg.Start})
	slices.SortFunc(list, func(a, b Known) int {
		return cmp.Or(cmp.Compare(rank(a.Address, a.Start), rank(b.Address, b.Start)), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// Ages returns the ages of the contacts with all known instances and this one, for a peer with the same fingerprint.
func (s *State) Ages(now time.Duration) []byte {
	list := s.sorted(now)
	ages := make([]byte, len(list))
	for i, k := range list {
		ages[i] = byte((k.Age + ageUnit - 1) / ageUnit)
	}
	return ages
}

// mergeAges applies the ages of a peer. They are ignored if the fingerprint has changed since the request.
func (s *State) mergeAges(now time.Duration, ev AgesReceived) {
	list := s.sorted(now)
	if ev.Fingerprint != s.Fingerprint(now) || len(list) != len(ev.Ages) {
		return
	}
	for i := range list {
		list[i].Age = time.Duration(ev.Ages[i]) * ageUnit
	}
	s.mergeKnown(now, list)
}
