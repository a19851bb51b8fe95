package core

import (
	"cmp"
	"slices"

	"github.com/burdockpitch/burdockpitch/pkg/fleetrate"
)

// chooseSubset selects the targets that this instance probes: Policy.LoadProbeSubset targets of its zone and half as
// many of other zones, or LoadProbeSubset of other zones if its own has no targets. In each case it takes the targets
// with the highest rendezvous hash of instance and target. Each target is thus in the subsets of about the same number
// of instances, and a change of the target list changes few members. If the service has at most 1.5 times
// LoadProbeSubset targets, the subset is all of them.
//
// Subsets are meant for large services: an instance that spreads a few requests per second over hundreds of targets
// finds most connections closed for being idle and needs a new one for each probe.
func (s *Service) chooseSubset() {
	limit := s.policy.LoadProbeSubset
	if len(s.usableTargets) <= limit+limit/2 {
		limit = 0
	}
	s.subset, s.localSubset = s.subset[:0], s.localSubset[:0]
	remote := slices.DeleteFunc(slices.Clone(s.usableTargets), func(t *targetState) bool { return s.isLocal(t) })
	s.localSubset = append(s.localSubset, s.highestHashes(s.localTargets, limit)...)
	s.subset = append(s.subset, s.localSubset...)
	if len(s.localTargets) > 0 {
		limit = (limit + 1) / 2
	}
	s.subset = append(s.subset, s.highestHashes(remote, limit)...)
	for _, t := range s.listedTargets {
		t.inSubset = false
	}
	for _, t := range s.subset {
		t.inSubset = true
	}
}

// isLocal reports whether t is in the zone of this instance; false if the instance has no zone.
func (s *Service) isLocal(t *targetState) bool { return t.zone == s.policy.Zone && t.zone != "" }

// highestHashes returns the limit targets with the highest hashes, or all if limit is 0.
func (s *Service) highestHashes(targets []*targetState, limit int) []*targetState {
	if limit == 0 || len(targets) <= limit {
		return targets
	}
	hash := func(t *targetState) uint64 { return fleetrate.Hash(s.policy.InstanceID, string(t.id)) }
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b *targetState) int { return cmp.Compare(hash(b), hash(a)) })
	return sorted[:limit]
}
