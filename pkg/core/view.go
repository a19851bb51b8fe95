package core

import "time"

// View is a copy of a service's state for status output.
type View struct {
	Targets []TargetView `json:"targets"`
	Budgets BudgetView   `json:"budgets"`
	// Queued is the number of waiting requests by class name.
	Queued map[string]int `json:"queued"`
}

// TargetState tells whether a target gets new requests and why not.
type TargetState string

// The states of targets.
const (
	TargetStateActive  TargetState = "active"
	TargetStateRamping TargetState = "ramping" // slow start
	TargetStateBackoff TargetState = "backoff" // no new attempts after load shedding
	TargetStateEjected TargetState = "ejected" // trial requests only
	TargetStateLeaving TargetState = "leaving" // draining
)

// TargetView is the state of one target.
type TargetView struct {
	ID       TargetID    `json:"id"`
	Zone     Zone        `json:"zone"`
	Start    string      `json:"start,omitempty"`
	State    TargetState `json:"state"`
	Reason   Reason      `json:"reason,omitempty"`
	InFlight int         `json:"in_flight"`
	Limit    int         `json:"limit"`
	// Latency is the current estimate of the response time, in nanoseconds in JSON.
	Latency time.Duration `json:"latency_ns"`
}

// BudgetView counts the requests, retries and hedges of the latest BudgetWindow.
type BudgetView struct {
	Requests int `json:"requests"`
	Retries  int `json:"retries"`
	Hedges   int `json:"hedges"`
}

// View returns a copy of the state as of now.
func (s *Service) View(now Instant) View {
	s.budget.advance(now)
	v := View{
		Targets: make([]TargetView, 0, len(s.listedTargets)),
		Budgets: BudgetView{
			Requests: s.budget.total.requests, Retries: s.budget.total.retries, Hedges: s.budget.total.hedges,
		},
		Queued: make(map[string]int, numClasses),
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
	state, reason := s.stateOf(t, now)
	return TargetView{
		ID: t.id, Zone: t.zone, Start: t.starts.current, State: state, Reason: reason,
		InFlight: t.inFlight, Limit: s.capacity(t, now), Latency: s.expectedLatency(t, now),
	}
}

// stateOf returns the state of t and its reason. An active target with ReasonSlow is selected only as a last resort.
func (s *Service) stateOf(t *targetState, now Instant) (TargetState, Reason) {
	switch {
	case t.leaving:
		return TargetStateLeaving, ReasonDraining
	case t.ejection.active:
		return TargetStateEjected, t.ejection.reason
	case now < t.backoffUntil:
		return TargetStateBackoff, ReasonShed
	case now < t.slowStartUntil:
		return TargetStateRamping, ""
	case s.isSuspect(t, now):
		return TargetStateActive, ReasonSlow
	}
	return TargetStateActive, ""
}
