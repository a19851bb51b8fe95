package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// balancedEntry is an entry instance as the platform's balancer sees it.
type balancedEntry struct {
	caller, admin string
	process       *Process
	ready         atomic.Bool
	client        *target.Client // keeps connections alive and, unlike net/http, never repeats a request
}

const (
	checkInterval = 100 * time.Millisecond // between the balancer's readiness checks
	lameDuck      = time.Second
	restartLoad   = 8   // callers
	restartSteps  = 500 // requests between two restarts
)

func (d *deployment) startBalanced(t *testing.T, e *balancedEntry, name string) {
	t.Helper()
	text := fmt.Sprintf("zone = \"a\"\nlisten = %q\nadmin_listen = %q\nplatform = %q\nlame_duck = %q\n",
		e.caller, e.admin, "http://"+d.platform, lameDuck)
	p, err := d.StartEntry(name, text)
	require.NoError(t, err)
	e.process = p
}

// check follows the readiness of the entry as a balancer does, with a lag.
func (e *balancedEntry) check(ctx context.Context) {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + e.admin + "/v1/ready")
		if err == nil {
			resp.Body.Close()
		}
		e.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
		time.Sleep(checkInterval)
	}
}

// book sends one request that must not be repeated.
func (e *balancedEntry) book() error {
	a := target.Attempt{
		Method: http.MethodPost, URL: &url.URL{Path: "/bookings/1"}, Header: http.Header{}, Body: []byte("horse 7"),
		Deadline: time.Now().Add(10 * time.Second),
	}
	answer, err := e.client.Send(context.Background(), a)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	if outcome := answer.Header.Get(wire.HeaderOutcome); answer.Status != http.StatusOK || outcome != string(wire.OutcomeAnswered) {
		return fmt.Errorf("status %d, outcome %s, reason %s", answer.Status, outcome, answer.Header.Get(wire.HeaderReason))
	}
	return nil
}

// Guards against a planned shutdown that cuts or refuses requests: callers learn of it late, through readiness, and use
// kept-alive connections until then.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d := start(ctx, t, 3, 0)
	entries := make([]*balancedEntry, 2)
	for i := range entries {
		e := &balancedEntry{caller: freeAddress(t), admin: freeAddress(t)}
		e.client = target.NewClient(e.caller, target.DefaultConfig())
		entries[i] = e
		d.startBalanced(t, e, fmt.Sprint("first", i))
		go e.check(ctx)
	}
	waitReady := func() {
		for _, e := range entries {
			require.Eventually(t, e.ready.Load, 20*time.Second, 10*time.Millisecond)
		}
	}
	waitReady()

	var sent atomic.Int64
	var workers sync.WaitGroup
	failures := make(chan error, 1000)
	load, endLoad := context.WithCancel(ctx)
	for worker := range restartLoad {
		workers.Go(func() {
			for i := worker; load.Err() == nil; i++ {
				e := entries[i%len(entries)]
				if !e.ready.Load() {
					continue
				}
				if err := e.book(); err != nil && len(failures) < cap(failures) {
					failures <- err
				}
				sent.Add(1)
				time.Sleep(time.Millisecond)
			}
		})
	}
	waitSent := func() {
		goal := sent.Load() + restartSteps
		require.Eventually(t, func() bool { return sent.Load() >= goal }, 20*time.Second, time.Millisecond)
	}
	for i, e := range entries {
		waitSent()
		require.NoError(t, e.process.Signal(syscall.SIGTERM))
		<-e.process.Done()
		require.Zero(t, e.process.ExitCode(), e.process.Output())
		e.ready.Store(false)
		d.startBalanced(t, e, fmt.Sprint("second", i))
		waitReady()
	}
	waitSent()
	endLoad()
	workers.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
}
