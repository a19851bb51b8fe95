package core

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// setRapidDefaults makes the run reproducible and long enough to reach full queues, ejections and hedges. Flags given
// on the command line take precedence.
func setRapidDefaults(t *testing.T) {
	t.Helper()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true",
	}
	for name, value := range values {
		if !given[name] {
			setFlag(t, name, value)
		}
	}
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Lookup(name).Value.Set(value); err != nil {
		t.Fatal(err)
	}
}

// randomScenario holds the true state of the targets, from which the events of the random test are drawn. The reducer
// learns of it only through these events.
type randomScenario struct {
	*testRuntime
	currentStarts []int  // start number of each target's process
	inList        []bool // whether discovery lists the target
	warmups       []time.Duration
	revisions     []uint64 // of the entries
	revision      uint64   // highest of revisions
}

func targetID(i int) TargetID { return TargetID(fmt.Sprintf("t%d", i)) }

// TestRandomEvents guards against orders of events that break the outcome accounting, the budgets, the decision by the
// deadline, the bound on ejections, the cost of probes, the request rates of targets and of cold ones, or the exclusion of
// leaving and evacuated ones. The checks are in testRuntime.
func TestRandomEvents(t *testing.T) {
	setRapidDefaults(t)
	rapid.Check(t, func(rapidT *rapid.T) {
		sc := newRandomScenario(rapidT)
		rapidT.Repeat(map[string]func(*rapid.T){
			"arrive":     sc.drawArrival,
			"burst":      sc.drawBurst,
			"commit":     sc.drawCommit,
			"end":        sc.drawEnd,
			"answer":     sc.drawAnswer,
			"leave":      sc.drawCallerLeft,
			"cut":        sc.drawCut,
			"check":      sc.drawConnectionCheck,
			"quarantine": sc.drawQuarantine,
			"advance":    sc.drawAdvance,
			"pause":      sc.drawPause,
			"list":       sc.drawListChange,
			"restart":    sc.drawRestart,
			"sign":       sc.drawLeavingSignal,
			"probe":      sc.drawProbe,
			"evacuate":   sc.drawEvacuation,
			"rate":       sc.drawRequestRate,
			"warmup":     sc.drawWarmup,
			"stop":       sc.drawStop,
		})
		sc.endAll()
	})
}

func newRandomScenario(t *rapid.T) *randomScenario {
	p := DefaultPolicy()
	methods := []Selection{SelectLoad, SelectLoadLatency, SelectTwoChoices, SelectRoundRobin, SelectRandom, SelectAsk}
	p.Selection = rapid.SampledFrom(methods).Draw(t, "selection")
	p.Zone = "a"
	p.QueueLimit = rapid.IntRange(0, 8).Draw(t, "queueLimit")
	p.SlotsPerTarget = rapid.IntRange(1, 4).Draw(t, "slots")
	p.RetryFloor = rapid.IntRange(0, 6).Draw(t, "retryFloor")
	p.InstanceCount = rapid.IntRange(1, 14).Draw(t, "instances")
	p.ProbeShare = rapid.SampledFrom([]float64{0, 0.001, 0.005, 0.1}).Draw(t, "probeShare")
	p.HedgeFloor = rapid.IntRange(0, 3).Draw(t, "hedgeFloor")
	p.WarmupRate = rapid.SampledFrom([]float64{0, 0.5, 3}).Draw(t, "warmupRate")
	p.Warmup = rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "warmup")
	hasPeer := rapid.Bool().Draw(t, "hasPeer")
	if hasPeer {
		p.InstanceCount = 2
	}
	sc := &randomScenario{testRuntime: newEmptyTestRuntime(t, p)}
	if hasPeer {
		sc.step(FleetChanged{Instances: []string{p.InstanceID, "peer"}})
	}
	n := rapid.IntRange(1, 9).Draw(t, "targets")
	sc.currentStarts, sc.inList = make([]int, n), make([]bool, n)
	sc.warmups, sc.revisions = make([]time.Duration, n), make([]uint64, n)
	for i := range sc.inList {
		sc.inList[i] = true
	}
	sc.sendTargetList()
	return sc
}

func (sc *randomScenario) drawTarget(t *rapid.T) (int, TargetID) {
	i := rapid.IntRange(0, len(sc.currentStarts)-1).Draw(t, "target")
	return i, targetID(i)
}

