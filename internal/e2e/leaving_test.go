package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/admin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

const (
	// leavingDeadline is the time after the first leaving signal within which the last new request may start (design
	// page, section 1.2).
	leavingDeadline = 3 * time.Second
	// leavingObservationTime is how long requests are sent after leavingDeadline, to detect one that starts too late.
	leavingObservationTime = 2 * time.Second
	// instanceListLag is the lag of the instance list in a degraded deployment.
	instanceListLag = 30 * time.Second
	// bookingServiceTime is long enough for bookings to be in flight when the leaving signal appears.
	bookingServiceTime = 100 * time.Millisecond
	// bookingClientsPerInstance is enough to keep all targets busy, also when one has left.
	bookingClientsPerInstance = 3
)

// bookingLoad sends bookings from several clients until it is stopped. Each client has one request in flight.
type bookingLoad struct {
	stop     context.CancelFunc
	clients  sync.WaitGroup
	mu       sync.Mutex
	failures []string
}

func startBookingLoad(instanceAddresses ...string) *bookingLoad {
	ctx, stop := context.WithCancel(context.Background())
	b := &bookingLoad{stop: stop}
	for _, address := range instanceAddresses {
		for client := range bookingClientsPerInstance {
			b.clients.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					if err := sendBooking(address, fmt.Sprintf("%s-%d-%d", address, client, i)); err != nil {
						b.mu.Lock()
						b.failures = append(b.failures, err.Error())
						b.mu.Unlock()
					}
				}
			})
		}
	}
	return b
}

// finish stops the clients after their requests in flight and returns the errors of all bookings that failed.
func (b *bookingLoad) finish() []string {
	b.stop()
	b.clients.Wait()
	return b.failures
}

