package membership

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed keeps CI runs alike.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func newState(seeds ...string) *State {
	return New(Config{Self: "self", Start: "s0", Zone: "a", Seeds: seeds})
}

func (s *State) at(now time.Duration, ev Event) []Effect {
	return s.Reduce(Input{Now: now, Rand: uint64(now), Event: ev}, nil)
}

func contacts(effects []Effect) []string {
	var list []string
	for _, e := range effects {
		if e.Kind == Contact {
			list = append(list, e.Address)
		}
	}
	return list
}

func listed(addresses ...string) Listed {
	var l Listed
	for i, a := range addresses {
		l.Entries = append(l.Entries, Listing{Address: a, Zone: string(rune('a' + i%3))})
	}
	return l
}

// Guards against rounds that stay within a zone, which a cut zone would never leave, or that contact oneself.
func TestRoundHasOnePartnerInTheZoneAndOneOutside(t *testing.T) {
	s := newState()
	s.at(0, listed("a1", "b1", "c1", "a2", "b2", "c2", "self"))
	reached := make(map[string]bool)
	for i := range 100 {
		list := contacts(s.at(time.Duration(i)*time.Second, Ticked{}))
		require.Len(t, list, 2)
		require.Equal(t, byte('a'), list[0][0])
		require.NotEqual(t, byte('a'), list[1][0])
		reached[list[0]], reached[list[1]] = true, true
	}
	require.Len(t, reached, 6)
}

// Guards against an instance that has partners on one side only and uses half of its round.
func TestRoundUsesTheOtherSideWhenOneIsEmpty(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		s := newState()
		s.at(0, Listed{Entries: []Listing{{Address: "x", Zone: zone}, {Address: "y", Zone: zone}}})
		require.Len(t, contacts(s.at(time.Second, Ticked{})), 2, zone)
	}
}

// Guards against a share that is too large: the fleet size may only fall ten minutes after instances were last seen.
func TestFleetSizeIsTheLargestOfTenMinutes(t *testing.T) {
	s := newState("x1", "x2")
	require.Equal(t, 3, s.FleetSize(), "seeds count at the start")
	s.at(time.Second, listed("x1", "x2", "x3"))
	require.Equal(t, 4, s.FleetSize())
	s.at(2*time.Second, Exchanged{Address: "x4", Start: "1", Zone: "a"})
	require.Equal(t, 5, s.FleetSize(), "an instance that the list lacks counts")
	s.at(3*time.Second, listed())
	last := 2*time.Second + contactMemory
	for now := 4 * time.Second; now < last+SizeWindow; now += time.Second {
		s.at(now, Ticked{})
		if now <= 2*time.Second+SizeWindow {
			require.Equal(t, 5, s.FleetSize())
		}
		require.GreaterOrEqual(t, s.FleetSize(), 2)
	}
	s.at(last+SizeWindow+2*time.Second, Ticked{})
	require.Equal(t, 1, s.FleetSize())
}

// Guards against a partner that does not answer taking every round, and against one that is never tried again.
func TestFailedPartnersAreTriedLessOften(t *testing.T) {
	s := newState()
	s.at(0, listed("x"))
	tries := 0
	for now := time.Second; now < 41*time.Second; now += time.Second {
		for _, address := range contacts(s.at(now, Ticked{})) {
			tries++
			s.at(now, Failed{Address: address})
		}
	}
	require.Greater(t, tries, 8)
	require.Less(t, tries, 15)
	s.at(41*time.Second, Exchanged{Address: "x", Start: "1", Zone: "a"})
	require.Len(t, contacts(s.at(42*time.Second, Ticked{})), 1, "an answer ends the pause")
}

// Guards against contacts to an instance that stops, and against ignoring it after it came back.
func TestLeavingInstanceIsNoPartnerUntilItsNextStart(t *testing.T) {
	s := newState()
	s.at(0, listed("x", "y"))
	s.at(0, Exchanged{Address: "x", Start: "1", Zone: "a"})
	effects := s.at(time.Second, Exchanged{Address: "y", Start: "1", Zone: "b", Leaving: []Sign{{"x", "1"}, {"self", "s0"}}})
	require.Empty(t, effects, "an entry instance is no target")
	require.Equal(t, []string{"y"}, contacts(s.at(2*time.Second, Ticked{})))
	require.Equal(t, Restarted, s.at(3*time.Second, Exchanged{Address: "x", Start: "2", Zone: "a"})[0].Kind)
	require.Len(t, contacts(s.at(4*time.Second, Ticked{})), 2)
}

