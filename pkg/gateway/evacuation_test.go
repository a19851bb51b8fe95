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
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against requests to a target of an evacuated zone: after an order, in a service that appears later, and after a
// panic of the reducer. Also guards against an order that cuts off a request in flight, and against one that an operator
// cannot see.
func TestEvacuatedZone(t *testing.T) {
	var mu sync.Mutex
	var lines []string
	log := funcr.New(func(_, line string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, line)
	}, funcr.Options{})
	logged := func(message string) bool {
		mu.Lock()
		defer mu.Unlock()
		return strings.Contains(strings.Join(lines, "\n"), message)
	}
	started, release := make(chan struct{}), make(chan struct{})
	var served atomic.Int64
	inZone := newHandlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			started <- struct{}{}
			<-release
		}
		served.Add(1)
		_, _ = io.WriteString(w, "in zone")
	})
	other := newHandlerTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "other") })
	f := newFixture(t, log, Config{})
	instance := func(service, address, zone string) discovery.Instance {
		return discovery.Instance{Service: service, Address: address, Zone: zone, State: discovery.StateLive}
	}
	setTargets := func(list ...discovery.Instance) { f.SetTargets(discovery.InstanceList{Instances: list}) }
	outcome := func() (body, reason string) {
		resp, body, err := f.exchangeRaw(t, http.MethodGet, get("/r/1"))
		require.NoError(t, err)
		return body, resp.Header.Get(wire.HeaderReason)
	}

	setTargets(instance("registry", inZone, "a"))
	bodies := make(chan string, 1)
	go func() {
		_, body, err := f.exchangeRaw(t, http.MethodPost, "POST /b/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n")
		if err != nil {
			body = err.Error()
		}
		bodies <- body
	}()
	<-started
	f.SetEvacuatedZones([]string{"c", "a"})
	require.Equal(t, []string{"a", "c"}, f.EvacuatedZones())
	require.True(t, logged(`"availability zone is evacuated" "zone"="a" "targets"=1`))
	_, reason := outcome()
	require.Equal(t, string(core.ReasonEvacuated), reason)
	require.Equal(t, 1.0, testutil.ToFloat64(f.metrics.refusals.WithLabelValues("registry", string(core.ReasonEvacuated))))
	close(release)
	require.Equal(t, "in zone", <-bodies)

	setTargets(instance("registry", inZone, "a"), instance("registry", other, "b"), instance("later", inZone, "a"))
	want := "# HELP burdockpitch_targets_unusable Listed targets that get no requests, or only a few, by cause.\n" +
		"# TYPE burdockpitch_targets_unusable gauge\n"
	for _, service := range []string{"later", "registry"} {
		for cause, n := range map[string]string{"cold": "0", "ejected": "0", "evacuated": "1", "leaving": "0"} {
			want += "burdockpitch_targets_unusable{cause=\"" + cause + "\",service=\"" + service + "\"} " + n + "\n"
		}
	}
	require.NoError(t, testutil.CollectAndCompare(f.NewUnusableCollector(), strings.NewReader(want)))
	require.Equal(t, core.TargetStatusEvacuated, f.Status()["later"].Targets[0].Status)

	const missing core.RequestID = 1 << 40 // the engine panics on the refusal of a request that it does not have
	f.engine("registry").dispatch(core.RequestArrived{Request: missing, Quarantined: true})
	require.Equal(t, 1.0, testutil.ToFloat64(f.metrics.panics.WithLabelValues("registry", "decision")))
	served.Store(0)
	for range 20 {
		body, _ := outcome()
		require.Equal(t, "other", body)
	}
	require.Zero(t, served.Load())

	f.SetEvacuatedZones(nil)
	require.True(t, logged(`"availability zone is no longer evacuated" "zone"="a" "targets"=2`))
	require.Eventually(t, func() bool { outcome(); return served.Load() > 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a log that does not state an order that was in force before the instance started, or the number of
// targets that it concerns.
func TestEvacuationBeforeFirstTargetsIsLogged(t *testing.T) {
	var lines []string
	g := New(Config{Policy: core.DefaultPolicy()}, NewMetrics(prometheus.NewRegistry()), funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}))
	g.SetEvacuatedZones([]string{"a"})
	require.Empty(t, lines)
	g.SetTargets(discovery.InstanceList{Instances: []discovery.Instance{{Service: "s", Address: "127.0.0.1:1", Zone: "a"}}})
	require.Contains(t, strings.Join(lines, "\n"), `"availability zone is evacuated" "zone"="a" "targets"=1`)
}
