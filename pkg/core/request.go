package core

import (
	"slices"
	"time"
)

const (
	// maxHops is the number of instances that a request may have passed; with more it counts as a loop.
	maxHops = 16
	// decisionGrace is the time after the deadline during which the end of an attempt may still prove that the request
	// did not run.
	decisionGrace = 10 * time.Millisecond
)

// phase tells what a request waits for.
type phase uint8

const (
	phaseInFlight phase = iota // an attempt in flight
	phaseBackoff               // the time of its next attempt
	phaseProbing               // load probes of candidate targets
	phaseQueued                // capacity on a target
	phaseDecided               // the ends of its attempts, after Deliver or Refuse
	phaseFree                  // nothing; it may be reused for another request
)

// request is one request until it is decided and all its attempts have ended.
type request struct {
	id       RequestID
	class    Class
	phase    phase
	arrived  Instant
	deadline Instant
	// objective is the latency objective, counted from the caller's first attempt. It can be before the arrival.
	objective Instant
	// waitedBefore is a lower bound of the time that the caller spent on earlier attempts.
	waitedBefore time.Duration
	priority     int
	maxAttempts  int
	timer        timer
	latencies    *latencyStats // of requests with the same rule and class

	probedTargets  []*targetState // targets whose load probes it waits for
	probesDeadline Instant
	probedRemote   bool // targets in other zones were probed too

	attempts        []*attempt // in flight
	triedTargets    []*targetState
	attemptsStarted int // relays not included
	// attemptsReached is the number of ended attempts that may have reached a target. unconnected is set once no
	// connection could be opened for an attempt.
	attemptsReached int
	unconnected     bool
	relayed         bool // by another instance
	relays          int  // number of instances to which it was relayed
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun bool
	callerLeft bool
	// shed is set while the latest attempt that ended was shed.
	shed bool
	// quarantined is set for a non-idempotent request whose attempt in flight is awaited although it must not be retried.
	quarantined bool

	retryAt     Instant
	retryReason Reason
	hedgeAt     Instant
	hedgeDenied bool
	hedged      bool

	notAdmitted, notAdmittedCounted bool // a cold target has not admitted r

	listNode node[request] // in its queue
}

// tried reports whether an attempt of r was sent to t.
func (r *request) tried(t *targetState) bool { return slices.Contains(r.triedTargets, t) }

// pendingAttempt returns the first attempt whose response r still waits for, or nil.
func (r *request) pendingAttempt() *attempt {
	for _, a := range r.attempts {
		if !a.cancelled && !a.dropped {
			return a
		}
	}
	return nil
}

// provedNotRun reports whether every attempt is proved not to have run.
func (r *request) provedNotRun() bool { return !r.mayHaveRun && len(r.attempts) == 0 }

