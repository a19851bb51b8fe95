package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The replay drives the reducers of several instances against a model of targets whose pace changes several times a
// second, which is the load that the selection "ask" and the backlog answer. It is a model of what callers see, not a
// measurement of the program.

const (
	replayRun       = 200 * time.Millisecond // undisturbed time of a request
	replayObjective = 600 * time.Millisecond
	replayDeadline  = 2 * time.Second
	replayNoise     = 300 * time.Millisecond // time between two changes of a target's pace
	replaySlow      = 4.0                    // pace of a disturbed target
	replayFull      = 1.6                    // slowdown of a run that takes the last slot
	replayTrip      = 500 * time.Microsecond // one way between instance and target
)

// replayTarget is the model of one target: requests beyond its slots wait in it, up to queue.
type replayTarget struct {
	slots, queue     int
	running, waiting int
	pace             float64
	held             []func() // work that waits for a slot
	ill              bool     // probes are answered with a failure
	served           int
}

func (t *replayTarget) report() LoadReport {
	return LoadReport{InUse: t.running + t.waiting, Slots: t.slots, Slowdown: t.pace}
}

// replayCall is one request with what became of it.
type replayCall struct {
	rule      string
	class     Class
	run       time.Duration // undisturbed time
	arrived   Instant
	answered  Instant // zero without an answer
	refused   Instant // zero without a refusal
	objective Instant
	deadline  Instant
	priority  int
	sent      bool // an attempt was sent to a target
	returns   int  // times that the caller comes back after a refusal
}

func (c *replayCall) inTime() bool { return c.answered > 0 && c.answered <= c.objective }

type replayEvent struct {
	at   Instant
	seq  int
	what func()
}

type replayQueue []replayEvent

