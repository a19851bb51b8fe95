package core

import (
	"slices"
	"strconv"
	"time"
)

// sentAttempt is an attempt as the runtime sees it between SendAttempt and AttemptEnded.
type sentAttempt struct {
	id        AttemptID
	request   *submittedRequest
	target    TargetID
	start     int // start number of the target known when the attempt was sent
	sentAt    Instant
	relay     bool // relayed to another instance
	committed bool
	cancelled bool
}

// submittedRequest is a request with everything that the reducer decided about it.
type submittedRequest struct {
	id       RequestID
	class    Class
	deadline Instant
	attempts int
	// reached is the number of ended attempts that may have reached a target.
	reached    int
	relays     int
	relayed    bool // by another instance
	inFlight   int
	mayHaveRun bool
	// quarantined is set once the request has been quarantined; it must not be sent from then on.
	quarantined bool
	decisions   int
	delivered   AttemptID
}

func (r *submittedRequest) notRun() bool { return r.inFlight == 0 && !r.mayHaveRun }

// fataler is implemented by testing.T and rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// testRuntime stands in for the runtime and checks each effect against its own record of events. The record does not use
// the state of the reducer, so an error in the reducer's accounting is not repeated in the check. Retries count when they
// are sent.
type testRuntime struct {
	fataler
	s             *Service
	now           Instant
	rand          uint64
	timerAt       Instant
	requests      []*submittedRequest
	undecided     []*submittedRequest // in order of arrival
	inFlight      []*sentAttempt
	lastEffects   []Effect // effects of the latest step
	arrivals      []Instant
	retries       []Instant
	hedges        []Instant
	knownStarts   map[TargetID]int // newest start number named by a target list or a probe
	leavingStarts map[string]bool  // start IDs named by a leaving signal
	probing       map[TargetID]bool
	probeTimes    []Instant
	deniedProbes  int // CountDenied effects for probes
	listed        map[TargetID]bool
	limitedSends  map[TargetID][]Instant // since the target last changed its request rate
	cold          *coldRecord
	maxTargets    int               // length of the longest list
	zones         map[TargetID]Zone // of the latest list
	evacuated     map[Zone]bool
	contacts      []TargetID // targets of attempts, probes and connection checks
	// unprobedSince holds, for each target that has not answered a probe since its zone was last evacuated, the end of
	// that evacuation.
	unprobedSince  map[TargetID]Instant
	latestDeadline Instant // of StopRequested; never before
}

func newEmptyTestRuntime(t fataler, p Policy) *testRuntime {
	return &testRuntime{
		fataler: t, s: NewService(p), timerAt: never, latestDeadline: never, rand: 1, knownStarts: make(map[TargetID]int), leavingStarts: make(map[string]bool),
		probing: make(map[TargetID]bool), limitedSends: make(map[TargetID][]Instant), unprobedSince: make(map[TargetID]Instant),
		cold: newColdRecord(),
	}
}

func startID(id TargetID, start int) string { return string(id) + "/" + strconv.Itoa(start) }

// step applies one event at the current time and checks its effects.
func (rt *testRuntime) step(ev Event) []Effect {
	rt.rand = rt.rand*6364136223846793005 + 1442695040888963407 // linear congruential generator (Knuth's MMIX)
	rt.recordEvent(ev)
	rt.lastEffects = rt.s.Reduce(Input{Now: rt.now, Rand: rt.rand, Event: ev}, nil)
	for _, e := range rt.lastEffects {
		rt.checkEffect(e)
	}
	rt.checkBudgets()
	rt.checkState()
	return rt.lastEffects
}

