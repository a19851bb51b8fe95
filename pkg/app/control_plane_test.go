package app

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

const validDocument = "service = \"s\"\nepoch = 1\nrevision = 1\n[rules]\n" +
	"a = { path = \"/a\", methods = [\"GET\"], class = \"lookup\", deadline = \"1s\" } # asked by the test\n"

// Guards against an instance that serves an outdated document because it did not read the platform first, and against
// one that never becomes ready because the platform does not respond.
func TestReadyWaitsForSyncOrTimeout(t *testing.T) {
	cases := []struct {
		name        string
		hasDocument bool
		age         time.Duration
		want        string
	}{
		{"no document", false, 0, "no configuration in force"},
		{"no document after the timeout", false, initialSyncTimeout + time.Second, "no configuration in force"},
		{"platform not read", true, 0, "configuration service not asked yet"},
		{"platform not read after the timeout", true, initialSyncTimeout + time.Second, ""},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			reg := prometheus.NewRegistry()
			log := logr.Discard()
			s := settings.Default()
			s.PeerListen, s.Peers, s.Platform = "127.0.0.1:1", []string{"127.0.0.1:2"}, "http://127.0.0.1:3"
			g := gateway.New(gateway.Config{}, gateway.NewMetrics(reg), log)
			m := discovery.NewMetrics(reg)
			configStore := newConfigStore(s, Adapter{}, capacityShares{memory: 1 << 40}, g, m, log)
			node := newNode(s, Adapter{}, configStore, g, peer.NewMetrics(reg), log)
			c := newControlPlane(s, log, g, configStore, newDiscoveryReader(s, configStore, g, node, m, log), node)
			c.started = time.Now().Add(-tt.age)
			if tt.hasDocument {
				configStore.Offer("test", "s", []byte(validDocument))
			}
			err := c.ready()
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.EqualError(t, err, tt.want)
		})
	}
}

// Guards against a moment in which an instance uses a target that is leaving: the list that it has just read is
// outdated, and only a leaving signal from another instance tells.
func TestOutdatedListDoesNotReviveLeavingTarget(t *testing.T) {
	s, log := settings.Default(), logr.Discard()
	s.PeerListen = "127.0.0.1:1"
	list := discovery.InstanceList{Sequence: 1, Instances: []discovery.Instance{
		{Service: "s", Address: "127.0.0.1:2", Start: "1", State: discovery.StateLive},
	}}
	for range 300 {
		reg := prometheus.NewRegistry()
		g := gateway.New(gateway.Config{Policy: core.DefaultPolicy()}, gateway.NewMetrics(reg), log)
		configStore := newConfigStore(s, Adapter{}, capacityShares{memory: 1 << 40}, g, discovery.NewMetrics(reg), log)
		node := newNode(s, Adapter{}, configStore, g, peer.NewMetrics(reg), log)
		node.ObserveTargets(t.Context(), []membership.Process{{Address: "127.0.0.1:2", Start: "1", Leaving: true}})
		done := make(chan struct{})
		go func() {
			sink{configStore, g, node}.SetInstances(list)
			close(done)
		}()
		for finished := false; !finished; {
			finished = isClosed(done)
			for _, target := range g.Status()["s"].Targets {
				require.Equal(t, core.TargetStatusLeaving, target.Status)
			}
		}
	}
}
