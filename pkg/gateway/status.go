package gateway

import "github.com/burdockpitch/burdockpitch/pkg/core"

// Status returns a view of each service by name.
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

// MarkTargetLeaving passes on a sign that a target leaves, whichever service it belongs to.
func (g *Gateway) MarkTargetLeaving(id core.TargetID, start string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.dispatch(core.TargetLeaving{Target: id, Start: start})
	}
}
