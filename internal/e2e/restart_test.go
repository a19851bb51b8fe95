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

// balancedInstance is an instance behind the platform's own balancer. The test acts as that balancer: it sends requests
// to the instance only if the last readiness check succeeded.
type balancedInstance struct {
	callerAddress, adminAddress string
	process                     *Process
	ready                       atomic.Bool
	client                      *target.Client // keeps connections alive and, unlike net/http, never retries a request
}

const (
	readinessCheckInterval  = 100 * time.Millisecond
	lameDuck                = time.Second // longer than pollReadiness takes to notice that an instance is stopping
	restartWorkers          = 8
	requestsBetweenRestarts = 500
)

func (d *simpleDeployment) startBalancedInstance(t *testing.T, inst *balancedInstance, name string) {
	t.Helper()
	settings := fmt.Sprintf("zone = \"a\"\nlisten = %q\nadmin_listen = %q\nplatform = %q\nlame_duck = %q\n",
		inst.callerAddress, inst.adminAddress, "http://"+d.platformAddress, lameDuck)
	p, err := d.StartInstance(name, settings)
	require.NoError(t, err)
	inst.process = p
}

// pollReadiness polls the readiness of the instance as a balancer does, so that changes are noticed late.
func (inst *balancedInstance) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		resp, err := http.Get("http://" + inst.adminAddress + "/v1/ready")
		if err == nil {
			resp.Body.Close()
		}
		inst.ready.Store(err == nil && resp.StatusCode == http.StatusOK)
		time.Sleep(readinessCheckInterval)
	}
}

// sendBooking sends a request that must not be retried.
func (inst *balancedInstance) sendBooking() error {
	attempt := target.Attempt{
		Method: http.MethodPost, URL: &url.URL{Path: "/bookings/1"}, Header: http.Header{}, Body: []byte("horse 7"),
		Deadline: time.Now().Add(10 * time.Second),
	}
	resp, err := inst.client.Send(context.Background(), attempt)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if outcome := resp.Header.Get(wire.HeaderOutcome); resp.Status != http.StatusOK || outcome != string(wire.OutcomeAnswered) {
		return fmt.Errorf("status %d, outcome %s, reason %s", resp.Status, outcome, resp.Header.Get(wire.HeaderReason))
	}
	return nil
}

// Guards against a graceful shutdown that aborts or refuses requests: callers notice it late, by polling readiness, and
// use their keep-alive connections until then.
func TestRollingRestartFailsNoRequests(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d := startSimpleDeployment(ctx, t, 3, 0)
	instances := make([]*balancedInstance, 2)
	for i := range instances {
		inst := &balancedInstance{callerAddress: freeAddress(t), adminAddress: freeAddress(t)}
		inst.client = target.NewClient(inst.callerAddress, target.DefaultConfig())
		instances[i] = inst
		d.startBalancedInstance(t, inst, fmt.Sprint("first", i))
		go inst.pollReadiness(ctx)
	}
	waitReady := func() {
		for _, inst := range instances {
			require.Eventually(t, inst.ready.Load, 20*time.Second, 10*time.Millisecond)
		}
	}
	waitReady()

	var sent atomic.Int64
	var workers sync.WaitGroup
	failures := make(chan error, 1000)
	load, endLoad := context.WithCancel(ctx)
	for worker := range restartWorkers {
		workers.Go(func() {
			for i := worker; load.Err() == nil; i++ {
				inst := instances[i%len(instances)]
				if !inst.ready.Load() {
					continue
				}
				if err := inst.sendBooking(); err != nil && len(failures) < cap(failures) {
					failures <- err
				}
				sent.Add(1)
				time.Sleep(time.Millisecond)
			}
		})
	}
	waitSent := func() {
		wantSent := sent.Load() + requestsBetweenRestarts
		require.Eventually(t, func() bool { return sent.Load() >= wantSent }, 20*time.Second, time.Millisecond)
	}
	for i, inst := range instances {
		waitSent()
		require.NoError(t, inst.process.Signal(syscall.SIGTERM))
		<-inst.process.Done()
		require.Zero(t, inst.process.ExitCode(), inst.process.Output())
		inst.ready.Store(false)
		d.startBalancedInstance(t, inst, fmt.Sprint("second", i))
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
