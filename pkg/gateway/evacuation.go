package gateway

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// SetEvacuatedZones replaces the availability zones that are evacuated. From then on no target in them gets new requests
// or probes. To apply an order before the first request, it must be called before SetTargets.
func (g *Gateway) SetEvacuatedZones(zones []string) {
	zones = slices.Sorted(slices.Values(zones))
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.evacuatedZones
	if slices.Equal(zones, before) {
		return
	}
	g.evacuatedZones = zones
	for _, e := range g.engines {
		e.dispatch(evacuationChanged(zones))
	}
	g.logEvacuations("availability zone is evacuated", without(zones, before))
	g.logEvacuations("availability zone is no longer evacuated", without(before, zones))
}

// EvacuatedZones returns the availability zones that are evacuated, sorted.
func (g *Gateway) EvacuatedZones() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.evacuatedZones)
}

func evacuationChanged(zones []string) core.EvacuationChanged {
	ev := core.EvacuationChanged{}
	for _, z := range zones {
		ev.Zones = append(ev.Zones, core.Zone(z))
	}
	return ev
}

// without returns the elements of list that are not in other.
func without(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return slices.Contains(other, s) })
}

// logEvacuations logs the start or end of orders with the number of targets in the zones. Before the first list of
// targets it logs nothing, because that number is not known. The caller holds g.mu.
func (g *Gateway) logEvacuations(message string, zones []string) {
	if !g.hasTargetList || len(zones) == 0 {
		return
	}
	targets := make(map[string]int)
	for _, e := range g.engines {
		for _, t := range e.status().Targets {
			targets[string(t.Zone)]++
		}
	}
	for _, zone := range zones {
		g.log.Info(message, "zone", zone, "targets", targets[zone])
	}
}

// unusableCauses are the statuses of targets that get no requests, or only a few. A target counts for one of them.
var unusableCauses = []core.TargetStatus{
	core.TargetStatusEvacuated, core.TargetStatusLeaving, core.TargetStatusEjected, core.TargetStatusCold,
}

var unusableDesc = prometheus.NewDesc("burdockpitch_targets_unusable",
	"Listed targets that get no requests, or only a few, by cause.", []string{"service", "cause"}, nil)

// NewUnusableCollector returns a collector of the gauge of targets that get no requests, by service and cause.
func (g *Gateway) NewUnusableCollector() prometheus.Collector { return unusableCollector{g} }

type unusableCollector struct{ gateway *Gateway }

// Describe implements prometheus.Collector.
func (unusableCollector) Describe(ch chan<- *prometheus.Desc) { ch <- unusableDesc }

// Collect implements prometheus.Collector.
func (c unusableCollector) Collect(ch chan<- prometheus.Metric) {
	for service, view := range c.gateway.Status() {
		count := make(map[core.TargetStatus]int)
		for _, t := range view.Targets {
			count[t.Status]++
		}
		for _, cause := range unusableCauses {
			ch <- prometheus.MustNewConstMetric(unusableDesc, prometheus.GaugeValue, float64(count[cause]), service, string(cause))
		}
	}
}
