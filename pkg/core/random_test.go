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

// randomScenario holds the true state of the targets, from which the events of the random test are drawn.
type randomScenario struct {
	*testRuntime
	currentStarts []int // newest start of each target
	inList        []bool
}

func targetID(i int) TargetID { return TargetID(fmt.Sprintf("t%d", i)) }

// TestRandomEvents guards against orders of events that break the outcome accounting, the budgets, the decision by the
// deadline, the bound on ejections, the cost of probes or the exclusion of leaving targets. The checks are in
// testRuntime.
func TestRandomEvents(t *testing.T) {
	setRapidDefaults(t)
	rapid.Check(t, func(rt *rapid.T) {
		w := newRandomScenario(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":  w.drawArrival,
			"burst":   w.drawBurst,
			"commit":  w.drawCommit,
			"end":     w.drawEnd,
			"answer":  w.drawAnswer,
			"leave":   w.drawCallerLeft,
			"advance": w.drawAdvance,
			"pause":   w.drawPause,
			"list":    w.drawListChange,
			"restart": w.drawRestart,
			"sign":    w.drawLeavingSignal,
			"probe":   w.drawProbe,
			"stop":    w.drawStop,
		})
		w.endAll()
	})
}

func newRandomScenario(t *rapid.T) *randomScenario {
	p := DefaultPolicy()
	methods := []Selection{SelectLoad, SelectLoadLatency, SelectTwoChoices, SelectRoundRobin, SelectRandom}
	p.Selection = rapid.SampledFrom(methods).Draw(t, "selection")
	p.Zone = "a"
	p.QueueLimit = rapid.IntRange(0, 8).Draw(t, "queueLimit")
	p.SlotsPerTarget = rapid.IntRange(1, 4).Draw(t, "slots")
	p.RetryFloor = rapid.IntRange(0, 6).Draw(t, "retryFloor")
	p.InstanceCount = rapid.IntRange(1, 14).Draw(t, "instances")
	p.ProbeShare = rapid.SampledFrom([]float64{0, 0.001, 0.005, 0.1}).Draw(t, "probeShare")
	p.HedgeFloor = rapid.IntRange(0, 3).Draw(t, "hedgeFloor")
	w := &randomScenario{testRuntime: newEmptyTestRuntime(t, p)}
	n := rapid.IntRange(1, 9).Draw(t, "targets")
	w.currentStarts, w.inList = make([]int, n), make([]bool, n)
	for i := range w.inList {
		w.inList[i] = true
	}
	w.sendTargetList()
	return w
}

func (w *randomScenario) drawTarget(t *rapid.T) (int, TargetID) {
	i := rapid.IntRange(0, len(w.currentStarts)-1).Draw(t, "target")
	return i, targetID(i)
}

func (w *randomScenario) drawClass(t *rapid.T) Class {
	return Class(rapid.IntRange(0, int(numClasses)-1).Draw(t, "class"))
}

func (w *randomScenario) drawArrival(t *rapid.T) {
	limit := rapid.IntRange(-1, 400).Draw(t, "limit")
	w.submit(w.drawClass(t), time.Duration(limit)*time.Millisecond)
}

func (w *randomScenario) drawBurst(t *rapid.T) {
	class := w.drawClass(t)
	for range rapid.IntRange(1, 40).Draw(t, "count") {
		w.submit(class, 300*time.Millisecond)
	}
}

// drawInFlight draws an attempt in flight, and skips the action when there is none.
func (w *randomScenario) drawInFlight(t *rapid.T) *sentAttempt {
	if len(w.inFlight) == 0 {
		t.Skip("no attempt in flight")
	}
	return w.inFlight[rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "attempt")]
}

func (w *randomScenario) drawCommit(t *rapid.T) {
	a := w.drawInFlight(t)
	if a.committed {
		t.Skip("already committed")
	}
	w.commit(a, rapid.Bool().Draw(t, "failed"), rapid.IntRange(0, 5).Draw(t, "gaveUp") == 0)
}

func (w *randomScenario) drawAnswer(t *rapid.T) {
	if a := w.drawInFlight(t); !a.committed {
		w.answer(a)
	}
}

