package admin

import (
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/findings"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Paths of the administration API.
const (
	PathHealth        = "/v1/health"
	PathReady         = "/v1/ready"
	PathConfiguration = "/v1/configuration"
	PathTargets       = "/v1/targets"
	PathInstances     = "/v1/instances"
	PathBudgets       = "/v1/budgets"
	PathCheck         = "/v1/check"
	PathMetrics       = "/metrics"
)

// State answers health and ready.
type State struct {
	// State is "ok" for health and "ready" for ready, else the reason why not.
	State string `json:"state"`
}

// Configuration answers configuration.
type Configuration struct {
	InForce []ConfigurationEntry `json:"in_force"`
	// Refused holds the last refused document of each service and source.
	Refused []Refusal `json:"refused"`
	// Conflicts are paths and methods for which several services have a rule.
	Conflicts []rules.Conflict `json:"conflicts"`
}

// ConfigurationEntry is one document in force.
type ConfigurationEntry struct {
	Service string `json:"service"`
	rules.Version
	// BasedOn is the version that the document names as its base.
	BasedOn *rules.Version `json:"based_on,omitempty"`
	// Rules is the number of rules in the document.
	Rules int `json:"rules"`
}

// Refusal is a document that was not put in force.
type Refusal struct {
	// Service and Version are empty when they could not be read.
	Service string `json:"service,omitempty"`
	rules.Version
	// Source is where the document came from: the platform or the address of a peer.
	Source string    `json:"source"`
	Time   time.Time `json:"time"`
	// Reason says why, in one sentence.
	Reason   string        `json:"reason"`
	Findings findings.List `json:"findings"`
}

// Targets answers targets.
type Targets struct {
	Services []ServiceTargets `json:"services"`
}

// ServiceTargets holds the targets of one service.
type ServiceTargets struct {
	Service string            `json:"service"`
	Targets []core.TargetView `json:"targets"`
}

// Instances answers instances.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// Instance is an entry instance that this one knows of.
type Instance struct {
	// Address is the address for peers.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Start identifies one start of the instance; empty when it was only listed and never reached.
	Start string `json:"start,omitempty"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// InContact tells whether an exchange succeeded within the last minute.
	InContact bool `json:"in_contact"`
}

// Budgets answers budgets.
type Budgets struct {
	Services []ServiceBudgets `json:"services"`
}

// ServiceBudgets holds the use of one service's budgets over core.BudgetWindow.
type ServiceBudgets struct {
	Service string `json:"service"`
	core.BudgetView
	// Queued is the number of waiting requests by class.
	Queued map[string]int `json:"queued"`
}

// CheckResult answers check.
type CheckResult struct {
	// Valid tells whether an instance would accept the document.
	Valid   bool   `json:"valid"`
	Service string `json:"service,omitempty"`
	rules.Version
	Rules    int           `json:"rules"`
	Findings findings.List `json:"findings"`
	// Notes compare a valid document with the one in force.
	Notes []string `json:"notes"`
}
