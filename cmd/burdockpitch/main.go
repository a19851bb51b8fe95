// Command burdockpitch is the load balancer daemon and its operator tool.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/pkg/app"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "burdockpitch:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "burdockpitch",
		Short:         "Load balancer for servers whose load shifts in milliseconds",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe())
	return root
}

func newServe() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "Run an entry instance",
		Example: "  burdockpitch serve --settings instance.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			return app.Run(cmd.Context(), s)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}
