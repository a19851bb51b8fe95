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
	TargetActive  TargetState = "active"
	TargetRamping TargetState = "ramping"
	TargetBackoff TargetState = "backoff"
	TargetEjected TargetState = "ejected"
	TargetLeft    TargetState = "leaving"
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

// BudgetView is the use of the budgets over BudgetWindow.
type BudgetView struct {
	Requests int `json:"requests"`
	Retries  int `json:"retries"`
	Hedges   int `json:"hedges"`
}

// View returns a copy of the state as of now.
func (s *Service) View(_ Instant) View {
	v := View{Queued: make(map[string]int)}
	for _, t := range s.order {
		view := TargetView{ID: t.ID, Zone: t.Zone, Start: t.Start, State: TargetActive, InFlight: t.inFlight}
		if t.Leaving {
			view.State = TargetLeft
		}
		v.Targets = append(v.Targets, view)
	}
	return v
}