// recordEvent records what the checks need of an event.
func (rt *testRuntime) recordEvent(ev Event) {
	rt.cold.record(rt.now, &rt.s.policy, ev)
	switch ev := ev.(type) {
	case TimerFired:
		rt.timerAt = never
	case ProbeEnded:
		delete(rt.probing, ev.Target)
		if ev.OK || ev.Load.Slots > 0 || ev.Statement.Responded {
			delete(rt.unprobedSince, ev.Target)
		}
	case EvacuationChanged:
		before := rt.evacuated
		rt.evacuated = make(map[Zone]bool)
		for _, z := range ev.Zones {
			rt.evacuated[z] = true
		}
		for id, z := range rt.zones {
			if before[z] && !rt.evacuated[z] {
				rt.unprobedSince[id] = rt.now
			}
		}
	case StopRequested:
		rt.latestDeadline = ev.LatestDeadline
	case RequestQuarantined:
		rt.submitted(ev.Request).quarantined = true
	case TargetsChanged:
		rt.listed = make(map[TargetID]bool)
		before := rt.unprobedSince
		rt.unprobedSince = make(map[TargetID]Instant)
		rt.zones = make(map[TargetID]Zone)
		for _, t := range ev.Targets {
			rt.listed[t.ID], rt.zones[t.ID] = true, t.Zone
			if at, ok := before[t.ID]; ok {
				rt.unprobedSince[t.ID] = at
			}
		}
		rt.maxTargets = max(rt.maxTargets, len(rt.listed))
		for id := range rt.probing {
			if !rt.listed[id] {
				delete(rt.probing, id)
			}
		}
	}
}

// checkProbe checks that a health probe may be sent to its target, and that the cost of all probes in a window stays
// within this instance's share. The window is longer than BudgetWindow by ProbeTimeout, because the runtime may send a
// probe up to ProbeTimeout after the SendProbe effect.
func (rt *testRuntime) checkProbe(e Effect) {
	p := rt.s.policy
	if rt.probing[e.Target] || !rt.listed[e.Target] || rt.leavingStarts[startID(e.Target, rt.knownStarts[e.Target])] {
		rt.Fatalf("probe of %s, which is unlisted, leaving or probed already", e.Target)
	}
	rt.probing[e.Target] = true
	if p.Selection == SelectAsk {
		return // load probes have a budget of their own
	}
	rt.probeTimes = append(rt.probeTimes, rt.now)
	n := 0
	for n < len(rt.probeTimes) && rt.now-rt.probeTimes[len(rt.probeTimes)-1-n] <= BudgetWindow+ProbeTimeout {
		n++
	}
	slots := float64(rt.maxTargets * p.SlotsPerTarget)
	if limit := p.ProbeShare * slots * float64(BudgetWindow) / float64(p.InstanceCount); float64(n)*float64(p.ProbeCost) > limit {
		rt.Fatalf("%d probes in the window cost more than %v", n, time.Duration(limit))
	}
}

func (rt *testRuntime) checkEffect(e Effect) {
	if e.Kind == SendAttempt || e.Kind == SendProbe || e.Kind == CheckConnection {
		rt.contacts = append(rt.contacts, e.Target)
		if rt.evacuated[rt.zones[e.Target]] {
			rt.Fatalf("effect of kind %d for %s in an evacuated zone", e.Kind, e.Target)
		}
	}
	switch e.Kind {
	case SendProbe:
		rt.checkProbe(e)
	case CountDenied:
		if e.Reason == ReasonProbe {
			rt.deniedProbes++
		}
	case SendAttempt:
		rt.checkSend(e)
	case RelayAttempt:
		rt.checkRelay(e)
	case CancelAttempt:
		a := rt.findAttempt(e.Attempt)
		if a == nil || a.cancelled || a.request.decisions > 0 {
			rt.Fatalf("attempt %d cancelled after its end, twice or after the decision", e.Attempt)
		}
		a.cancelled = true
	case Deliver:
		a := rt.findAttempt(e.Attempt)
		if a == nil || !a.committed || a.cancelled || a.request.id != e.Request {
			rt.Fatalf("delivered attempt %d without a usable response", e.Attempt)
		}
		a.request.decisions++
		a.request.delivered = a.id
	case Refuse:
		r := rt.submitted(e.Request)
		r.decisions++
		if e.NotRun != r.notRun() {
			rt.Fatalf("request %d refused with NotRun %v, want %v", e.Request, e.NotRun, r.notRun())
		}
		if e.RetryAfter <= 0 {
			rt.Fatalf("request %d refused without RetryAfter", e.Request)
		}
	case SetTimer:
		if e.At <= rt.now {
			rt.Fatalf("SetTimer with a time that is not in the future")
		}
		rt.timerAt = e.At
	case ReportRateLimit:
		rt.limitedSends[e.Target] = nil
	case CountRetry:
		rt.retries = append(rt.retries, rt.now)
	case CountHedge:
		rt.hedges = append(rt.hedges, rt.now)
	}
}

