package e2e

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/standin"
)

// Guards against outcomes under faults that contradict the ledgers of the targets: a booking that was executed twice,
// "not-run" for work that was executed, "answered" without an execution, and a response to another request.
func TestOutcomesMatchLedgerUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*Deployment) error
		clear  func(*Deployment) error
		// checkEffect requires that the fault had an effect; without one the comparison would pass trivially.
		checkEffect func(*testing.T, *Deployment, *standin.LoadResult)
	}{
		{name: "target killed", inject: signalTarget(syscall.SIGKILL), checkEffect: requireTargetExited},
		{name: "target stopped", inject: signalTarget(syscall.SIGSTOP), clear: signalTarget(syscall.SIGCONT), checkEffect: requireFailures},
		{
			name:   "connections unresponsive",
			inject: injectTargetFault(standin.Fault{Kind: standin.FaultSilentConnections}), checkEffect: requireDiscardedReads,
		},
		{
			name:   "responses truncated",
			inject: injectTargetFault(standin.Fault{Kind: standin.FaultTruncate}), checkEffect: requireFailuresOrRetries,
		},
		{name: "instance killed", inject: killInstance, checkEffect: requireFailures},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			d, err := StartDeployment(ctx, NewCluster(testBinaryDir, t.TempDir()), DeploymentConfig{
				Targets: 3, Instances: 2, Slots: 4, QueueLimit: 8, ServiceTime: 5 * time.Millisecond, Sigma: 0.5, Seed: uint64(i),
			})
			require.NoError(t, err)
			defer d.Stop()
			result := runLoadWithFault(ctx, t, d, uint64(i), c.inject)
			if c.clear != nil {
				require.NoError(t, c.clear(d))
				d.WaitForStableCounts()
			}
			ledger, err := d.Ledger()
			require.NoError(t, err)
			require.Equal(t, &standin.Discrepancies{}, result.CompareWithLedger(ledger))
			c.checkEffect(t, d, result)
			served := result.Count(func(r *standin.Record) bool { return r.Phase == standin.PhaseOnset && r.Served() })
			require.Positive(t, served)
		})
	}
}

func runLoadWithFault(
	ctx context.Context, t *testing.T, d *Deployment, seed uint64, inject func(*Deployment) error,
) *standin.LoadResult {
	t.Helper()
	var injectErr error
	result := standin.RunLoad(ctx, standin.LoadConfig{
		Endpoints: d.CallerAddresses, Seed: seed, Mix: standin.Mix{Lookup: 0.5, Once: 0.5}, CallerTimeouts: standin.DefaultCallerTimeouts(),
		Deadline: 500 * time.Millisecond,
		Stages: []standin.Stage{
			{Phase: standin.PhaseBefore, Rate: 200, Duration: 500 * time.Millisecond},
			{Phase: standin.PhaseOnset, Rate: 200, Duration: time.Second, OnStart: func() { injectErr = inject(d) }},
		},
	})
	require.NoError(t, ctx.Err())
	require.NoError(t, injectErr)
	return result
}

func killInstance(d *Deployment) error { return d.InstanceProcesses[0].Signal(syscall.SIGKILL) }

func requireTargetExited(t *testing.T, d *Deployment, _ *standin.LoadResult) {
	t.Helper()
	<-d.TargetProcesses[0].Done()
}

func requireFailures(t *testing.T, _ *Deployment, r *standin.LoadResult) {
	t.Helper()
	require.Positive(t, r.Count(func(rec *standin.Record) bool { return !rec.Served() }))
}

// requireFailuresOrRetries requires a failed or retried request as evidence that responses were truncated. A request
// with a truncated response fails or, if it is a lookup, is retried. Failures alone are not certain: if the first two
// truncated responses that an instance receives belong to lookups, the instance ejects the target and no booking fails.
func requireFailuresOrRetries(t *testing.T, d *Deployment, r *standin.LoadResult) {
	t.Helper()
	failed := r.Count(func(rec *standin.Record) bool { return !rec.Served() })
	require.Positive(t, float64(failed)+d.SumCounter("burdockpitch_retries_total"))
}

func requireDiscardedReads(t *testing.T, d *Deployment, _ *standin.LoadResult) {
	t.Helper()
	counts, err := d.TargetCounts(0)
	require.NoError(t, err)
	require.Positive(t, counts.DiscardedReads)
}
