package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func newSubsetService(instance string, targets int) (*Service, []Target) {
	p := DefaultPolicy()
	p.Selection, p.Zone, p.InstanceID, p.LoadProbeSubset = SelectAsk, "a", instance, 24
	s := NewService(p)
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: TargetID(fmt.Sprint("t", i)), Zone: Zone([]string{"a", "b", "c"}[i%3])})
	}
	s.Reduce(Input{Event: TargetsChanged{Targets: list}}, nil)
	return s, list
}

func subsetIDs(s *Service) map[TargetID]bool {
	ids := make(map[TargetID]bool)
	for _, t := range s.subset {
		ids[t.id] = true
	}
	return ids
}

// TestSubsetsCoverTargetsEvenly guards against targets that no instance probes, or that far more instances probe than
// others.
func TestSubsetsCoverTargetsEvenly(t *testing.T) {
	const instances, targets = 60, 180
	count := make(map[TargetID]int)
	for i := range instances {
		s, _ := newSubsetService(fmt.Sprint("i", i), targets)
		require.Len(t, s.localSubset, 24)
		require.Len(t, s.subset, 36)
		for id := range subsetIDs(s) {
			count[id]++
		}
	}
	// Every third target is in the zone of the instances. Each of the 60 instances probes 24 of these 60 targets, so 24
	// instances probe each target on average.
	for i := 0; i < targets; i += 3 {
		n := count[TargetID(fmt.Sprint("t", i))]
		require.Greater(t, n, 6)
		require.Less(t, n, 48)
	}
}

// TestSubsetStableOnTargetChange guards against a subset that is chosen anew with each change of the target list. The
// instance would then need new connections to nearly all targets of the subset.
func TestSubsetStableOnTargetChange(t *testing.T) {
	s, list := newSubsetService("i", 180)
	before := subsetIDs(s)
	s.Reduce(Input{Event: TargetsChanged{Targets: list[3:]}}, nil)
	kept := 0
	for id := range subsetIDs(s) {
		if before[id] {
			kept++
		}
	}
	require.GreaterOrEqual(t, kept, 36-3, "three targets were removed")
}

// TestSubsetOfSmallServiceHasAllTargets guards against an instance that uses only a part of a small service.
func TestSubsetOfSmallServiceHasAllTargets(t *testing.T) {
	s, list := newSubsetService("i", 30)
	require.Len(t, s.subset, len(list))
}
