package gateway

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
	"github.com/burdockpitch/burdockpitch/pkg/relay"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// startRelayTest starts an instance that may use the targets at the given addresses, and returns it with the address at
// which other instances relay requests to it.
func startRelayTest(t *testing.T, targets ...string) (g *Gateway, relayAddress string) {
	doc, err := rules.Parse("test", []byte("service = \"s\"\nepoch = 1\nrevision = 1\n[rules]\n"+
		"a = { path = \"/*\", class = \"lookup\", deadline = \"2s\" } # asked by the test\n"))
	require.NoError(t, err)
	g = New(Config{Policy: core.DefaultPolicy(), Target: target.DefaultConfig()}, NewMetrics(prometheus.NewRegistry()), logr.Discard())
	g.SetDocuments([]*rules.Document{doc})
	var list discovery.InstanceList
	for _, address := range targets {
		list.Instances = append(list.Instances, discovery.Instance{Service: "s", Address: address, State: discovery.StateLive})
	}
	g.SetTargets(list)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := g.NewRelayServer()
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return g, l.Addr().String()
}

// startCutOff starts an instance whose targets refuse connections, with other instances beside it, and lets it notice.
func startCutOff(t *testing.T, peers ...string) *Gateway {
	closed := []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"} // a freed port could be that of the next listener
	g, _ := startRelayTest(t, closed...)
	var list []relay.Peer
	fleet := []string{""}
	for _, address := range peers {
		list = append(list, relay.Peer{Address: address})
		fleet = append(fleet, address)
	}
	e := g.engine("s")
	for range 2 {
		for _, address := range closed {
			e.dispatch(core.ProbeEnded{Target: core.TargetID(address), Unreachable: true})
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.SetPeers(list)
	g.SetFleet(fleet)
	return g
}

func serveOnce(g *Gateway, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/x?y", strings.NewReader(body))
	r.Header.Set(wire.HeaderRelayCaller, "forged")
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, r)
	return w
}

// Guards against a request that is changed on the way through another instance, against headers between instances that
// reach targets or callers, and against a caller that can set them.
func TestRelayedRequestIsPassedOnUnchanged(t *testing.T) {
	received := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Clone(r.Context())
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Target", "1")
		w.WriteHeader(http.StatusTeapot)
		_, _ = w.Write(body)
	}))
	defer server.Close()
	_, other := startRelayTest(t, strings.TrimPrefix(server.URL, "http://"))
	g := startCutOff(t, other)

	w := serveOnce(g, "content")
	require.Equal(t, http.StatusTeapot, w.Code)
	require.Equal(t, "content", w.Body.String())
	require.Equal(t, "1", w.Header().Get("X-Target"))
	require.Equal(t, string(wire.OutcomeAnswered), w.Header().Get(wire.HeaderOutcome))
	seen := <-received
	require.Equal(t, "/x?y", seen.URL.RequestURI())
	for _, h := range []http.Header{w.Header(), seen.Header} {
		for name := range h {
			require.NotContains(t, name, "Burdockpitch-Relay")
		}
	}
}

// Guards against a target that states the outcome of a relayed request in place of the instance that served it: a request
// that has run would be sent again, or reported as not run.
func TestTargetCannotStateOutcomeOfRelay(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		wire.RelayedResponse{
			Outcome: wire.OutcomeNotRun, Reason: string(core.ReasonUnreachable), LeavingTarget: "victim", Start: "1",
		}.SetHeaders(w.Header())
	}))
	defer server.Close()
	_, other := startRelayTest(t, strings.TrimPrefix(server.URL, "http://"))
	w := serveOnce(startCutOff(t, other), "")
	require.Equal(t, http.StatusOK, w.Code)
	require.EqualValues(t, 1, runs.Load())
	require.Equal(t, string(wire.OutcomeAnswered), w.Header().Get(wire.HeaderOutcome))
}

// Guards against requests to a target that announced, on a response which passed through this instance, that it leaves.
func TestRelayedResponseAnnouncesLeaving(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderLeaving, "1")
		w.Header().Set(wire.HeaderStart, "s1")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	_, other := startRelayTest(t, address)
	g := startCutOff(t, other)
	require.Equal(t, http.StatusOK, serveOnce(g, "").Code)
	g.SetTargets(discovery.InstanceList{Instances: []discovery.Instance{
		{Service: "s", Address: address, Start: "s1", State: discovery.StateLive},
	}})
	require.Equal(t, core.TargetStatusLeaving, g.Status()["s"].Targets[0].Status)
}

