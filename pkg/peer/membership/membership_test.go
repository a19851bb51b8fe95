package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes CI runs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func newState(seeds ...string) *State {
	return New(Config{Self: "self", Start: "s0", Zone: "a", Seeds: seeds})
}

func (s *State) apply(now time.Duration, ev Event) []Effect {
	return s.Reduce(Input{Now: now, Rand: uint64(now), Event: ev}, nil)
}

func contacts(effects []Effect) []string {
	var list []string
	for _, e := range effects {
		if e.Kind == ContactPeer {
			list = append(list, e.Address)
		}
	}
	return list
}

func instanceList(addresses ...string) InstanceListReceived {
	var l InstanceListReceived
	for i, a := range addresses {
		l.Instances = append(l.Instances, Process{Address: a, Zone: string(rune('a' + i%3))})
	}
	return l
}

// Guards against rounds that stay within a zone, so that changes do not reach other zones after a partition, or that
// contact this instance itself.
func TestRoundContactsOnePeerInTheZoneAndOneOutside(t *testing.T) {
	s := newState()
	s.apply(0, instanceList("a1", "b1", "c1", "a2", "b2", "c2", "self"))
	contacted := make(map[string]bool)
	for i := range 100 {
		list := contacts(s.apply(time.Duration(i)*time.Second, RoundStarted{}))
		require.Len(t, list, 2)
		require.Equal(t, byte('a'), list[0][0])
		require.NotEqual(t, byte('a'), list[1][0])
		contacted[list[0]], contacted[list[1]] = true, true
	}
	require.Len(t, contacted, 6)
}

// Guards against an instance that makes only half of its contacts because all peers are in its own zone or none are.
func TestRoundContactsTwoPeersIfAllAreOnOneSide(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		s := newState()
		s.apply(0, InstanceListReceived{Instances: []Process{{Address: "x", Zone: zone}, {Address: "y", Zone: zone}}})
		require.Len(t, contacts(s.apply(time.Second, RoundStarted{})), 2, zone)
	}
}

// Guards against a budget share that is too large: the fleet size may only fall ten minutes after instances were last
// seen.
func TestFleetSizeIsMaximumOverWindow(t *testing.T) {
	s := newState("x1", "x2")
	require.Equal(t, 3, s.FleetSize(), "seeds count at the start")
	s.apply(time.Second, instanceList("x1", "x2", "x3"))
	require.Equal(t, 4, s.FleetSize())
	s.apply(2*time.Second, ExchangeCompleted{Address: "x4", Start: "1", Zone: "a"})
	require.Equal(t, 5, s.FleetSize(), "an instance that is not listed counts")
	s.apply(3*time.Second, instanceList())
	last := 2*time.Second + contactTTL
	for now := 4 * time.Second; now < last+FleetSizeWindow; now += time.Second {
		s.apply(now, RoundStarted{})
		if now <= 2*time.Second+FleetSizeWindow {
			require.Equal(t, 5, s.FleetSize())
		}
		require.GreaterOrEqual(t, s.FleetSize(), 2)
	}
	s.apply(last+FleetSizeWindow+2*time.Second, RoundStarted{})
	require.Equal(t, 1, s.FleetSize())
}

// Guards against a peer that does not answer being contacted in every round, and against one that is never retried.
func TestFailedPeersAreRetriedWithBackoff(t *testing.T) {
	s := newState()
	s.apply(0, instanceList("x"))
	attempts := 0
	for now := time.Second; now < 41*time.Second; now += time.Second {
		for _, address := range contacts(s.apply(now, RoundStarted{})) {
			attempts++
			s.apply(now, ContactFailed{Address: address})
		}
	}
	require.Greater(t, attempts, 8)
	require.Less(t, attempts, 15)
	s.apply(41*time.Second, ExchangeCompleted{Address: "x", Start: "1", Zone: "a"})
	require.Len(t, contacts(s.apply(42*time.Second, RoundStarted{})), 1, "an answer ends the backoff")
}

