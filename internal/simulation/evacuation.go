package simulation

import (
	"fmt"
	"slices"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// evacuate gives or ends the order to evacuate the zones of some targets. Each instance receives it at another time.
func (f *fleet) evacuate(ids []core.TargetID, active bool) {
	var zones []core.Zone
	for _, entry := range f.list {
		if active && slices.Contains(ids, entry.ID) && !slices.Contains(zones, entry.Zone) {
			zones = append(zones, entry.Zone)
		}
	}
	for _, id := range ids {
		f.targets[id].evacuated, f.targets[id].evacuatedFrom = active, f.now+entryDelay
	}
	for _, i := range f.instances {
		i.schedule(f.randomTime(entryDelay), func() { i.apply(core.EvacuationChanged{Zones: zones}) })
	}
}

// checkEvacuation returns what a run does not meet of orders to evacuate a zone.
func (r *Result) checkEvacuation(p *Pattern) []string {
	if r.arrivedDespiteOrder > 0 {
		return []string{fmt.Sprintf("%s: %d requests were sent to an evacuated zone", p.Name, r.arrivedDespiteOrder)}
	}
	return nil
}