// Guards against a refusal by another instance that loses its reason or its Retry-After on the way.
func TestRefusalByAnotherInstanceIsPassedOn(t *testing.T) {
	otherInstance, other := startRelayTest(t, "127.0.0.1:1")
	f := quarantine.NewFingerprint(http.MethodPost, "example.com", "/x?y", []byte("body"), "192.0.2.1") // of httptest.NewRequest
	otherInstance.Quarantine().Merge([]quarantine.Record{{Content: f.Content, Crashes: []quarantine.Crash{
		{Target: 1, Caller: f.Caller}, {Target: 2, Caller: f.Caller}, {Target: 3, Caller: f.Caller},
	}}})
	w := serveOnce(startCutOff(t, other), "body")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, string(core.ReasonCrashesTargets), w.Header().Get(wire.HeaderReason))
	require.Equal(t, string(wire.OutcomeNotRun), w.Header().Get(wire.HeaderOutcome))
	require.Equal(t, "60", w.Header().Get("Retry-After"))
}

// Guards against a request that wanders from one instance to the next, and against a false outcome: the instances to which
// it may be relayed reach no target, but one of theirs does.
func TestRequestIsRelayedOnce(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	_, served := startRelayTest(t, strings.TrimPrefix(server.URL, "http://"))
	var addresses []string
	for range 3 {
		other := startCutOff(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := other.NewRelayServer()
		go server.Serve(l)
		t.Cleanup(func() { server.Close() })
		other.SetFleet([]string{"", "others"})
		other.SetPeers([]relay.Peer{{Address: served}})
		require.Equal(t, http.StatusOK, serveOnce(other, "").Code, "its own callers are served")
		addresses = append(addresses, l.Addr().String())
	}
	g := startCutOff(t, addresses...)
	w := serveOnce(g, "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, string(wire.OutcomeNotRun), w.Header().Get(wire.HeaderOutcome))
	require.NotEmpty(t, w.Header().Get("Retry-After"))
}

// Guards against an instance that is cut off and relays all its requests to one that refuses them, because it obeys an order to
// evacuate all zones that has ended, while another one could serve them.
func TestRelayGoesPastEvacuatedInstance(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	target := strings.TrimPrefix(server.URL, "http://")
	outdated, outdatedAddress := startRelayTest(t, target)
	outdated.SetEvacuatedZones([]string{""})
	_, served := startRelayTest(t, target)
	for range 10 { // the order in which instances are tried is random
		require.Equal(t, http.StatusOK, serveOnce(startCutOff(t, outdatedAddress, served), "").Code)
	}
}

// Guards against metrics that do not tell a cut zone from a single cut instance.
func TestRelaysAreCountedByZone(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	_, other := startRelayTest(t, strings.TrimPrefix(server.URL, "http://"))
	g := startCutOff(t, other)
	relays := func(zone string) float64 {
		return testutil.ToFloat64(g.metrics.relays.WithLabelValues("s", zone, "served"))
	}
	serveOnce(g, "")
	require.Equal(t, []float64{1, 0}, []float64{relays("own"), relays("other")})
	g.SetPeers([]relay.Peer{{Address: other, Zone: "b"}})
	serveOnce(g, "")
	require.Equal(t, []float64{1, 1}, []float64{relays("own"), relays("other")})
}

// Guards against requests of other instances that take all the room of this one, or that are not marked as such.
func TestRelayServerDeclines(t *testing.T) {
	g, address := startRelayTest(t)
	resp, err := http.Get("http://" + address + "/x")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)

	g.relays.incoming.Store(maxRelayedRequests)
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/x", nil)
	require.NoError(t, err)
	wire.SetRelayHeaders(r.Header, wire.RelayedRequest{CallerIP: "10.0.0.1", Service: "s", Attempts: 1})
	resp, err = http.DefaultClient.Do(r)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, string(ReasonRelayLimit), resp.Header.Get(wire.HeaderRelayReason))
	require.Equal(t, string(wire.OutcomeNotRun), resp.Header.Get(wire.HeaderRelayOutcome))
}
