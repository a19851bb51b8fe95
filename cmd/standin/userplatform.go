package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/platform/standin"
)

// newStore runs the store of the users' platform.
func newStore() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use: "store", Short: "Store of the users' platform", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, standin.NewStore().Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:9802", "address to listen on")
	return cmd
}

// newServer runs a server of the users' platform.
func newServer() *cobra.Command {
	var listen string
	cfg := standin.ServerConfig{Ledger: os.Stdout}
	cmd := &cobra.Command{
		Use: "server", Short: "Server of the users' platform; prints its ledger", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, standin.NewServer(cfg))
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:9812", "address to listen on")
	f.StringVar(&cfg.ID, "id", "i-1", "identity")
	f.IntVar(&cfg.Slots, "slots", 4, "requests worked on at once")
	f.IntVar(&cfg.Queue, "queue", 8, "requests that wait for a slot")
	f.DurationVar(&cfg.Work, "work", 50*time.Millisecond, "mean time in a slot")
	f.BoolVar(&cfg.ResetWhenFull, "reset-when-full", false, "reset connections when full instead of declaring it")
	return cmd
}