func (r *request) findAttempt(id AttemptID) *attempt {
	for _, a := range r.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// refuseAt returns the time at which r is refused if it is still undecided then.
func (r *request) refuseAt() Instant {
	if r.phase == phaseInFlight {
		return r.deadline + decisionGrace
	}
	return r.deadline
}

func (s *Service) newRequest(now Instant, ev RequestArrived) *request {
	r := &request{}
	if n := len(s.freeRequests); n > 0 {
		r, s.freeRequests = s.freeRequests[n-1], s.freeRequests[:n-1]
	}
	attempts, tried, probed := r.attempts[:0], r.triedTargets[:0], r.probedTargets[:0]
	*r = request{
		id: ev.Request, class: min(ev.Class, numClasses-1), arrived: now, deadline: ev.Deadline,
		objective: ev.Objective, priority: ev.Priority, maxAttempts: ev.MaxAttempts, relayed: ev.Relayed,
		attempts: attempts, triedTargets: tried, probedTargets: probed, retryAt: never, hedgeAt: never, probesDeadline: never,
	}
	r.latencies = s.latencyStatsOf(now, requestKind{rule: ev.Rule, class: r.class})
	if r.objective == 0 {
		r.objective = r.deadline
	} else {
		r.waitedBefore = s.waitedBefore(now, r.latencies, ev.CallerTimeout)
		r.objective -= r.waitedBefore
		if r.waitedBefore == 0 && s.isLate(now, r) {
			// By the run time estimate even an undisturbed target would miss the objective, so the deadline replaces
			// the objective. Otherwise the request would be late from the start and yield to all others. If the
			// estimate is too long, the requests that could correct it might then never run.
			r.objective = r.deadline
		}
	}
	if r.maxAttempts == 0 {
		r.maxAttempts = s.policy.MaxAttempts
	}
	r.timer.request = r
	s.requests[r.id] = r
	return r
}

// scheduleRequest sets the timer of r to the earliest of its due times.
func (s *Service) scheduleRequest(r *request) {
	if r.phase < phaseDecided {
		s.schedule(&r.timer, min(r.refuseAt(), r.retryAt, r.hedgeAt, r.probesDeadline))
	}
}

func (s *Service) onRequestTimer(now Instant, r *request, out []Effect) []Effect {
	switch {
	case now >= r.refuseAt():
		return s.cancelAndRefuse(now, r, ReasonDeadline, out)
	case now >= r.retryAt:
		r.retryAt = never
		return s.sendOrQueue(now, r, out)
	case now >= r.probesDeadline:
		return s.decideOnReports(now, r, out)
	case now >= r.hedgeAt:
		out = s.tryHedge(now, r, out)
	}
	s.scheduleRequest(r)
	return out
}

func (s *Service) requestArrived(now Instant, ev RequestArrived, out []Effect) []Effect {
	if s.requests[ev.Request] != nil {
		return out
	}
	r := s.newRequest(now, ev)
	if ev.Quarantined {
		return s.refuse(now, r, ReasonCrashesTargets, out)
	}
	if !ev.Relayed { // it counts where it arrived first
		s.budget.addRequest(now)
	}
	s.requestsSinceTrial++
	if ev.Relayed && s.reachability.unreachable {
		return s.refuse(now, r, ReasonUnreachable, out)
	}
	if ev.Hops > maxHops {
		return s.refuse(now, r, ReasonLoop, out)
	}
	return s.sendOrQueue(now, r, out)
}

// sendOrQueue sends the next attempt of r, starts load probes for it, queues it or refuses it.
func (s *Service) sendOrQueue(now Instant, r *request, out []Effect) []Effect {
	if now >= r.deadline {
		return s.refuse(now, r, ReasonDeadline, out)
	}
	if !s.stop.allows(r) {
		return s.refuse(now, r, ReasonStopping, out)
	}
	if s.usableCount == 0 {
		return s.refuse(now, r, s.noTargetReason(), out)
	}
	if s.reachability.unreachable && s.canRelay(now, r) {
		return s.relay(now, r, out)
	}
	if s.probesLoad() {
		return s.startLoadProbes(now, r, out)
	}
	if s.queue.length() > 0 {
		out = s.enqueueOrRefuse(now, r, out)
		return s.dispatch(now, nil, out)
	}
	if t := s.chooseTrialTarget(now, r); t != nil {
		return s.sendTrial(now, r, t, out)
	}
	if t := s.chooseTarget(now, r, false); t != nil {
		return s.send(now, r, t, out)
	}
	return s.enqueueOrRefuse(now, r, out)
}

func (s *Service) callerLeft(now Instant, ev CallerLeft, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil || r.phase == phaseDecided {
		return out
	}
	if r.class == ClassOnce && r.phase == phaseInFlight {
		r.callerLeft = true
		return out
	}
	return s.cancelAndRefuse(now, r, ReasonCallerLeft, out)
}

func (s *Service) requestQuarantined(now Instant, ev RequestQuarantined, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil || r.phase == phaseDecided {
		return out
	}
	if r.class == ClassOnce && r.phase == phaseInFlight {
		r.quarantined = true
		return out
	}
	return s.cancelAndRefuse(now, r, ReasonCrashesTargets, out)
}

// cancelAndRefuse removes r from the list in which it waits, cancels its attempts and refuses it.
func (s *Service) cancelAndRefuse(now Instant, r *request, reason Reason, out []Effect) []Effect {
	s.stopWaiting(now, r)
	out = s.cancelExcept(now, r, nil, out)
	return s.refuse(now, r, reason, out)
}

// stopWaiting removes r from the list in which it waits, if any.
func (s *Service) stopWaiting(now Instant, r *request) {
	switch {
	case r.phase == phaseProbing:
		s.endProbing(r)
	case r.phase == phaseQueued && s.probesLoad():
		s.leaveBacklog(now, r)
	case r.phase == phaseQueued:
		s.removeFromQueue(now, r)
	}
}

func (s *Service) refuse(now Instant, r *request, reason Reason, out []Effect) []Effect {
	r.notAdmitted = r.notAdmitted || reason == ReasonWarmup
	out = countNotAdmitted(r, out)
	out = append(out, Effect{
		Kind: Refuse, Request: r.id, Reason: reason, NotRun: r.provedNotRun(), RetryAfter: s.retryAfter(now, r, reason),
		DecisionInfo: s.requestInfo(now, r),
	})
	s.markDecided(r)
	return out
}

func (s *Service) deliver(now Instant, r *request, a *attempt, out []Effect) []Effect {
	out = s.cancelExcept(now, r, a, out)
	out = append(out, Effect{Kind: Deliver, Request: r.id, Attempt: a.id})
	s.markDecided(r)
	return out
}

// markDecided records that r was delivered or refused. r is released once its attempts have ended.
func (s *Service) markDecided(r *request) {
	if r.retryReason != "" {
		s.budget.releaseReserved()
		r.retryReason = ""
	}
	r.phase = phaseDecided
	s.unschedule(&r.timer)
	s.releaseIfDone(r)
}

func (s *Service) releaseIfDone(r *request) {
	if r.phase != phaseDecided || len(r.attempts) > 0 {
		return
	}
	r.phase = phaseFree
	delete(s.requests, r.id)
	clear(r.triedTargets[:cap(r.triedTargets)])
	clear(r.probedTargets[:cap(r.probedTargets)])
	s.freeRequests = append(s.freeRequests, r)
}
