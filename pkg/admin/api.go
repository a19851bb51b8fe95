package admin

import (
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Paths of the administration API. All take GET except PathCheck, which takes POST with a rules document as the body.
const (
	PathHealth        = "/v1/health"
	PathReady         = "/v1/ready"
	PathConfiguration = "/v1/configuration"
	PathTargets       = "/v1/targets"
	PathInstances     = "/v1/instances"
	PathBudgets       = "/v1/budgets"
	PathQuarantine    = "/v1/quarantine"
	PathCheck         = "/v1/check"
	PathMetrics       = "/metrics"
)

// State is the response body of PathHealth and PathReady, and of requests to PathCheck whose body cannot be read.
type State struct {
	// State is "ok" (PathHealth) or "ready" (PathReady), else the reason why the instance is not ready or why the
	// request failed.
	State string `json:"state"`
}

// Configuration is the response body of PathConfiguration.
type Configuration struct {
	InForce []ConfigurationEntry `json:"in_force"`
	// Refused lists the last refused document of each service, unless a document of the service came into force since.
	Refused []Refusal `json:"refused"`
	// Conflicts lists paths and methods for which several services have a rule.
	Conflicts []rules.Conflict `json:"conflicts"`
}

// ConfigurationEntry describes the document in force for one service.
type ConfigurationEntry struct {
	Service string `json:"service"`
	rules.Version
	// BasedOn is the version that the document was derived from, as its author states it; nil if not stated.
	BasedOn *rules.Version `json:"based_on,omitempty"`
	// Rules is the number of rules in the document.
	Rules int `json:"rules"`
}

// Refusal describes a document that was not put in force.
type Refusal struct {
	// Service and Version are empty if the document did not contain valid ones.
	Service string `json:"service,omitempty"`
	rules.Version
	// Source is where the document came from: the platform or the address of a peer.
	Source string `json:"source"`
	// Time is when the document was refused.
	Time time.Time `json:"time"`
	// Reason states in one sentence why the document was refused.
	Reason string `json:"reason"`
	// Findings lists the errors in the document, if it is invalid.
	Findings findings.List `json:"findings"`
}

// Targets is the response body of PathTargets. The services are sorted by name.
type Targets struct {
	// EvacuatedZones lists the availability zones whose targets get no requests, by order of an operator.
	EvacuatedZones []string         `json:"evacuated_zones,omitempty"`
	Services       []ServiceTargets `json:"services"`
}

// ServiceTargets holds the targets of one service.
type ServiceTargets struct {
	Service string `json:"service"`
	// Unreachable is set while the instance can connect to none of the targets and relays requests to others.
	Unreachable bool              `json:"unreachable,omitempty"`
	Targets     []core.TargetView `json:"targets"`
}

// Instances is the response body of PathInstances.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Instance describes another instance of the load balancer.
type Instance struct {
	// Address is where the instance listens for its peers ("ip:port").
	Address string `json:"address"`
	// Zone is the availability zone of the instance.
	Zone string `json:"zone"`
	// Start is the ID of the process start; empty if the instance is on the instance list but was never reached.
	Start string `json:"start,omitempty"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// InContact reports whether any instance, including the one that reports, is known to have exchanged state with the
	// described instance within the last minute.
	InContact bool `json:"in_contact"`
}

// Quarantine is the response body of PathQuarantine.
type Quarantine struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// QuarantinedRequest is a request that is withheld because targets crash when they run it.
type QuarantinedRequest struct {
	// Content is the first part of the fingerprint in log lines.
	Content string `json:"content"`
	// Crashes is the number of targets that are known to have crashed.
	Crashes int `json:"crashes"`
	// IdleSeconds is the time since the last crash or withheld repeat.
	IdleSeconds float64 `json:"idle_seconds"`
}

// Budgets is the response body of PathBudgets. The services are sorted by name.
type Budgets struct {
	Services []ServiceBudgets `json:"services"`
}

// ServiceBudgets holds the counts of requests, retries and hedges of one service within the last core.BudgetWindow.
type ServiceBudgets struct {
	Service string `json:"service"`
	core.BudgetView
	// Queued is the number of queued requests by class.
	Queued map[string]int `json:"queued"`
}

// CheckResult is the response body of PathCheck.
type CheckResult struct {
	// Valid reports whether the document has no findings. A valid document may still be ignored; see Notes.
	Valid bool `json:"valid"`
	// Service and Version are empty if the document does not contain valid ones.
	Service string `json:"service,omitempty"`
	rules.Version
	// Rules is the number of rules that could be read.
	Rules    int           `json:"rules"`
	Findings findings.List `json:"findings"`
	// Notes says of a valid document whether instances would ignore it, because its version is not higher than the one
	// in force, and whether it is based on a version that is not in force.
	Notes []string `json:"notes"`
}
