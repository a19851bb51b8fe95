package core

import (
	"slices"
	"strconv"
	"time"
)

// sent is an attempt as the runtime sees it between SendAttempt and AttemptEnded.
type sent struct {
	id        AttemptID
	request   *asked
	target    TargetID
	start     int
	at        Instant
	committed bool
	cancelled bool
}

// asked is a request with everything that the reducer decided about it.
type asked struct {
	id         RequestID
	class      Class
	deadline   Instant
	attempts   int
	live       int
	mayHaveRun bool
	decided    int
	delivered  AttemptID
}

func (a *asked) notRun() bool { return a.live == 0 && !a.mayHaveRun }

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// runtime plays the runtime's part and checks each effect against its own record of events. It shares no state with the
// reducer, so that an error in the reducer's accounting cannot hide itself.
type runtime struct {
	fataler
	s        *Service
	now      Instant
	rand     uint64
	armed    Instant
	requests []*asked
	open     []*asked // not decided, in order of arrival
	live     []*sent
	last     []Effect // effects of the latest step
	arrivals []Instant
	retries  []Instant
	hedges   []Instant
	told     map[TargetID]int // newest start that a list, an answer or a probe named
	left     map[string]bool  // starts that a leaving sign named
	probing  map[TargetID]bool
	probes   []Instant // times of all probes
	denied   int       // probes that were counted as denied
	listed   map[TargetID]bool
	most     int // targets on the longest list
}

func newRuntime(t fataler, p Policy) *runtime {
	return &runtime{
		fataler: t, s: NewService(p), armed: never, rand: 1, told: make(map[TargetID]int), left: make(map[string]bool),
		probing: make(map[TargetID]bool),
	}
}

func startID(id TargetID, start int) string { return string(id) + "/" + strconv.Itoa(start) }

// step applies one event at the current time and checks its effects.
func (rt *runtime) step(ev Event) []Effect {
	rt.rand = rt.rand*6364136223846793005 + 1442695040888963407
	before := rt.s.budget.total.retries
	rt.s.budget.advance(rt.now)
	before = min(before, rt.s.budget.total.retries)
	rt.note(ev)
	rt.last = rt.s.Reduce(Input{Now: rt.now, Rand: rt.rand, Event: ev}, nil)
	for range rt.s.budget.total.retries - before {
		rt.retries = append(rt.retries, rt.now)
	}
	for _, e := range rt.last {
		rt.check(e)
	}
	rt.checkBudgets()
	rt.checkState()
	return rt.last
}

// note takes from an event what the checks need.
func (rt *runtime) note(ev Event) {
	switch ev := ev.(type) {
	case TimerFired:
		rt.armed = never
	case ProbeEnded:
		delete(rt.probing, ev.Target)
	case TargetsChanged:
		rt.listed = make(map[TargetID]bool)
		for _, t := range ev.Targets {
			rt.listed[t.ID] = true
		}
		rt.most = max(rt.most, len(rt.listed))
		for id := range rt.probing {
			if !rt.listed[id] {
				delete(rt.probing, id)
			}
		}
	}
}

// checkProbe compares the probes with the share of this instance in the longest window that the runtime can make of one.
func (rt *runtime) checkProbe(e Effect) {
	p := rt.s.policy
	if rt.probing[e.Target] || !rt.listed[e.Target] || rt.left[startID(e.Target, rt.told[e.Target])] {
		rt.Fatalf("probe of %s, which is unlisted, leaving or probed already", e.Target)
	}
	rt.probing[e.Target] = true
	rt.probes = append(rt.probes, rt.now)
	n := 0
	for n < len(rt.probes) && rt.now-rt.probes[len(rt.probes)-1-n] <= BudgetWindow+ProbeTimeout {
		n++
	}
	slots := float64(rt.most * p.SlotsPerTarget)
	if limit := p.ProbeShare * slots * float64(BudgetWindow) / float64(p.Instances); float64(n)*float64(p.ProbeCost) > limit {
		rt.Fatalf("%d probes in the window cost more than %v", n, time.Duration(limit))
	}
}

