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

	timers  timerHeap
	timerAt Instant // due time of the timer that is set; never without one

	requests      map[RequestID]*request
	freeRequests  []*request // requests to be used again
	freeAttempts  []*attempt // attempts to be used again
	lastAttemptID AttemptID
	queue         queue
	budget        budget
	probeBudget   probeBudget
	completions   completionRate

	awaitingProbes  []*request // requests that wait for answers about load
	loadProbeBudget loadProbeBudget
	backlog         backlog
	// contendedAt is the last time at which a request of a priority that could be in time had to wait for room.
	contendedAt [numPriorities]Instant

	targets        map[TargetID]*targetState
	startHistories map[TargetID]*startHistory
	listedTargets  []*targetState // in the order of the instance list
	usableTargets  []*targetState // usable targets, in changing order
	localTargets   []*targetState // usable targets in the own zone, in changing order
	// subset and localSubset are the targets that this instance asks: anywhere, and in its zone.
	subset, localSubset []*targetState
	reportedTargets     []*targetState // targets with a recent report, and maybe others
	usableCount         int
	inFlight            int
	limitSum            float64 // sum of the limits of the usable targets
	nextRoundRobin      int     // next position for round robin
	allFull             bool    // no target had room when all were looked at last
	freedTarget         *targetState

	ejectedCount       int
	awaitingTrial      []*targetState // ejected targets that wait for a trial
	requestsSinceTrial int            // requests since the last trial

	meanOthersInUse float64 // mean of the reported load without our own requests
	latencies       latencyStats
	latenciesByKind map[requestKind]*latencyStats
}

// NewService returns an empty service.
func NewService(p Policy) *Service {
	s := &Service{
		timerAt:         never,
		requests:        make(map[RequestID]*request),
		targets:         make(map[TargetID]*targetState),
		startHistories:  make(map[TargetID]*startHistory),
		latencies:       newLatencyStats(p.HedgeQuantile),
		latenciesByKind: make(map[requestKind]*latencyStats),
	}
	s.setPolicy(0, p)
	return s
}

// Reduce applies one event and appends its effects to out, so that a step need not allocate.
func (s *Service) Reduce(in Input, out []Effect) []Effect {
	s.rng.Seed(in.Rand, uint64(in.Now))
	out = s.apply(in.Now, in.Event, out)
	out = s.runDueTimers(in.Now, out)
	return s.armTimer(out)
}

func (s *Service) apply(now Instant, event Event, out []Effect) []Effect {
	switch ev := event.(type) {
	case RequestArrived:
		return s.requestArrived(now, ev, out)
	case AttemptCommitted:
		return s.attemptCommitted(now, ev, out)
	case AttemptEnded:
		return s.attemptEnded(now, ev, out)
	case CallerLeft:
		return s.callerLeft(now, ev, out)
	case TimerFired:
		s.timerAt = never
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
		s.resumed(now)
	case StopRequested:
		s.stopping = true
	}
	return out
}

func (s *Service) setPolicy(now Instant, p Policy) {
	s.policy = p
	s.latencies.hedge.quantile = p.HedgeQuantile
	for _, l := range s.latenciesByKind {
		l.hedge.quantile = p.HedgeQuantile
	}
	s.refreshTargets(now)
	s.scheduleProbes(now)
}

// resumed discards the load reports: they are older than they look.
func (s *Service) resumed(now Instant) {
	s.resumedAt = now
	for _, t := range s.listedTargets {
		t.hasReport = false
	}
}

// randIntN returns a randIntN number below n.
func (s *Service) randIntN(n int) int {
	high, _ := bits.Mul64(s.rng.Uint64(), uint64(n))
	return int(high)
}

// jitter returns a random duration between half of d and d, so that the instances do not act in step.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.randIntN(int(d/2)+1))
}
