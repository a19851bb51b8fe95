package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The simulation drives the reducers of several instances against a model of targets whose speed changes several times
// a second. This is the load that the selection "ask" and the backlog are made for. It models what callers see and does
// not measure the program.

const (
	simRunTime          = 200 * time.Millisecond // undisturbed time of a request
	simObjective        = 600 * time.Millisecond
	simDeadline         = 2 * time.Second
	simSlowdownInterval = 300 * time.Millisecond // time between two changes of a target's slowdown
	simHighSlowdown     = 4.0                    // slowdown of a disturbed target
	simLastSlotSlowdown = 1.6                    // slowdown of a request that takes the last slot
	simOneWayDelay      = 500 * time.Microsecond // one-way delay between instance and target
)

// simTarget is the model of one target. Up to queueLimit requests beyond its slots wait in it.
type simTarget struct {
	slots, queueLimit int
	running, waiting  int
	slowdown          float64
	queuedWork        []func() // functions that start the waiting requests, in order
	unhealthy         bool     // probes are answered with a failure
	served            int
}

func (t *simTarget) report() LoadReport {
	return LoadReport{InUse: t.running + t.waiting, Slots: t.slots, Slowdown: t.slowdown}
}

// simCall is one request and its result.
type simCall struct {
	rule          string
	class         Class
	runTime       time.Duration // undisturbed time
	arrived       Instant
	answeredAt    Instant // zero without an answer
	refusedAt     Instant // zero without a refusal
	objective     Instant
	deadline      Instant
	priority      int
	sent          bool // an attempt was sent to a target
	callerRetries int  // retries after a refusal that the caller has left
}

func (c *simCall) inTime() bool { return c.answeredAt > 0 && c.answeredAt <= c.objective }

type simEvent struct {
	at     Instant
	seq    int
	action func()
}

type simEventQueue []simEvent

func (q simEventQueue) Len() int { return len(q) }
func (q simEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simulation is one run of the model.
type simulation struct {
	now            Instant
	seq            int
	queue          simEventQueue
	rng            *rand.Rand
	targets        map[TargetID]*simTarget
	instances      []*simInstance
	calls          []*simCall
	sentRequests   int     // requests sent by callers, retries included
	attempts       int     // attempts sent by instances
	hiddenSlowdown float64 // slowdown of all targets that their reports do not show
}

// simInstance is one instance of the load balancer.
type simInstance struct {
	*simulation
	service     *Service
	callsByID   map[RequestID]*simCall
	timerNumber int // number of the latest timer; earlier ones are ignored
}

func newSimulation(selection Selection, instances, targets int) *simulation {
	sim := &simulation{hiddenSlowdown: 1, rng: rand.New(rand.NewPCG(1, 2)), targets: make(map[TargetID]*simTarget)}
	var list []Target
	for i := range targets {
		id := TargetID(fmt.Sprint("t", i))
		sim.targets[id] = &simTarget{slots: 3, queueLimit: 6, slowdown: 1}
		list = append(list, Target{ID: id, Zone: "a"})
	}
	policy := DefaultPolicy()
	policy.Selection, policy.Zone, policy.InstanceCount, policy.SlotsPerTarget = selection, "a", instances, 3
	policy.LoadProbesPerTarget, policy.HedgeRatio, policy.HedgeFloor = 60, 0, 0
	for range instances {
		i := &simInstance{simulation: sim, service: NewService(policy), callsByID: make(map[RequestID]*simCall)}
		sim.instances = append(sim.instances, i)
		i.apply(TargetsChanged{Targets: list})
	}
	sim.changeSlowdowns()
	return sim
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.seq++
	heap.Push(&sim.queue, simEvent{sim.now + d, sim.seq, action})
}

func (sim *simulation) runUntil(until Instant) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.action()
	}
	sim.now = until
}

// changeSlowdowns gives each target a new slowdown, a high one with a probability of a third.
func (sim *simulation) changeSlowdowns() {
	for i := range len(sim.targets) {
		t := sim.targets[TargetID(fmt.Sprint("t", i))]
		t.slowdown = 1
		if sim.rng.Float64() < 0.33 {
			t.slowdown = simHighSlowdown
		}
	}
	sim.schedule(simSlowdownInterval, sim.changeSlowdowns)
}

// addLoad sends requests to random instances at the given rate for the given time.
func (sim *simulation) addLoad(perSecond float64, duration time.Duration, class Class, priority int) {
	sim.addLoadLike(perSecond, duration, simCall{class: class, runTime: simRunTime, priority: priority})
}

