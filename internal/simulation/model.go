// Package simulation plays load patterns through the reducers of a whole fleet, against a model of targets whose speed
// changes several times a second. This is the load that the selection "ask" and the backlog are made for. It models what
// callers see and does not measure the program.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/relay"
)

const (
	slowdownInterval = 300 * time.Millisecond // time between two changes of a target's slowdown
	slowShare        = 0.33                   // share of the targets that are slow at a time
	highSlowdown     = 4.0                    // slowdown of such a target
	lastSlotSlowdown = 1.6                    // slowdown of a request that takes the last slot
	oneWayDelay      = 500 * time.Microsecond // between instance and target
)

// target is the model of one target. Up to queueLimit requests beyond its slots wait in it.
type target struct {
	slots, queueLimit int
	running, waiting  int
	slowdown          float64
	queuedWork        []func() // functions that start the waiting requests, in order
	unhealthy         bool     // probes are answered with a failure
	shedShare         float64  // share of the requests that it sheds although it has room
	rateLimit         float64  // requests per second that it states to accept; 0 for no limit
	arrivals          []core.Instant
	coldFrom          core.Instant
	coldUntil         core.Instant   // warm from then on
	coldArrivals      []core.Instant // since coldFrom
	mostWhileCold     int            // most requests within coldWindow
	evacuated         bool           // its zone is
	evacuatedFrom     core.Instant   // all instances know the order from then on
	despiteOrder      int            // requests that were sent after that time
	served            int
}

// statement returns what the target states on a response.
func (t *target) statement() core.Statement {
	return core.Statement{Responded: true, RequestRate: t.rateLimit, HasRequestRate: t.rateLimit > 0}
}

func (t *target) report() core.LoadReport {
	return core.LoadReport{InUse: t.running + t.waiting, Slots: t.slots, Slowdown: t.slowdown}
}

// call is one request of a caller, with its repetitions after refusals, and its result.
type call struct {
	load        *Load
	retriesLeft int
	arrived     core.Instant
	objective   core.Instant
	deadline    core.Instant
	answeredAt  core.Instant // zero without an answer
	refusedAt   core.Instant // zero without a refusal
	sent        bool         // an attempt was sent to a target
	reached     bool         // an attempt of the latest request has reached a target
}

func (c *call) answered() bool { return c.answeredAt > 0 }

func (c *call) inTime() bool { return c.answered() && c.answeredAt <= c.objective }

