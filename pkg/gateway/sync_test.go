package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against an instance that has just started and sends a request to a target that is leaving: its list is outdated,
// and the leaving signal arrives from another instance a moment later.
func TestRequestsWaitForSyncAfterStart(t *testing.T) {
	var leavingServed atomic.Int64
	leaving := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) { leavingServed.Add(1) })
	live := newHandlerTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(t, logr.Discard(), Config{HoldUntilSynced: true}, leaving, live)
	outcomes := make(chan string, 8)
	for range cap(outcomes) {
		go func() {
			resp, err := http.Get("http://" + f.addr + "/r/1")
			if err != nil {
				outcomes <- err.Error()
				return
			}
			resp.Body.Close()
			outcomes <- resp.Header.Get(wire.HeaderOutcome)
		}()
	}
	require.Eventually(t, func() bool { return f.Active() == cap(outcomes) }, 10*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	f.MarkTargetLeaving(core.TargetID(leaving), "")
	f.MarkSynced()
	for range cap(outcomes) {
		require.Equal(t, string(wire.OutcomeAnswered), <-outcomes)
	}
	require.Zero(t, leavingServed.Load())
}

// Guards against requests that an instance holds beyond their deadlines because it reaches no other one, or that it sends
// although it has not synced, and against holding requests that cannot be served without a configuration.
func TestWaitForSyncEndsWithDeadline(t *testing.T) {
	var served atomic.Int64
	target := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	f := newFixture(t, logr.Discard(), Config{HoldUntilSynced: true}, target)
	const post = "POST /q/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n" // has a deadline of 50 ms
	resp, _, err := f.exchangeRaw(t, http.MethodPost, post)
	require.NoError(t, err)
	require.Equal(t, string(wire.OutcomeNotRun), resp.Header.Get(wire.HeaderOutcome))
	require.Equal(t, string(core.ReasonDeadline), resp.Header.Get(wire.HeaderReason))
	require.Zero(t, served.Load())

	f.SetDocuments(nil)
	resp, _, err = f.exchangeRaw(t, http.MethodGet, get("/r/1"))
	require.NoError(t, err)
	require.Equal(t, string(ReasonNoConfiguration), resp.Header.Get(wire.HeaderReason))
}

// Guards against running work that is given up or started again elsewhere because its target has missed its reports:
// the target disappears from the list and answers no probe, but still works on the request.
func TestRunningWorkOutlivesMissingReports(t *testing.T) {
	for _, request := range []struct{ method, path string }{{http.MethodPost, "/b/1"}, {http.MethodGet, "/r/1"}} {
		t.Run(request.method, func(t *testing.T) {
			started, release := make(chan struct{}, 1), make(chan struct{})
			silent := newHandlerTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				started <- struct{}{}
				<-release
				_, _ = io.WriteString(w, "done")
			})
			var otherServed atomic.Int64
			other := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) { otherServed.Add(1) })
			f := newFixture(t, logr.Discard(), Config{}, silent)
			bodies := make(chan string, 1)
			go func() {
				_, body, err := f.exchangeRaw(t, request.method, request.method+" "+request.path+" HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n")
				if err != nil {
					body = err.Error()
				}
				bodies <- body
			}()
			<-started
			f.engine("registry").dispatch(core.ProbeEnded{Target: core.TargetID(silent)})
			f.SetTargets(discovery.InstanceList{Instances: []discovery.Instance{
				{Service: "registry", Address: other, State: discovery.StateLive},
			}})
			time.Sleep(200 * time.Millisecond)
			close(release)
			require.Equal(t, "done", <-bodies)
			require.Zero(t, otherServed.Load())
		})
	}
}
