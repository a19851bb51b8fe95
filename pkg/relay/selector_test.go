package relay

import (
	"math/rand/v2"
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
		if p, ok := s.Choose(now, service, rng); ok {
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
		p, _ := s.Choose(0, "s", rng)
		counts[p.Address]++
	}
	require.InDelta(t, 20, counts[localA.Address], 3)
}
