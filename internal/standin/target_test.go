package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// serveTarget serves a target on its own listener and returns its base URL.
func serveTarget(t *testing.T, cfg TargetConfig) (*Target, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	target := NewTarget(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- target.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return target, "http://" + l.Addr().String()
}

func get(t *testing.T, c *http.Client, url, id, deadline string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	req.Header.Set(WorkIDHeader, id)
	if deadline != "" {
		req.Header.Set(wire.HeaderDeadline, deadline)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func setFault(t *testing.T, base string, f Fault) {
	t.Helper()
	text, err := json.Marshal(f)
	require.NoError(t, err)
	resp, err := http.Post(base+"/control/faults", "application/json", strings.NewReader(string(text)))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against a target that, under a fault, executes a request or responds to it differently from what the doc
// comment of the fault says.
func TestFaultResponsesAndExecutions(t *testing.T) {
	cases := []struct {
		fault       Fault
		status      int // 0: no complete response
		declaration wire.Declaration
		executed    int
	}{
		{Fault{Kind: FaultError}, 500, "", 0},
		{Fault{Kind: FaultCloseConnection}, 0, "", 0},
		{Fault{Kind: FaultDrain}, 503, wire.DeclareDraining, 0},
		{Fault{Kind: FaultTruncate}, 0, "", 1},
		{Fault{Kind: FaultDelay, DelayMs: 1}, 200, "", 1},
		{Fault{Kind: FaultLeaving}, 200, "", 1},
		{Fault{Kind: FaultIdleLoadReport}, 200, "", 1},
		{Fault{Kind: FaultSlow, Factor: 2}, 200, "", 1},
		{Fault{Kind: FaultNoisyNeighbour, Factor: 2}, 200, "", 1},
	}
	for _, c := range cases {
		t.Run(string(c.fault.Kind), func(t *testing.T) {
			target, base := serveTarget(t, TargetConfig{Slots: 1, ServiceTime: time.Millisecond, Sigma: 0.5})
			setFault(t, base, c.fault)
			// Use POST, because the client itself retries a GET on a broken connection.
			resp, err := http.DefaultClient.Do(newBookingRequest(t, base, "w1"))
			status := 0
			if err == nil {
				defer resp.Body.Close()
				if _, err = io.ReadAll(resp.Body); err == nil {
					status = resp.StatusCode
					require.Equal(t, string(c.declaration), resp.Header.Get(wire.HeaderDeclare))
				}
			}
			require.Equal(t, c.status, status)
			require.Equal(t, c.executed, target.ledger.counts["w1"])
		})
	}
}

func newBookingRequest(t *testing.T, base, id string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, base+"/bookings/1", strings.NewReader(id))
	require.NoError(t, err)
	req.Header.Set(WorkIDHeader, id)
	return req
}

// Guards against a FaultSilentConnections that also affects new connections, or that leaves an open one responsive.
func TestSilentFaultAffectsOpenConnectionsOnly(t *testing.T) {
	_, base := serveTarget(t, TargetConfig{Slots: 1})
	old := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	_, _, err := get(t, old, base, "a", "")
	require.NoError(t, err)
	setFault(t, base, Fault{Kind: FaultSilentConnections})
	old.Timeout = 100 * time.Millisecond
	_, _, err = get(t, old, base, "b", "")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, body, err := get(t, &http.Client{Transport: &http.Transport{}}, base, "c", "")
	require.NoError(t, err)
	require.Equal(t, "c", body)
}

// Guards against a target that executes requests that it declared shed or expired.
func TestShedAndExpiredRequestsAreNotExecuted(t *testing.T) {
	target := NewTarget(TargetConfig{Slots: 1, QueueLimit: 1, ServiceTime: time.Hour})
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	holder := newBookingRequest(t, server.URL, "holder").WithContext(ctx)
	go func() {
		if resp, err := server.Client().Do(holder); err == nil {
			resp.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return target.executed.Load() == 1 }, 10*time.Second, time.Millisecond)

	resp, _, err := get(t, server.Client(), server.URL, "late", "20")
	require.NoError(t, err)
	require.Equal(t, string(wire.DeclareExpired), resp.Header.Get(wire.HeaderDeclare))

	target.inFlight.Add(1) // as if one request were waiting
	resp, _, err = get(t, server.Client(), server.URL, "extra", "")
	require.NoError(t, err)
	require.Equal(t, string(wire.DeclareShed), resp.Header.Get(wire.HeaderDeclare))
	require.Equal(t, Ledger{"holder": 1}, target.ledger.counts)

	cancel() // the slot is freed although the work would take an hour
	require.Eventually(t, func() bool { return len(target.freeSlots) == 1 }, 10*time.Second, time.Millisecond)
}
