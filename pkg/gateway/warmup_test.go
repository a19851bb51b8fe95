package gateway

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// TestWarmupOfService guards against a bound for cold targets that applies to another service, is lost when the number of
// instances changes, depends on whether the document or the targets arrive first, or outlives the document.
func TestWarmupOfService(t *testing.T) {
	g := newFixture(t, logr.Discard(), Config{}).Gateway
	cold := func() (services []string) {
		for service, view := range g.Status() {
			for _, target := range view.Targets {
				if target.Status == core.TargetStatusCold {
					services = append(services, service)
				}
			}
		}
		return services
	}
	setWarmup := func(service string) {
		g.SetDocuments([]*rules.Document{{Services: []rules.Service{{Name: service, Warmup: time.Second, WarmupRate: 2}}}})
	}
	setWarmup("a")
	g.SetTargets(discovery.InstanceList{Instances: []discovery.Instance{
		{Service: "a", Address: "127.0.0.1:1", State: discovery.StateLive, Warmup: time.Minute, Revision: 1},
		{Service: "b", Address: "127.0.0.1:2", State: discovery.StateLive, Warmup: time.Minute, Revision: 1},
	}})
	require.Equal(t, []string{"a"}, cold())
	g.SetFleetSize(140)
	require.Equal(t, []string{"a"}, cold())
	setWarmup("b")
	require.Equal(t, []string{"b"}, cold())
	g.SetDocuments(nil)
	require.Empty(t, cold())
}
