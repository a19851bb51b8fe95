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

// Service is the state of one service as one instance sees it.
type Service struct {
	policy Policy
	fleet  []string // IDs of the instances that share the targets; empty while unknown
	rng    rand.PCG
	stop   stopState
	// resumedAt is the end of the last pause of this process.
	resumedAt Instant

	timers  timerHeap
	timerAt Instant // due time of the runtime's timer; equals never if none is set

	requests          map[RequestID]*request
	freeRequests      []*request // for reuse
	freeAttempts      []*attempt // for reuse
	lastAttemptID     AttemptID
	queue             queue
	budget            budget
	healthProbeBudget healthProbeBudget // with SelectAsk, only its timer is used, which runs onBacklogTimer
	completions       completionRate

	awaitingProbes  []*request // requests that wait for load probes
	loadProbeBudget loadProbeBudget
	backlog         backlog
	// contendedAt is, for each priority, the last time at which a request that could meet its objective had to wait for
	// free slots.
	contendedAt [numPriorities]Instant

	reachability     reachability
	relayPausedUntil Instant
	otherInstances   *targetState // stands for the target of relayed attempts

	targets        map[TargetID]*targetState
	startHistories map[TargetID]*startHistory
	evacuatedZones []Zone
	listedTargets  []*targetState // in the order of the target list
	usableTargets  []*targetState // selection changes the order
	localTargets   []*targetState // usable targets in this instance's zone; selection changes the order
	// subset holds the targets that this instance probes for their load, localSubset those of them in its zone.
	subset, localSubset []*targetState
	reportedTargets     []*targetState // all targets with a recent load report, and possibly others
	coldTargets         []*targetState // all targets in warm-up, and possibly others
	changedWarmups      []*targetState // targets that have become cold or warm in this step
	warmthAge           time.Duration  // age of a statement about the warm-up above which a target's state is unknown
	fleetJoinedAt       Instant        // time at which the first other instance was known
	fleetUnsettled      bool           // the instance is still learning of others, until fleetSettlesAt
	fleetSettlesAt      Instant
	shareVersion        int // counts the changes on which the shares in the rates of cold targets depend
	usableCount         int
	inFlight            int
	limitSum            float64      // sum of the limits of the usable targets
	lastRoundRobin      int          // index in listedTargets of the latest choice by round robin
	allFull             bool         // the latest scan of all targets found none with capacity
	freedTarget         *targetState // target that may have gained capacity during dispatch, or nil

	ejectedCount       int
	awaitingTrial      []*targetState // ejected targets that wait for a trial request
	requestsSinceTrial int

	meanOthersInUse float64      // mean reported load without the requests of this instance
	latencies       latencyStats // of all requests
	latenciesByKind map[requestKind]*latencyStats
}

// NewService returns a service without targets.
func NewService(p Policy) *Service {
	s := &Service{
		timerAt:         never,
		requests:        make(map[RequestID]*request),
		targets:         make(map[TargetID]*targetState),
		startHistories:  make(map[TargetID]*startHistory),
		latencies:       newLatencyStats(p.HedgeQuantile),
		latenciesByKind: make(map[requestKind]*latencyStats),
		otherInstances:  &targetState{starts: &startHistory{}},
	}
	s.reachability.timer.reachability = true
	s.setPolicy(0, p)
	return s
}

// Successor returns a service with the policy, the retry budget, the leaving signals and the evacuated zones of s, but
// without targets and requests. It replaces a service whose state may be inconsistent after a panic.
func (s *Service) Successor() *Service {
	successor := NewService(s.policy)
	successor.startHistories = s.startHistories
	successor.fleet = s.fleet
	successor.budget = s.budget
	successor.budget.reserved = 0 // the requests are lost
	successor.stop = s.stop
	successor.evacuatedZones = s.evacuatedZones
	return successor
}

// Reduce applies one event and appends its effects to out, so that a step need not allocate.
func (s *Service) Reduce(in Input, out []Effect) []Effect {
	s.rng.Seed(in.Rand, uint64(in.Now))
	s.updateWarmup(in.Now)
	out = s.apply(in.Now, in.Event, out)
	out = s.runDueTimers(in.Now, out)
	out = s.reportWarmups(in.Now, out)
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
	case RequestQuarantined:
		return s.requestQuarantined(now, ev, out)
	case CallerLeft:
		return s.callerLeft(now, ev, out)
	case TimerFired:
		s.timerAt = never
	case TargetsChanged:
		out = s.setTargets(now, ev.Targets, out)
		return s.dispatch(now, nil, out)
	case PolicyChanged:
		s.setPolicy(now, ev.Policy)
		return s.dispatch(now, nil, out)
	case EvacuationChanged:
		return s.setEvacuatedZones(now, ev.Zones, out)
	case FleetChanged:
		s.setFleet(now, ev.Instances)
	case TargetLeaving:
		out = s.targetLeaving(now, ev, out)
		return s.dispatch(now, nil, out)
	case LoadReported:
		if t := s.targets[ev.Target]; t != nil {
			s.recordLoad(now, t, ev.Load, ev.Age)
			return s.dispatch(now, t, out)
		}
	case ProbeEnded:
		return s.probeEnded(now, ev, out)
	case ConnectionChecked:
		return s.connectionChecked(now, ev, out)
	case Resumed:
		s.resumed(now)
	case StopRequested:
		return s.stopRequested(now, ev, out)
	}
	return out
}

func (s *Service) setPolicy(now Instant, p Policy) {
	s.policy = p
	s.latencies.hedge.quantile = p.HedgeQuantile
	for _, l := range s.latenciesByKind {
		l.hedge.quantile = p.HedgeQuantile
	}
	s.reviewWarmups(now)
	s.refreshTargets(now)
	s.scheduleProbes(now)
}

// resumed discards the load reports, because a pause of the process can make them older than their recorded age.
func (s *Service) resumed(now Instant) {
	s.resumedAt = now
	for _, t := range s.listedTargets {
		t.hasReport = false
	}
}

// randIntN returns a random number in [0, n).
func (s *Service) randIntN(n int) int {
	high, _ := bits.Mul64(s.rng.Uint64(), uint64(n))
	return int(high)
}

// randFloat returns a random number in [0, 1).
func (s *Service) randFloat() float64 {
	const scale = 1 << 20
	return float64(s.randIntN(scale)) / scale
}

// jitter returns a random duration between half of d and d, so that instances do not act in lockstep.
func (s *Service) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.randIntN(int(d/2)+1))
}
