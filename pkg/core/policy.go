package core

import "time"

// Selection names a target selection method. SelectRandom, SelectRoundRobin and SelectTwoChoices are baselines for
// measurements: they respect leaving signals and in-flight limits, but ignore zones, load reports, backoff, slow start
// and ejections. Retries, hedges and queues are the same with all methods.
type Selection string

// The selection methods.
const (
	// SelectRandom takes any available target.
	SelectRandom Selection = "random"
	// SelectRoundRobin takes the available targets in turn.
	SelectRoundRobin Selection = "round-robin"
	// SelectTwoChoices takes the one with fewer requests in flight of two random targets.
	SelectTwoChoices Selection = "two-choices"
	// SelectLoad compares requests in flight and reported load discounted by its age.
	SelectLoad Selection = "load"
	// SelectLoadLatency multiplies the load by the latency estimate.
	SelectLoadLatency Selection = "load-latency"
)

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
	// FirstAttemptShare is the shortest caller timeout of a first attempt, as a share of the longest caller timeout of
	// similar requests. A request with a shorter one is a retry by the caller, whose objective began with its first
	// attempt. 0 treats every request as a first attempt.
	FirstAttemptShare float64
	// QueueLimit bounds the queued requests of each class; with SelectAsk, of all classes together.
	QueueLimit int
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts int
	// RetryRatio is the share of requests that may be retried over BudgetWindow.
	RetryRatio float64
	// RetryFloor is the number of retries always allowed per BudgetWindow.
	RetryFloor int
	// RetrySlack and HedgeSlack are the retries and hedges allowed per BudgetWindow to all instances together in
	// addition to the ratios. An instance takes its share by InstanceCount, so the bound holds if that is at least the
	// true number.
	RetrySlack, HedgeSlack float64
	// HedgeRatio is the share of requests that may be hedged over BudgetWindow.
	HedgeRatio float64
	// HedgeFloor is the number of hedges always allowed per BudgetWindow.
	HedgeFloor int
	// HedgeQuantile is the quantile of recent latency after which an idempotent attempt is hedged.
	HedgeQuantile float64
	// ProbeShare is the share of the targets' slot time that all instances together spend on probes over BudgetWindow.
	// 0, the default, turns probes off; a runtime that performs SendProbe sets it. The bound holds if InstanceCount is
	// at least the true number of instances.
	ProbeShare float64
	// ProbeCost is the slot time that one probe takes.
	ProbeCost time.Duration
	// LoadProbesLocal and LoadProbesRemote are the numbers of targets that SelectAsk probes per request: first in the
	// zone of this instance, and then in all zones if none of these is good.
	LoadProbesLocal, LoadProbesRemote int
	// LoadProbeSubset is the number of targets in the zone of this instance that SelectAsk probes at all, with half as
	// many in other zones. 0 means all.
	LoadProbeSubset int
	// InstanceID identifies this instance. Its subset of targets is derived from it.
	InstanceID string
	// LoadProbesPerTarget bounds the load probes per second and target, on average and summed over all instances.
	LoadProbesPerTarget float64
	// Headroom is the share of a target's slots up to which SelectAsk fills it; targets with few slots are filled up.
	Headroom float64
}

// instanceShare returns the part of a fleet-wide allowance that this instance may use.
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
	}
}
