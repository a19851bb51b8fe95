package e2e

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
)

// Indices of the load generator's endpoints in MeasureAddedLatency.
const (
	endpointDirect   = 0
	endpointInstance = 1
)

// AddedLatencyRequestsPerSecond is the rate on each of the two paths, direct and through an instance.
const AddedLatencyRequestsPerSecond = 1000

// MeasureAddedLatency sends two interleaved open-loop request streams to one target, one directly and one through an
// instance. It uses only the durations and the seed of cfg.
func MeasureAddedLatency(ctx context.Context, binaryDir string, cfg MeasureConfig) (*standin.LatencyResult, error) {
	workDir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, eris.Wrap(err, "make working directory")
	}
	defer os.RemoveAll(workDir)
	c := NewCluster(binaryDir, workDir)
	defer c.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	// With a constant service time and more slots than requests in flight, no request waits at the target, so the
	// latencies of the two paths differ only by what the instance adds.
	d, err := StartDeployment(startCtx, c, DeploymentConfig{
		Targets: 1, Instances: 1, Slots: 64, QueueLimit: 64, ServiceTime: time.Millisecond, Seed: cfg.Seed,
	})
	if err != nil {
		return nil, err
	}
	var begin sample
	result := standin.RunLoad(ctx, standin.LoadConfig{
		Endpoints: []string{endpointDirect: d.TargetAddresses[0], endpointInstance: d.CallerAddresses[0]}, Seed: cfg.Seed,
		Mix: standin.DefaultMix, CallerTimeouts: standin.DefaultCallerTimeouts(),
		Stages: []standin.Stage{
			{Phase: standin.PhaseWarmUp, Rate: 2 * AddedLatencyRequestsPerSecond, Duration: cfg.WarmUpDuration},
			{
				Phase: standin.PhaseBefore, Rate: 2 * AddedLatencyRequestsPerSecond, Duration: cfg.BeforeFaultDuration + cfg.FaultDuration,
				OnStart: func() { begin = d.takeSample() },
			},
		},
	})
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := d.CheckInstancesRunning(); err != nil {
		return nil, err
	}
	end := d.takeSample()
	ledger, err := d.Ledger()
	if err != nil {
		return nil, err
	}
	return &standin.LatencyResult{
		Load: result, Discrepancies: result.CompareWithLedger(ledger),
		Stats: standin.RunStats{
			MachineCPUUtilization: end.machineCPU.busyFraction(begin.machineCPU),
			CPUTime:               end.cpu - begin.cpu, WallTime: end.takenAt.Sub(begin.takenAt),
		},
	}, nil
}
