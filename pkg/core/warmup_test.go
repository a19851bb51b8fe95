package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// coldRecord is what the test runtime knows about the warm-ups of targets, from the events alone.
type coldRecord struct {
	until    map[TargetID]Instant
	entries  map[TargetID]Target
	sends    map[TargetID][]Instant // while cold
	fleet    int                    // number of instances known; 0 while unknown
	observed int                    // sends to cold targets
}

func newColdRecord() *coldRecord {
	return &coldRecord{until: make(map[TargetID]Instant), entries: make(map[TargetID]Target), sends: make(map[TargetID][]Instant)}
}

// record applies an event.
func (c *coldRecord) record(now Instant, p *Policy, ev Event) {
	switch ev := ev.(type) {
	case FleetChanged:
		c.fleet = len(ev.Instances)
	case ProbeEnded:
		known, listed := c.entries[ev.Target]
		if !listed {
			return
		}
		if st := ev.Statement; st.Start != "" && st.Start != known.Start {
			known.Start = st.Start
			c.entries[ev.Target] = known
			c.until[ev.Target] = now + p.Warmup
		}
		if st := ev.Statement; st.HasWarmup {
			c.until[ev.Target] = now + st.Warmup
		}
	case TargetsChanged:
		before, until, sends := c.entries, c.until, c.sends
		c.entries, c.until, c.sends = make(map[TargetID]Target), make(map[TargetID]Instant), make(map[TargetID][]Instant)
		for _, t := range ev.Targets {
			old, listed := before[t.ID]
			switch {
			case listed && old.Start == t.Start:
				c.until[t.ID], c.sends[t.ID] = until[t.ID], sends[t.ID]
			case len(before) > 0:
				c.until[t.ID] = now + p.Warmup
				c.sends[t.ID] = sends[t.ID]
			}
			if !listed || old.Revision != t.Revision || old.Warmup != t.Warmup {
				c.until[t.ID] = max(c.until[t.ID], now+t.Warmup)
			}
			c.entries[t.ID] = t
		}
	}
}

// checkWarmup checks that the attempts on a cold target, each span of them, stay within the share of this instance plus
// one for the token.
func (rt *testRuntime) checkWarmup(id TargetID) {
	p, c := &rt.s.policy, rt.cold
	if p.WarmupRate == 0 || rt.now >= c.until[id] {
		return
	}
	c.observed++
	senders := max(p.InstanceCount, 1)
	if c.fleet > 0 {
		senders = min(c.fleet, p.warmupSenders())
	}
	if p.HasPeers && c.fleet <= 1 {
		rt.Fatalf("attempt on the cold target %s by an instance that knows no other", id)
	}
	c.sends[id] = append(c.sends[id], rt.now)
	for i, at := range c.sends[id] {
		n := len(c.sends[id]) - i
		if allowed := 1 + p.WarmupRate/float64(senders)*(rt.now-at).Seconds(); float64(n) > allowed+0.001 {
			rt.Fatalf("%d attempts on the cold target %s in %v, want at most %.2f", n, id, rt.now-at, allowed)
		}
	}
}

// coldStatement returns the statement of a response to a probe of a target that stays cold for d.
func coldStatement(d time.Duration) Statement {
	return Statement{Responded: true, Warmup: d, HasWarmup: true}
}

// drawWarmup makes a target cold or warm, by a response to a probe or by its list entry.
func (sc *randomScenario) drawWarmup(t *rapid.T) {
	i, id := sc.drawTarget(t)
	left := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 3 * time.Second}).Draw(t, "left")
	if rapid.Bool().Draw(t, "byEntry") {
		sc.warmups[i] = left
		sc.revision++
		sc.revisions[i] = sc.revision
		sc.sendTargetList()
		return
	}
	ok := rapid.IntRange(0, 4).Draw(t, "ok") > 0
	sc.step(ProbeEnded{Target: id, OK: ok, Statement: coldStatement(left), Load: LoadReport{Slots: 4}, Latency: time.Millisecond})
}

// drawProbeAnswers answers the load probes in flight.
func (sc *randomScenario) drawProbeAnswers(t *rapid.T) {
	for i := range sc.currentStarts {
		if id := targetID(i); sc.probing[id] {
			left := max(sc.cold.until[id]-sc.now, 0)
			sc.step(ProbeEnded{Target: id, OK: true, Statement: coldStatement(left), Load: LoadReport{Slots: 4}})
		}
	}
}

