package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/burdockpitch/burdockpitch/platform/standin"
)

// newStoreCmd runs the store of the users' platform.
func newStoreCmd() *cobra.Command {
	var listen []string
	cmd := &cobra.Command{
		Use: "store", Short: "Store of the users' platform", Args: cobra.NoArgs,
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
		"addresses to listen on; the callers of each have faults of their own")
	return cmd
}

// newServerCmd runs a server of the users' platform.
func newServerCmd() *cobra.Command {
	var listen string
	cfg := standin.ServerConfig{Ledger: os.Stdout}
	cmd := &cobra.Command{
		Use: "server", Short: "Server of the users' platform; prints its ledger", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, standin.NewServer(cfg).Handler())
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9812", "address to listen on")
	f.StringVar(&cfg.ID, "id", "i-1", "identity")
	f.IntVar(&cfg.Slots, "slots", 4, "requests worked on at once")
	f.IntVar(&cfg.QueueSize, "queue", 8, "requests that wait for a slot")
	f.DurationVar(&cfg.MeanWorkTime, "work", 50*time.Millisecond, "mean time in a slot")
	f.BoolVar(&cfg.ResetWhenFull, "reset-when-full", false, "reset connections when full instead of declaring it")
	return cmd
}
