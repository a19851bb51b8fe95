package core

import (
	"slices"
	"time"
)

// attempt is one attempt in flight.
type attempt struct {
	id        AttemptID
	request   *request
	target    *targetState
	start     string // start of the target that was known when it was sent
	sentAt    Instant
	answered  Instant // time of AttemptCommitted or of the cancellation; never before that
	cancelled bool
	dropped   bool // its answer is not delivered
	trial     bool
	// estimate is when the target was expected to answer, in multiples of an undisturbed run; 0 without an estimate.
	estimate float64

	place node[attempt] // on its target
}

// elapsed returns the time to the answer. The rest of the attempt depends on how fast the caller reads.
func (a *attempt) elapsed(now Instant) time.Duration { return min(a.answered, now) - a.sentAt }

// send sends an attempt of r to t.
func (s *Service) send(now Instant, r *request, t *targetState, out []Effect) []Effect {
	a, basis := s.startAttempt(now, r, t)
	if r.retryReason != "" {
		out = append(out, Effect{Kind: CountRetry, Target: t.id, Reason: r.retryReason})
		r.retryReason = ""
	}
	r.phase = phaseActive
	s.planHedge(now, r)
	s.scheduleRequest(r)
	return s.emitSend(r, a, basis, out)
}

// startAttempt adds an attempt of r on t and returns what the choice rests on.
func (s *Service) startAttempt(now Instant, r *request, t *targetState) (*attempt, Basis) {
	basis := s.basis(now, r, t)
	a := s.addAttempt(now, r, t)
	a.estimate = basis.Estimate
	return a, basis
}

// basis describes what the choice of t for r rests on, before the attempt is added.
func (s *Service) basis(now Instant, r *request, t *targetState) Basis {
	b := s.situation(now, r)
	b.Attempt++
	if t.hasReport {
		b.Report = LoadReport{InUse: t.reportedInUse, Slots: t.slots, Pace: t.slowdown}
		b.Age = now - t.reportedAt
	}
	if s.probesLoad() {
		b.Estimate = s.responseEstimate(t, now)
	}
	return b
}

// situation describes how r stands, without a target.
func (s *Service) situation(now Instant, r *request) Basis {
	b := Basis{Waited: now - r.arrived, WaitedBefore: r.waitedBefore, Attempt: r.started, Waiting: len(s.backlog.waiting) + s.queue.length()}
	if s.probesLoad() {
		b.Run = s.runTime(r)
	}
	return b
}

func (s *Service) sendTrial(now Instant, r *request, t *targetState, out []Effect) []Effect {
	out = s.send(now, r, t, out)
	r.attempts[0].trial = true
	r.hedgeAt = now + trialHedgeRatio*s.typicalLatencyFor(r)
	s.scheduleRequest(r)
	return out
}

func (s *Service) emitSend(r *request, a *attempt, basis Basis, out []Effect) []Effect {
	return append(out, Effect{
		Kind: SendAttempt, Request: r.id, Attempt: a.id, Target: a.target.id, At: r.deadline, Fresh: r.class == ClassOnce,
		Basis: basis,
	})
}

func (s *Service) addAttempt(now Instant, r *request, t *targetState) *attempt {
	a := &attempt{}
	if n := len(s.spare); n > 0 {
		a, s.spare = s.spare[n-1], s.spare[:n-1]
	}
	s.lastID++
	*a = attempt{id: s.lastID, request: r, target: t, start: t.starts.current, sentAt: now, answered: never}
	t.attempts.push(&a.place, a)
	t.inFlight++
	t.sentSinceReport++
	s.inFlight++
	r.started++
	r.attempts = append(r.attempts, a)
	r.targets = append(r.targets, t)
	return a
}

func (s *Service) removeAttempt(a *attempt) {
	t, r := a.target, a.request
	t.attempts.remove(&a.place)
	t.inFlight--
	s.inFlight--
	i := slices.Index(r.attempts, a)
	r.attempts = slices.Delete(r.attempts, i, i+1)
	s.spare = append(s.spare, a)
}

// cancelExcept cancels the attempts of r other than winner, which may be nil.
func (s *Service) cancelExcept(now Instant, r *request, winner *attempt, out []Effect) []Effect {
	for _, a := range r.attempts {
		if a == winner || a.cancelled || a.dropped {
			continue
		}
		a.cancelled = true
		a.answered = now
		out = append(out, Effect{Kind: CancelAttempt, Request: r.id, Attempt: a.id})
	}
	return out
}

// commit decides on an answer that is ready. Answers to decided requests and of cancelled attempts are ignored.
func (s *Service) commit(now Instant, ev AttemptCommitted, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil {
		return out
	}
	a := r.find(ev.Attempt)
	if a == nil || a.cancelled || a.dropped {
		return out
	}
	a.answered = min(a.answered, now)
	if r.phase == phaseDecided {
		return out
	}
	if !ev.Failed || ev.GaveUp || r.class == ClassOnce {
		return s.deliver(now, r, a, out)
	}
	return s.commitFailed(now, r, a, out)
}

// commitFailed drops a whole 5xx answer when another attempt is in flight or can follow, and delivers it otherwise.
func (s *Service) commitFailed(now Instant, r *request, a *attempt, out []Effect) []Effect {
	a.dropped = true
	r.mayHaveRun = true
	if r.pending() != nil {
		return out
	}
	why, out := s.planRetry(now, r, ReasonFailed, out)
	if why == "" {
		s.scheduleRequest(r)
		return out
	}
	a.dropped = false
	return s.deliver(now, r, a, out)
}

// endAttempt frees the slot of an attempt and decides how its request goes on.
func (s *Service) endAttempt(now Instant, ev AttemptEnded, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil {
		return out
	}
	a := r.find(ev.Attempt)
	if a == nil {
		return out
	}
	out = s.recordAttempt(now, a, ev, out)
	dropped := a.dropped
	s.removeAttempt(a)
	s.drained.count(now)
	if !ev.Outcome.ProvesNotRun() {
		r.mayHaveRun = true
	}
	if r.phase == phaseActive && !dropped && r.pending() == nil {
		out = s.proceed(now, r, ev, out)
	}
	t := a.target
	s.forget(r)
	return s.dispatch(now, t, out)
}

// proceed retries or refuses a request whose attempts have all ended without an answer to deliver.
func (s *Service) proceed(now Instant, r *request, ev AttemptEnded, out []Effect) []Effect {
	if ev.GaveUp {
		return s.refuse(now, r, ReasonNested, out)
	}
	why, out := s.planRetry(now, r, ev.Reason, out)
	if why != "" {
		return s.refuse(now, r, why, out)
	}
	s.scheduleRequest(r)
	return out
}