// TestRandomColdTargets guards against orders of events after which an instance with load probes sends more than its
// share to a cold target. The check is in testRuntime.
func TestRandomColdTargets(t *testing.T) {
	setRapidDefaults(t)
	observed := 0
	rapid.Check(t, func(rapidT *rapid.T) {
		sc := newRandomScenario(rapidT)
		p := sc.s.policy
		p.Selection, p.ProbeCost, p.WarmupRate = SelectAsk, 0, rapid.SampledFrom([]float64{0.5, 3}).Draw(rapidT, "warmupRate")
		p.HasPeers = rapid.Bool().Draw(rapidT, "namesPeers")
		sc.step(PolicyChanged{Policy: p})
		rapidT.Repeat(map[string]func(*rapid.T){
			"arrive": sc.drawArrival, "burst": sc.drawBurst, "end": sc.drawEnd, "answer": sc.drawAnswer, "advance": sc.drawAdvance,
			"pause": sc.drawPause, "list": sc.drawListChange, "restart": sc.drawRestart, "sign": sc.drawLeavingSignal,
			"warmup": sc.drawWarmup, "probes": sc.drawProbeAnswers, "probes again": sc.drawProbeAnswers,
		})
		sc.endAll()
		observed += sc.cold.observed
	})
	require.Positive(t, observed, "attempts on cold targets")
}

// TestNoWayAroundWarmup guards against a way in which an attempt starts that does not respect the warm-up of its target:
// t0 is cold, and this instance, which knows no other, may send nothing to it. The check is in testRuntime.
func TestNoWayAroundWarmup(t *testing.T) {
	alone := func(p *Policy) { p.InstanceCount, p.WarmupRate, p.HasPeers, p.HedgeFloor = 1, 5, true, 20 }
	cool := func(rt *testRuntime) {
		rt.step(ProbeEnded{Target: "t0", OK: true, Load: LoadReport{Slots: 4}, Statement: coldStatement(time.Minute)})
	}
	for _, method := range Selections {
		for _, n := range []int{1, 3} {
			t.Run(fmt.Sprintf("first attempts of %s with %d targets", method, n), func(t *testing.T) {
				rt := newTestRuntime(t, n, alone, func(p *Policy) { p.Selection = method })
				cool(rt)
				for range 40 {
					rt.submit(ClassLookup, 100*time.Millisecond)
					rt.advance(10 * time.Millisecond)
				}
				require.Equal(t, n > 1 && method != SelectAsk, len(rt.inFlight) > 0, "with load probes, the others are unknown")
			})
		}
	}
	t.Run("requests without reports", func(t *testing.T) {
		rt := newTestRuntime(t, 1, alone, func(p *Policy) { p.Selection = SelectAsk })
		cool(rt)
		rt.advance(2 * time.Second)
		rt.submit(ClassLookup, 100*time.Millisecond)
		rt.advance(100 * time.Millisecond)
		require.Empty(t, rt.inFlight)
	})
	t.Run("hedge", func(t *testing.T) {
		rt := newTestRuntime(t, 2, alone)
		rt.trainLatency()
		cool(rt)
		rt.submit(ClassLookup, time.Second)
		rt.advance(500 * time.Millisecond)
		require.Len(t, rt.inFlight, 1)
	})
	t.Run("retry", func(t *testing.T) {
		rt := newTestRuntime(t, 2, alone)
		cool(rt)
		rt.submit(ClassLookup, time.Second)
		rt.endAttempt(rt.inFlight[0], broken)
		rt.advance(500 * time.Millisecond)
		require.Len(t, rt.inFlight, 1)
	})
	t.Run("trial", func(t *testing.T) {
		rt := newTestRuntime(t, 6, alone)
		rt.trainLatency()
		rt.ejectFirstTarget()
		rt.advance(2 * firstEjectionTime)
		cool(rt)
		for range 2 * requestsPerTrial {
			rt.submit(ClassLookup, time.Second)
			rt.answer(rt.inFlight[0])
		}
		require.NotEmpty(t, rt.s.awaitingTrial)
	})
	t.Run("queue", func(t *testing.T) {
		rt := newTestRuntime(t, 1, alone)
		n := rt.fillTargets(ClassLookup)
		rt.submit(ClassLookup, time.Second)
		cool(rt)
		require.Equal(t, ReasonWarmup, rt.refusal().Reason, "the waiting request is refused at once")
		for len(rt.inFlight) > 0 {
			rt.answer(rt.inFlight[0])
		}
		require.Positive(t, n)
	})
}

