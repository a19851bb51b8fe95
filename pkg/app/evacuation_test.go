package app

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// orderedSource holds one target and the order to evacuate its zone.
type orderedSource struct{}

func (orderedSource) Read(context.Context) (discovery.Snapshot, error) {
	target := &discovery.Instance{Service: "s", ID: "t", Address: "127.0.0.1:2", Zone: "a", State: discovery.StateLive}
	return discovery.Snapshot{Revision: 2, Items: []discovery.Item{
		{Key: "target", Revision: 1, Target: target}, {Key: "order", Revision: 2, EvacuatedZone: "a"},
	}}, nil
}

func (orderedSource) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return discovery.Changes{Revision: after}, ctx.Err()
}

func (orderedSource) Reset() {}

// Guards against an instance that starts and uses a target before it applies the order to evacuate its zone.
func TestStartingInstanceHasOrdersBeforeTargets(t *testing.T) {
	s, log := settings.Default(), logr.Discard()
	a := Adapter{NewSource: func(string, time.Duration) discovery.Source { return orderedSource{} }}
	for range 100 {
		reg := prometheus.NewRegistry()
		g := gateway.New(gateway.Config{Policy: core.DefaultPolicy()}, gateway.NewMetrics(reg), log)
		m := discovery.NewMetrics(reg)
		configStore := newConfigStore(s, a, g, m, log)
		node := newNode(s, a, configStore, g, peer.NewMetrics(reg), log)
		ctx, cancel := context.WithCancel(t.Context())
		reader := newPlatformReader(s, a, configStore, g, node, m, log)
		go reader.Run(ctx)
		for seen := false; !seen; {
			synced := isClosed(reader.Synced())
			targets := g.Status()["s"].Targets
			seen = len(targets) > 0
			require.True(t, seen || !synced)
			if seen {
				require.Equal(t, core.TargetStatusEvacuated, targets[0].Status)
			}
		}
		cancel()
	}
}