type event struct {
	at     core.Instant
	seq    int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// fleet is one run of the model.
type fleet struct {
	pattern        *Pattern
	now            core.Instant
	seq            int
	queue          eventQueue
	rng            *rand.Rand
	targetIDs      []core.TargetID
	targets        map[core.TargetID]*target
	list           []core.Target
	instances      []*instance
	calls          []*call
	sentRequests   int            // requests sent by callers, retries included
	attempts       int            // attempts sent by instances
	requestTimes   []core.Instant // of the requests of callers, retries included
	repeatTimes    []core.Instant // at which an attempt after the first of its request reached a target
	hiddenSlowdown float64        // slowdown of all targets that their reports do not show
}

// instance is one instance of the load balancer.
type instance struct {
	*fleet
	service     *core.Service
	policy      core.Policy
	view        []string // instances that it knows
	startedAt   core.Instant
	list        []core.Target // as received
	callsByID   map[core.RequestID]*call
	timerNumber int                       // number of the latest timer; earlier ones are ignored
	partitioned bool                      // from all targets
	selector    *relay.Selector           // nil until a request is relayed
	origins     map[core.RequestID]origin // of requests that other instances have relayed
}

func newFleet(p *Pattern, o Options, seed uint64) *fleet {
	f := &fleet{pattern: p, hiddenSlowdown: 1, rng: rand.New(rand.NewPCG(seed, 2)), targets: make(map[core.TargetID]*target)}
	for i := range p.Targets {
		id := core.TargetID(fmt.Sprint("t", i))
		f.targetIDs = append(f.targetIDs, id)
		f.targets[id] = &target{slots: p.Slots, queueLimit: p.Queue, slowdown: 1}
		f.list = append(f.list, core.Target{ID: id, Zone: p.zone(i * p.Zones / p.Targets)})
	}
	var instanceIDs []string
	for n := range p.Instances {
		instanceIDs = append(instanceIDs, fmt.Sprint("instance-", n))
	}
	for n, id := range instanceIDs {
		policy := o.policy(p)
		policy.InstanceID, policy.Zone = id, p.zone(n)
		i := &instance{fleet: f, policy: policy, view: p.view(instanceIDs, n), callsByID: make(map[core.RequestID]*call), origins: make(map[core.RequestID]origin)}
		f.instances = append(f.instances, i)
		i.startService()
		i.apply(core.FleetChanged{Instances: i.view})
	}
	f.changeSlowdowns()
	for i := range p.Loads {
		f.at(p.Loads[i].From.Std(), func() { f.startLoad(&p.Loads[i]) })
	}
	for i := range p.Faults {
		fault := &p.Faults[i]
		f.at(fault.From.Std(), func() { f.setFault(fault, true) })
		f.at((fault.From + fault.For).Std(), func() { f.setFault(fault, false) })
	}
	return f
}

// at runs an action at a time from the start, or at once if the time is 0.
func (f *fleet) at(when time.Duration, action func()) {
	if when == 0 {
		action()
		return
	}
	f.schedule(when, action)
}

// setFault begins or ends a fault.
func (f *fleet) setFault(fault *Fault, active bool) {
	value := 0.0
	if active {
		value = fault.Strength
	}
	if fault.Kind == FaultHiddenSlowdown {
		f.hiddenSlowdown = max(value, 1)
		return
	}
	if fault.Kind == FaultPartition {
		f.setPartition(fault, active)
		return
	}
	if fault.Kind == FaultRestart {
		if active {
			f.restart(f.instances[:int(fault.Strength*float64(len(f.instances))+0.5)])
		}
		return
	}
	first := int(fault.Skip*float64(f.pattern.Targets) + 0.5)
	affected := f.targetIDs[first:][:f.pattern.affectedTargets(*fault)]
	if fault.Kind == FaultEvacuate {
		f.evacuate(affected, active)
		return
	}
	if fault.Kind == FaultCold {
		if active {
			f.setCold(affected, f.now+fault.For.Std())
		}
		return
	}
	for _, id := range affected {
		switch fault.Kind {
		case FaultShed:
			f.targets[id].shedShare = value
		case FaultUnhealthy:
			f.targets[id].unhealthy = active
		case FaultRateLimit:
			f.targets[id].rateLimit = value
		}
	}
}

func (f *fleet) schedule(d time.Duration, action func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + d, f.seq, action})
}

func (f *fleet) runUntil(until core.Instant) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.action()
	}
	f.now = until
}

// changeSlowdowns gives each target a new slowdown.
func (f *fleet) changeSlowdowns() {
	for _, id := range f.targetIDs {
		t := f.targets[id]
		t.slowdown = 1
		if f.rng.Float64() < slowShare {
			t.slowdown = highSlowdown
		}
	}
	f.schedule(slowdownInterval, f.changeSlowdowns)
}

