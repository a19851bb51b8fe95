package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against an unexpected error while a decision is carried out that ends the process, leaves other callers without
// a response, or reports a request that may have run as not run.
func TestPanicOfADecisionIsContained(t *testing.T) {
	release := make(chan struct{})
	served := make(chan struct{}, 1)
	f := newFixture(t, logr.Discard(), Config{}, newHandlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/b/1" {
			served <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ok")
	}))
	defer close(release)
	outcomes := make(chan string, 1)
	go func() {
		resp, err := http.Post("http://"+f.addr+"/b/1", "", nil)
		if err != nil {
			outcomes <- err.Error()
			return
		}
		resp.Body.Close()
		outcomes <- resp.Header.Get(wire.HeaderOutcome)
	}()
	<-served
	panicInDecision(f)

	require.Equal(t, string(wire.OutcomeUnknown), <-outcomes)
	require.Equal(t, 1.0, testutil.ToFloat64(f.metrics.panics.WithLabelValues("registry", "decision")))
	resp, body, err := f.exchangeRaw(t, http.MethodGet, get("/r/1"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "ok", body)
}

func panicInDecision(f *fixture) {
	e := f.engine("registry")
	e.mu.Lock()
	const missing core.RequestID = 1 << 40
	e.service.Reduce(core.Input{Now: e.clock.now(), Event: core.RequestArrived{
		Request: missing, Class: core.ClassLookup, Deadline: e.clock.now() + time.Hour,
	}}, nil)
	e.mu.Unlock()
	e.dispatch(core.CallerLeft{Request: missing}) // cancels an attempt and refuses a request that the engine does not have
}

// Guards against a panic while an attempt or a probe runs that ends the process or leaves the request undecided.
func TestPanicOfAnAttemptIsContained(t *testing.T) {
	f := newFixture(t, logr.Discard(), Config{Dialect: panickingDialect{}}, newHandlerTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	resp, _, err := f.exchangeRaw(t, http.MethodPost, "POST /b/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, string(wire.OutcomeUnknown), resp.Header.Get(wire.HeaderOutcome))
	e := f.engine("registry")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	e.startProbe(core.Effect{Target: e.targets[0].ID, At: e.clock.now() + time.Second})
	for testutil.ToFloat64(f.metrics.panics.WithLabelValues("registry", "probe")) == 0 {
		require.NoError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// panickingDialect panics on every response.
type panickingDialect struct{ wire.Native }

func (panickingDialect) VerifyResponse(int, http.Header, string) error { panic("unexpected header") }