// sendBooking sends a booking and returns an error unless its outcome is "answered".
func sendBooking(address, id string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/bookings/1", strings.NewReader(id))
	if err != nil {
		return err
	}
	req.Header.Set(standin.WorkIDHeader, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	resp.Body.Close()
	if outcome := resp.Header.Get(wire.HeaderOutcome); outcome != string(wire.OutcomeAnswered) {
		return eris.Errorf("%s: status %d, outcome %s, reason %s", id, resp.StatusCode, outcome, resp.Header.Get(wire.HeaderReason))
	}
	return nil
}

// executions reads the executions in the ledger file of a target, in the order in which they started.
func (d *Deployment) executions(t *testing.T, target int) []standin.Execution {
	t.Helper()
	executions, err := standin.ReadExecutions(filepath.Join(d.ledgerDir, standin.LedgerFileName(d.TargetAddresses[target])))
	require.NoError(t, err)
	return executions
}

// waitForExecution waits until a target starts to execute another request.
func (d *Deployment) waitForExecution(ctx context.Context, t *testing.T, target int) {
	t.Helper()
	before := len(d.executions(t, target))
	require.NoError(t, WaitFor(ctx, "an execution on a target", func() error {
		if len(d.executions(t, target)) == before {
			return eris.New("no new execution")
		}
		return nil
	}))
}

// targetsByService returns the targets of each service that an instance reports.
func (d *Deployment) targetsByService(instance int) (map[string][]core.TargetView, error) {
	resp, err := controlClient.Get("http://" + d.AdminAddresses[instance] + admin.PathTargets)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body admin.Targets
	err = json.NewDecoder(resp.Body).Decode(&body)
	byService := make(map[string][]core.TargetView)
	for _, s := range body.Services {
		byService[s.Service] = s.Targets
	}
	return byService, err
}

// waitUntilLeaving waits until an instance reports the first target as leaving.
func (d *Deployment) waitUntilLeaving(ctx context.Context, instance int) error {
	return WaitFor(ctx, "the leaving signal at an instance", func() error {
		targets, err := d.targetsByService(instance)
		if err != nil {
			return err
		}
		for _, target := range targets["registry"] {
			if string(target.ID) == d.TargetAddresses[0] && target.Status == core.TargetStatusLeaving {
				return nil
			}
		}
		return eris.New("target not reported as leaving")
	})
}

// publishFirstTarget publishes the initial instance list with the given start ID and state of the first target,
// followed by extra instances.
func (d *Deployment) publishFirstTarget(startID string, state discovery.InstanceState, extra ...discovery.Instance) error {
	list := append([]discovery.Instance(nil), d.initialInstanceList...)
	list[0].Start, list[0].State = startID, state
	return PublishInstances(d.PlatformAddress, append(list, extra...))
}

// publishFirstTargetAndWait publishes the list of publishFirstTarget with one more target, which belongs to the service
// markerService. It waits until every load balancer instance reports that service, which proves that the instance has
// read this list.
func (d *Deployment) publishFirstTargetAndWait(
	ctx context.Context, startID string, state discovery.InstanceState, markerService string,
) error {
	marker := discovery.Instance{Service: markerService, Address: "127.0.0.1:1", State: discovery.StateLive}
	if err := d.publishFirstTarget(startID, state, marker); err != nil {
		return err
	}
	for i := range d.InstanceProcesses {
		err := WaitFor(ctx, "the instance list at an instance", func() error {
			targets, err := d.targetsByService(i)
			if err == nil && targets[markerService] == nil {
				err = eris.New("instance list not read")
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// restartFirstTarget kills the process of the first target and starts it again with another start ID.
func (d *Deployment) restartFirstTarget(ctx context.Context, t *testing.T, startID string) {
	t.Helper()
	require.NoError(t, d.TargetProcesses[0].Signal(syscall.SIGKILL))
	<-d.TargetProcesses[0].Done()
	_, err := d.Start("standin", "target", "--listen", d.TargetAddresses[0], "--ledger-dir", d.ledgerDir, "--slots",
		strconv.Itoa(d.cfg.Slots), "--service-time", d.cfg.ServiceTime.String(), "--start", startID)
	require.NoError(t, err)
	require.NoError(t, WaitStatus(ctx, "http://"+d.TargetAddresses[0]+"/control/counts", http.StatusOK))
}

// killAndRestartInstance kills an instance, starts it again with the same settings and returns as soon as it accepts
// connections.
func (d *Deployment) killAndRestartInstance(ctx context.Context, t *testing.T, instance int) {
	t.Helper()
	require.NoError(t, d.InstanceProcesses[instance].Signal(syscall.SIGKILL))
	<-d.InstanceProcesses[instance].Done()
	settingsFile := filepath.Join(d.workDir, fmt.Sprintf("entry%d.toml", instance))
	p, err := d.Start("burdockpitch", "serve", "--settings", settingsFile)
	require.NoError(t, err)
	d.InstanceProcesses[instance] = p
	require.NoError(t, WaitFor(ctx, "the listener for callers", func() error {
		c, err := net.Dial("tcp", d.CallerAddresses[instance])
		if err == nil {
			c.Close()
		}
		return err
	}))
}

// Guards against requests that start on a leaving target more than 3 s after the first leaving signal, whether the
// signal comes from the instance list, a response or a peer; against a signal that is forgotten before the target
// restarts, also by an instance that restarts, or kept after the restart of the target; and against failed requests.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	viaDeclaration, viaHeader := injectTargetFault(standin.Fault{Kind: standin.FaultDrain}),
		injectTargetFault(standin.Fault{Kind: standin.FaultLeaving})
	viaInstanceList := func(d *Deployment) error { return d.publishFirstTarget("1", discovery.StateLeaving) }
	cases := []struct {
		name       string
		sendSignal func(*Deployment) error
		// degraded: the platform is down and its list lags, so that only responses and peers carry the signal.
		degraded bool
		// singleInstance: only the first instance can get the signal from a response; the others get it from a peer.
		singleInstance bool
	}{
		{name: "instance list", sendSignal: viaInstanceList},
		{name: "declaration", sendSignal: viaDeclaration},
		{name: "header", sendSignal: viaHeader},
		{name: "declaration, degraded", sendSignal: viaDeclaration, degraded: true},
		{name: "header, degraded", sendSignal: viaHeader, degraded: true},
		{name: "peer, degraded", sendSignal: viaHeader, degraded: true, singleInstance: true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			d, err := StartDeployment(ctx, NewCluster(testBinaryDir, t.TempDir()), DeploymentConfig{
				Targets: 3, Instances: 3, Slots: 4, QueueLimit: 8, ServiceTime: bookingServiceTime, Seed: uint64(i),
			})
			require.NoError(t, err)
			defer d.Stop()
			if c.degraded {
				require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{InstanceLagMs: int(instanceListLag.Milliseconds())}))
				require.NoError(t, d.publishFirstTarget("1", discovery.StateLeaving)) // visible only after instanceListLag
				require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{Down: true}))
			}
			callerAddresses := d.CallerAddresses
			if c.singleInstance {
				callerAddresses = callerAddresses[:1]
			}
			load := startBookingLoad(callerAddresses...)
			d.waitForExecution(ctx, t, 0) // a request is in flight when the signal appears
			signaledAt := time.Now()
			require.NoError(t, c.sendSignal(d))
			require.NoError(t, d.waitUntilLeaving(ctx, 0))
			// From here on the target sends no signal and executes requests as usual. If an instance missed the signal
			// and still sends requests to the target, they appear in the target's ledger.
			require.NoError(t, clearFaults(d.TargetAddresses[0]))
			if c.singleInstance {
				failures := load.finish()
				require.Empty(t, failures)
				load = startBookingLoad(d.CallerAddresses...)
			}
			for time.Since(signaledAt) < leavingDeadline+leavingObservationTime {
				d.waitForExecution(ctx, t, 1)
			}
			executions := d.executions(t, 0)
			lastStart := executions[len(executions)-1].At.Sub(signaledAt)
			t.Logf("last new request started %v after the first leaving signal", lastStart)
			require.LessOrEqual(t, lastStart, leavingDeadline)
			for i := range d.InstanceProcesses {
				require.NoError(t, d.waitUntilLeaving(ctx, i))
			}

			// A list that shows the target as live under the same start ID is outdated; the target stays leaving.
			require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{}))
			require.NoError(t, d.publishFirstTargetAndWait(ctx, "1", discovery.StateLive, "outdated"))
			for range 2 * len(d.TargetAddresses) {
				d.waitForExecution(ctx, t, 1)
			}
			require.Len(t, d.executions(t, 0), len(executions), "requests to a leaving target with the same start ID")
			// A restarted instance has forgotten the signal and reads the outdated list.
			require.Empty(t, load.finish(), "bookings that failed")
			d.killAndRestartInstance(ctx, t, 1)
			load = startBookingLoad(d.CallerAddresses[1]) // requests may arrive before the instance is ready
			for range 4 * len(d.TargetAddresses) {
				d.waitForExecution(ctx, t, 1)
			}
			require.Len(t, d.executions(t, 0), len(executions), "requests of a restarted instance to a leaving target")
			for _, failure := range load.finish() {
				require.Contains(t, failure, gateway.ReasonNoConfiguration, "bookings that failed")
			}
			load = startBookingLoad(d.CallerAddresses...)
			d.restartFirstTarget(ctx, t, "2")
			require.NoError(t, d.publishFirstTargetAndWait(ctx, "2", discovery.StateLive, "restarted"))
			d.waitForExecution(ctx, t, 0)
			require.Empty(t, load.finish(), "bookings that failed")
		})
	}
}
