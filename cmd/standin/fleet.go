package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/burdockpitch/burdockpitch/internal/e2e"
)

// newFleetCmd returns the command that measures a fleet of instances on loopback. Its output is JSON lines.
func newFleetCmd() *cobra.Command {
	cfg := e2e.FleetMeasurement{}
	binaries := ""
	cmd := &cobra.Command{
		Use: "fleet", Short: "Measure how fast a fleet applies configuration changes, and the cost of control traffic", Args: cobra.NoArgs,
		Example: "  go run ./cmd/standin fleet --mode spread --entries 14\n" +
			"  go run ./cmd/standin fleet --mode cost --entries 2,7,14 --duration 60s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			workDir, err := os.MkdirTemp("", "fleet")
			if err != nil {
				return eris.Wrap(err, "create working directory")
			}
			defer os.RemoveAll(workDir)
			if binaries == "" {
				binaries = workDir
				build := exec.CommandContext(cmd.Context(), "go", "build", "-o", workDir+string(filepath.Separator), "./cmd/...")
				build.Stderr = os.Stderr
				if err := build.Run(); err != nil {
					return eris.Wrap(err, "build programs")
				}
			}
			return cfg.Run(cmd.Context(), e2e.NewCluster(binaries, workDir), json.NewEncoder(cmd.OutOrStdout()))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Mode, "mode", "spread", "spread: time until a change is in force; cost: cost of control traffic per instance")
	flags.IntSliceVar(&cfg.InstanceCounts, "entries", []int{14}, "numbers of instances, measured one after another")
	flags.IntVar(&cfg.ServiceCount, "services", 1, "documents on the platform")
	flags.IntVar(&cfg.PaddingBytes, "padding", 0, "bytes of comments in the document that changes")
	flags.IntVar(&cfg.ChangesPerCase, "rounds", 20, "number of changes in mode spread")
	flags.DurationVar(&cfg.Duration, "duration", time.Minute, "duration of each measurement in mode cost")
	flags.DurationVar(&cfg.PartitionDuration, "partition", 15*time.Second, "duration of the partition in mode spread")
	flags.StringVar(&binaries, "binaries", "", "directory of the built programs; if empty, they are built from the working directory")
	return cmd
}
