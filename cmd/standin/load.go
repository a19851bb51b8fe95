package main

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
)

func newLoadCmd() *cobra.Command {
	cfg := standin.LoadConfig{Mix: standin.DefaultMix, CallerTimeouts: standin.DefaultCallerTimeouts()}
	stage := standin.Stage{Phase: standin.PhaseBefore}
	var ledgers []string
	var platformHost string
	cmd := &cobra.Command{
		Use: "load", Short: "Open-loop load generator; optionally compares the responses with ledger files", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.Stages = []standin.Stage{stage}
			if platformHost != "" {
				usePlatformDialect(&cfg, platformHost)
			}
			result := standin.RunLoad(cmd.Context(), cfg)
			for _, class := range []core.Class{core.ClassLookup, core.ClassPatient, core.ClassOnce} {
				h := result.Latency(class, stage.Phase)
				fmt.Fprintf(cmd.OutOrStdout(), "%-7s %s\n", class, standin.FormatPercentiles(h))
			}
			unserved := result.Count(func(rec *standin.Record) bool { return !rec.Served() })
			fmt.Fprintf(cmd.OutOrStdout(), "not served: %d of %d\n", unserved, len(result.Records))
			return compareLedgers(cmd, result, ledgers)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&cfg.Endpoints, "entry", nil, "addresses of instances over which the requests are spread")
	f.StringSliceVar(&ledgers, "ledger", nil, "ledger files of all targets")
	f.Float64Var(&stage.Rate, "rate", 100, "requests per second")
	f.DurationVar(&stage.Duration, "length", 10*time.Second, "duration of the run")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the schedule")
	f.Float64Var(&cfg.Mix.Lookup, "lookup", cfg.Mix.Lookup, "share of lookups")
	f.Float64Var(&cfg.Mix.Patient, "patient", cfg.Mix.Patient, "share of requests of class patient; the rest are bookings")
	f.StringVar(&platformHost, "users-platform", "", "use the headers of the users' platform, with this host of the routes")
	_ = cmd.MarkFlagRequired("entry")
	return cmd
}

// compareLedgers returns an error if a response contradicts the ledgers. Without files it does nothing.
func compareLedgers(cmd *cobra.Command, result *standin.LoadResult, files []string) error {
	if len(files) == 0 {
		return nil
	}
	merged := make(standin.Ledger)
	for _, file := range files {
		l, err := standin.ReadLedgerFile(file)
		if err != nil {
			return err
		}
		merged.Merge(l)
	}
	discrepancies := result.CompareWithLedger(merged)
	fmt.Fprintln(cmd.OutOrStdout(), "ledger:", discrepancies)
	if !discrepancies.IsEmpty() {
		return eris.New("responses contradict the ledgers of the targets")
	}
	return nil
}
