package gateway

import "github.com/burdockpitch/burdockpitch/pkg/core"

// Status returns the current state of every service, by service name.
func (g *Gateway) Status() map[string]core.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	views := make(map[string]core.View, len(g.engines))
	for name, e := range g.engines {
		views[name] = e.status()
	}
	return views
}

func (e *engine) status() core.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service.View(e.clock.now())
}

// MarkTargetLeaving reports that one start of a target is leaving. Every service gets the event, because the signal
// does not name the service.
func (g *Gateway) MarkTargetLeaving(id core.TargetID, start string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.dispatch(core.TargetLeaving{Target: id, Start: start})
	}
}