// startLoad sends requests to random instances. Callers wait for the deadline of the load or up to a fifth longer.
func (f *fleet) startLoad(l *Load) {
	perSecond := l.PerSecond + l.Rate*f.pattern.capacity()
	end := f.now + l.For.Std()
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		c := &call{load: l, retriesLeft: l.CallerRetries, arrived: f.now, objective: f.now + l.Objective.Std()}
		c.deadline = f.now + time.Duration((1+f.rng.Float64()/5)*float64(l.Deadline))
		f.calls = append(f.calls, c)
		f.send(c)
		f.schedule(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// send sends a request of a caller to a random instance.
func (f *fleet) send(c *call) {
	i := f.instances[f.rng.IntN(len(f.instances))]
	f.sentRequests++
	f.requestTimes = append(f.requestTimes, f.now)
	id := core.RequestID(f.sentRequests)
	i.callsByID[id] = c
	c.refusedAt, c.reached = 0, false
	ev := c.arrivedEvent(i)
	ev.Request = id
	i.apply(ev)
}

// arrivedEvent returns the event that submits a request of a caller to an instance, without its ID.
func (c *call) arrivedEvent(i *instance) core.RequestArrived {
	return core.RequestArrived{
		Class: c.load.class, Rule: c.load.Rule, Priority: c.load.Priority,
		Deadline: c.deadline - i.startedAt, CallerTimeout: c.deadline - i.now, Objective: i.processTime() + c.load.Objective.Std(),
	}
}

// handleRefusal ends a request of a caller. If the request did not run and the caller has retries left, the caller
// retries after the RetryAfter of the refusal, or after a third of the time left if that is shorter.
func (f *fleet) handleRefusal(c *call, e core.Effect) {
	c.refusedAt = f.now
	if c.retriesLeft == 0 || !e.NotRun {
		return
	}
	c.retriesLeft--
	f.schedule(min(e.RetryAfter, (c.deadline-f.now)/3), func() { f.send(c) })
}

// processTime is the time since the start of the process.
func (i *instance) processTime() core.Instant { return i.now - i.startedAt }

func (i *instance) apply(ev core.Event) {
	for _, e := range i.service.Reduce(core.Input{Now: i.processTime(), Rand: i.rng.Uint64(), Event: ev}, nil) {
		i.performEffect(e)
	}
}

func (i *instance) performEffect(e core.Effect) {
	switch e.Kind {
	case core.SendAttempt:
		if i.partitioned {
			i.failToConnect(e)
			return
		}
		i.attempts++
		i.callsByID[e.Request].sent = true
		sentAt := i.now
		i.schedule(oneWayDelay, func() { i.serve(e, sentAt) })
	case core.SendProbe:
		sentAt := i.now
		i.schedule(2*oneWayDelay, func() {
			if sentAt < i.startedAt {
				return
			}
			t := i.targets[e.Target]
			if i.partitioned {
				i.apply(core.ProbeEnded{Target: e.Target, Unreachable: true})
				return
			}
			i.apply(core.ProbeEnded{Target: e.Target, OK: !t.unhealthy, Load: t.report(), Statement: t.warmupStatement(i.now, t.statement())})
		})
	case core.SetTimer:
		i.timerNumber++
		number := i.timerNumber
		i.schedule(max(e.At-i.processTime(), 0), func() {
			if number == i.timerNumber {
				i.apply(core.TimerFired{})
			}
		})
	case core.CheckConnection:
		i.schedule(2*oneWayDelay, func() {
			i.apply(core.ConnectionChecked{Target: e.Target, OK: !i.partitioned, Unreachable: i.partitioned})
		})
	case core.RelayAttempt:
		i.relay(e)
	case core.Refuse:
		i.refused(e)
	}
}

// serve runs an attempt on its target, or rejects it if the target is full.
func (i *instance) serve(e core.Effect, sentAt core.Instant) {
	t := i.targets[e.Target]
	t.recordArrival(i.now, sentAt)
	c := i.callsByID[e.Request]
	if c.reached {
		i.repeatTimes = append(i.repeatTimes, i.now)
	}
	c.reached = true
	end := func(outcome core.AttemptOutcome, reason core.Reason) {
		load, statement := t.report(), t.statement()
		i.schedule(oneWayDelay, func() {
			if sentAt < i.startedAt {
				return // the instance has restarted
			}
			if outcome == core.OutcomeAnswered {
				i.apply(core.AttemptCommitted{Request: e.Request, Attempt: e.Attempt, Statement: statement})
				i.answered(e.Request)
			}
			i.apply(core.AttemptEnded{
				Request: e.Request, Attempt: e.Attempt, Outcome: outcome, Reason: reason, Load: load, Statement: statement,
			})
		})
	}
	run := c.load.RunTime.Std()
	work := func() {
		t.running++
		slowdown := t.slowdown
		if i.now < t.coldUntil {
			slowdown *= coldSlowdown
		}
		if t.running == t.slots {
			slowdown *= lastSlotSlowdown
		}
		runTimeFactor := (0.7 + 0.6*i.rng.Float64()) * i.hiddenSlowdown
		i.schedule(time.Duration(slowdown*runTimeFactor*float64(run)), func() {
			t.running--
			t.served++
			end(core.OutcomeAnswered, "")
			if len(t.queuedWork) > 0 {
				next := t.queuedWork[0]
				t.queuedWork = t.queuedWork[1:]
				t.waiting--
				next()
			}
		})
	}
	switch {
	case t.shedShare > 0 && i.rng.Float64() < t.shedShare:
		end(core.OutcomeRefused, core.ReasonShed)
	case t.running < t.slots:
		work()
	case t.waiting < t.queueLimit:
		t.waiting++
		t.queuedWork = append(t.queuedWork, work)
	default:
		end(core.OutcomeRefused, core.ReasonShed)
	}
}
