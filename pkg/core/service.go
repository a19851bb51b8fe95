// Package core decides what happens to each request: which target serves it, when it is retried, hedged, queued or
// refused, and what the caller is told.
//
// It is a reducer: Service.Reduce applies one event to the state and returns effects as data. The package has no
// clock, goroutine, I/O or global randomness; time and random draws come with each event, so the same events always
// give the same effects. A Service is not safe for concurrent use; the runtime holds one lock per service.
package core

import (
	"math/rand/v2"
	"time"
)

// Service is the state of one service as one entry instance sees it.
type Service struct {
	policy   Policy
	targets  map[TargetID]*targetState
	order    []*targetState // stable order for choosing
	requests map[RequestID]*request
	lastID   AttemptID
	rng      *rand.PCG
}

type targetState struct {
	Target
	inFlight int
}

type request struct {
	id       RequestID
	class    Class
	deadline Instant
	attempts map[AttemptID]*targetState
	started  int
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun bool
	delivered  bool
}

// NewService returns an empty service.
func NewService(p Policy) *Service {
	return &Service{
		policy:   p,
		targets:  make(map[TargetID]*targetState),
		requests: make(map[RequestID]*request),
		rng:      rand.NewPCG(0, 0),
	}
}

// Reduce applies one event and appends its effects to out, so that a step need not allocate.
func (s *Service) Reduce(in Input, out []Effect) []Effect {
	s.rng.Seed(in.Rand, uint64(in.Now))
	switch ev := in.Event.(type) {
	case TargetsChanged:
		s.setTargets(ev.Targets)
	case PolicyChanged:
		s.policy = ev.Policy
	case RequestArrived:
		return s.arrive(in.Now, ev, out)
	case AttemptCommitted:
		return s.commit(ev, out)
	case AttemptEnded:
		return s.endAttempt(in.Now, ev, out)
	case CallerLeft:
		return s.leave(ev, out)
	}
	return out
}

func (s *Service) setTargets(list []Target) {
	s.order = s.order[:0]
	next := make(map[TargetID]*targetState, len(list))
	for _, t := range list {
		state := s.targets[t.ID]
		if state == nil {
			state = &targetState{}
		}
		state.Target = t
		next[t.ID] = state
		s.order = append(s.order, state)
	}
	s.targets = next
}

func (s *Service) arrive(now Instant, ev RequestArrived, out []Effect) []Effect {
	r := &request{id: ev.Request, class: ev.Class, deadline: ev.Deadline, attempts: make(map[AttemptID]*targetState)}
	s.requests[r.id] = r
	return s.start(now, r, out)
}

func (s *Service) start(now Instant, r *request, out []Effect) []Effect {
	if now >= r.deadline {
		return s.refuse(r, ReasonDeadline, out)
	}
	t := s.choose()
	if t == nil {
		return s.refuse(r, ReasonNoTarget, out)
	}
	s.lastID++
	r.attempts[s.lastID] = t
	r.started++
	t.inFlight++
	return append(out, Effect{
		Kind: SendAttempt, Request: r.id, Attempt: s.lastID, Target: t.ID, At: r.deadline, Fresh: r.class == ClassOnce,
	})
}

// choose compares two random targets by requests in flight.
func (s *Service) choose() *targetState {
	var best *targetState
	for range 2 {
		if len(s.order) == 0 {
			return nil
		}
		t := s.order[s.rng.Uint64()%uint64(len(s.order))]
		if t.Leaving {
			continue
		}
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	return best
}

func (s *Service) commit(ev AttemptCommitted, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil || r.delivered {
		return out
	}
	r.delivered = true
	return append(out, Effect{Kind: Deliver, Request: r.id, Attempt: ev.Attempt})
}

func (s *Service) endAttempt(now Instant, ev AttemptEnded, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil {
		return out
	}
	if t := r.attempts[ev.Attempt]; t != nil {
		t.inFlight--
		delete(r.attempts, ev.Attempt)
	}
	if !ev.Outcome.ProvesNotRun() {
		r.mayHaveRun = true
	}
	if r.delivered {
		if len(r.attempts) == 0 {
			delete(s.requests, r.id)
		}
		return out
	}
	if r.started >= s.policy.MaxAttempts {
		return s.refuse(r, ReasonAttempts, out)
	}
	if r.class == ClassOnce && r.mayHaveRun {
		return s.refuse(r, ReasonMayHaveRun, out)
	}
	out = append(out, Effect{Kind: CountRetry, Reason: ev.Reason})
	return s.start(now, r, out)
}

func (s *Service) leave(ev CallerLeft, out []Effect) []Effect {
	r := s.requests[ev.Request]
	if r == nil || r.delivered || r.class == ClassOnce {
		return out
	}
	for id := range r.attempts {
		out = append(out, Effect{Kind: CancelAttempt, Request: r.id, Attempt: id})
	}
	return s.refuse(r, ReasonCallerLeft, out)
}

func (s *Service) refuse(r *request, why Reason, out []Effect) []Effect {
	r.delivered = true
	if len(r.attempts) == 0 {
		delete(s.requests, r.id)
	}
	return append(out, Effect{Kind: Refuse, Request: r.id, Reason: why, NotRun: !r.mayHaveRun, RetryAfter: time.Second})
}