// Guards against contacts to an instance that is stopping, and against ignoring it after its restart.
func TestLeavingInstanceIsNotContactedUntilRestart(t *testing.T) {
	s := newState()
	s.apply(0, instanceList("x", "y"))
	s.apply(0, ExchangeCompleted{Address: "x", Start: "1", Zone: "a"})
	effects := s.apply(time.Second, ExchangeCompleted{Address: "y", Start: "1", Zone: "b", Leaving: []Sign{{"x", "1"}, {"self", "s0"}}})
	require.Empty(t, effects, "an instance is not a target")
	require.Equal(t, []string{"y"}, contacts(s.apply(2*time.Second, RoundStarted{})))
	require.Equal(t, PeerRestarted, s.apply(3*time.Second, ExchangeCompleted{Address: "x", Start: "2", Zone: "a"})[0].Kind)
	require.Len(t, contacts(s.apply(4*time.Second, RoundStarted{})), 2)
}

// Guards against a leaving signal that is lost, reported twice, or that outlives the start that it applies to.
func TestLeavingSignalsOfTargets(t *testing.T) {
	signal := Sign{"t", "1"}
	from := func(signals ...Sign) ExchangeCompleted {
		return ExchangeCompleted{Address: "x", Start: "1", Leaving: signals}
	}
	listOf := func(start string) InstanceListReceived {
		return InstanceListReceived{Targets: []Process{{Address: "t", Start: start}}}
	}
	cases := []struct {
		name        string
		events      []Event
		wantEffects int // TargetLeaving effects
		wantSignals int
	}{
		{"from a peer", []Event{from(signal)}, 1, 1},
		{"from two peers", []Event{from(signal), from(signal)}, 1, 1},
		{"from the list", []Event{InstanceListReceived{Targets: []Process{{Address: "t", Start: "1", Leaving: true}}}}, 1, 1},
		{"observed in a response", []Event{TargetsObserved{Targets: []Process{{Address: "t", Start: "1", Leaving: true}}}}, 1, 1},
		{"list lags behind", []Event{from(signal), listOf("1")}, 1, 1},
		{"target not on the list", []Event{from(signal), InstanceListReceived{}}, 1, 1},
		{"new start", []Event{listOf("1"), from(signal), listOf("2")}, 1, 0},
		{"signal of an earlier start", []Event{listOf("1"), listOf("2"), from(signal)}, 0, 0},
		{"list falls back to an earlier start", []Event{listOf("1"), listOf("2"), listOf("1"), from(signal)}, 0, 0},
		{"next start leaves too", []Event{listOf("1"), from(signal), listOf("2"), from(Sign{"t", "2"})}, 2, 1},
		{"without a start ID", []Event{from(Sign{"t", ""})}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState()
			gotEffects := 0
			for i, ev := range c.events {
				for _, e := range s.apply(time.Duration(i)*time.Second, ev) {
					if e.Kind == TargetLeaving {
						gotEffects++
					}
				}
			}
			require.Equal(t, c.wantEffects, gotEffects)
			require.Len(t, s.LeavingSignals(), c.wantSignals)
		})
	}
}

// Guards against signals of removed targets that circulate forever, and against dropping one that still applies to its
// target.
func TestLeavingSignalsExpireAfterTheirTargetIsGone(t *testing.T) {
	s := newState()
	s.apply(0, InstanceListReceived{Targets: []Process{{Address: "t", Start: "1", Leaving: true}}})
	s.apply(0, ExchangeCompleted{Address: "x", Start: "1", Leaving: []Sign{{"gone", "1"}}})
	s.apply(leavingSignalTTL+time.Second, RoundStarted{})
	require.Equal(t, []Sign{{"t", "1"}}, s.LeavingSignals())
	require.Empty(t, s.apply(leavingSignalTTL+2*time.Second, ExchangeCompleted{Address: "x", Start: "1", Leaving: []Sign{{"gone", "1"}}}))
}

// Guards against unbounded memory for addresses and signals from peers.
func TestMemoryIsBounded(t *testing.T) {
	s := newState()
	for i := range MaxMembers + 10 {
		s.apply(0, ExchangeCompleted{Address: fmt.Sprint(i), Start: "1", Leaving: []Sign{{Target: fmt.Sprint("t", i), Start: "1"}}})
	}
	require.Equal(t, MaxMembers, s.PeerCount())
	require.LessOrEqual(t, len(s.LeavingSignals()), MaxLeavingSignals)
}

