// Package core decides what happens to each request: which target serves it, when it is retried, hedged, queued or
// refused, and what the caller is told.
//
// It is a reducer: Service.Reduce applies one event to the state and returns effects as data. The package has no
// clock, goroutine, I/O or global randomness; time and random draws come with each event, so the same events always
// give the same effects. A Service is not safe for concurrent use; the runtime holds one lock per service.
package core

import (
	"math/bits"
	"math/rand/v2"
	"time"
)

// Service is the state of one service as one entry instance sees it.
type Service struct {
	policy   Policy
	rng      rand.PCG
	stopping bool
	// resumedAt is the end of the last pause of this process.
	resumedAt Instant

	timers dueHeap
	armed  Instant // due time of the timer that is set; never without one

	requests map[RequestID]*request
	idle     []*request // requests to be used again
	spare    []*attempt // attempts to be used again
	lastID   AttemptID
	queue    queue
	budget   budget
	probes   probeBudget
	drained  drainRate

	asking    []*request // requests that wait for answers about load
	askBudget loadProbeBudget
	backlog   backlog
	// pressedAt is the last time at which a request of a priority that could be in time had to wait for room.
	pressedAt [numPriorities]Instant

	targets  map[TargetID]*targetState
	lineages map[TargetID]*startHistory
	order    []*targetState // in the order of the instance list
	all      []*targetState // usable targets, in changing order
	local    []*targetState // usable targets in the own zone, in changing order
	// near and nearLocal are the targets that this instance asks: anywhere, and in its zone.
	near, nearLocal []*targetState
	reported        []*targetState // targets with a recent report, and maybe others
	usable          int
	inFlight        int
	limitSum        float64 // sum of the limits of the usable targets
	turn            int     // next position for round robin
	full            bool    // no target had room when all were looked at last
	freed           *targetState

	ejected    int
	trials     []*targetState // ejected targets that wait for a trial
	sinceTrial int            // requests since the last trial

	meanOthers float64 // mean of the reported load without our own requests
	latencies  latencyStats
	kinds      map[requestKind]*latencyStats
}

// NewService returns an empty service.
func NewService(p Policy) *Service {
	s := &Service{
		armed:     never,
		requests:  make(map[RequestID]*request),
		targets:   make(map[TargetID]*targetState),
		lineages:  make(map[TargetID]*startHistory),
		latencies: newLatencyStats(p.HedgeQuantile),
		kinds:     make(map[requestKind]*latencyStats),
	}
	s.setPolicy(0, p)
	return s
}

// Reduce applies one event and appends its effects to out, so that a step need not allocate.
func (s *Service) Reduce(in Input, out []Effect) []Effect {
	s.rng.Seed(in.Rand, uint64(in.Now))
	out = s.apply(in.Now, in.Event, out)
	out = s.expire(in.Now, out)
	return s.arm(out)
}

func (s *Service) apply(now Instant, event Event, out []Effect) []Effect {
	switch ev := event.(type) {
	case RequestArrived:
		return s.arrive(now, ev, out)
	case AttemptCommitted:
		return s.commit(now, ev, out)
	case AttemptEnded:
		return s.endAttempt(now, ev, out)
	case CallerLeft:
		return s.callerLeft(now, ev, out)
	case TimerFired:
		s.armed = never
	case TargetsChanged:
		s.setTargets(now, ev.Targets)
		return s.dispatch(now, nil, out)
	case PolicyChanged:
		s.setPolicy(now, ev.Policy)
		return s.dispatch(now, nil, out)
	case TargetLeaving:
		s.targetLeaving(now, ev)
		return s.dispatch(now, nil, out)
	case LoadReported:
		if t := s.targets[ev.Target]; t != nil {
			s.recordLoad(now, t, ev.Load, ev.Age)
		}
	case ProbeEnded:
		return s.probeEnded(now, ev, out)
	case Resumed:
		s.resume(now)
	case StopRequested:
		s.stopping = true
	}
	return out
}

func (s *Service) setPolicy(now Instant, p Policy) {
	s.policy = p
	s.latencies.hedge.quantile = p.HedgeQuantile
	for _, l := range s.kinds {
		l.hedge.quantile = p.HedgeQuantile
	}
	s.refreshTargets(now)
	s.scheduleProbes(now)
}

// resume discards the load reports: they are older than they look.
func (s *Service) resume(now Instant) {
	s.resumedAt = now
	for _, t := range s.order {
		t.hasReport = false
	}
}

// random returns a random number below n.
func (s *Service) random(n int) int {
	high, _ := bits.Mul64(s.rng.Uint64(), uint64(n))
	return int(high)
}

// jitter returns a random duration between half of d and d, so that the instances do not act in step.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random(int(d/2)+1))
}
