package relay

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	localA  = Peer{"10.0.0.1:1", "a"}
	localB  = Peer{"10.0.0.2:1", "a"}
	remoteC = Peer{"10.0.0.3:1", "b"}
)

// chosen returns the addresses that a selector chooses in many attempts which end before the next one.
func chosen(s *Selector, now time.Duration, service string) map[string]int {
	rng, counts := rand.New(rand.NewPCG(1, 1)), make(map[string]int)
	for range 300 {
		if p, ok := s.Choose(now, service, 0, rng); ok {
			counts[p.Address]++
			s.Ended(now, p.Address, service, Served)
		}
	}
	return counts
}

// Guards against requests that go to an instance which cannot serve them or has no room, that cross zones needlessly, or
// that never return to an instance.
func TestChoice(t *testing.T) {
	for name, tc := range map[string]struct {
		results map[Peer]Result
		now     time.Duration
		service string
		want    []Peer
	}{
		"own zone first":               {want: []Peer{localA, localB}},
		"other zone if need be":        {results: map[Peer]Result{localA: Unreachable, localB: Failed}, want: []Peer{remoteC}},
		"unreachable for this service": {results: map[Peer]Result{localA: Unreachable}, want: []Peer{localB}},
		"reachable for another":        {results: map[Peer]Result{localA: Unreachable}, service: "other", want: []Peer{localA, localB}},
		"busy for all services":        {results: map[Peer]Result{localA: Busy}, service: "other", want: []Peer{localB}},
		"busy for a short time":        {results: map[Peer]Result{localA: Busy}, now: busyTime, want: []Peer{localA, localB}},
		"unreachable for some time":    {results: map[Peer]Result{localA: Unreachable}, now: unreachableTime, want: []Peer{localA, localB}},
		"request abandoned":            {results: map[Peer]Result{localA: Abandoned}, want: []Peer{localA, localB}},
		"none is left":                 {results: map[Peer]Result{localA: Failed, localB: Failed, remoteC: Failed}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSelector("a")
			s.SetPeers(0, []Peer{localA, localB, remoteC})
			for p, result := range tc.results {
				s.Ended(0, p.Address, "s", result)
			}
			if tc.service == "" {
				tc.service = "s"
			}
			counts := chosen(s, tc.now, tc.service)
			require.Len(t, counts, len(tc.want))
			for _, p := range tc.want {
				require.GreaterOrEqual(t, counts[p.Address], 300/len(tc.want)/2, "%v", counts)
			}
		})
	}
}

// Guards against requests that pile up at one instance.
func TestChoiceFollowsRequestsInFlight(t *testing.T) {
	s, rng := NewSelector("a"), rand.New(rand.NewPCG(1, 1))
	s.SetPeers(0, []Peer{localA, localB})
	counts := make(map[string]int)
	for range 40 {
		p, _ := s.Choose(0, "s", 0, rng)
		counts[p.Address]++
	}
	require.InDelta(t, 20, counts[localA.Address], 3)
}

// Guards against requests that are declined by one instance after the other of a zone that is cut off as a whole, and
// against a fleet whose requests all go to the first instance that has served one.
func TestChoiceAmongManyInstances(t *testing.T) {
	var local, remote []Peer
	for i := range 10 {
		local = append(local, Peer{fmt.Sprint("local-", i), "a"})
		remote = append(remote, Peer{fmt.Sprint("remote-", i), "b"})
	}
	for name, tc := range map[string]struct {
		serve    []Peer // instances that have served a request
		declined int
		want     []Peer
	}{
		"untried ones of the own zone":           {want: local},
		"until some are known":                   {serve: local[:1], want: local},
		"enough are known":                       {serve: local[:knownEnough], want: local[:knownEnough]},
		"known ones of another zone come later":  {serve: remote, want: local},
		"own zone declines":                      {declined: localTrials, want: remote},
		"own zone declines, but one serves":      {serve: local[:1], declined: localTrials, want: local[:1]},
		"until some of the other zone are known": {serve: remote[:1], declined: localTrials, want: remote},
		"both zones decline":                     {declined: remoteTrials, want: remote},
		"both zones decline, but one serves":     {serve: remote[:1], declined: remoteTrials, want: remote[:1]},
	} {
		t.Run(name, func(t *testing.T) {
			s, rng := NewSelector("a"), rand.New(rand.NewPCG(1, 1))
			s.SetPeers(0, slices.Concat(local, remote))
			for _, p := range tc.serve {
				s.Ended(0, p.Address, "s", Served)
			}
			chosen := make(map[Peer]bool)
			for range 300 {
				p, ok := s.Choose(0, "s", tc.declined, rng)
				require.True(t, ok)
				chosen[p] = true
				s.Ended(0, p.Address, "s", Abandoned)
			}
			require.ElementsMatch(t, tc.want, slices.Collect(maps.Keys(chosen)))
		})
	}
}

// Guards against an instance that counts as one that serves after it has declined or failed, or has left.
func TestServingInstanceIsForgotten(t *testing.T) {
	for name, forget := range map[string]func(s *Selector){
		"declined": func(s *Selector) { s.Ended(0, localA.Address, "s", Unreachable) },
		"failed":   func(s *Selector) { s.Ended(0, localA.Address, "s", Failed) },
		"left":     func(s *Selector) { s.SetPeers(0, []Peer{localB}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSelector("a")
			s.SetPeers(0, []Peer{localA, localB})
			s.Ended(0, localA.Address, "s", Served)
			forget(s)
			require.Empty(t, s.serves)
		})
	}
}