// Guards against events in an unexpected order that break an invariant: no contact to this instance itself, the same
// effects for the same events, and a fleet size that is not below the number of instances present.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := rapid.SampledFrom([]string{"self", "x", "y", "z"})
		start := rapid.SampledFrom([]string{"1", "2"})
		event := rapid.Custom(func(t *rapid.T) Event {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				return instanceList(rapid.SliceOfN(address, 0, 4).Draw(t, "listed")...)
			case 1:
				return ContactFailed{Address: address.Draw(t, "address")}
			case 2:
				return LocalStateChanged{}
			case 3:
				return TargetsObserved{Targets: []Process{{Address: "t", Start: start.Draw(t, "start"), Leaving: true}}}
			case 4:
				signal := Sign{address.Draw(t, "leaving"), start.Draw(t, "start of signal")}
				return ExchangeCompleted{address.Draw(t, "address"), start.Draw(t, "start"), "a", []Sign{signal}, nil}
			}
			return RoundStarted{}
		})
		s, replica := newState("x"), newState("x")
		var now time.Duration
		for _, ev := range rapid.SliceOfN(event, 0, 50).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "seconds")) * time.Second
			effects := s.apply(now, ev)
			if again := replica.apply(now, ev); fmt.Sprint(effects) != fmt.Sprint(again) {
				t.Fatalf("effects of the same event differ: %v and %v", effects, again)
			}
			present := 1
			for _, m := range s.Members(now) {
				if m.Listed || m.InContact {
					present++
				}
			}
			if s.FleetSize() < present {
				t.Fatalf("fleet size %d, but %d instances are present", s.FleetSize(), present)
			}
			for _, e := range effects {
				if e.Address == "self" || e.Kind == TargetLeaving && e.Signal.Target == "self" {
					t.Fatalf("effect %v concerns this instance", e)
				}
			}
		}
	})
}

// Guards against members that expire although other instances have been in contact with them, so that instances disagree
// on the fleet and send each other lists of members all the time.
func TestAgesKeepMembersInContact(t *testing.T) {
	s, other := newState(), New(Config{Self: "x1", Start: "1", Zone: "a"})
	members := []Known{{Address: "x2", Start: "1"}, {Address: "x3", Start: "1"}}
	s.apply(0, ExchangeCompleted{Address: "x1", Start: "1", Known: members})
	other.apply(0, ExchangeCompleted{Address: "self", Start: "s0", Known: members})
	require.False(t, s.NeedsAges(agingTime))
	now := contactTTL - time.Second
	require.True(t, s.NeedsAges(now))
	other.apply(now-time.Second, ExchangeCompleted{Address: "x2", Start: "1"})
	ages := AgesReceived{Ages: other.Ages(now), Fingerprint: other.Fingerprint(now)}
	require.Equal(t, s.Fingerprint(now), ages.Fingerprint)
	s.apply(now, ages)
	require.Equal(t, []string{"x1", "x2"}, addresses(s.Known(now+contactTTL/2)))
	s.apply(now, AgesReceived{Ages: make([]byte, 4), Fingerprint: ages.Fingerprint + 1})
	s.apply(now, AgesReceived{Ages: make([]byte, 3), Fingerprint: ages.Fingerprint})
	require.Equal(t, []string{"x1", "x2"}, addresses(s.Known(now+contactTTL/2)), "ages of other members are ignored")
}

// Guards against a list of all members in each reply while one instance restarts, and against an instance that learns of
// the restart or of the fleet late.
func TestListsOfKnownInstancesAreShort(t *testing.T) {
	s := newState()
	var known []Known
	for i := range 1000 {
		known = append(known, Known{Address: fmt.Sprint("x", i), Start: "1"})
	}
	s.apply(0, ExchangeCompleted{Address: "x0", Start: "1", Known: known})
	now := newsTime + time.Second
	s.apply(now, ExchangeCompleted{Address: "x500", Start: "2"})
	require.Len(t, s.KnownFor(now, 0, 1), 1000, "a build that does not state the number")
	require.Len(t, s.KnownFor(now, 800, 1), 1000, "an instance that has just started")
	list := s.KnownFor(now, 999, 1)
	require.Len(t, list, 1+1000/knownSampleShare)
	require.Equal(t, "x500", list[0].Address)
	require.NotEqual(t, list[1:], s.KnownFor(now, 999, 2)[1:])
}

func addresses(known []Known) []string {
	var list []string
	for _, k := range known {
		list = append(list, k.Address)
	}
	return list
}
