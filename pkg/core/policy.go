package core

import "time"

// Selection names a target selection method. SelectRandom, SelectRoundRobin and SelectTwoChoices are baselines for
// measurements: they respect leaving signals and in-flight limits, but ignore zones, load reports, backoff, slow start
// and ejections. Retries, hedges and queues are the same with all methods except SelectAsk.
type Selection string

// The selection methods besides SelectAsk.
const (
	// SelectRandom takes a random target with capacity.
	SelectRandom Selection = "random"
	// SelectRoundRobin takes the targets with capacity in turn.
	SelectRoundRobin Selection = "round-robin"
	// SelectTwoChoices takes two random targets and uses the one with fewer attempts of this instance in flight.
	SelectTwoChoices Selection = "two-choices"
	// SelectLoad compares a few random targets by their attempts in flight and their reported load, which is discounted
	// by its age.
	SelectLoad Selection = "load"
	// SelectLoadLatency is SelectLoad with the load multiplied by the latency estimate.
	SelectLoadLatency Selection = "load-latency"
)

// Selections lists all selection methods.
var Selections = []Selection{SelectRandom, SelectRoundRobin, SelectTwoChoices, SelectLoad, SelectLoadLatency, SelectAsk}

// Policy holds the tunable values of one service. The zero value is not usable; start from DefaultPolicy.
type Policy struct {
	// Selection is the target selection method.
	Selection Selection
	// Zone is the availability zone of this instance; targets there are preferred.
	Zone Zone
	// SlotsPerTarget is the expected number of slots, used until a target reports its own.
	SlotsPerTarget int
	// InstanceCount is the number of load balancer instances that share the targets.
	InstanceCount int
	// FirstAttemptShare distinguishes a caller's first attempt from its retries. A request counts as a retry by the
	// caller if its caller timeout is below FirstAttemptShare times the longest one stated recently with the same rule
	// and class. The objective of a retry counts from the estimated time of the caller's first attempt. 0 treats every
	// request as a first attempt.
	FirstAttemptShare float64
	// QueueLimit bounds the queued requests of each class; with SelectAsk, of all classes together.
	QueueLimit int
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts int
	// RetryRatio is the share of requests that may be retried over BudgetWindow.
	RetryRatio float64
	// StartRetryRatio replaces RetryRatio in the first BudgetWindow of a process: before a restart, it may have used its
	// share of a budget that all instances share.
	StartRetryRatio float64
	// RetryFloor is the number of retries that each instance may always make per BudgetWindow.
	RetryFloor int
	// RetrySlack and HedgeSlack are the retries and hedges allowed per BudgetWindow to all instances together in
	// addition to the ratios. Each instance uses 1/InstanceCount of them, so the bound holds if InstanceCount is at
	// least the true number of instances.
	RetrySlack, HedgeSlack float64
	// RetriesIncludeHedges makes the retry budget a limit for retries and hedges together. The hedge budget is then a
	// part of it, and retries use what hedges leave.
	RetriesIncludeHedges bool
	// HedgeRatio is the share of requests that may be hedged over BudgetWindow.
	HedgeRatio float64
	// HedgeFloor is the number of hedges that each instance may always make per BudgetWindow.
	HedgeFloor int
	// HedgeQuantile is the quantile of recent latency after which an idempotent attempt is hedged.
	HedgeQuantile float64
	// ProbeShare is the share of the targets' slot time that all instances together spend on health probes over
	// BudgetWindow. 0, the default, turns health probes off; a runtime that performs SendProbe sets it. The bound holds
	// if InstanceCount is at least the true number of instances.
	ProbeShare float64
	// ProbeCost is the slot time that one health probe takes.
	ProbeCost time.Duration
	// LoadProbesLocal is the number of targets in the zone of this instance that SelectAsk probes for a request. If
	// none of them has a good response estimate, SelectAsk probes LoadProbesRemote targets in all zones.
	LoadProbesLocal, LoadProbesRemote int
	// LoadProbeSubset is the size of the subset of targets to which SelectAsk limits its probes: this many targets in
	// the zone of this instance and half as many in other zones. 0 means all targets.
	LoadProbeSubset int
	// InstanceID identifies this instance. The subset of targets that the instance probes depends on it, and for which
	// targets with a limited request rate it is a sender.
	InstanceID string
	// LoadProbesPerTarget bounds the load probes per second that all instances together send to a target, averaged over
	// the targets.
	LoadProbesPerTarget float64
	// Headroom is the share of a target's slots that SelectAsk uses. Small targets are an exception: with the default,
	// SelectAsk uses all slots of a target that has at most three.
	Headroom float64
	// WarmupRate is the number of requests per second that a cold target tolerates from all instances together. 0, the
	// default, means that requests to cold targets are not bounded.
	WarmupRate float64
	// Warmup is how long a target is cold after its start.
	Warmup time.Duration
	// WarmupOvershoot and WarmupSlack bound the requests to a cold target in any one second: WarmupRate times
	// WarmupOvershoot, plus WarmupSlack.
	WarmupOvershoot, WarmupSlack float64
	// HasPeers is set if the settings name other instances. An instance that knows none of them sends nothing to cold
	// targets.
	HasPeers bool
}

// instanceShare returns the part that this instance may use of an allowance for all instances together.
func (p *Policy) instanceShare(allowance float64) float64 {
	return allowance / float64(max(p.InstanceCount, 1))
}

// BudgetWindow is the span over which retry, hedge and probe budgets are counted.
const BudgetWindow = 10 * time.Second

// DefaultPolicy returns the policy that applies without settings.
func DefaultPolicy() Policy {
	return Policy{
		Selection:           SelectLoad,
		SlotsPerTarget:      4,
		InstanceCount:       14,
		QueueLimit:          256,
		MaxAttempts:         4,
		RetryRatio:          0.10,
		StartRetryRatio:     0.10,
		RetryFloor:          10,
		HedgeRatio:          0.05,
		HedgeFloor:          5,
		HedgeQuantile:       0.95,
		ProbeCost:           5 * time.Millisecond,
		LoadProbesLocal:     5,
		LoadProbesRemote:    5,
		LoadProbeSubset:     12,
		LoadProbesPerTarget: 40,
		Headroom:            0.8,
		WarmupOvershoot:     1,
		WarmupSlack:         2,
	}
}