func (q replayQueue) Len() int { return len(q) }
func (q replayQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q replayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *replayQueue) Push(x any)   { *q = append(*q, x.(replayEvent)) }
func (q *replayQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// replay is one run of the model.
type replay struct {
	now       Instant
	seq       int
	queue     replayQueue
	rng       *rand.Rand
	targets   map[TargetID]*replayTarget
	instances []*replayInstance
	calls     []*replayCall
	sent      int     // requests of callers
	attempts  int     // attempts of instances
	untold    float64 // slowdown of all targets that their reports do not show
}

// replayInstance is one entry instance.
type replayInstance struct {
	*replay
	service *Service
	calls   map[RequestID]*replayCall
	timer   int // number of the timer that is set
}

func newReplay(selection Selection, instances, targets int) *replay {
	r := &replay{untold: 1, rng: rand.New(rand.NewPCG(1, 2)), targets: make(map[TargetID]*replayTarget)}
	var list []Target
	for i := range targets {
		id := TargetID(fmt.Sprint("t", i))
		r.targets[id] = &replayTarget{slots: 3, queue: 6, pace: 1}
		list = append(list, Target{ID: id, Zone: "a"})
	}
	policy := DefaultPolicy()
	policy.Selection, policy.Zone, policy.InstanceCount, policy.SlotsPerTarget = selection, "a", instances, 3
	policy.LoadProbesPerTarget, policy.HedgeRatio, policy.HedgeFloor = 60, 0, 0
	for range instances {
		i := &replayInstance{replay: r, service: NewService(policy), calls: make(map[RequestID]*replayCall)}
		r.instances = append(r.instances, i)
		i.apply(TargetsChanged{Targets: list})
	}
	r.disturb()
	return r
}

func (r *replay) after(d time.Duration, what func()) {
	r.seq++
	heap.Push(&r.queue, replayEvent{r.now + d, r.seq, what})
}

func (r *replay) run(until Instant) {
	for len(r.queue) > 0 && r.queue[0].at <= until {
		e := heap.Pop(&r.queue).(replayEvent)
		r.now = e.at
		e.what()
	}
	r.now = until
}

// disturb gives each target a new pace: a third of them are slow.
func (r *replay) disturb() {
	for i := range len(r.targets) {
		t := r.targets[TargetID(fmt.Sprint("t", i))]
		t.pace = 1
		if r.rng.Float64() < 0.33 {
			t.pace = replaySlow
		}
	}
	r.after(replayNoise, r.disturb)
}

// load sends requests at a rate per second for a time, to random instances.
func (r *replay) load(perSecond float64, duration time.Duration, class Class, priority int) {
	r.loadRule(perSecond, duration, replayCall{class: class, run: replayRun, priority: priority})
}

// loadRule sends requests like the given one. Callers wait for replayDeadline or up to a fifth
// longer.
func (r *replay) loadRule(perSecond float64, duration time.Duration, like replayCall) {
	end := r.now + duration
	var next func()
	next = func() {
		if r.now >= end {
			return
		}
		c := like
		c.arrived, c.objective = r.now, r.now+replayObjective
		c.deadline = r.now + time.Duration((1+r.rng.Float64()/5)*float64(replayDeadline))
		r.calls = append(r.calls, &c)
		r.send(&c)
		r.after(time.Duration(r.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// send sends an attempt of a caller to a random instance.
func (r *replay) send(c *replayCall) {
	i := r.instances[r.rng.IntN(len(r.instances))]
	r.sent++
	id := RequestID(r.sent)
	i.calls[id] = c
	c.refused = 0
	i.apply(RequestArrived{
		Request: id, Class: c.class, Rule: c.rule, Priority: c.priority,
		Deadline: c.deadline, CallerTimeout: c.deadline - r.now, Objective: r.now + replayObjective,
	})
}

// refuse ends an attempt of a caller, who comes back when told, but waits no longer than a third of the time left.
func (r *replay) refuse(c *replayCall, e Effect) {
	c.refused = r.now
	if c.returns == 0 || !e.NotRun {
		return
	}
	c.returns--
	r.after(min(e.RetryAfter, (c.deadline-r.now)/3), func() { r.send(c) })
}

func (i *replayInstance) apply(ev Event) {
	for _, e := range i.service.Reduce(Input{Now: i.now, Rand: i.rng.Uint64(), Event: ev}, nil) {
		i.perform(e)
	}
}

func (i *replayInstance) perform(e Effect) {
	switch e.Kind {
	case SendAttempt:
		i.attempts++
		i.calls[e.Request].sent = true
		i.after(replayTrip, func() { i.serve(e) })
	case SendProbe:
		i.after(2*replayTrip, func() {
			i.apply(ProbeEnded{Target: e.Target, OK: !i.targets[e.Target].ill, Load: i.targets[e.Target].report()})
		})
	case SetTimer:
		i.timer++
		number := i.timer
		i.after(max(e.At-i.now, 0), func() {
			if number == i.timer {
				i.apply(TimerFired{})
			}
		})
	case Refuse:
		i.refuse(i.calls[e.Request], e)
	}
}

// serve runs an attempt on its target, or rejects it when the target is full.
func (i *replayInstance) serve(e Effect) {
	t := i.targets[e.Target]
	end := func(outcome AttemptOutcome, reason Reason) {
		load := t.report()
		i.after(replayTrip, func() {
			if outcome == OutcomeAnswered {
				i.apply(AttemptCommitted{Request: e.Request, Attempt: e.Attempt})
				if c := i.calls[e.Request]; c.refused == 0 && c.answered == 0 {
					c.answered = i.now
				}
			}
			i.apply(AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: outcome, Reason: reason, Load: load})
		})
	}
	run := i.calls[e.Request].run
	work := func() {
		t.running++
		pace := t.pace
		if t.running == t.slots {
			pace *= replayFull
		}
		spread := (0.7 + 0.6*i.rng.Float64()) * i.untold
		i.after(time.Duration(pace*spread*float64(run)), func() {
			t.running--
			t.served++
			end(OutcomeAnswered, "")
			if len(t.held) > 0 {
				next := t.held[0]
				t.held = t.held[1:]
				t.waiting--
				next()
			}
		})
	}
	switch {
	case t.running < t.slots:
		work()
	case t.waiting < t.queue:
		t.waiting++
		t.held = append(t.held, work)
	default:
		end(OutcomeRefused, ReasonShed)
	}
}

// share returns the share of calls that arrived in a span and pass accept.
func (r *replay) share(from, to Instant, class Class, accept func(*replayCall) bool) float64 {
	all, good := 0, 0
	for _, c := range r.calls {
		if c.arrived < from || c.arrived >= to || c.class != class {
			continue
		}
		all++
		if accept(c) {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// replayCapacity is the number of requests per second that the undisturbed targets answer with their slots filled as far
// as pays off.
func replayCapacity(targets int) float64 { return float64(targets) * 2 * 0.67 / replayRun.Seconds() }
