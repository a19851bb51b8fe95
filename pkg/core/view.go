package core

import "time"

// View is a copy of a service's state for status output.
type View struct {
	Targets []TargetView `json:"targets"`
	Budgets BudgetView   `json:"budgets"`
	// Queued is the number of queued requests by class name.
	Queued map[string]int `json:"queued"`
	// Unreachable is set while this instance can connect to no target.
	Unreachable bool `json:"unreachable,omitempty"`
}

// TargetStatus tells whether a target gets new requests and why not.
type TargetStatus string

// The statuses of targets.
const (
	TargetStatusActive  TargetStatus = "active"
	TargetStatusRamping TargetStatus = "ramping" // slow start
	TargetStatusBackoff TargetStatus = "backoff" // no new attempts for a time because the target shed load
	TargetStatusEjected TargetStatus = "ejected" // trial requests only
	TargetStatusLeaving TargetStatus = "leaving" // draining
	TargetStatusCold    TargetStatus = "cold"    // in warm-up, gets only a bounded rate of requests
)

// TargetView is the state of one target.
type TargetView struct {
	ID       TargetID     `json:"id"`
	Zone     Zone         `json:"zone"`
	Start    string       `json:"start,omitempty"`
	Status   TargetStatus `json:"state"`
	Reason   Reason       `json:"reason,omitempty"`
	InFlight int          `json:"in_flight"`
	Limit    int          `json:"limit"`
	// RequestRate is the rate that the target accepts from all instances together, in requests per second; nil if it does
	// not limit the rate.
	RequestRate *float64 `json:"request_rate,omitempty"`
	// ColdFor is how much longer the target is cold, in nanoseconds in JSON. Only if requests to cold targets are bounded.
	ColdFor time.Duration `json:"cold_ns,omitempty"`
	// Latency is the current estimate of the response time, in nanoseconds in JSON.
	Latency time.Duration `json:"latency_ns"`
}

// BudgetView counts the requests, retries and hedges of the latest BudgetWindow.
type BudgetView struct {
	Requests int `json:"requests"`
	Retries  int `json:"retries"`
	Hedges   int `json:"hedges"`
	// RetryLimit is the number of retries that the budget allows in a window with these requests; hedges included if
	// Policy.RetriesIncludeHedges.
	RetryLimit int `json:"retry_limit"`
}

// View returns a copy of the state as of now.
func (s *Service) View(now Instant) View {
	s.budget.advance(now)
	v := View{
		Targets: make([]TargetView, 0, len(s.listedTargets)),
		Budgets: BudgetView{
			Requests: s.budget.total.requests, Retries: s.budget.total.retries, Hedges: s.budget.total.hedges,
			RetryLimit: s.budget.retryLimit(&s.policy),
		},
		Queued:      make(map[string]int, numClasses),
		Unreachable: s.reachability.unreachable,
	}
	for c := range numClasses {
		v.Queued[c.String()] = s.queue.classes[c].length
	}
	for _, r := range s.backlog.waiting {
		v.Queued[r.class.String()]++
	}
	for _, t := range s.listedTargets {
		v.Targets = append(v.Targets, s.viewTarget(t, now))
	}
	return v
}

func (s *Service) viewTarget(t *targetState, now Instant) TargetView {
	status, reason := s.statusOf(t, now)
	var rate *float64
	if t.rateLimit.active {
		perSecond := t.rateLimit.perSecond // the view is a copy
		rate = &perSecond
	}
	coldFor := time.Duration(0)
	if s.boundsWarmup() {
		coldFor = max(t.warmup.coldUntil-now, 0)
	}
	return TargetView{
		ID: t.id, Zone: t.zone, Start: t.starts.current, Status: status, Reason: reason,
		InFlight: t.inFlight, Limit: s.capacity(t, now), Latency: s.expectedLatency(t, now),
		RequestRate: rate, ColdFor: coldFor,
	}
}

// statusOf returns the status of t and its reason. An active target with ReasonSlow is selected only as a last resort.
func (s *Service) statusOf(t *targetState, now Instant) (TargetStatus, Reason) {
	switch {
	case t.leaving:
		return TargetStatusLeaving, ReasonDraining
	case t.evacuated:
		return TargetStatusEvacuated, ReasonEvacuated
	case t.ejection.active:
		return TargetStatusEjected, t.ejection.reason
	case now < t.backoffEnd():
		return TargetStatusBackoff, ReasonShed
	case s.warmthOf(t, now) == cold:
		return TargetStatusCold, ReasonWarmup
	case now < t.slowStartUntil:
		return TargetStatusRamping, ""
	case s.isSuspect(t, now):
		return TargetStatusActive, ReasonSlow
	}
	return TargetStatusActive, ""
}
