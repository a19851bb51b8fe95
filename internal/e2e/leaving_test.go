package e2e

import (
	"context"
	"encoding/json"
	"fmt"
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
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

const (
	// leavingLimit is the time after the first sign within which the last new request starts (design page, section 1.2).
	leavingLimit = 3 * time.Second
	// leavingWatch is how long after leavingLimit requests are still sent, to see one that comes too late.
	leavingWatch = 2 * time.Second
	// listLag is the lag of the instance list in a degraded deployment.
	listLag = 30 * time.Second
	// bookingTime is long enough for bookings to be in flight when the sign appears.
	bookingTime = 100 * time.Millisecond
	// bookersPerEntry callers keep all targets busy, also when one has left.
	bookersPerEntry = 3
)

// booker sends bookings from several callers, one after the other each, until it is stopped.
type booker struct {
	stop     context.CancelFunc
	callers  sync.WaitGroup
	mu       sync.Mutex
	failures []string
}

func startBooking(entries ...string) *booker {
	ctx, stop := context.WithCancel(context.Background())
	b := &booker{stop: stop}
	for _, entry := range entries {
		for caller := range bookersPerEntry {
			b.callers.Go(func() {
				for i := 0; ctx.Err() == nil; i++ {
					if err := book(entry, fmt.Sprintf("%s-%d-%d", entry, caller, i)); err != nil {
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

// end stops the callers after their last answer and returns what was not answered.
func (b *booker) end() []string {
	b.stop()
	b.callers.Wait()
	return b.failures
}

// book sends one booking and expects that it ran.
func book(entry, id string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/bookings/1", strings.NewReader(id))
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

// runs returns the runs of a target.
func (d *Deployment) runs(t *testing.T, target int) []standin.Execution {
	t.Helper()
	runs, err := standin.ReadExecutions(filepath.Join(d.ledgers, standin.LedgerFileName(d.Targets[target])))
	require.NoError(t, err)
	return runs
}

// nextRun waits until a target starts another run.
func (d *Deployment) nextRun(ctx context.Context, t *testing.T, target int) {
	t.Helper()
	before := len(d.runs(t, target))
	require.NoError(t, WaitFor(ctx, "a run of a target", func() error {
		if len(d.runs(t, target)) == before {
			return eris.New("no new run")
		}
		return nil
	}))
}

// services returns the targets of each service as an entry instance sees them.
func (d *Deployment) services(entry int) (map[string][]core.TargetView, error) {
	resp, err := control.Get("http://" + d.Admins[entry] + admin.PathTargets)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var reply admin.Targets
	err = json.NewDecoder(resp.Body).Decode(&reply)
	byName := make(map[string][]core.TargetView)
	for _, s := range reply.Services {
		byName[s.Service] = s.Targets
	}
	return byName, err
}

// sees waits until the entry instance sees the first target leaving.
func (d *Deployment) sees(ctx context.Context, entry int) error {
	return WaitFor(ctx, "the sign at an entry instance", func() error {
		services, err := d.services(entry)
		if err != nil {
			return err
		}
		for _, target := range services["registry"] {
			if string(target.ID) == d.Targets[0] && target.Status == core.TargetStatusLeaving {
				return nil
			}
		}
		return eris.New("not seen as leaving")
	})
}

// listFirst puts the first target on the instance list with the given start and state.
func (d *Deployment) listFirst(start string, state discovery.InstanceState, more ...discovery.Instance) error {
	list := append([]discovery.Instance(nil), d.instances...)
	list[0].Start, list[0].State = start, state
	return PublishInstances(d.Platform, append(list, more...))
}

// listMarked does the same with a target of another service, and waits until every entry instance knows that service, so
// that it has read this list.
func (d *Deployment) listMarked(ctx context.Context, start string, state discovery.InstanceState, marker string) error {
	mark := discovery.Instance{Service: marker, Address: "127.0.0.1:1", State: discovery.StateLive}
	if err := d.listFirst(start, state, mark); err != nil {
		return err
	}
	for i := range d.Entries {
		err := WaitFor(ctx, "the list at an entry instance", func() error {
			services, err := d.services(i)
			if err == nil && services[marker] == nil {
				err = eris.New("list not read")
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// restartFirst ends the process of the first target and starts it again with another start id.
func (d *Deployment) restartFirst(ctx context.Context, t *testing.T, start string) {
	t.Helper()
	require.NoError(t, d.TargetProcesses[0].Signal(syscall.SIGKILL))
	<-d.TargetProcesses[0].Done()
	_, err := d.Start("standin", "target", "--listen", d.Targets[0], "--ledger-dir", d.ledgers, "--slots",
		strconv.Itoa(d.cfg.Slots), "--service-time", d.cfg.ServiceTime.String(), "--start", start)
	require.NoError(t, err)
	require.NoError(t, WaitStatus(ctx, "http://"+d.Targets[0]+"/control/counts", http.StatusOK))
}

// Guards against new requests to a leaving target more than 3 s after the first sign, whoever gives it; against a sign
// that is lost before the target was started anew or holds longer; and against cut requests.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	declaration, header := targetFault(standin.Fault{Kind: standin.FaultDrain}), targetFault(standin.Fault{Kind: standin.FaultLeaving})
	list := func(d *Deployment) error { return d.listFirst("1", discovery.StateLeaving) }
	cases := []struct {
		name string
		sign func(*Deployment) error
		// degraded: the platform is down and its list lags, so that only answers and peers carry the sign.
		degraded bool
		// one: only the first entry instance can learn the sign from an answer.
		one bool
	}{
		{name: "instance list", sign: list},
		{name: "declaration", sign: declaration},
		{name: "header", sign: header},
		{name: "declaration, degraded", sign: declaration, degraded: true},
		{name: "header, degraded", sign: header, degraded: true},
		{name: "peer, degraded", sign: header, degraded: true, one: true},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			d, err := StartDeployment(ctx, NewCluster(binaries, t.TempDir()), DeploymentConfig{
				Targets: 3, Entries: 3, Slots: 4, QueueLimit: 8, ServiceTime: bookingTime, Seed: uint64(i),
			})
			require.NoError(t, err)
			defer d.Stop()
			if c.degraded {
				require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{InstanceLagMs: int(listLag.Milliseconds())}))
				require.NoError(t, d.listFirst("1", discovery.StateLeaving)) // too late to help
				require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{Down: true}))
			}
			callers := d.Callers
			if c.one {
				callers = callers[:1]
			}
			load := startBooking(callers...)
			d.nextRun(ctx, t, 0) // one request is in flight at the sign
			first := time.Now()
			require.NoError(t, c.sign(d))
			require.NoError(t, d.sees(ctx, 0))
			// From here on the target shows no sign any more, so that an instance that missed it would be seen in the ledger.
			require.NoError(t, clearFaults(d.Targets[0]))
			if c.one {
				failures := load.end()
				require.Empty(t, failures)
				load = startBooking(d.Callers...)
			}
			for time.Since(first) < leavingLimit+leavingWatch {
				d.nextRun(ctx, t, 1)
			}
			runs := d.runs(t, 0)
			last := runs[len(runs)-1].At.Sub(first)
			t.Logf("last new request %v after the first sign", last)
			require.LessOrEqual(t, last, leavingLimit)
			for i := range d.Entries {
				require.NoError(t, d.sees(ctx, i))
			}

			require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{}))
			require.NoError(t, d.listMarked(ctx, "1", discovery.StateLive, "outdated"))
			for range 2 * len(d.Targets) {
				d.nextRun(ctx, t, 1)
			}
			require.Len(t, d.runs(t, 0), len(runs), "the sign holds while the start id is the same")
			d.restartFirst(ctx, t, "2")
			require.NoError(t, d.listMarked(ctx, "2", discovery.StateLive, "restarted"))
			d.nextRun(ctx, t, 0)
			require.Empty(t, load.end(), "every booking is answered")
		})
	}
}