func (rt *testRuntime) checkSend(e Effect) {
	r := rt.submitted(e.Request)
	switch {
	case rt.mayOutlastStop(r):
		rt.Fatalf("attempt for request %d, whose deadline %v exceeds %v, the latest during the stop", r.id, r.deadline, rt.latestDeadline)
	case r.decisions > 0:
		rt.Fatalf("attempt for the decided request %d", r.id)
	case r.quarantined:
		rt.Fatalf("attempt for the quarantined request %d", r.id)
	case r.class == ClassOnce && !r.notRun():
		rt.Fatalf("second attempt for the once request %d without proof that the first did not run", r.id)
	case rt.now >= r.deadline || e.At != r.deadline:
		rt.Fatalf("attempt for request %d with deadline %v at %v: too late, or not the deadline of the request", r.id, e.At, rt.now)
	case rt.leavingStarts[startID(e.Target, rt.knownStarts[e.Target])]:
		rt.Fatalf("attempt to the leaving target %s", e.Target)
	}
	rt.checkProbed(e.Target)
	rt.checkRequestRate(e.Target)
	rt.checkWarmup(e.Target)
	r.attempts++
	r.inFlight++
	if r.attempts > rt.s.policy.MaxAttempts {
		rt.Fatalf("request %d has %d attempts, more than MaxAttempts", r.id, r.attempts)
	}
	rt.inFlight = append(rt.inFlight, &sentAttempt{id: e.Attempt, request: r, target: e.Target, start: rt.knownStarts[e.Target], sentAt: rt.now})
}

// checkRelay checks that a request may be relayed to another instance.
func (rt *testRuntime) checkRelay(e Effect) {
	r := rt.submitted(e.Request)
	switch {
	case rt.mayOutlastStop(r):
		rt.Fatalf("request %d relayed, whose deadline %v exceeds %v, the latest during the stop", r.id, r.deadline, rt.latestDeadline)
	case r.decisions > 0 || r.quarantined || r.relayed || r.relays >= maxRelays || rt.now >= r.deadline:
		rt.Fatalf("request %d relayed although it is decided, quarantined, from another instance, relayed too often or late", r.id)
	case r.class == ClassOnce && !r.notRun():
		rt.Fatalf("once request %d relayed without proof that it did not run", r.id)
	case e.MaxAttempts < 1 || e.MaxAttempts > rt.s.policy.MaxAttempts-r.reached:
		rt.Fatalf("request %d relayed with %d attempts, %d may have reached targets", r.id, e.MaxAttempts, r.reached)
	}
	r.relays++
	r.inFlight++
	rt.inFlight = append(rt.inFlight, &sentAttempt{id: e.Attempt, request: r, relay: true, sentAt: rt.now})
}