// TestNewestWarmupApplies guards against a warm-up that starts again with every list, an entry that makes a target warm
// although it was written before the target became cold, a response that does not end the warm-up, and new starts that
// count as warm.
func TestNewestWarmupApplies(t *testing.T) {
	entry := func(revision uint64, left time.Duration) Event {
		return TargetsChanged{Targets: []Target{{ID: "t0", Start: "a", Revision: revision, Warmup: left}}}
	}
	probe := func(st Statement) Event { return ProbeEnded{Target: "t0", OK: true, Statement: st} }
	for name, tc := range map[string]struct {
		events []Event // one second apart
		want   time.Duration
	}{
		"entry counts from its first list":    {[]Event{entry(1, 3*time.Second), entry(1, 3*time.Second)}, 2 * time.Second},
		"new version counts again":            {[]Event{entry(1, 3*time.Second), entry(2, 3*time.Second)}, 3 * time.Second},
		"warm response ends an older entry":   {[]Event{entry(1, 9*time.Second), probe(coldStatement(0)), entry(1, 9*time.Second)}, 0},
		"entry does not end a newer response": {[]Event{entry(1, 0), probe(coldStatement(5 * time.Second)), entry(2, 0)}, 4 * time.Second},
		"response without information":        {[]Event{entry(1, 9*time.Second), probe(Statement{Responded: true})}, 8 * time.Second},
		"failed response counts as well":      {[]Event{entry(1, 9*time.Second), ProbeEnded{Target: "t0", Statement: coldStatement(0)}}, 0},
		"restart":                             {[]Event{entry(1, 0), TargetsChanged{Targets: []Target{{ID: "t0", Start: "b", Revision: 2}}}}, 4 * time.Second},
		"new target": {[]Event{TargetsChanged{Targets: []Target{{ID: "other"}}},
			TargetsChanged{Targets: []Target{{ID: "t0", Revision: 2}, {ID: "other"}}}}, 4 * time.Second},
		"first list": {[]Event{entry(1, 0)}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 0, func(p *Policy) { p.WarmupRate, p.Warmup = 2, 4*time.Second })
			for i, ev := range tc.events {
				if i > 0 {
					rt.advance(time.Second)
				}
				rt.step(ev)
			}
			require.Equal(t, tc.want, rt.s.View(rt.now).Targets[0].ColdFor)
			require.Equal(t, tc.want > 0, rt.state(0) == TargetStatusCold)
		})
	}
}

// TestUnknownWarmthIsProbed guards against a request that is refused, or sent, because the last response to a probe is
// too old, although a fresh load report says that the target has free slots.
func TestUnknownWarmthIsProbed(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.Selection, p.InstanceCount, p.WarmupRate, p.HasPeers = SelectAsk, 1, 2, true })
	load := LoadReport{Slots: 4}
	rt.step(ProbeEnded{Target: "t0", OK: true, Load: load, Statement: coldStatement(0)})
	rt.submit(ClassLookup, time.Second)
	require.Len(t, rt.inFlight, 1, "the target is known to be warm")
	rt.advance(maxWarmthAge + time.Millisecond)
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeAnswered, Load: load, Statement: Statement{Responded: true, HasWarmup: true}})
	r := rt.submit(ClassLookup, time.Second)
	require.Empty(t, rt.inFlight)
	require.True(t, rt.probing["t0"])
	require.Zero(t, r.decisions)
	rt.step(ProbeEnded{Target: "t0", OK: true, Load: load, Statement: coldStatement(0)})
	require.Len(t, rt.inFlight, 1)

	rt.advance(maxWarmthAge + time.Millisecond)
	rt.submit(ClassLookup, time.Second)
	rt.s.targets["t0"].warmup.markUnknown()
	rt.step(ProbeEnded{Target: "t0", OK: true, Load: load, Statement: coldStatement(3 * time.Second)})
	require.Equal(t, ReasonWarmup, rt.refusal().Reason)
	require.InDelta(t, 3*time.Second, rt.refusal().RetryAfter, float64(1600*time.Millisecond), "with jitter of up to half")
}

// TestWarmupSenders guards against two groups of instances, each of which knows only itself, that exceed the bound
// together, and against a rate that nobody may use.
func TestWarmupSenders(t *testing.T) {
	for _, p := range []Policy{
		{WarmupRate: 1.9, WarmupOvershoot: 1.5, WarmupSlack: 8}, {WarmupRate: 3.6, WarmupOvershoot: 1.5, WarmupSlack: 8},
		{WarmupRate: 0.3, WarmupOvershoot: 1.5, WarmupSlack: 8}, {WarmupRate: 40, WarmupOvershoot: 3, WarmupSlack: 60},
	} {
		senders := p.warmupSenders()
		require.LessOrEqual(t, 2*(p.WarmupRate+float64(senders)), p.WarmupRate*p.WarmupOvershoot+p.WarmupSlack)
		require.Positive(t, senders)
	}
	p := DefaultPolicy()
	p.WarmupRate = 1.9
	require.Equal(t, 1, p.warmupSenders(), "without settings")
}
