package core

import (
	"slices"
	"time"
)

const (
	// maxHops is the number of entry instances that a call may have passed before it counts as a loop.
	maxHops = 16
	// decisionGrace is the time after the deadline during which the end of an attempt may still prove that the request
	// did not run.
	decisionGrace = 10 * time.Millisecond
)

// phase tells what an undecided request waits for.
type phase uint8

const (
	phaseActive    phase = iota // an attempt in flight
	phaseBackoff                // the time of its next attempt
	phaseAsking                 // the answers of targets that were asked for their load
	phaseQueued                 // room on a target
	phaseDecided                // the ends of its attempts, after Deliver or Refuse
	phaseForgotten              // nothing; it may be used for another request
)

// request is one request until it is decided and all its attempts have ended.
type request struct {
	id       RequestID
	class    Class
	phase    phase
	arrived  Instant
	deadline Instant
	// objective is the time until which an answer has its full value. It may have passed before the arrival.
	objective Instant
	// waitedBefore is how long the caller has waited at least for earlier attempts.
	waitedBefore time.Duration
	priority     int
	maxAttempts  int
	due          due
	latencies    *latencyStats // of requests of its kind

	asked       []*targetState // targets whose answers it waits for
	askUntil    Instant
	askedRemote bool // targets outside the zone were asked too

	attempts []*attempt // in flight
	targets  []*targetState
	started  int
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun bool
	callerLeft bool

	retryAt     Instant
	retryReason Reason
	hedgeAt     Instant
	hedgeDenied bool
	hedged      bool

	place node[request] // in its queue
}

// tried reports whether an attempt of r was sent to t.
func (r *request) tried(t *targetState) bool { return slices.Contains(r.targets, t) }

// pending returns the first attempt whose answer r still waits for, or nil.
func (r *request) pending() *attempt {
	for _, a := range r.attempts {
		if !a.cancelled && !a.dropped {
			return a
		}
	}
	return nil
}

// notRun reports whether every attempt is proved not to have run.
func (r *request) notRun() bool { return !r.mayHaveRun && len(r.attempts) == 0 }

func (r *request) find(id AttemptID) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// decideAt is the time at which r is refused if nothing else decides it.
func (r *request) decideAt() Instant {
	if r.phase == phaseActive {
		return r.deadline + decisionGrace
	}
	return r.deadline
}

func (s *Service) newRequest(now Instant, ev RequestArrived) *request {
	r := &request{}
	if n := len(s.idle); n > 0 {
		r, s.idle = s.idle[n-1], s.idle[:n-1]
	}
	attempts, targets, asked := r.attempts[:0], r.targets[:0], r.asked[:0]
	*r = request{
		id: ev.Request, class: min(ev.Class, numClasses-1), arrived: now, deadline: ev.Deadline,
		objective: ev.Objective, priority: ev.Priority, maxAttempts: ev.MaxAttempts,
		attempts: attempts, targets: targets, asked: asked, retryAt: never, hedgeAt: never, askUntil: never,
	}
	r.latencies = s.latencyStatsOf(now, requestKind{rule: ev.Rule, class: r.class})
	if r.objective == 0 {
		r.objective = r.deadline
	} else {
		r.waitedBefore = s.waitedBefore(now, r.latencies, ev.Stated)
		r.objective -= r.waitedBefore
		if r.waitedBefore == 0 && s.isLate(now, r) {
			// No target could meet the objective, so that it says nothing about this request. If it were late from the
			// start, it would yield to all others and never show that its run time was taken for too long.
			r.objective = r.deadline
		}
	}
	if r.maxAttempts == 0 {
		r.maxAttempts = s.policy.MaxAttempts
	}
	r.due.request = r
	s.requests[r.id] = r
	return r
}

// scheduleRequest sets the next time at which something happens to r.
func (s *Service) scheduleRequest(r *request) {
	if r.phase < phaseDecided {
		s.schedule(&r.due, min(r.decideAt(), r.retryAt, r.hedgeAt, r.askUntil))
	}
}

func (s *Service) requestDue(now Instant, r *request, out []Effect) []Effect {
	switch {
	case now >= r.decideAt():
		return s.abandon(now, r, ReasonDeadline, out)
	case now >= r.retryAt:
		r.retryAt = never
		return s.start(now, r, out)
	case now >= r.askUntil:
		return s.decideOnReports(now, r, out)
	case now >= r.hedgeAt:
		out = s.hedge(now, r, out)
	}
	s.scheduleRequest(r)
	return out
}

func (s *Service) arrive(now Instant, ev RequestArrived, out []Effect) []Effect {
	if s.requests[ev.Request] != nil {
		return out
	}
	r := s.newRequest(now, ev)
	s.budget.addRequest(now)
	s.sinceTrial++
	if ev.Hops > maxHops {
		return s.refuse(now, r, ReasonLoop, out)
	}
	return s.start(now, r, out)
}

// start sends the next attempt of r, or queues or refuses r.
func (s *Service) start(now Instant, r *request, out []Effect) []Effect {
	if now >= r.deadline {
		return s.refuse(now, r, ReasonDeadline, out)
	}
	if s.usable == 0 {
		return s.refuse(now, r, ReasonNoTarget, out)
	}
	if s.probesLoad() {
		return s.startLoadProbes(now, r, out)
	}
	if s.queue.length() > 0 {
		out = s.admit(now, r, out)
		return s.dispatch(now, nil, out)
	}
	if t := s.chooseTrialTarget(now, r); t != nil {
		return s.sendTrial(now, r, t, out)
	}
	if t := s.choose(now, r, false); t != nil {
		return s.send(now, r, t, out)
	}
	return s.admit(now, r, out)
}

func (s *Service) callerLeft(now Instant, ev CallerLeft, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil || r.phase == phaseDecided {
		return out
	}
	if r.class == ClassOnce && r.phase == phaseActive {
		r.callerLeft = true
		return out
	}
	return s.abandon(now, r, ReasonCallerLeft, out)
}

// abandon cancels the attempts of r and refuses it.
func (s *Service) abandon(now Instant, r *request, why Reason, out []Effect) []Effect {
	switch {
	case r.phase == phaseAsking:
		s.endProbing(r)
	case r.phase == phaseQueued && s.probesLoad():
		s.leaveBacklog(now, r)
	case r.phase == phaseQueued:
		s.dequeue(now, r)
	}
	out = s.cancelExcept(now, r, nil, out)
	return s.refuse(now, r, why, out)
}

func (s *Service) refuse(now Instant, r *request, why Reason, out []Effect) []Effect {
	out = append(out, Effect{
		Kind: Refuse, Request: r.id, Reason: why, NotRun: r.notRun(), RetryAfter: s.retryAfter(now, r),
		Basis: s.situation(now, r),
	})
	s.decide(r)
	return out
}

func (s *Service) deliver(now Instant, r *request, a *attempt, out []Effect) []Effect {
	out = s.cancelExcept(now, r, a, out)
	out = append(out, Effect{Kind: Deliver, Request: r.id, Attempt: a.id})
	s.decide(r)
	return out
}

// decide ends the waiting of r; it is forgotten once its attempts have ended.
func (s *Service) decide(r *request) {
	r.phase = phaseDecided
	s.unschedule(&r.due)
	s.forget(r)
}

func (s *Service) forget(r *request) {
	if r.phase != phaseDecided || len(r.attempts) > 0 {
		return
	}
	r.phase = phaseForgotten
	delete(s.requests, r.id)
	clear(r.targets[:cap(r.targets)])
	clear(r.asked[:cap(r.asked)])
	s.idle = append(s.idle, r)
}
