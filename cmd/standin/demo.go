package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/internal/e2e"
	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// startTimeout bounds the time until all processes of a demo are ready.
const startTimeout = 30 * time.Second

func newDemoCmd() *cobra.Command {
	var binaries string
	var usersPlatform bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Serve lookups and bookings through two instances", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			run := runDemo
			if usersPlatform {
				run = runPlatformDemo
			}
			return withCluster(binaries, func(c *e2e.Cluster) error { return run(cmd.Context(), c, cmd.OutOrStdout()) })
		},
	}
	addBinariesFlag(cmd, &binaries)
	cmd.Flags().BoolVar(&usersPlatform, "users-platform", false, "use stand-ins of the users' platform")
	return cmd
}

func addBinariesFlag(cmd *cobra.Command, value *string) {
	cmd.Flags().StringVar(value, "bin", "", "directory of the built programs (default: the directory of this program)")
}

// withCluster calls fn with a cluster in a temporary directory. It stops all processes and removes the directory before
// it returns.
func withCluster(binaries string, fn func(*e2e.Cluster) error) error {
	binaries, err := e2e.BinaryDir(binaries)
	if err != nil {
		return err
	}
	workDir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return eris.Wrap(err, "make working directory")
	}
	defer os.RemoveAll(workDir)
	c := e2e.NewCluster(binaries, workDir)
	defer c.Stop()
	return fn(c)
}

// runDemo serves lookups and bookings through two instances on the project's own protocols, and compares the responses
// with the ledgers of the targets.
func runDemo(ctx context.Context, c *e2e.Cluster, out io.Writer) error {
	cfg := e2e.DeploymentConfig{
		Targets: 3, Instances: 2, Slots: 4, QueueLimit: 8, ServiceTime: 10 * time.Millisecond, Sigma: 0.3, Seed: 1,
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := e2e.StartDeployment(startCtx, c, cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "platform %s, targets %v in three availability zones, instances %v\n", d.PlatformAddress, d.TargetAddresses, d.CallerAddresses)
	load := standin.LoadConfig{
		Endpoints: d.CallerAddresses, Seed: 1, Mix: standin.Mix{Lookup: 0.7, Once: 0.3}, CallerTimeouts: standin.DefaultCallerTimeouts(),
		Stages: []standin.Stage{{Phase: standin.PhaseBefore, Rate: 200, Duration: 3 * time.Second}},
	}
	result := standin.RunLoad(ctx, load)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	ledger, err := d.Ledger()
	if err != nil {
		return err
	}
	return reportDemo(out, d, result, result.CompareWithLedger(ledger))
}

// reportDemo prints the results. It returns an error if a request was not served or a response contradicts the ledgers.
func reportDemo(out io.Writer, d *e2e.Deployment, r *standin.LoadResult, discrepancies *standin.Discrepancies) error {
	for _, class := range []core.Class{core.ClassLookup, core.ClassOnce} {
		for i := range d.CallerAddresses {
			matches := func(rec *standin.Record) bool { return rec.Class == class && rec.Endpoint == i }
			served := r.Count(func(rec *standin.Record) bool { return matches(rec) && rec.Outcome == wire.OutcomeAnswered })
			fmt.Fprintf(out, "%-7s through instance %d: %d of %d served\n", class, i+1, served, r.Count(matches))
		}
		h := r.Latency(class, standin.PhaseBefore)
		fmt.Fprintf(out, "%-7s latency: %s\n", class, standin.FormatPercentiles(h))
	}
	fmt.Fprintln(out, "ledger:", discrepancies)
	unserved := r.Count(func(rec *standin.Record) bool { return !rec.Served() })
	if unserved > 0 || !discrepancies.IsEmpty() {
		return eris.Errorf("%d requests not served; ledger: %s", unserved, discrepancies)
	}
	return nil
}