// checkRequestRate checks that the attempts on a target since its latest statement of a request rate, each span of them,
// stay within the share of this instance, plus one for the token and one for each rateLimitTTL.
func (rt *testRuntime) checkRequestRate(id TargetID) {
	var rate *float64
	for _, t := range rt.s.View(rt.now).Targets {
		if t.ID == id {
			rate = t.RequestRate
		}
	}
	if rate == nil {
		return
	}
	sends := append(rt.limitedSends[id], rt.now)
	rt.limitedSends[id] = sends
	share := *rate/float64(rt.s.policy.InstanceCount) + 1/rateLimitTTL.Seconds()
	for i, at := range sends {
		if allowed := 1 + share*(rt.now-at).Seconds(); float64(len(sends)-i) > allowed+0.001 {
			rt.Fatalf("%d attempts on %s in %v exceed its request rate %v", len(sends)-i, id, rt.now-at, *rate)
		}
	}
}

func (rt *testRuntime) checkState() {
	onTargets := 0
	for _, a := range rt.inFlight {
		if !a.relay {
			onTargets++
		}
	}
	if rt.s.inFlight != onTargets {
		rt.Fatalf("%d attempts in flight, want %d", rt.s.inFlight, onTargets)
	}
	rt.undecided = slices.DeleteFunc(rt.undecided, func(r *submittedRequest) bool { return r.decisions == 1 })
	for _, r := range rt.undecided {
		if r.decisions > 1 || r.decisions == 0 && rt.now >= r.deadline+2*decisionGrace {
			rt.Fatalf("request %d has %d decisions at %v, deadline %v", r.id, r.decisions, rt.now, r.deadline)
		}
		if r.inFlight == 0 && rt.mayOutlastStop(r) {
			rt.Fatalf("request %d with deadline %v waits, which exceeds %v, the latest during the stop", r.id, r.deadline, rt.latestDeadline)
		}
	}
	view := rt.s.View(rt.now)
	usable, ejected := 0, 0
	for _, t := range view.Targets {
		if t.InFlight < 0 {
			rt.Fatalf("negative number of attempts in flight on %s", t.ID)
		}
		if t.Status != TargetStatusLeaving && t.Status != TargetStatusEvacuated {
			usable++
		}
		if t.Status == TargetStatusEjected {
			ejected++
		}
	}
	if ejected > usable/maxEjectedDivisor {
		rt.Fatalf("%d of %d usable targets ejected, which exceeds the limit", ejected, usable)
	}
	for class, n := range view.Queued {
		if n < 0 || n > rt.s.policy.QueueLimit {
			rt.Fatalf("%d requests of class %s queued, want 0 to QueueLimit", n, class)
		}
	}
	for _, t := range rt.s.usableTargets {
		// The wait for a rate limit is rounded up, so its timer may be due a nanosecond after the limit admits a request.
		due := t.timer.heapPosition != 0 && t.timer.at-rt.now <= time.Nanosecond
		waits := rt.s.queue.length() > 0 && rt.s.inFlightOutsideEvacuation() < rt.s.serviceLimit() && !due
		if waits && rt.now >= t.slowStartUntil && rt.s.hasCapacity(t, rt.now) {
			rt.Fatalf("requests are queued while %s has capacity", t.id)
		}
	}
	if len(rt.s.timers) > 0 && rt.timerAt > rt.s.timers[0].at {
		rt.Fatalf("the runtime's timer is later than the next due time %v", rt.s.timers[0].at)
	}
}

