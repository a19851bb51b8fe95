package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// treeFanout is the number of instances that read from the same parent. With eight, 126 instances in three zones form a
// tree three levels deep, and each instance answers few enough watches to stay within its limit for control traffic.
const treeFanout = 8

// rank orders the instances. All instances that know the same members agree on the order without communication.
func rank(address, start string) uint64 { return xxhash.Sum64String(address + "/" + start) }

// treeNode is an instance with its position in the order.
type treeNode struct {
	address, zone string
	rank          uint64
}

// Parent returns the instance from which this one reads what the platform publishes, and the depth of this one below
// the root. The address is empty for the root, which reads from the platform itself.
//
// The root is the instance of lowest rank. In each other zone, the instance of lowest rank reads from the root, so that
// only one connection per zone crosses zones. The remaining instances of each zone read from each other in a tree.
// Instances that know different members may choose parents in a cycle. None of them then receives a confirmed revision,
// and each falls back to the platform.
func (s *State) Parent(now time.Duration) (address string, depth int) {
	self := treeNode{s.cfg.Self, s.cfg.Zone, rank(s.cfg.Self, s.cfg.Start)}
	nodes := []treeNode{self}
	for _, m := range s.members {
		if m.canBeParent(now) {
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
		depth-- // the tree of this zone starts at the root, not one level below it
	}
	return zoneNodes[(index-1)/treeFanout].address, depth
}

// RandomPeer returns the address of a reachable instance, selected by a random value; empty if there is none.
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

// Known returns the instances in contact that are not leaving, without this one.
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

// Fingerprint is a hash of the set of known instances, including this one. Two instances with equal fingerprints know
// the same members and need not send their lists.
func (s *State) Fingerprint(now time.Duration) uint64 {
	sum := rank(s.cfg.Self, s.cfg.Start)
	for _, k := range s.Known(now) {
		sum += rank(k.Address, k.Start) // a sum of hashes does not depend on the order of members
	}
	return sum
}
