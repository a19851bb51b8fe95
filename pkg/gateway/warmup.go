package gateway

import (
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// serviceWarmup is the part of a service's policy that its document sets.
type serviceWarmup struct {
	time      time.Duration
	perSecond float64
}

// policyLocked returns the policy of a service. The caller holds g.mu.
func (g *Gateway) policyLocked(name string) core.Policy {
	p, w := g.cfg.Policy, g.warmups[name]
	p.Warmup, p.WarmupRate = w.time, w.perSecond
	return p
}

// setWarmups applies the warm-ups of the services in the documents. A service that they no longer name has none.
func (g *Gateway) setWarmups(docs []*rules.Document) {
	warmups := make(map[string]serviceWarmup)
	for _, d := range docs {
		for _, s := range d.Services {
			if w := (serviceWarmup{s.Warmup, s.WarmupRate}); w != (serviceWarmup{}) {
				warmups[s.Name] = w
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.warmups
	g.warmups = warmups
	for name, e := range g.engines {
		if before[name] != warmups[name] {
			e.dispatch(core.PolicyChanged{Policy: g.policyLocked(name)})
		}
	}
}
