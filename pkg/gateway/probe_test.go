package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against a probe that reports a failing target as healthy, or that loses the target's load report, start ID or
// leaving state.
func TestProbeResults(t *testing.T) {
	respondWith := func(status int, declaration string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(wire.HeaderLoad, "2/4")
			w.Header().Set(wire.HeaderStart, "s1")
			if declaration != "" {
				w.Header().Set(wire.HeaderDeclare, declaration)
			}
			w.WriteHeader(status)
		}
	}
	healthy := core.ProbeEnded{OK: true, Load: core.LoadReport{InUse: 2, Slots: 4}, Statement: core.Statement{Responded: true, Start: "s1"}}
	failing, leaving := healthy, healthy
	failing.OK = false
	leaving.Statement.Leaving = true
	for name, tc := range map[string]struct {
		handler http.HandlerFunc
		want    core.ProbeEnded
	}{
		"good":         {respondWith(200, ""), healthy},
		"no such path": {respondWith(404, ""), healthy},
		"failing":      {respondWith(500, ""), failing},
		"sheds load":   {respondWith(503, "shed"), healthy},
		"drains":       {respondWith(503, "draining"), leaving},
		"broken":       {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, core.ProbeEnded{}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(tc.handler)
			defer server.Close()
			id := core.TargetID(server.Listener.Addr().String())
			client := target.NewClient(string(id), target.DefaultConfig())
			defer client.Close()
			got, err := runProbe(client, id, target.Attempt{
				Method: http.MethodGet, URL: &url.URL{Path: "/health"}, Header: make(http.Header), Deadline: time.Now().Add(10 * time.Second),
			})
			require.Equal(t, got.OK, err == nil, "%v", err)
			got.Latency = 0
			tc.want.Target = id
			require.Equal(t, tc.want, got)
		})
	}
}

// Guards against a probe budget that is not used when there is no traffic: a target without requests must be probed on
// the configured path. Also guards against an instance count below the configured one.
func TestIdleTargetIsProbed(t *testing.T) {
	probed := make(chan string, 100)
	addr := newHandlerTarget(t, func(_ http.ResponseWriter, r *http.Request) { probed <- r.URL.Path })
	policy := core.DefaultPolicy()
	policy.ProbeShare, policy.InstanceCount = 0.1, 1
	f := newFixture(t, logr.Discard(), Config{Policy: policy, ProbePath: "/alive"}, addr)
	require.Equal(t, "/alive", <-probed)
	f.SetFleetSize(1000) // one of 1,000 instances has a budget of less than one probe
	require.Equal(t, 1000, f.cfg.Policy.InstanceCount)
	f.SetFleetSize(0)
	require.Equal(t, 1, f.cfg.Policy.InstanceCount)
}

// Guards against an outage of all probes that is not logged, which would leave refusals without an explanation, and
// against one log line for each failed probe.
func TestUnansweredProbesAreLoggedOnce(t *testing.T) {
	var lines []string
	e := &engine{log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})}
	for range 5 * probeOutageThreshold {
		e.logProbeOutage(core.ProbeEnded{Target: "t"}, errors.New("deadline has passed"))
	}
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], "deadline has passed")
	for range 3 {
		e.logProbeOutage(core.ProbeEnded{Target: "t", OK: true}, nil)
	}
	require.Len(t, lines, 2)
	e.logProbeOutage(core.ProbeEnded{Target: "t"}, errors.New("reset"))
	e.logProbeOutage(core.ProbeEnded{Target: "u", OK: true}, nil)
	require.Len(t, lines, 2, "a single target that is down is not logged")
}

// Guards against an announcement that a target leaves which is lost because the rest of its response is.
func TestTruncatedResponseAnnouncesLeaving(t *testing.T) {
	leaving := newRawTarget(t, "HTTP/1.1 200 OK\r\nBurdockpitch-Leaving: 1\r\nContent-Length: 9\r\n\r\nok")
	f := newFixture(t, logr.Discard(), Config{}, leaving)
	resp, err := http.Get("http://" + f.addr + "/r/1")
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, core.TargetStatusLeaving, f.Status()["registry"].Targets[0].Status)
}
