package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against requests to a target of an evacuated zone: after an order that precedes the first targets, in a service
// that appears later, and after a panic of the reducer. Also guards against an order that an operator cannot see.
func TestEvacuatedZone(t *testing.T) {
	var mu sync.Mutex
	var lines strings.Builder
	f := newFixture(t, funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		lines.WriteString(line + "\n")
	}, funcr.Options{}), Config{})
	expectLine := func(line string) {
		t.Helper()
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, 1, strings.Count(lines.String(), line), lines.String())
	}
	var served atomic.Int64
	inZone := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	other := newHandlerTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") })
	setTargets := func(addresses ...string) {
		var list discovery.InstanceList
		for i, address := range addresses {
			service, zone := []string{"registry", "later", "registry"}[i], []string{"a", "a", "b"}[i]
			list.Instances = append(list.Instances, discovery.Instance{Service: service, Address: address, Zone: zone, State: discovery.StateLive})
		}
		f.SetTargets(list)
	}
	request := func() (body, reason string) {
		resp, body, err := f.exchangeRaw(t, http.MethodGet, get("/r/1"))
		require.NoError(t, err)
		return body, resp.Header.Get(wire.HeaderReason)
	}

	f.hasTargetList = false // as before the first list
	f.SetEvacuatedZones([]string{"c", "a"})
	require.Equal(t, []string{"a", "c"}, f.EvacuatedZones())
	setTargets(inZone)
	expectLine(`"availability zone is evacuated" "zone"="a" "targets"=1`)
	_, reason := request()
	require.Equal(t, string(core.ReasonEvacuated), reason)
	require.Equal(t, 1.0, testutil.ToFloat64(f.metrics.refusals.WithLabelValues("registry", reason)))

	setTargets(inZone, inZone, other)
	var want strings.Builder
	want.WriteString("# HELP burdockpitch_targets_unusable Listed targets that get no requests, or only a few, by cause.\n" +
		"# TYPE burdockpitch_targets_unusable gauge\n")
	for _, service := range []string{"later", "registry"} {
		for cause, n := range map[string]string{"cold": "0", "ejected": "0", "evacuated": "1", "leaving": "0"} {
			want.WriteString("burdockpitch_targets_unusable{cause=\"" + cause + "\",service=\"" + service + "\"} " + n + "\n")
		}
	}
	require.NoError(t, testutil.CollectAndCompare(f.NewUnusableCollector(), strings.NewReader(want.String())))
	const missing core.RequestID = 1 << 40 // the engine panics on the refusal of a request that it does not have
	f.engine("registry").dispatch(core.RequestArrived{Request: missing, Quarantined: true})
	require.Equal(t, 1.0, testutil.ToFloat64(f.metrics.panics.WithLabelValues("registry", "decision")))
	for range 20 {
		body, _ := request()
		require.Equal(t, "other", body)
	}
	require.Zero(t, served.Load())

	f.SetEvacuatedZones([]string{"c"})
	expectLine(`"availability zone is no longer evacuated" "zone"="a" "targets"=2`)
	require.Eventually(t, func() bool { request(); return served.Load() > 0 }, 10*time.Second, time.Millisecond)
}