func (w *randomScenario) drawEnd(t *rapid.T) {
	a := w.drawInFlight(t)
	ends := []AttemptEnded{
		{Outcome: OutcomeUnknown, Reason: ReasonFailed, Failed: true},
		{Outcome: OutcomeUnknown, Reason: ReasonSlow, Failed: true},
		{Outcome: OutcomeUnknown, Reason: ReasonFailed, GaveUp: true},
	}
	if !a.committed {
		ends = append(ends, AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent},
			AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonDeadline},
			AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonShed},
			AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonExpired},
			AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonDraining, Leaving: true})
	}
	ev := rapid.SampledFrom(ends).Draw(t, "end")
	ev.Start = startID(a.target, a.start)
	ev.Load = LoadReport{InUse: rapid.IntRange(0, 9).Draw(t, "inUse"), Slots: rapid.IntRange(0, 4).Draw(t, "slots")}
	if ev.Leaving {
		w.leavingStarts[ev.Start] = true
	}
	w.endAttempt(a, ev)
}

func (w *randomScenario) drawCallerLeft(t *rapid.T) {
	if len(w.requests) > 0 {
		w.step(CallerLeft{Request: RequestID(rapid.IntRange(1, len(w.requests)).Draw(t, "request"))})
	}
}

func (w *randomScenario) drawAdvance(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "us")) * 20 * time.Microsecond)
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		w.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	}
}

// drawPause advances the time without firing timers, as a pause of the process does.
func (w *randomScenario) drawPause(t *rapid.T) {
	gap := time.Duration(rapid.IntRange(1000, 3000).Draw(t, "ms")) * time.Millisecond
	w.now += gap
	w.step(Resumed{Gap: gap})
}

// sendTargetList sends TargetsChanged with the targets listed at the moment.
func (w *randomScenario) sendTargetList() {
	var list []Target
	for i, listed := range w.inList {
		if listed {
			w.knownStarts[targetID(i)] = w.currentStarts[i]
			list = append(list, Target{
				ID: targetID(i), Zone: Zone("abc"[i%3 : i%3+1]), Start: startID(targetID(i), w.currentStarts[i]),
			})
		}
	}
	w.step(TargetsChanged{Targets: list})
}

func (w *randomScenario) drawListChange(t *rapid.T) {
	i, _ := w.drawTarget(t)
	w.inList[i] = !w.inList[i]
	w.sendTargetList()
}

func (w *randomScenario) drawRestart(t *rapid.T) {
	i, id := w.drawTarget(t)
	w.currentStarts[i]++
	if rapid.Bool().Draw(t, "byProbe") && w.inList[i] {
		w.knownStarts[id] = w.currentStarts[i]
		w.step(ProbeEnded{Target: id, OK: true, Start: startID(id, w.currentStarts[i])})
		return
	}
	w.sendTargetList()
}

// drawLeavingSignal sends a leaving signal for the current or the previous start of a target.
func (w *randomScenario) drawLeavingSignal(t *rapid.T) {
	i, id := w.drawTarget(t)
	start := startID(id, rapid.IntRange(max(0, w.currentStarts[i]-1), w.currentStarts[i]).Draw(t, "start"))
	w.leavingStarts[start] = true
	w.step(TargetLeaving{Target: id, Start: start})
}

func (w *randomScenario) drawProbe(t *rapid.T) {
	_, id := w.drawTarget(t)
	w.step(ProbeEnded{Target: id, OK: rapid.Bool().Draw(t, "ok"), Latency: time.Millisecond})
	w.step(LoadReported{Target: id, Load: LoadReport{InUse: 3, Slots: 4}, Age: 5 * time.Millisecond})
}

func (w *randomScenario) drawStop(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
		w.step(StopRequested{})
	}
}

// endAll ends all attempts and checks that every request is decided and no state of requests and attempts is left.
func (w *randomScenario) endAll() {
	for len(w.inFlight) > 0 {
		w.endAttempt(w.inFlight[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed})
	}
	w.advance(time.Second)
	for len(w.inFlight) > 0 {
		w.endAttempt(w.inFlight[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed})
	}
	w.advance(time.Minute)
	for _, r := range w.requests {
		if r.decisions != 1 {
			w.Fatalf("request %d has %d decisions", r.id, r.decisions)
		}
	}
	if len(w.s.requests) > 0 || w.s.queue.length() > 0 {
		w.Fatalf("%d requests and %d queued are left", len(w.s.requests), w.s.queue.length())
	}
	for _, t := range w.s.listedTargets {
		if t.inFlight != 0 || t.attempts != (list[attempt]{}) {
			w.Fatalf("%d attempts are left on %s", t.inFlight, t.id)
		}
	}
}