func (sc *randomScenario) drawClass(t *rapid.T) Class {
	return Class(rapid.IntRange(0, int(numClasses)-1).Draw(t, "class"))
}

func (sc *randomScenario) drawArrival(t *rapid.T) {
	timeout := rapid.IntRange(-1, 400).Draw(t, "limit")
	sc.arrive(RequestArrived{
		Class: sc.drawClass(t), Deadline: sc.now + time.Duration(timeout)*time.Millisecond,
		Relayed: rapid.IntRange(0, 9).Draw(t, "relayed") == 0,
	})
}

func (sc *randomScenario) drawBurst(t *rapid.T) {
	class := sc.drawClass(t)
	for range rapid.IntRange(1, 40).Draw(t, "count") {
		sc.submit(class, 300*time.Millisecond)
	}
}

// drawInFlight draws an attempt in flight, and skips the action when there is none.
func (sc *randomScenario) drawInFlight(t *rapid.T) *sentAttempt {
	if len(sc.inFlight) == 0 {
		t.Skip("no attempt in flight")
	}
	return sc.inFlight[rapid.IntRange(0, len(sc.inFlight)-1).Draw(t, "attempt")]
}

func (sc *randomScenario) drawCommit(t *rapid.T) {
	a := sc.drawInFlight(t)
	if a.committed {
		t.Skip("already committed")
	}
	sc.commit(a, rapid.Bool().Draw(t, "failed"), rapid.IntRange(0, 5).Draw(t, "gaveUp") == 0)
}

func (sc *randomScenario) drawAnswer(t *rapid.T) {
	if a := sc.drawInFlight(t); !a.committed {
		sc.answer(a)
	}
}

func (sc *randomScenario) drawEnd(t *rapid.T) {
	a := sc.drawInFlight(t)
	ends := []AttemptEnded{
		{Outcome: OutcomeUnknown, Reason: ReasonFailed, Failed: true},
		{Outcome: OutcomeUnknown, Reason: ReasonSlow, Failed: true},
		{Outcome: OutcomeUnknown, Reason: ReasonFailed, GaveUp: true},
	}
	if !a.committed {
		ends = append(ends, AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent},
			AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent, Failed: true, Unreachable: !a.relay},
			AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNoInstance},
			AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonDeadline},
			AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonShed},
			AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonExpired},
			AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonDraining, Statement: Statement{Leaving: true}})
	}
	ev := rapid.SampledFrom(ends).Draw(t, "end")
	ev.Statement.Start = startID(a.target, a.start)
	ev.Load = LoadReport{InUse: rapid.IntRange(0, 9).Draw(t, "inUse"), Slots: rapid.IntRange(0, 4).Draw(t, "slots")}
	if ev.Statement.Leaving {
		sc.leavingStarts[ev.Statement.Start] = true
	}
	sc.endAttempt(a, ev)
}

// drawCut makes connections to random targets fail until the service counts as unreachable, or nearly so.
func (sc *randomScenario) drawCut(t *rapid.T) {
	for range rapid.IntRange(1, 12).Draw(t, "failures") {
		_, id := sc.drawTarget(t)
		sc.advance(15 * time.Millisecond)
		sc.step(ProbeEnded{Target: id, Unreachable: true})
	}
}

func (sc *randomScenario) drawConnectionCheck(t *rapid.T) {
	_, id := sc.drawTarget(t)
	ok := rapid.Bool().Draw(t, "ok")
	sc.step(ConnectionChecked{Target: id, OK: ok, Unreachable: !ok && rapid.Bool().Draw(t, "unreachable")})
}

func (sc *randomScenario) drawQuarantine(t *rapid.T) {
	if len(sc.requests) > 0 {
		sc.step(RequestQuarantined{Request: RequestID(rapid.IntRange(1, len(sc.requests)).Draw(t, "request"))})
	}
}

func (sc *randomScenario) drawCallerLeft(t *rapid.T) {
	if len(sc.requests) > 0 {
		sc.step(CallerLeft{Request: RequestID(rapid.IntRange(1, len(sc.requests)).Draw(t, "request"))})
	}
}

func (sc *randomScenario) drawAdvance(t *rapid.T) {
	sc.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "us")) * 20 * time.Microsecond)
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		sc.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	}
}