func (rt *runtime) check(e Effect) {
	switch e.Kind {
	case SendProbe:
		rt.checkProbe(e)
	case CountDenied:
		if e.Reason == ReasonProbe {
			rt.denied++
		}
	case SendAttempt:
		rt.checkSend(e)
	case CancelAttempt:
		a := rt.find(e.Attempt)
		if a == nil || a.cancelled || a.request.decided > 0 {
			rt.Fatalf("attempt %d cancelled after its end, twice or after the decision", e.Attempt)
		}
		a.cancelled = true
	case Deliver:
		a := rt.find(e.Attempt)
		if a == nil || !a.committed || a.cancelled || a.request.id != e.Request {
			rt.Fatalf("delivered attempt %d without a usable answer", e.Attempt)
		}
		a.request.decided++
		a.request.delivered = a.id
	case Refuse:
		r := rt.asked(e.Request)
		r.decided++
		if e.NotRun != r.notRun() {
			rt.Fatalf("request %d refused with NotRun %v, want %v", e.Request, e.NotRun, r.notRun())
		}
		if e.RetryAfter <= 0 {
			rt.Fatalf("request %d refused without RetryAfter", e.Request)
		}
	case SetTimer:
		if e.At <= rt.now {
			rt.Fatalf("timer set for the past")
		}
		rt.armed = e.At
	case CountHedge:
		rt.hedges = append(rt.hedges, rt.now)
	}
}

func (rt *runtime) checkSend(e Effect) {
	r := rt.asked(e.Request)
	switch {
	case r.decided > 0:
		rt.Fatalf("attempt for the decided request %d", r.id)
	case r.class == ClassOnce && !r.notRun():
		rt.Fatalf("second attempt for the once request %d without proof that the first did not run", r.id)
	case rt.now >= r.deadline || e.At != r.deadline:
		rt.Fatalf("attempt for request %d with deadline %v at %v", r.id, e.At, rt.now)
	case rt.left[startID(e.Target, rt.told[e.Target])]:
		rt.Fatalf("attempt to the leaving target %s", e.Target)
	}
	r.attempts++
	r.live++
	if r.attempts > rt.s.policy.MaxAttempts {
		rt.Fatalf("request %d has %d attempts", r.id, r.attempts)
	}
	rt.live = append(rt.live, &sent{id: e.Attempt, request: r, target: e.Target, start: rt.told[e.Target], at: rt.now})
}

// checkBudgets compares the retries and hedges just decided with the requests in the exact window.
func (rt *runtime) checkBudgets() {
	p := rt.s.policy
	if n := len(rt.retries); n > 0 && rt.retries[n-1] == rt.now {
		if got := recent(rt.retries, rt.now); float64(got) > float64(p.RetryFloor)+p.RetryRatio*rt.recentRequests() {
			rt.Fatalf("%d retries for %v requests in the window", got, rt.recentRequests())
		}
	}
	if n := len(rt.hedges); n > 0 && rt.hedges[n-1] == rt.now {
		if got := recent(rt.hedges, rt.now); float64(got) > float64(p.HedgeFloor)+p.HedgeRatio*rt.recentRequests() {
			rt.Fatalf("%d hedges for %v requests in the window", got, rt.recentRequests())
		}
	}
}

func (rt *runtime) recentRequests() float64 { return float64(recent(rt.arrivals, rt.now)) }

func recent(times []Instant, now Instant) int {
	n := 0
	for n < len(times) && now-times[len(times)-1-n] < BudgetWindow {
		n++
	}
	return n
}

func (rt *runtime) checkState() {
	if rt.s.inFlight != len(rt.live) {
		rt.Fatalf("%d attempts in flight, want %d", rt.s.inFlight, len(rt.live))
	}
	rt.open = slices.DeleteFunc(rt.open, func(r *asked) bool { return r.decided == 1 })
	for _, r := range rt.open {
		if r.decided > 1 || r.decided == 0 && rt.now >= r.deadline+2*decisionGrace {
			rt.Fatalf("request %d has %d decisions at %v, deadline %v", r.id, r.decided, rt.now, r.deadline)
		}
	}
	view := rt.s.View(rt.now)
	usable, ejected := 0, 0
	for _, t := range view.Targets {
		if t.InFlight < 0 {
			rt.Fatalf("negative requests in flight on %s", t.ID)
		}
		if t.State != TargetLeft {
			usable++
		}
		if t.State == TargetEjected {
			ejected++
		}
	}
	if ejected > usable/maxEjectedDivisor {
		rt.Fatalf("%d of %d targets ejected", ejected, usable)
	}
	for class, n := range view.Queued {
		if n < 0 || n > rt.s.policy.QueueLimit {
			rt.Fatalf("%d requests of class %s queued", n, class)
		}
	}
	for _, t := range rt.s.all {
		waits := rt.s.queue.length() > 0 && rt.s.inFlight < rt.s.serviceLimit()
		if waits && rt.now >= t.slowStartUntil && rt.s.hasCapacity(t, rt.now) {
			rt.Fatalf("requests wait while %s has room", t.id)
		}
	}
	if len(rt.s.timers) > 0 && rt.armed > rt.s.timers[0].at {
		rt.Fatalf("no timer for the due time %v", rt.s.timers[0].at)
	}
}

