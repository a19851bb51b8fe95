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

// newFleetCmd measures a fleet of entry instances on loopback and prints the result as JSON lines.
func newFleetCmd() *cobra.Command {
	cfg := e2e.FleetMeasurement{}
	binaries := ""
	cmd := &cobra.Command{
		Use: "fleet", Short: "Measure configuration spread and control cost of a fleet", Args: cobra.NoArgs,
		Example: "  go run ./cmd/standin fleet --mode spread --entries 14\n" +
			"  go run ./cmd/standin fleet --mode cost --entries 2,7,14 --duration 60s",
		RunE: func(cmd *cobra.Command, _ []string) error {
			workDir, err := os.MkdirTemp("", "fleet")
			if err != nil {
				return eris.Wrap(err, "make work directory")
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
	flags.StringVar(&cfg.Mode, "mode", "spread", "spread: times until a change is in force; cost: control cost per instance")
	flags.IntSliceVar(&cfg.InstanceCounts, "entries", []int{14}, "numbers of entry instances, measured one after another")
	flags.IntVar(&cfg.ServiceCount, "services", 1, "documents on the platform")
	flags.IntVar(&cfg.PaddingBytes, "padding", 0, "bytes of comments in the document that changes")
	flags.IntVar(&cfg.ChangesPerCase, "rounds", 20, "changes in mode spread")
	flags.DurationVar(&cfg.Duration, "duration", time.Minute, "time of each measurement in mode cost")
	flags.DurationVar(&cfg.PartitionDuration, "partition", 15*time.Second, "length of the partition in mode spread")
	flags.StringVar(&binaries, "binaries", "", "directory of built programs; built from the working directory if empty")
	return cmd
}
