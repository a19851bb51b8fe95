package core

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// advanceAnsweringProbes advances the time by d and answers the probes in flight after every interval.
func (rt *testRuntime) advanceAnsweringProbes(d, interval time.Duration) {
	for end := rt.now + d; rt.now < end; {
		rt.advance(min(interval, end-rt.now))
		for i := range rt.maxTargets {
			if id := targetID(i); rt.probing[id] {
				rt.step(ProbeEnded{Target: id, OK: true, Statement: Statement{Start: startID(id, 0)}, Latency: time.Millisecond})
			}
		}
	}
}

// TestFleetProbeBudget guards against probes of all instances together that cost more than ProbeShare of the slot time
// in any BudgetWindow. Probes are sent late, processes pause and are replaced, and each instance draws its own
// InstanceCount, which is never below the true number.
func TestFleetProbeBudget(t *testing.T) {
	const instances, targets = 14, 15
	setRapidDefaults(t)
	setFlag(t, "rapid.checks", "30")
	rapid.Check(t, func(rt *rapid.T) {
		p := DefaultPolicy()
		p.SlotsPerTarget = rapid.IntRange(3, 4).Draw(rt, "slots")
		p.ProbeShare = rapid.SampledFrom([]float64{0.001, 0.005}).Draw(rt, "share")
		var sent []Instant
		for i := range instances {
			sent = append(sent, instanceProbeTimes(rt, p, i, instances, targets)...)
		}
		slices.Sort(sent)
		limit := p.ProbeShare * float64(targets*p.SlotsPerTarget) * float64(BudgetWindow) / float64(p.ProbeCost)
		first := 0
		for last, at := range sent {
			for at-sent[first] > BudgetWindow {
				first++
			}
			if n := last - first + 1; float64(n) > limit {
				rt.Fatalf("%d probes in the window up to %v, limit %v", n, at, limit)
			}
		}
	})
}

// instanceProbeTimes returns the times at which one instance and its replacements send probes.
func instanceProbeTimes(t *rapid.T, p Policy, number, instances, targets int) (sent []Instant) {
	now := Instant(0)
	for now < 25*time.Second {
		p.InstanceCount = rapid.IntRange(instances, instances+3).Draw(t, "view")
		rt := newEmptyTestRuntime(t, p)
		rt.now, rt.rand = now, uint64(number)
		rt.setTargets(targets)
		for range rapid.IntRange(1, 6).Draw(t, "parts") {
			rt.advanceAnsweringProbes(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond, 250*time.Millisecond)
			if rapid.Bool().Draw(t, "pause") {
				rt.now += time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second
				rt.step(Resumed{Gap: time.Second})
			}
		}
		late := time.Duration(rapid.IntRange(0, 1).Draw(t, "late")) * ProbeTimeout
		for _, at := range rt.probeTimes {
			sent = append(sent, at+late*time.Duration(len(sent)%2))
		}
		now = rt.now + time.Millisecond
	}
	return sent
}

// TestProbeRate guards against health probes that are not sent although the budget allows them, that are sent although
// the budget is off or below the cost of one probe, or whose rate does not depend on InstanceCount. It also guards
// against a counter of denied probes that grows with the number of checks.
func TestProbeRate(t *testing.T) {
	for name, tt := range map[string]struct {
		change              func(*Policy)
		least, most, denied int
	}{
		"default":         {func(p *Policy) {}, 77, 80, 20},
		"small share":     {func(p *Policy) { p.ProbeShare = 0.001 }, 13, 15, 20},
		"off":             {func(p *Policy) { p.ProbeShare = 0 }, 0, 0, 0},
		"baseline":        {func(p *Policy) { p.Selection = SelectRandom }, 0, 0, 0},
		"below one probe": {func(p *Policy) { p.ProbeShare = 0.0001 }, 0, 0, 20},
		"one instance":    {func(p *Policy) { p.InstanceCount = 1 }, 270, 300, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 15, tt.change)
			rt.advanceAnsweringProbes(20*time.Second, 10*time.Millisecond)
			require.GreaterOrEqual(t, len(rt.probeTimes), tt.least)
			require.LessOrEqual(t, len(rt.probeTimes), tt.most)
			require.LessOrEqual(t, rt.deniedProbes, tt.denied)
			require.Equal(t, tt.denied > 0, rt.deniedProbes > 0)
		})
	}
}