func (rt *runtime) find(id AttemptID) *sent {
	for _, a := range rt.live {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (rt *runtime) asked(id RequestID) *asked { return rt.requests[id-1] }

// arrive submits a request with the given time until its deadline and returns it.
func (rt *runtime) arrive(class Class, limit time.Duration) *asked {
	return rt.arriveAfter(0, class, limit)
}

// arriveAfter submits a request that has passed hops entry instances.
func (rt *runtime) arriveAfter(hops int, class Class, limit time.Duration) *asked {
	r := &asked{id: RequestID(len(rt.requests) + 1), class: class, deadline: rt.now + limit}
	rt.requests = append(rt.requests, r)
	rt.open = append(rt.open, r)
	rt.arrivals = append(rt.arrivals, rt.now)
	rt.step(RequestArrived{Request: r.id, Class: class, Deadline: r.deadline, Hops: hops})
	return r
}

// commit reports an answer of a and, unless it was delivered, its end.
func (rt *runtime) commit(a *sent, failed, gaveUp bool) {
	a.committed = true
	rt.step(AttemptCommitted{Request: a.request.id, Attempt: a.id, Failed: failed, GaveUp: gaveUp})
	if a.request.delivered != a.id {
		rt.end(a, AttemptEnded{Outcome: OutcomeAnswered, Failed: failed, GaveUp: gaveUp})
	}
}

// end reports the end of a; ev needs no ids.
func (rt *runtime) end(a *sent, ev AttemptEnded) []Effect {
	ev.Request, ev.Attempt = a.request.id, a.id
	for i, other := range rt.live {
		if other == a {
			rt.live = append(rt.live[:i], rt.live[i+1:]...)
			break
		}
	}
	a.request.live--
	if !ev.Outcome.ProvesNotRun() {
		a.request.mayHaveRun = true
	}
	return rt.step(ev)
}

// answer commits and ends a.
func (rt *runtime) answer(a *sent) {
	rt.commit(a, false, false)
	if a.request.delivered == a.id {
		rt.end(a, AttemptEnded{Outcome: OutcomeAnswered})
	}
}

// refusal returns the Refuse effect of the latest step.
func (rt *runtime) refusal() Effect {
	for _, e := range rt.last {
		if e.Kind == Refuse {
			return e
		}
	}
	rt.Fatalf("no refusal in %+v", rt.last)
	return Effect{}
}

// list replaces the targets by n targets in three zones.
func (rt *runtime) list(n int) {
	var list []Target
	for i := range n {
		list = append(list, Target{ID: targetID(i), Zone: Zone("abc"[i%3 : i%3+1]), Start: startID(targetID(i), 0)})
	}
	rt.step(TargetsChanged{Targets: list})
}

// play sends a request of the class every interval for the time d and answers each attempt after the latency of its
// target. It returns the number of attempts by target.
func (rt *runtime) play(d, interval time.Duration, class Class, latency func(TargetID) time.Duration) map[TargetID]int {
	sends := make(map[TargetID]int)
	last := rt.s.lastID
	for end := rt.now + d; rt.now < end; rt.advance(interval) {
		rt.arrive(class, 10*time.Second)
		for i := 0; i < len(rt.live); i++ {
			a := rt.live[i]
			if a.id > last {
				last = a.id
				sends[a.target]++
			}
			if !a.cancelled && rt.now-a.at >= latency(a.target) {
				rt.answer(a)
				i = -1 // the list has changed
			}
		}
		for i := 0; i < len(rt.live); i++ {
			if a := rt.live[i]; a.cancelled {
				rt.end(a, AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, Failed: true})
				i = -1
			}
		}
	}
	return sends
}

// advance lets time pass, firing the timer whenever it is due.
func (rt *runtime) advance(d time.Duration) {
	end := rt.now + d
	for rt.armed <= end {
		rt.now = max(rt.now, rt.armed)
		rt.step(TimerFired{})
	}
	rt.now = end
}
