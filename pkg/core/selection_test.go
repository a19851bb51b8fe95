package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// choiceCounts returns how often each target is chosen in count choices that take up no capacity.
func (rt *testRuntime) choiceCounts(count int, class Class) map[TargetID]int {
	chosen := make(map[TargetID]int)
	rt.s.rng.Seed(7, 7)
	for range count {
		chosen[rt.s.chooseTarget(rt.now, &request{class: class, latencies: &rt.s.latencies}, false).id]++
	}
	return chosen
}

// TestSelectionMethods guards against a method that is accepted but chooses like another one. t0 has requests of this
// instance, t1 reports load, t2 is slow, and t3 to t5 are idle.
func TestSelectionMethods(t *testing.T) {
	type band struct{ low, high int } // of 600 choices; the fair share is 100
	fair, few, most := band{70, 130}, band{0, 40}, band{100, 600}
	for method, want := range map[Selection][4]band{
		SelectRandom:      {fair, fair, fair, fair},
		SelectRoundRobin:  {{100, 100}, {100, 100}, {100, 100}, {100, 100}},
		SelectTwoChoices:  {few, {100, 160}, {100, 160}, {100, 160}},
		SelectLoad:        {few, few, most, most},
		SelectLoadLatency: {few, few, few, most},
	} {
		t.Run(string(method), func(t *testing.T) {
			rt := newTestRuntime(t, 6, func(p *Policy) { p.Selection = method })
			targets := rt.s.listedTargets
			targets[0].inFlight = 3
			for _, target := range targets {
				rt.s.recordLoad(0, target, LoadReport{InUse: target.inFlight, Slots: 4}, 0)
			}
			rt.s.recordLoad(0, targets[1], LoadReport{InUse: 9, Slots: 4}, 0)
			rt.s.latencies.median.observe(fastLatency)
			targets[2].latencyEstimate, targets[2].hasLatency = 2*fastLatency, true
			chosen := rt.choiceCounts(600, ClassLookup)
			for i, b := range want {
				n := chosen[targetID(i)]
				require.True(t, b.low <= n && n <= b.high, "%s: %d, want %d to %d", targetID(i), n, b.low, b.high)
			}
		})
	}
}

// TestReportAge guards against avoiding or preferring a target for a load that it reported long ago.
func TestReportAge(t *testing.T) {
	rt := newTestRuntime(t, 2)
	rt.s.latencies.median.observe(fastLatency)
	rt.step(LoadReported{Target: targetID(0), Load: LoadReport{InUse: 0, Slots: 4}})
	rt.step(LoadReported{Target: targetID(1), Load: LoadReport{InUse: 8, Slots: 4}})
	require.Zero(t, rt.choiceCounts(100, ClassLookup)[targetID(1)])
	rt.now = 10 * time.Second
	require.Greater(t, rt.choiceCounts(100, ClassLookup)[targetID(1)], 30)
	rt.step(LoadReported{Target: targetID(1), Load: LoadReport{InUse: 8, Slots: 4}, Age: 10 * time.Second})
	require.Greater(t, rt.choiceCounts(100, ClassLookup)[targetID(1)], 30, "the age of the report counts")
	rt.step(LoadReported{Target: targetID(1), Load: LoadReport{InUse: 8, Slots: 4}})
	rt.step(Resumed{Gap: time.Second})
	require.Greater(t, rt.choiceCounts(100, ClassLookup)[targetID(1)], 30, "a report from before a pause is not used")
}

// TestZonePreference guards against needless traffic between zones, and against staying in a loaded zone while others
// are idle.
func TestZonePreference(t *testing.T) {
	rt := newTestRuntime(t, 15, func(p *Policy) { p.Zone = "a" })
	local := func() int {
		n := 0
		for id, count := range rt.choiceCounts(300, ClassLookup) {
			if rt.s.targets[id].zone == "a" {
				n += count
			}
		}
		return n
	}
	for _, target := range rt.s.localTargets {
		rt.step(LoadReported{Target: target.id, Load: LoadReport{InUse: 1, Slots: 4}})
	}
	require.Greater(t, local(), 200)
	for _, target := range rt.s.listedTargets {
		load := LoadReport{InUse: 1, Slots: 4}
		if target.zone == "a" {
			load.InUse = 4
		}
		rt.step(LoadReported{Target: target.id, Load: load})
	}
	require.Less(t, local(), 50)
}

// TestBaselinesIgnoreZones guards against baselines whose measurements benefit from the zone preference.
func TestBaselinesIgnoreZones(t *testing.T) {
	for _, method := range []Selection{SelectRandom, SelectRoundRobin, SelectTwoChoices} {
		rt := newTestRuntime(t, 6, func(p *Policy) { p.Selection, p.Zone = method, "a" })
		for id, n := range rt.choiceCounts(600, ClassLookup) {
			require.InDelta(t, 100, n, 40, "%s, %s", method, id)
		}
	}
}

// TestOnceAvoidsSuspects guards against non-idempotent requests to a target whose last response was slow.
func TestOnceAvoidsSuspects(t *testing.T) {
	rt := newTestRuntime(t, 3)
	rt.s.countSlow(rt.now, rt.s.listedTargets[0], true)
	require.Zero(t, rt.choiceCounts(100, ClassOnce)[targetID(0)])
	require.Positive(t, rt.choiceCounts(100, ClassLookup)[targetID(0)])
}

// TestServiceLimit guards against 14 instances that together send far more requests than their targets have slots.
// After sheds the limits of targets are fractions, and their sum bounds the attempts in flight.
func TestServiceLimit(t *testing.T) {
	rt := newTestRuntime(t, 15)
	for _, target := range rt.s.listedTargets {
		rt.s.setLimit(target, 0)
	}
	require.Equal(t, 4, rt.s.serviceLimit(), "one fourteenth of 60 slots")
	require.Equal(t, 4, rt.fillTargets(ClassLookup))
}

// TestView guards against status output that hides why a target gets no requests.
func TestView(t *testing.T) {
	rt := newTestRuntime(t, 6)
	rt.trainLatency()
	rt.ejectFirstTarget()
	rt.step(TargetLeaving{Target: targetID(1)})
	rt.s.targets[targetID(2)].backoffUntil = rt.now + time.Second
	rt.s.startSlowStart(rt.now, rt.s.targets[targetID(3)])
	rt.s.countSlow(rt.now, rt.s.targets[targetID(4)], true)
	rt.s.observeLatency(rt.now, rt.s.targets[targetID(4)], slowLatency)
	rt.fillTargets(ClassLookup)
	v := rt.s.View(rt.now)
	want := []struct {
		state  TargetStatus
		reason Reason
	}{
		{TargetStatusEjected, ReasonFailed}, {TargetStatusLeaving, ReasonDraining}, {TargetStatusBackoff, ReasonShed}, {TargetStatusRamping, ""},
		{TargetStatusActive, ReasonSlow}, {TargetStatusActive, ""},
	}
	for i, w := range want {
		require.Equal(t, w.state, v.Targets[i].Status)
		require.Equal(t, w.reason, v.Targets[i].Reason)
	}
	last := v.Targets[5]
	require.Equal(t, TargetView{
		ID: targetID(5), Zone: "c", Start: startID(targetID(5), 0), Status: TargetStatusActive,
		InFlight: last.Limit, Limit: last.Limit, Latency: last.Latency,
	}, last)
	require.Positive(t, last.Latency)
	require.Equal(t, len(rt.requests), v.Budgets.Requests)
	require.Equal(t, map[string]int{"once": 0, "lookup": 1, "patient": 0}, v.Queued)
}
