package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// treeFanout is the number of instances that read from one other. With eight, 126 instances in three zones are three
// steps deep, and an instance answers few enough watches to stay within its traffic for control.
const treeFanout = 8

// rank orders the instances. All instances that know the same members agree on it without talking about it.
func rank(address, start string) uint64 { return xxhash.Sum64String(address + "/" + start) }

// treeNode is a place in the tree.
type treeNode struct {
	address, zone string
	rank          uint64
}

// Parent returns the instance from which this one reads what the platform publishes, and its depth below the root.
// The address is empty for the root, which reads the platform itself.
//
// The root is the instance of lowest rank. The lowest of each other zone reads from the root, so that one connection
// crosses zones for each of them, and the others of a zone read from each other in a tree. Instances that know
// different members may choose parents in a circle; none of them then hears a confirmed revision, and each falls back to
// the platform.
func (s *State) Parent(now time.Duration) (address string, depth int) {
	self := treeNode{s.cfg.Self, s.cfg.Zone, rank(s.cfg.Self, s.cfg.Start)}
	nodes := []treeNode{self}
	for _, m := range s.members {
		if m.isReachable(now) {
			nodes = append(nodes, treeNode{m.address, m.zone, rank(m.address, m.start)})
		}
	}
	byRank := func(a, b treeNode) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.address, b.address)) }
	root := slices.MinFunc(nodes, byRank)
	if root == self {
		return "", 0
	}
	zoneNodes := slices.DeleteFunc(nodes, func(n treeNode) bool { return n.zone != self.zone })
	slices.SortFunc(zoneNodes, byRank)
	index := slices.Index(zoneNodes, self)
	if index == 0 {
		return root.address, 1
	}
	depth = 1
	for i := index; i > 0; i = (i - 1) / treeFanout {
		depth++
	}
	if root.zone == self.zone {
		depth--
	}
	return zoneNodes[(index-1)/treeFanout].address, depth
}

// RandomPeer returns the instance that a random draw picks among those that answer; an empty address if there is none.
func (s *State) RandomPeer(now time.Duration, random uint64) string {
	var reachable []string
	for _, address := range s.insertionOrder {
		m := s.members[address]
		if m.isReachable(now) {
			reachable = append(reachable, address)
		}
	}
	if len(reachable) == 0 {
		return ""
	}
	return reachable[random%uint64(len(reachable))]
}

// Known returns the instances in contact, this one left out.
func (s *State) Known(now time.Duration) []Known {
	var list []Known
	for _, address := range s.insertionOrder {
		m := s.members[address]
		if m.isInContact(now) && !m.leaving {
			age := max(contactTTL-(m.presentUntil-now), 0)
			list = append(list, Known{Address: m.address, Zone: m.zone, Start: m.start, Age: age})
		}
	}
	return list
}

// Fingerprint summarises which instances are known, this one included. Two instances with equal fingerprints have
// nothing to tell each other about members.
func (s *State) Fingerprint(now time.Duration) uint64 {
	sum := rank(s.cfg.Self, s.cfg.Start)
	for _, k := range s.Known(now) {
		sum += rank(k.Address, k.Start) // hashes, so that the order of members does not matter
	}
	return sum
}
