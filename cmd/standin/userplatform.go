package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/burdockpitch/burdockpitch/platform/standin"
)

// newStoreCmd returns the command that runs the stand-in for the store of the users' platform.
func newStoreCmd() *cobra.Command {
	var listen []string
	cmd := &cobra.Command{
		Use: "store", Short: "Stand-in for the store of the users' platform", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store := standin.NewStore()
			group, ctx := errgroup.WithContext(cmd.Context())
			for _, address := range listen {
				group.Go(func() error { return serve(ctx, address, store.Handler()) })
			}
			return group.Wait()
		},
	}
	cmd.Flags().StringSliceVar(&listen, "listen", []string{"127.0.0.1:9802"},
		"addresses to listen on; faults are set for each address separately")
	return cmd
}

// crashStatus is the exit status of a server that a request has crashed.
const crashStatus = 70

// newServerCmd returns the command that runs a stand-in for a server of the users' platform.
func newServerCmd() *cobra.Command {
	var listen string
	cfg := standin.ServerConfig{Ledger: os.Stdout, Crash: func() { os.Exit(crashStatus) }}
	cmd := &cobra.Command{
		Use: "server", Short: "Stand-in for a server of the users' platform; prints its ledger", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, standin.NewServer(cfg).Handler())
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9812", "address to listen on")
	f.StringVar(&cfg.ID, "id", "i-1", "identity")
	f.IntVar(&cfg.Slots, "slots", 4, "number of requests processed concurrently")
	f.IntVar(&cfg.QueueSize, "queue", 8, "number of requests that can wait for a slot")
	f.DurationVar(&cfg.MeanWorkTime, "work", 50*time.Millisecond, "mean service time of a request in a slot")
	f.StringVar(&cfg.CrashOn, "crash-on", "", "exit while running a request whose path or body contains this text")
	f.DurationVar(&cfg.ColdTime, "cold", 0, "time for which the server is cold after its start")
	f.IntVar(&cfg.ColdLimit, "cold-limit", 0, "exit when more requests arrive within a second while the server is cold; 0 for no limit")
	f.BoolVar(&cfg.ResetWhenFull, "reset-when-full", false, "reset connections of excess requests instead of declaring that they did not run")
	return cmd
}
