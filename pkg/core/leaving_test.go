package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLeavingSignals guards against new requests to a leaving target, whichever signal came first and whatever a stale
// list says afterwards, and against excluding a target that has restarted.
func TestLeavingSignals(t *testing.T) {
	listed := func(start string, leaving bool) Event {
		return TargetsChanged{Targets: []Target{{ID: "t0", Start: start, Leaving: leaving}, {ID: "t1", Start: "x"}}}
	}
	listedWithoutT0 := TargetsChanged{Targets: []Target{{ID: "t1", Start: "x"}}}
	peer := func(start string) Event { return TargetLeaving{Target: "t0", Start: start} }
	probe := func(start string, leaving bool) Event {
		return ProbeEnded{Target: "t0", OK: true, Statement: Statement{Start: start, Leaving: leaving}}
	}
	for name, tc := range map[string]struct {
		events  []Event
		leaving bool
	}{
		"list":                                  {[]Event{listed("1", true)}, true},
		"peer":                                  {[]Event{listed("1", false), peer("1")}, true},
		"peer without start":                    {[]Event{listed("1", false), peer("")}, true},
		"probe":                                 {[]Event{listed("1", false), probe("1", true)}, true},
		"stale list after peer":                 {[]Event{listed("1", false), peer("1"), listed("1", false)}, true},
		"peer before list":                      {[]Event{peer("1"), listed("1", false)}, true},
		"probe before list":                     {[]Event{probe("1", true), listed("1", false)}, true},
		"dropped and listed again":              {[]Event{listed("1", true), listedWithoutT0, listed("1", false)}, true},
		"new start in list":                     {[]Event{listed("1", true), listed("2", false)}, false},
		"new start in probe":                    {[]Event{listed("1", true), probe("2", false)}, false},
		"stale list after restart":              {[]Event{listed("1", true), probe("2", false), listed("1", true)}, false},
		"signal for the former start":           {[]Event{listed("2", false), peer("1")}, false},
		"second start leaves too":               {[]Event{listed("1", true), listed("2", false), peer("2")}, true},
		"signal before its start is known":      {[]Event{listed("1", false), peer("2"), probe("2", false)}, true},
		"signal without start, then list entry": {[]Event{listed("", true), listed("1", false)}, false},
		"signal without start, then probe":      {[]Event{listed("", true), probe("1", false)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 0)
			for _, ev := range tc.events {
				rt.step(ev)
			}
			for _, target := range rt.s.View(rt.now).Targets {
				require.Equal(t, tc.leaving && target.ID == "t0", target.Status == TargetStatusLeaving, target.ID)
			}
			for range 8 {
				rt.submit(ClassLookup, time.Second)
			}
			require.Equal(t, tc.leaving, rt.s.targets["t0"].inFlight == 0)
		})
	}
}

// TestLeavingOnAnswer guards against new requests to a target that declared on a response that it drains, and against a
// late response of the former process that makes it usable again.
func TestLeavingOnAnswer(t *testing.T) {
	rt := newTestRuntime(t, 1)
	rt.submit(ClassLookup, time.Second)
	rt.submit(ClassLookup, time.Second)
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonDraining, Statement: Statement{Start: startID("t0", 0)}})
	require.Equal(t, TargetStatusLeaving, rt.state(0))
	for i := range maxRememberedStarts + 2 {
		rt.step(TargetsChanged{Targets: []Target{{ID: "t0", Start: startID("between", i)}}})
	}
	rt.step(TargetsChanged{Targets: []Target{{ID: "t0", Start: "second"}}})
	rt.step(TargetLeaving{Target: "t0", Start: "second"})
	require.Equal(t, TargetStatusLeaving, rt.state(0))
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, Statement: Statement{Start: startID("t0", 0)}})
	require.Equal(t, TargetStatusLeaving, rt.state(0))
	require.Equal(t, "second", rt.s.View(rt.now).Targets[0].Start)
}

// TestLeavingAppliesBeforeBodyEnds guards against new requests to a target that has announced that it drains while the
// body of the response with the announcement still passes to a slow caller, and against an announcement that is applied
// to the next start of the target when that body ends.
func TestLeavingAppliesBeforeBodyEnds(t *testing.T) {
	rt := newTestRuntime(t, 1)
	rt.submit(ClassLookup, time.Minute)
	slow := rt.inFlight[0]
	slow.committed = true
	announcement := Statement{Start: startID("t0", 0), Leaving: true}
	rt.step(AttemptCommitted{Request: slow.request.id, Attempt: slow.id, Statement: announcement})
	require.Equal(t, TargetStatusLeaving, rt.state(0))
	rt.submit(ClassLookup, time.Second)
	require.Equal(t, ReasonNoTarget, rt.refusal().Reason)

	rt.step(TargetsChanged{Targets: []Target{{ID: "t0", Start: "second"}}})
	rt.endAttempt(slow, AttemptEnded{Outcome: OutcomeAnswered, Statement: announcement})
	require.NotEqual(t, TargetStatusLeaving, rt.state(0))
}

// TestRestartResetsTargetState guards against rating a new process by the observations of its predecessor.
func TestRestartResetsTargetState(t *testing.T) {
	rt := newTestRuntime(t, 6)
	rt.trainLatency()
	rt.ejectFirstTarget()
	rt.step(ProbeEnded{Target: targetID(0), OK: true, Statement: Statement{Start: "second"}})
	view := rt.s.View(rt.now).Targets[0]
	require.Equal(t, TargetStatusRamping, view.Status)
	require.Equal(t, rt.s.typicalLatency(), view.Latency)
}

// TestLeavingSourceIsReported guards against an incident in which nobody can tell how an instance learned that a target
// leaves.
func TestLeavingSourceIsReported(t *testing.T) {
	start := startID("t0", 0)
	for source, ev := range map[Reason]Event{
		ReasonList:     TargetsChanged{Targets: []Target{{ID: "t0", Start: start, Leaving: true}}},
		ReasonPeer:     TargetLeaving{Target: "t0", Start: start},
		ReasonProbe:    ProbeEnded{Target: "t0", OK: true, Statement: Statement{Start: start, Leaving: true}},
		ReasonResponse: AttemptEnded{Request: 1, Attempt: 1, Outcome: OutcomeAnswered, Statement: Statement{Start: start, Leaving: true}},
	} {
		t.Run(string(source), func(t *testing.T) {
			rt := newTestRuntime(t, 1)
			rt.submit(ClassLookup, time.Second)
			first, repeated := rt.s.Reduce(Input{Event: ev}, nil), rt.s.Reduce(Input{Event: TargetLeaving{Target: "t0", Start: start}}, nil)
			require.Contains(t, first, Effect{Kind: CountLeaving, Target: "t0", Reason: source})
			require.NotContains(t, repeated, Effect{Kind: CountLeaving, Target: "t0", Reason: ReasonPeer})
		})
	}
}
