package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectedStates returns the states of n instances that know each other, by address. Consecutive instances are in
// consecutive zones.
func connectedStates(n int, zones ...string) map[string]*State {
	known := make([]Known, n)
	for i := range known {
		known[i] = Known{Address: fmt.Sprintf("10.0.%d.%d:1", i/200, i%200), Zone: zones[i%len(zones)], Start: fmt.Sprint("s", i)}
	}
	states := make(map[string]*State)
	for i, k := range known {
		s := New(Config{Self: k.Address, Start: k.Start, Zone: k.Zone})
		first := known[(i+1)%n]
		s.Reduce(Input{Event: ExchangeCompleted{Address: first.Address, Start: first.Start, Zone: first.Zone, Known: known}}, nil)
		states[k.Address] = s
	}
	return states
}

// Guards against a fleet with several roots, with cycles, or with an instance that has too many children.
func TestParentsFormOneTree(t *testing.T) {
	for _, n := range []int{2, 13, 126, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			states := connectedStates(n, "a", "b", "c")
			roots, children, crossing, deepest := 0, make(map[string]int), 0, 0
			for address, s := range states {
				parent, depth := s.Parent(time.Second)
				if parent == "" {
					roots++
					continue
				}
				children[parent]++
				deepest = max(deepest, depth)
				if states[parent].cfg.Zone != s.cfg.Zone {
					crossing++
				}
				steps := 0
				for at := address; at != ""; steps++ {
					at, _ = states[at].Parent(time.Second)
					require.LessOrEqual(t, steps, n, "parents form a cycle")
				}
				require.Equal(t, depth, steps-1)
			}
			require.Equal(t, 1, roots)
			require.LessOrEqual(t, crossing, 2)
			require.LessOrEqual(t, deepest, 4)
			for _, count := range children {
				require.LessOrEqual(t, count, treeFanout+2, "the root also serves one instance of each other zone")
			}
		})
	}
}

// Guards against an instance that keeps reading from one that does not answer.
func TestFailedParentIsReplaced(t *testing.T) {
	for address, s := range connectedStates(13, "a", "b", "c") {
		parent, _ := s.Parent(time.Second)
		if parent == "" {
			continue
		}
		s.Reduce(Input{Now: time.Second, Event: ContactFailed{Address: parent}}, nil)
		next, _ := s.Parent(time.Second)
		require.NotEqual(t, parent, next, address)
		s.Reduce(Input{Now: 2 * time.Second, Event: ExchangeCompleted{Address: parent, Start: s.members[parent].start, Zone: s.members[parent].zone}}, nil)
		back, _ := s.Parent(2 * time.Second)
		require.Equal(t, parent, back, "it has answered again")
	}
}

// Guards against an instance that becomes a parent again with each exchange although it has no recent data, because the
// platform refuses it: all that read from it would call the platform themselves each time.
func TestStaleParentStaysReplaced(t *testing.T) {
	for address, s := range connectedStates(13, "a", "b", "c") {
		parent, _ := s.Parent(time.Second)
		if parent == "" {
			continue
		}
		exchange := ExchangeCompleted{Address: parent, Start: s.members[parent].start, Zone: s.members[parent].zone}
		s.Reduce(Input{Now: time.Second, Event: SourceStale{Address: parent}}, nil)
		s.Reduce(Input{Now: 2 * time.Second, Event: exchange}, nil)
		next, _ := s.Parent(2 * time.Second)
		require.NotEqual(t, parent, next, address)
		late := time.Second + staleTTL
		s.Reduce(Input{Now: late, Event: exchange}, nil)
		back, _ := s.Parent(late)
		require.Equal(t, parent, back, "the time is over")
		s.Reduce(Input{Now: late, Event: SourceStale{Address: parent}}, nil)
		exchange.Start += "-next"
		s.Reduce(Input{Now: late, Event: exchange}, nil)
		require.Zero(t, s.members[parent].staleUntil, "it has restarted")
	}
}

// Guards against an instance that is gone but never removed, because peers still report it.
func TestIndirectReportsDoNotKeepInstancesAlive(t *testing.T) {
	s := New(Config{Self: "self:1", Start: "s0", Zone: "a"})
	for now := time.Duration(0); now < 2*contactTTL; now += time.Second {
		report := Known{Address: "gone:1", Zone: "a", Start: "1", Age: now}
		s.Reduce(Input{Now: now, Event: ExchangeCompleted{Address: "peer:1", Start: "1", Zone: "a", Known: []Known{report}}}, nil)
		s.Reduce(Input{Now: now, Event: RoundStarted{}}, nil)
	}
	require.Len(t, s.Known(2*contactTTL), 1)
}

// Guards against different fingerprints of instances that know the same members, which would make them send member
// lists, and against equal fingerprints of instances that know different members.
func TestFingerprints(t *testing.T) {
	states := connectedStates(13, "a", "b")
	var first uint64
	for _, s := range states {
		if first == 0 {
			first = s.Fingerprint(time.Second)
		}
		require.Equal(t, first, s.Fingerprint(time.Second))
	}
	for _, s := range states {
		s.Reduce(Input{Now: time.Second, Event: ExchangeCompleted{Address: "new:1", Start: "1", Zone: "a"}}, nil)
		require.NotEqual(t, first, s.Fingerprint(time.Second))
	}
}

// Guards against choosing an instance that has failed or this one itself, and against choosing the same one every time.
func TestRandomPeer(t *testing.T) {
	for address, s := range connectedStates(4, "a", "b") {
		seen := make(map[string]bool)
		for draw := range uint64(12) {
			seen[s.RandomPeer(time.Second, draw)] = true
		}
		require.Len(t, seen, 3)
		require.NotContains(t, seen, address)
		for other := range seen {
			s.Reduce(Input{Now: time.Second, Event: ContactFailed{Address: other}}, nil)
			require.NotEqual(t, other, s.RandomPeer(time.Second, 0))
		}
		require.Empty(t, s.RandomPeer(time.Second, 0))
	}
}
