package core

import "time"

// Selection names a method of choosing a target. SelectRandom, SelectRoundRobin and SelectTwoChoices are baselines for
// measurements: they observe leaving signs and in-flight limits, but no zones, load reports, backoff, slow start or
// ejections. Retries, hedges and queues are the same with all methods.
type Selection string

// The selection methods.
const (
	// SelectRandom takes any available target.
	SelectRandom Selection = "random"
	// SelectRoundRobin takes the available targets in turn.
	SelectRoundRobin Selection = "round-robin"
	// SelectTwoChoices takes the better of two by requests in flight.
	SelectTwoChoices Selection = "two-choices"
	// SelectLoad compares requests in flight and reported load discounted by its age.
	SelectLoad Selection = "load"
	// SelectLoadLatency multiplies the load by the latency estimate.
	SelectLoadLatency Selection = "load-latency"
)

// Policy holds the tunable values of one service. The zero value is not usable; start from DefaultPolicy.
type Policy struct {
	// Selection is the method of choosing a target.
	Selection Selection
	// Zone is the availability zone of this entry instance; targets there are preferred.
	Zone Zone
	// SlotsPerTarget is the expected number of slots, used until a target reports its own.
	SlotsPerTarget int
	// InstanceCount is the number of entry instances that share the targets.
	InstanceCount int
	// FirstAttemptShare is the share of the longest stated wait that callers state at least with a first attempt. A caller that
	// states less has come back, and its objective began earlier. 0 takes every request for a first attempt.
	FirstAttemptShare float64
	// QueueLimit bounds the waiting requests of each class.
	QueueLimit int
	// MaxAttempts bounds the attempts of one request, hedges included.
	MaxAttempts int
	// RetryRatio is the share of requests that may be retried over BudgetWindow.
	RetryRatio float64
	// RetryFloor is the number of retries always allowed per BudgetWindow.
	RetryFloor int
	// RetrySlack and HedgeSlack are retries and hedges allowed per BudgetWindow to all entry instances together, beside
	// the ratios. An instance takes its share by Instances, so the bound holds if that is at least the true number.
	RetrySlack, HedgeSlack float64
	// HedgeRatio is the share of requests that may be hedged over BudgetWindow.
	HedgeRatio float64
	// HedgeFloor is the number of hedges always allowed per BudgetWindow.
	HedgeFloor int
	// HedgeQuantile is the quantile of recent latency after which an idempotent attempt is hedged.
	HedgeQuantile float64
	// ProbeShare is the share of the targets' slot time that all entry instances together spend on probes over
	// BudgetWindow. 0, the default, turns probes off; a runtime that performs SendProbe sets it. The bound holds if
	// Instances is at least the true number of entry instances.
	ProbeShare float64
	// ProbeCost is the slot time that one probe takes.
	ProbeCost time.Duration
	// LoadProbesLocal and LoadProbesRemote are the numbers of targets that SelectAsk asks in the own zone, and then anywhere if none of
	// these is good.
	LoadProbesLocal, LoadProbesRemote int
	// LoadProbeSubset is the number of targets in the own zone among which this instance chooses whom to ask, with half as many
	// elsewhere. 0 means all.
	LoadProbeSubset int
	// InstanceID identifies this entry instance, so that each has a subset of its own.
	InstanceID string
	// LoadProbesPerTarget bounds the probes per second of each target, summed over all entry instances.
	LoadProbesPerTarget float64
	// Headroom is the share of a target's slots that SelectAsk fills; on targets with few slots it fills all.
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