func (rt *testRuntime) findAttempt(id AttemptID) *sentAttempt {
	for _, a := range rt.inFlight {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (rt *testRuntime) submitted(id RequestID) *submittedRequest { return rt.requests[id-1] }

// submit submits a request whose deadline is the given timeout from now, and returns it.
func (rt *testRuntime) submit(class Class, timeout time.Duration) *submittedRequest {
	return rt.submitAfterHops(0, class, timeout)
}

// submitAfterHops submits a request that has passed the given number of instances.
func (rt *testRuntime) submitAfterHops(hops int, class Class, timeout time.Duration) *submittedRequest {
	return rt.arrive(RequestArrived{Class: class, Deadline: rt.now + timeout, Hops: hops})
}

// arrive submits a request and sets the event's ID.
func (rt *testRuntime) arrive(ev RequestArrived) *submittedRequest {
	ev.Request = RequestID(len(rt.requests) + 1)
	r := &submittedRequest{id: ev.Request, class: ev.Class, deadline: ev.Deadline, relayed: ev.Relayed}
	rt.requests = append(rt.requests, r)
	rt.undecided = append(rt.undecided, r)
	if !ev.Relayed {
		rt.arrivals = append(rt.arrivals, rt.now)
	}
	rt.step(ev)
	return r
}

// commit reports a response of a and, unless the response was delivered, the end of a.
func (rt *testRuntime) commit(a *sentAttempt, failed, gaveUp bool) {
	a.committed = true
	rt.step(AttemptCommitted{Request: a.request.id, Attempt: a.id, Failed: failed, GaveUp: gaveUp})
	if a.request.delivered != a.id {
		rt.endAttempt(a, AttemptEnded{Outcome: OutcomeAnswered, Failed: failed, GaveUp: gaveUp})
	}
}

// endAttempt reports the end of a and fills in the IDs of ev.
func (rt *testRuntime) endAttempt(a *sentAttempt, ev AttemptEnded) []Effect {
	ev.Request, ev.Attempt = a.request.id, a.id
	for i, other := range rt.inFlight {
		if other == a {
			rt.inFlight = append(rt.inFlight[:i], rt.inFlight[i+1:]...)
			break
		}
	}
	a.request.inFlight--
	if !a.relay && ev.Outcome != OutcomeNotSent {
		a.request.reached++
	}
	if !ev.Outcome.ProvesNotRun() {
		a.request.mayHaveRun = true
	}
	return rt.step(ev)
}

// answer reports a successful response of a and its end.
func (rt *testRuntime) answer(a *sentAttempt) {
	rt.commit(a, false, false)
	if a.request.delivered == a.id {
		rt.endAttempt(a, AttemptEnded{Outcome: OutcomeAnswered})
	}
}

// refusal returns the Refuse effect of the latest step.
func (rt *testRuntime) refusal() Effect {
	for _, e := range rt.lastEffects {
		if e.Kind == Refuse {
			return e
		}
	}
	rt.Fatalf("no refusal in %+v", rt.lastEffects)
	return Effect{}
}

// setTargets replaces the targets by n targets in three zones.
func (rt *testRuntime) setTargets(n int) {
	var list []Target
	for i := range n {
		list = append(list, Target{ID: targetID(i), Zone: Zone("abc"[i%3 : i%3+1]), Start: startID(targetID(i), 0)})
	}
	rt.step(TargetsChanged{Targets: list})
}

// generateTraffic submits a request of the class every interval for the time d and answers each attempt after the
// latency of its target. It returns the number of attempts by target.
func (rt *testRuntime) generateTraffic(d, interval time.Duration, class Class, latency func(TargetID) time.Duration) map[TargetID]int {
	sends := make(map[TargetID]int)
	last := rt.s.lastAttemptID
	for end := rt.now + d; rt.now < end; rt.advance(interval) {
		rt.submit(class, 10*time.Second)
		for i := 0; i < len(rt.inFlight); i++ {
			a := rt.inFlight[i]
			if a.id > last {
				last = a.id
				sends[a.target]++
			}
			if !a.cancelled && rt.now-a.sentAt >= latency(a.target) {
				rt.answer(a)
				i = -1 // the attempts in flight have changed
			}
		}
		for i := 0; i < len(rt.inFlight); i++ {
			if a := rt.inFlight[i]; a.cancelled {
				rt.endAttempt(a, AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, Failed: true})
				i = -1
			}
		}
	}
	return sends
}

// advance moves the time forward by d and fires the timer whenever it is due.
func (rt *testRuntime) advance(d time.Duration) {
	end := rt.now + d
	for rt.timerAt <= end {
		rt.now = max(rt.now, rt.timerAt)
		rt.step(TimerFired{})
	}
	rt.now = end
}