// TestProbeOrder guards against probing a target that answers enough requests, and against starving one target of
// probes in favor of another.
func TestProbeOrder(t *testing.T) {
	rt := newTestRuntime(t, 5)
	rt.trainLatency()
	rt.generateTraffic(3*time.Second, 10*time.Millisecond, ClassLookup, func(TargetID) time.Duration { return fastLatency })
	for len(rt.inFlight) > 0 {
		rt.answer(rt.inFlight[0])
	}
	require.Empty(t, rt.probeTimes, "all targets answer requests")
	seen := make(map[TargetID]bool)
	for n := 0; n < 5; {
		rt.advance(10 * time.Millisecond)
		for id := range rt.probing {
			require.False(t, seen[id], "each target is probed once before any is probed twice")
			seen[id] = true
			n++
			rt.step(ProbeEnded{Target: id, OK: true, Statement: Statement{Start: startID(id, 0)}})
		}
	}
}

// probeEjectedTarget ejects t0 and ends a probe of it with ev.
func probeEjectedTarget(t *testing.T, ev ProbeEnded) *testRuntime {
	rt := newTestRuntime(t, 6)
	rt.trainLatency()
	rt.ejectFirstTarget()
	rt.s.targets[targetID(0)].ejection.timerAt = rt.now + time.Hour // no trial without a probe
	rt.s.scheduleTarget(rt.now, rt.s.targets[targetID(0)])
	for n := 0; !rt.probing[targetID(0)]; n++ {
		if n > 1000 {
			rt.Fatalf("t0 is not probed")
		}
		rt.advance(10 * time.Millisecond)
	}
	ev.Target = targetID(0)
	rt.step(ev)
	return rt
}

// TestProbeOffersTrial guards against a target that gets no trial requests although it answers probes, against probes
// that restore a target without traffic, and against good probes that outweigh a failed trial.
func TestProbeOffersTrial(t *testing.T) {
	for name, tt := range map[string]struct {
		ev    ProbeEnded
		trial bool
	}{
		"good": {ProbeEnded{OK: true, Latency: time.Millisecond}, true},
		"slow": {ProbeEnded{OK: true, Latency: slowLatency}, false},
		"bad":  {ProbeEnded{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			rt := probeEjectedTarget(t, tt.ev)
			require.Equal(t, TargetStatusEjected, rt.state(0), "only traffic restores a target")
			trial := func() *sentAttempt {
				for range 2 * requestsPerTrial {
					rt.submit(ClassLookup, time.Second)
					if a := rt.inFlight[len(rt.inFlight)-1]; a.target == targetID(0) {
						return a
					}
					rt.answer(rt.inFlight[len(rt.inFlight)-1])
				}
				return nil
			}
			a := trial()
			require.Equal(t, tt.trial, a != nil)
			if a == nil {
				return
			}
			rt.endAttempt(a, broken)
			rt.step(ProbeEnded{Target: targetID(0), OK: true, Latency: time.Millisecond})
			require.Nil(t, trial())
		})
	}
}

// TestFailedProbe guards against failed probes that count although newer traffic or a pause of this process outweighs
// them.
func TestFailedProbe(t *testing.T) {
	for name, tt := range map[string]struct {
		between func(*testRuntime)
		counts  bool
	}{
		"idle":  {func(*testRuntime) {}, true},
		"pause": {func(rt *testRuntime) { rt.now += time.Second; rt.step(Resumed{Gap: time.Second}) }, false},
		"traffic": {func(rt *testRuntime) {
			for range 20 {
				rt.submit(ClassLookup, time.Second)
				rt.answer(rt.inFlight[len(rt.inFlight)-1])
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 3)
			rt.trainLatency()
			for len(rt.probing) == 0 {
				rt.advance(10 * time.Millisecond)
			}
			for id := range rt.probing {
				before := rt.s.latencyRatio(rt.s.targets[id], rt.now)
				tt.between(rt)
				rt.step(ProbeEnded{Target: id})
				require.Equal(t, tt.counts, rt.s.latencyRatio(rt.s.targets[id], rt.now) > 2*before)
			}
		})
	}
}
