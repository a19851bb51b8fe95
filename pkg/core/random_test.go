package core

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fixRun makes the run the same each time and long enough to reach full queues, ejections and hedges. Flags given on the
// command line take precedence.
func fixRun(t *testing.T) {
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

// world is the truth behind the events of the random test.
type world struct {
	*runtime
	starts []int // newest start of each target
	listed []bool
}

func targetID(i int) TargetID { return TargetID(fmt.Sprintf("t%d", i)) }

// TestRandomEvents guards the outcome accounting, the budgets, the decision by the deadline, the bound on ejections, the cost of probes and
// the exclusion of leaving targets against any order of events. The checks are in runtime.
func TestRandomEvents(t *testing.T) {
	fixRun(t)
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":  w.drawArrival,
			"burst":   w.drawBurst,
			"commit":  w.drawCommit,
			"end":     w.drawEnd,
			"answer":  w.drawAnswer,
			"leave":   w.drawCallerLeft,
			"advance": w.drawAdvance,
			"pause":   w.drawPause,
			"list":    w.drawList,
			"restart": w.drawRestart,
			"sign":    w.drawSign,
			"probe":   w.drawProbe,
			"stop":    w.drawStop,
		})
		w.drain()
	})
}

func newWorld(t *rapid.T) *world {
	p := DefaultPolicy()
	methods := []Selection{SelectLoad, SelectLoadLatency, SelectTwoChoices, SelectRoundRobin, SelectRandom}
	p.Selection = rapid.SampledFrom(methods).Draw(t, "selection")
	p.Zone = "a"
	p.QueueLimit = rapid.IntRange(0, 8).Draw(t, "queueLimit")
	p.SlotsPerTarget = rapid.IntRange(1, 4).Draw(t, "slots")
	p.RetryFloor = rapid.IntRange(0, 6).Draw(t, "retryFloor")
	p.Instances = rapid.IntRange(1, 14).Draw(t, "instances")
	p.ProbeShare = rapid.SampledFrom([]float64{0, 0.001, 0.005, 0.1}).Draw(t, "probeShare")
	p.HedgeFloor = rapid.IntRange(0, 3).Draw(t, "hedgeFloor")
	w := &world{runtime: newRuntime(t, p)}
	n := rapid.IntRange(1, 9).Draw(t, "targets")
	w.starts, w.listed = make([]int, n), make([]bool, n)
	for i := range w.listed {
		w.listed[i] = true
	}
	w.tellList()
	return w
}

func (w *world) drawTarget(t *rapid.T) (int, TargetID) {
	i := rapid.IntRange(0, len(w.starts)-1).Draw(t, "target")
	return i, targetID(i)
}

func (w *world) drawClass(t *rapid.T) Class {
	return Class(rapid.IntRange(0, int(numClasses)-1).Draw(t, "class"))
}

func (w *world) drawArrival(t *rapid.T) {
	limit := rapid.IntRange(-1, 400).Draw(t, "limit")
	w.arrive(w.drawClass(t), time.Duration(limit)*time.Millisecond)
}

func (w *world) drawBurst(t *rapid.T) {
	class := w.drawClass(t)
	for range rapid.IntRange(1, 40).Draw(t, "count") {
		w.arrive(class, 300*time.Millisecond)
	}
}

// drawLive picks an attempt in flight; skip is set when there is none.
func (w *world) drawLive(t *rapid.T) *sent {
	if len(w.live) == 0 {
		t.Skip("nothing in flight")
	}
	return w.live[rapid.IntRange(0, len(w.live)-1).Draw(t, "attempt")]
}

func (w *world) drawCommit(t *rapid.T) {
	a := w.drawLive(t)
	if a.committed {
		t.Skip("committed before")
	}
	w.commit(a, rapid.Bool().Draw(t, "failed"), rapid.IntRange(0, 5).Draw(t, "gaveUp") == 0)
}

func (w *world) drawAnswer(t *rapid.T) {
	if a := w.drawLive(t); !a.committed {
		w.answer(a)
	}
}

func (w *world) drawEnd(t *rapid.T) {
	a := w.drawLive(t)
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
		w.left[ev.Start] = true
	}
	w.end(a, ev)
}

func (w *world) drawCallerLeft(t *rapid.T) {
	if len(w.requests) > 0 {
		w.step(CallerLeft{Request: RequestID(rapid.IntRange(1, len(w.requests)).Draw(t, "request"))})
	}
}

func (w *world) drawAdvance(t *rapid.T) {
	w.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "us")) * 20 * time.Microsecond)
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		w.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	}
}

// drawPause lets time pass without timers, as a stopped process sees it.
func (w *world) drawPause(t *rapid.T) {
	gap := time.Duration(rapid.IntRange(1000, 3000).Draw(t, "ms")) * time.Millisecond
	w.now += gap
	w.step(Resumed{Gap: gap})
}

// tellList sends the true list.
func (w *world) tellList() {
	var list []Target
	for i, listed := range w.listed {
		if listed {
			w.told[targetID(i)] = w.starts[i]
			list = append(list, Target{
				ID: targetID(i), Zone: Zone("abc"[i%3 : i%3+1]), Start: startID(targetID(i), w.starts[i]),
			})
		}
	}
	w.step(TargetsChanged{Targets: list})
}

func (w *world) drawList(t *rapid.T) {
	i, _ := w.drawTarget(t)
	w.listed[i] = !w.listed[i]
	w.tellList()
}

func (w *world) drawRestart(t *rapid.T) {
	i, id := w.drawTarget(t)
	w.starts[i]++
	if rapid.Bool().Draw(t, "byProbe") && w.listed[i] {
		w.told[id] = w.starts[i]
		w.step(ProbeEnded{Target: id, OK: true, Start: startID(id, w.starts[i])})
		return
	}
	w.tellList()
}

// drawSign names a start of a target, possibly an old one, as leaving.
func (w *world) drawSign(t *rapid.T) {
	i, id := w.drawTarget(t)
	start := startID(id, rapid.IntRange(max(0, w.starts[i]-1), w.starts[i]).Draw(t, "start"))
	w.left[start] = true
	w.step(TargetLeaving{Target: id, Start: start})
}

func (w *world) drawProbe(t *rapid.T) {
	_, id := w.drawTarget(t)
	w.step(ProbeEnded{Target: id, OK: rapid.Bool().Draw(t, "ok"), Latency: time.Millisecond})
	w.step(LoadReported{Target: id, Load: LoadReport{InUse: 3, Slots: 4}, Age: 5 * time.Millisecond})
}

func (w *world) drawStop(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
		w.step(StopRequested{})
	}
}

// drain ends everything and checks that nothing is left behind.
func (w *world) drain() {
	for len(w.live) > 0 {
		w.end(w.live[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed})
	}
	w.advance(time.Second)
	for len(w.live) > 0 {
		w.end(w.live[0], AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed})
	}
	w.advance(time.Minute)
	for _, r := range w.requests {
		if r.decided != 1 {
			w.Fatalf("request %d has %d decisions", r.id, r.decided)
		}
	}
	if len(w.s.requests) > 0 || w.s.queue.length() > 0 {
		w.Fatalf("%d requests and %d queued are left", len(w.s.requests), w.s.queue.length())
	}
	for _, t := range w.s.order {
		if t.inFlight != 0 || t.attempts != (list[attempt]{}) {
			w.Fatalf("%d attempts are left on %s", t.inFlight, t.id)
		}
	}
}
