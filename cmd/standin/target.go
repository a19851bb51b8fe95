package main

import (
	"net"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/burdockpitch/burdockpitch/internal/standin"
)

func newTargetCmd() *cobra.Command {
	var listen []string
	var ledgerDir string
	cfg := standin.TargetConfig{}
	cmd := &cobra.Command{
		Use: "target", Short: "Stand-in targets with slots, a queue and a ledger", Args: cobra.NoArgs,
		Long: "Run one target for each address. POST /control/faults injects faults.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			group, ctx := errgroup.WithContext(cmd.Context())
			for i, addr := range listen {
				targetCfg := cfg
				targetCfg.Seed += uint64(i)
				target, l, err := openTarget(targetCfg, addr, ledgerDir)
				if err != nil {
					return err
				}
				group.Go(func() error { return target.Serve(ctx, l) })
			}
			return group.Wait()
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&listen, "listen", []string{"127.0.0.1:9811"}, "addresses to listen on, one target each")
	f.StringVar(&ledgerDir, "ledger-dir", "", "directory for ledger files, which survive a kill of the process")
	f.IntVar(&cfg.Slots, "slots", 4, "number of requests processed concurrently")
	f.IntVar(&cfg.QueueLimit, "queue", 8, "number of queued requests above which requests are shed")
	f.DurationVar(&cfg.ServiceTime, "service-time", 5*time.Millisecond, "mean service time of a request in a slot")
	f.Float64Var(&cfg.Sigma, "sigma", 0, "standard deviation of the logarithm of the service time")
	f.Uint64Var(&cfg.Seed, "seed", 1, "seed of the service times; the n-th address uses seed+n")
	f.DurationVar(&cfg.ColdStartDuration, "cold-start", 0, "duration of the cold start, in which service times are longer")
	f.Float64Var(&cfg.ColdStartFactor, "cold-factor", 5, "factor on the service time during the cold start")
	f.StringVar(&cfg.StartID, "start", "1", "ID of this process start")
	return cmd
}

// openTarget opens the listener and, with ledgerDir, the ledger file of one target.
func openTarget(cfg standin.TargetConfig, addr, ledgerDir string) (*standin.Target, net.Listener, error) {
	if ledgerDir != "" {
		ledgerFile, err := standin.OpenLedgerFile(filepath.Join(ledgerDir, standin.LedgerFileName(addr)))
		if err != nil {
			return nil, nil, err
		}
		cfg.LedgerFile = ledgerFile
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", strings.TrimSpace(addr))
	}
	return standin.NewTarget(cfg), l, nil
}