// drawPause advances the time without firing timers, as a pause of the process does.
func (sc *randomScenario) drawPause(t *rapid.T) {
	gap := time.Duration(rapid.IntRange(1000, 3000).Draw(t, "ms")) * time.Millisecond
	sc.now += gap
	sc.step(Resumed{Gap: gap})
}

// sendTargetList sends TargetsChanged with the targets listed at the moment.
func (sc *randomScenario) sendTargetList() {
	var list []Target
	for i, listed := range sc.inList {
		if listed {
			sc.knownStarts[targetID(i)] = sc.currentStarts[i]
			list = append(list, Target{
				ID: targetID(i), Zone: Zone("abc"[i%3 : i%3+1]), Start: startID(targetID(i), sc.currentStarts[i]),
				Warmup: sc.warmups[i], Revision: sc.revisions[i],
			})
		}
	}
	sc.step(TargetsChanged{Targets: list})
}

func (sc *randomScenario) drawListChange(t *rapid.T) {
	i, _ := sc.drawTarget(t)
	sc.inList[i] = !sc.inList[i]
	sc.sendTargetList()
}

func (sc *randomScenario) drawRestart(t *rapid.T) {
	i, id := sc.drawTarget(t)
	sc.currentStarts[i]++
	if rapid.Bool().Draw(t, "byProbe") && sc.inList[i] {
		sc.knownStarts[id] = sc.currentStarts[i]
		sc.step(ProbeEnded{Target: id, OK: true, Statement: Statement{Start: startID(id, sc.currentStarts[i])}})
		return
	}
	sc.sendTargetList()
}

// drawLeavingSignal sends a leaving signal for the current or the previous start of a target.
func (sc *randomScenario) drawLeavingSignal(t *rapid.T) {
	i, id := sc.drawTarget(t)
	start := startID(id, rapid.IntRange(max(0, sc.currentStarts[i]-1), sc.currentStarts[i]).Draw(t, "start"))
	sc.leavingStarts[start] = true
	sc.step(TargetLeaving{Target: id, Start: start})
}

func (sc *randomScenario) drawProbe(t *rapid.T) {
	_, id := sc.drawTarget(t)
	sc.step(ProbeEnded{Target: id, OK: rapid.Bool().Draw(t, "ok"), Latency: time.Millisecond})
	sc.step(LoadReported{Target: id, Load: LoadReport{InUse: 3, Slots: 4}, Age: 5 * time.Millisecond})
}

// drawEvacuation replaces the evacuated zones.
func (sc *randomScenario) drawEvacuation(t *rapid.T) {
	sc.step(EvacuationChanged{Zones: rapid.SliceOfNDistinct(rapid.SampledFrom([]Zone{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "zones")})
}

// drawRequestRate makes a target state a request rate, or withdraw it.
func (sc *randomScenario) drawRequestRate(t *rapid.T) {
	_, id := sc.drawTarget(t)
	st := statedRate(rapid.SampledFrom([]float64{0, 0.5, 3, 50}).Draw(t, "rate"))
	if rapid.Bool().Draw(t, "withdrawn") {
		st = Statement{Responded: true}
	}
	sc.step(ProbeEnded{Target: id, OK: true, Statement: st, Load: LoadReport{Slots: 4}, Latency: time.Millisecond})
}

func (sc *randomScenario) drawStop(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
		sc.step(StopRequested{LatestDeadline: sc.now + Instant(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "rest"))})
	}
}

// endAll ends all attempts and checks that every request is decided and no state of requests and attempts is left.
func (sc *randomScenario) endAll() {
	for len(sc.inFlight) > 0 {
		sc.endAttempt(sc.inFlight[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed})
	}
	sc.advance(time.Second)
	for len(sc.inFlight) > 0 {
		sc.endAttempt(sc.inFlight[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed})
	}
	sc.advance(time.Minute)
	for _, r := range sc.requests {
		if r.decisions != 1 {
			sc.Fatalf("request %d has %d decisions", r.id, r.decisions)
		}
	}
	if len(sc.s.requests) > 0 || sc.s.queue.length() > 0 {
		sc.Fatalf("%d requests and %d queued are left", len(sc.s.requests), sc.s.queue.length())
	}
	for _, t := range sc.s.listedTargets {
		if t.inFlight != 0 || t.attempts != (list[attempt]{}) {
			sc.Fatalf("%d attempts are left on %s", t.inFlight, t.id)
		}
	}
}
