package e2e

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
)

// Indices of the two ways in a run of added latency.
const (
	wayDirect = 0
	wayEntry  = 1
)

// AddedLatencyRate is the rate on each of the two ways, in requests per second.
const AddedLatencyRate = 1000

// MeasureAddedLatency sends two interleaved open loops to one target, directly and through one entry instance.
func MeasureAddedLatency(ctx context.Context, binaries string, cfg MeasureConfig) (*standin.LatencyResult, error) {
	work, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, eris.Wrap(err, "make working directory")
	}
	defer os.RemoveAll(work)
	c := NewCluster(binaries, work)
	defer c.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	// A constant service time and more slots than requests in flight leave no difference between the ways but the
	// entry instance.
	d, err := StartDeployment(startCtx, c, DeploymentConfig{
		Targets: 1, Entries: 1, Slots: 64, QueueLimit: 64, ServiceTime: time.Millisecond, Seed: cfg.Seed,
	})
	if err != nil {
		return nil, err
	}
	var begin sample
	result := standin.RunLoad(ctx, standin.LoadConfig{
		Endpoints: []string{wayDirect: d.Targets[0], wayEntry: d.Callers[0]}, Seed: cfg.Seed,
		Mix: standin.DefaultMix, CallerTimeouts: standin.DefaultCallerTimeouts(),
		Stages: []standin.Stage{
			{Phase: standin.PhaseWarmUp, Rate: 2 * AddedLatencyRate, Duration: cfg.WarmUp},
			{
				Phase: standin.PhaseBefore, Rate: 2 * AddedLatencyRate, Duration: cfg.Before + cfg.After,
				OnStart: func() { begin = d.sample() },
			},
		},
	})
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := d.EntriesRunning(); err != nil {
		return nil, err
	}
	end := d.sample()
	ledger, err := d.Ledger()
	if err != nil {
		return nil, err
	}
	return &standin.LatencyResult{
		Load: result, Discrepancies: result.CompareWithLedger(ledger),
		Stats: standin.RunStats{
			MachineCPUUtilization: end.machine.busyShare(begin.machine), CPUTime: end.cpu - begin.cpu, WallTime: end.at.Sub(begin.at),
		},
	}, nil
}