// addLoadLike sends copies of template as addLoad does. Callers wait for simDeadline or up to a fifth longer.
func (sim *simulation) addLoadLike(perSecond float64, duration time.Duration, template simCall) {
	end := sim.now + duration
	var next func()
	next = func() {
		if sim.now >= end {
			return
		}
		c := template
		c.arrived, c.objective = sim.now, sim.now+simObjective
		c.deadline = sim.now + time.Duration((1+sim.rng.Float64()/5)*float64(simDeadline))
		sim.calls = append(sim.calls, &c)
		sim.send(&c)
		sim.schedule(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// send sends a request of a caller to a random instance.
func (sim *simulation) send(c *simCall) {
	i := sim.instances[sim.rng.IntN(len(sim.instances))]
	sim.sentRequests++
	id := RequestID(sim.sentRequests)
	i.callsByID[id] = c
	c.refusedAt = 0
	i.apply(RequestArrived{
		Request: id, Class: c.class, Rule: c.rule, Priority: c.priority,
		Deadline: c.deadline, CallerTimeout: c.deadline - sim.now, Objective: sim.now + simObjective,
	})
}

// handleRefusal ends a request of a caller. If the request did not run and the caller has retries left, the caller
// retries after the RetryAfter of the refusal, or after a third of the time left if that is shorter.
func (sim *simulation) handleRefusal(c *simCall, e Effect) {
	c.refusedAt = sim.now
	if c.callerRetries == 0 || !e.NotRun {
		return
	}
	c.callerRetries--
	sim.schedule(min(e.RetryAfter, (c.deadline-sim.now)/3), func() { sim.send(c) })
}

func (i *simInstance) apply(ev Event) {
	for _, e := range i.service.Reduce(Input{Now: i.now, Rand: i.rng.Uint64(), Event: ev}, nil) {
		i.performEffect(e)
	}
}

func (i *simInstance) performEffect(e Effect) {
	switch e.Kind {
	case SendAttempt:
		i.attempts++
		i.callsByID[e.Request].sent = true
		i.schedule(simOneWayDelay, func() { i.serve(e) })
	case SendProbe:
		i.schedule(2*simOneWayDelay, func() {
			i.apply(ProbeEnded{Target: e.Target, OK: !i.targets[e.Target].unhealthy, Load: i.targets[e.Target].report()})
		})
	case SetTimer:
		i.timerNumber++
		number := i.timerNumber
		i.schedule(max(e.At-i.now, 0), func() {
			if number == i.timerNumber {
				i.apply(TimerFired{})
			}
		})
	case Refuse:
		i.handleRefusal(i.callsByID[e.Request], e)
	}
}

// serve runs an attempt on its target, or rejects it if the target is full.
func (i *simInstance) serve(e Effect) {
	t := i.targets[e.Target]
	end := func(outcome AttemptOutcome, reason Reason) {
		load := t.report()
		i.schedule(simOneWayDelay, func() {
			if outcome == OutcomeAnswered {
				i.apply(AttemptCommitted{Request: e.Request, Attempt: e.Attempt})
				if c := i.callsByID[e.Request]; c.refusedAt == 0 && c.answeredAt == 0 {
					c.answeredAt = i.now
				}
			}
			i.apply(AttemptEnded{Request: e.Request, Attempt: e.Attempt, Outcome: outcome, Reason: reason, Load: load})
		})
	}
	run := i.callsByID[e.Request].runTime
	work := func() {
		t.running++
		slowdown := t.slowdown
		if t.running == t.slots {
			slowdown *= simLastSlotSlowdown
		}
		runTimeFactor := (0.7 + 0.6*i.rng.Float64()) * i.hiddenSlowdown
		i.schedule(time.Duration(slowdown*runTimeFactor*float64(run)), func() {
			t.running--
			t.served++
			end(OutcomeAnswered, "")
			if len(t.queuedWork) > 0 {
				next := t.queuedWork[0]
				t.queuedWork = t.queuedWork[1:]
				t.waiting--
				next()
			}
		})
	}
	switch {
	case t.running < t.slots:
		work()
	case t.waiting < t.queueLimit:
		t.waiting++
		t.queuedWork = append(t.queuedWork, work)
	default:
		end(OutcomeRefused, ReasonShed)
	}
}

// shareOf returns the share of calls that accept holds for, among those of the class that arrived in a time span.
func (sim *simulation) shareOf(from, to Instant, class Class, accept func(*simCall) bool) float64 {
	all, good := 0, 0
	for _, c := range sim.calls {
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

// simCapacity is the number of requests per second that the undisturbed targets, two thirds of all, answer with two of
// their three slots in use.
func simCapacity(targets int) float64 { return float64(targets) * 2 * 0.67 / simRunTime.Seconds() }