// Guards against a leaving sign that is lost, passed on twice, or that outlives the start that it concerns.
func TestLeavingSignsOfTargets(t *testing.T) {
	sign := Sign{"t", "1"}
	from := func(signs ...Sign) Exchanged { return Exchanged{Address: "x", Start: "1", Leaving: signs} }
	target := func(start string) Listed { return Listed{Targets: []Listing{{Address: "t", Start: start}}} }
	cases := []struct {
		name   string
		events []Event
		signs  int // TargetLeaves effects
		held   int
	}{
		{"from a peer", []Event{from(sign)}, 1, 1},
		{"from two peers", []Event{from(sign), from(sign)}, 1, 1},
		{"from the list", []Event{Listed{Targets: []Listing{{Address: "t", Start: "1", Leaving: true}}}}, 1, 1},
		{"seen on an answer", []Event{Observed{Targets: []Listing{{Address: "t", Start: "1", Leaving: true}}}}, 1, 1},
		{"list still says live", []Event{from(sign), target("1")}, 1, 1},
		{"target not on the list", []Event{from(sign), Listed{}}, 1, 1},
		{"new start", []Event{target("1"), from(sign), target("2")}, 1, 0},
		{"sign of an earlier start", []Event{target("1"), target("2"), from(sign)}, 0, 0},
		{"list falls back to an earlier start", []Event{target("1"), target("2"), target("1"), from(sign)}, 0, 0},
		{"next start leaves too", []Event{target("1"), from(sign), target("2"), from(Sign{"t", "2"})}, 2, 1},
		{"without a start id", []Event{from(Sign{"t", ""})}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newState()
			signs := 0
			for i, ev := range c.events {
				for _, e := range s.at(time.Duration(i)*time.Second, ev) {
					if e.Kind == TargetLeaves {
						signs++
					}
				}
			}
			require.Equal(t, c.signs, signs)
			require.Len(t, s.Leaving(), c.held)
		})
	}
}

// Guards against signs of vanished targets that circulate for ever, and against dropping one that still concerns its
// target.
func TestSignsExpireOnceTheirTargetIsGone(t *testing.T) {
	s := newState()
	s.at(0, Listed{Targets: []Listing{{Address: "t", Start: "1", Leaving: true}}})
	s.at(0, Exchanged{Address: "x", Start: "1", Leaving: []Sign{{"gone", "1"}}})
	s.at(signMemory+time.Second, Ticked{})
	require.Equal(t, []Sign{{"t", "1"}}, s.Leaving())
	require.Empty(t, s.at(signMemory+2*time.Second, Exchanged{Address: "x", Start: "1", Leaving: []Sign{{"gone", "1"}}}))
}

// Guards against unbounded memory from addresses and signs that others name.
func TestMemoryIsBounded(t *testing.T) {
	s := newState()
	for i := range MaxMembers + 10 {
		s.at(0, Exchanged{Address: fmt.Sprint(i), Start: "1", Leaving: []Sign{{Target: fmt.Sprint("t", i), Start: "1"}}})
	}
	require.Equal(t, MaxMembers, s.Partners())
	require.LessOrEqual(t, len(s.Leaving()), MaxSigns)
}

// Guards against events in an unexpected order that break what holds at all times: no contact with oneself, the same
// effects for the same events, and a fleet size that never falls below what is seen now.
func TestInvariantsHoldInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		address := rapid.SampledFrom([]string{"self", "x", "y", "z"})
		start := rapid.SampledFrom([]string{"1", "2"})
		event := rapid.Custom(func(t *rapid.T) Event {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				return listed(rapid.SliceOfN(address, 0, 4).Draw(t, "listed")...)
			case 1:
				return Failed{Address: address.Draw(t, "address")}
			case 2:
				return Changed{}
			case 3:
				return Observed{Targets: []Listing{{Address: "t", Start: start.Draw(t, "start"), Leaving: true}}}
			case 4:
				sign := Sign{address.Draw(t, "leaving"), start.Draw(t, "start of sign")}
				return Exchanged{address.Draw(t, "address"), start.Draw(t, "start"), "a", []Sign{sign}, nil}
			}
			return Ticked{}
		})
		s, twin := newState("x"), newState("x")
		var now time.Duration
		for _, ev := range rapid.SliceOfN(event, 0, 50).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 120).Draw(t, "seconds")) * time.Second
			effects := s.at(now, ev)
			if again := twin.at(now, ev); fmt.Sprint(effects) != fmt.Sprint(again) {
				t.Fatalf("%v and %v", effects, again)
			}
			present := 1
			for _, m := range s.Members(now) {
				if m.Listed || m.InContact {
					present++
				}
			}
			if s.FleetSize() < present {
				t.Fatalf("size %d, %d present", s.FleetSize(), present)
			}
			for _, e := range effects {
				if e.Address == "self" || e.Kind == TargetLeaves && e.Sign.Target == "self" {
					t.Fatalf("effect %v concerns this instance", e)
				}
			}
		}
	})
}
