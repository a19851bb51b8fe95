package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/internal/capacity"
	"github.com/burdockpitch/burdockpitch/internal/e2e"
)

func newCapacityCmd() *cobra.Command {
	return &cobra.Command{
		Use: "capacity", Short: "Measure how state, messages and steps scale, and print markdown tables", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "Commit: %s. Time: %s. Processors: %d.\n",
				commitID(), time.Now().UTC().Format("2006-01-02 15:04 UTC"), e2e.CPUCount())
			return capacity.PrintTables(out)
		},
	}
}
