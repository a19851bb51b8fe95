package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/standin"
)

// Guards against wrong statements to callers under failure: a booking that runs twice, "not-run" for work that ran, an
// answer without a run, an answer to another request.
func TestCallersAreToldTheTruthUnderFailure(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*Deployment) error
		undo  func(*Deployment) error
		// seen checks that the fault was seen, so that the comparison is not empty.
		seen func(*testing.T, *Deployment, *standin.LoadResult)
	}{
		{name: "target killed", fault: targetSignal(syscall.SIGKILL), seen: targetEnded},
		{name: "target stopped", fault: targetSignal(syscall.SIGSTOP), undo: targetSignal(syscall.SIGCONT), seen: someFailed},
		{name: "connections silent", fault: targetFault(standin.Fault{Kind: standin.FaultSilentConnections}), seen: someSwallowed},
		{name: "answers truncated", fault: targetFault(standin.Fault{Kind: standin.FaultTruncate}), seen: someBroken},
		{name: "entry instance killed", fault: killEntry, seen: someFailed},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			d, err := StartDeployment(ctx, NewCluster(binaries, t.TempDir()), DeploymentConfig{
				Targets: 3, Entries: 2, Slots: 4, QueueLimit: 8, ServiceTime: 5 * time.Millisecond, Sigma: 0.5, Seed: uint64(i),
			})
			require.NoError(t, err)
			defer d.Stop()
			result := loadWithFault(ctx, t, d, uint64(i), c.fault)
			if c.undo != nil {
				require.NoError(t, c.undo(d))
				d.Settled()
			}
			ledger, err := d.Ledger()
			require.NoError(t, err)
			require.Equal(t, &standin.Discrepancies{}, result.CompareWithLedger(ledger))
			c.seen(t, d, result)
			served := result.Count(func(r *standin.Record) bool { return r.Phase == standin.PhaseOnset && r.Served() })
			require.Positive(t, served)
		})
	}
}

func loadWithFault(
	ctx context.Context, t *testing.T, d *Deployment, seed uint64, fault func(*Deployment) error,
) *standin.LoadResult {
	t.Helper()
	var faultErr error
	result := standin.RunLoad(ctx, standin.LoadConfig{
		Endpoints: d.Callers, Seed: seed, Mix: standin.Mix{Lookup: 0.5, Once: 0.5}, CallerTimeouts: standin.DefaultCallerTimeouts(),
		Deadline: 500 * time.Millisecond,
		Stages: []standin.Stage{
			{Phase: standin.PhaseBefore, Rate: 200, Duration: 500 * time.Millisecond},
			{Phase: standin.PhaseOnset, Rate: 200, Duration: time.Second, OnStart: func() { faultErr = fault(d) }},
		},
	})
	require.NoError(t, ctx.Err())
	require.NoError(t, faultErr)
	return result
}

func killEntry(d *Deployment) error { return d.Entries[0].Signal(syscall.SIGKILL) }

func targetEnded(t *testing.T, d *Deployment, _ *standin.LoadResult) {
	t.Helper()
	<-d.TargetProcesses[0].Done()
}

func someFailed(t *testing.T, _ *Deployment, r *standin.LoadResult) {
	t.Helper()
	require.Positive(t, r.Count(func(rec *standin.Record) bool { return !rec.Served() }))
}

// someBroken checks that answers were broken: their requests failed, or were lookups and retried. An instance that meets
// the fault with two lookups first ejects the target, so that no booking has to fail.
func someBroken(t *testing.T, d *Deployment, r *standin.LoadResult) {
	t.Helper()
	failed := r.Count(func(rec *standin.Record) bool { return !rec.Served() })
	require.Positive(t, float64(failed)+d.Metric("burdockpitch_retries_total"))
}

func someSwallowed(t *testing.T, d *Deployment, _ *standin.LoadResult) {
	t.Helper()
	counts, err := d.Counts(0)
	require.NoError(t, err)
	require.Positive(t, counts.DiscardedReads)
}
