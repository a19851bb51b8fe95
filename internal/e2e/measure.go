package e2e

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// MeasureConfig holds the parameters that all fault scenarios share. The default service time keeps the machine well
// below saturation: 15 targets with 4 slots and 20 ms per request serve 3,000 requests/s.
type MeasureConfig struct {
	// Methods are the selection methods to compare.
	Methods []core.Selection
	// Targets and Instances are the numbers of targets and load balancer instances.
	Targets, Instances int
	// ServiceTime, Sigma and QueueLimit configure the targets.
	ServiceTime time.Duration
	Sigma       float64
	QueueLimit  int
	// WarmUpDuration, BeforeFaultDuration and FaultDuration are the lengths of the phases. FaultDuration includes the
	// first OnsetDuration of the fault.
	WarmUpDuration, BeforeFaultDuration, FaultDuration time.Duration
	// RunsPerMethod is the number of runs per method whose records are merged. Their seeds count up from Seed.
	RunsPerMethod int
	Seed          uint64
}

// OnsetDuration is the length of the first phase of a fault, which is reported apart from the rest.
const OnsetDuration = 2 * time.Second

// DefaultMeasureConfig returns the configuration of the documented measurements.
func DefaultMeasureConfig() MeasureConfig {
	return MeasureConfig{
		Methods: []core.Selection{
			core.SelectRandom, core.SelectRoundRobin, core.SelectTwoChoices, core.SelectLoad, core.SelectLoadLatency,
		},
		Targets: 15, Instances: 14, ServiceTime: 20 * time.Millisecond, Sigma: 0.5, QueueLimit: 8,
		WarmUpDuration: 3 * time.Second, BeforeFaultDuration: 10 * time.Second, FaultDuration: 12 * time.Second,
		RunsPerMethod: 1, Seed: 1,
	}
}

// FaultScenario describes a fault and the load under which it is measured.
type FaultScenario struct {
	// Name selects the scenario on the command line; several scenarios may have the same name.
	Name string
	// Title is the heading in the report.
	Title string
	// SlotsPerTarget is the number of slots of each target.
	SlotsPerTarget int
	// Load is the offered load as a fraction of CapacityPerSecond. FaultLoad, if set, replaces Load when the fault
	// starts.
	Load, FaultLoad float64
	// InjectFault, if set, starts the fault, which affects the first target.
	InjectFault func(*Deployment) error
	// ClearFault, if set, ends the fault after the run so that the counters of the target can be read.
	ClearFault func(*Deployment) error
	// CountsLost is set when the fault destroys the counters of the affected target, so that its share of the received
	// requests is unknown.
	CountsLost bool
}

// FaultScenarios returns the scenarios of the performance goals.
func FaultScenarios() []FaultScenario {
	const slowFactor = 20
	slow := injectTargetFault(standin.Fault{Kind: standin.FaultSlow, Factor: slowFactor})
	return []FaultScenario{
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 4 slots, 60 % load", SlotsPerTarget: 4, Load: 0.6, InjectFault: slow},
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 4 slots, 80 % load", SlotsPerTarget: 4, Load: 0.8, InjectFault: slow},
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 3 slots, 60 % load", SlotsPerTarget: 3, Load: 0.6, InjectFault: slow},
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 3 slots, 80 % load", SlotsPerTarget: 3, Load: 0.8, InjectFault: slow},
		{
			Name: "fail-fast", Title: "One of 15 targets answers every request at once with 500, 60 % load", SlotsPerTarget: 4, Load: 0.6,
			InjectFault: injectTargetFault(standin.Fault{Kind: standin.FaultError}),
		},
		{
			Name: "fail-fast", Title: "One of 15 targets closes every connection at once, 60 % load", SlotsPerTarget: 4, Load: 0.6,
			InjectFault: injectTargetFault(standin.Fault{Kind: standin.FaultCloseConnection}),
		},
		{Name: "overload", Title: "Load rises from 60 % to 150 % of capacity", SlotsPerTarget: 4, Load: 0.6, FaultLoad: 1.5},
		{
			Name: "silent", Title: "The open connections of one of 15 targets become unresponsive, 60 % load", SlotsPerTarget: 4, Load: 0.6,
			InjectFault: injectTargetFault(standin.Fault{Kind: standin.FaultSilentConnections}),
		},
		{
			Name: "freeze", Title: "One of 15 targets stopped by SIGSTOP, 60 % load", SlotsPerTarget: 4, Load: 0.6,
			InjectFault: signalTarget(syscall.SIGSTOP), ClearFault: signalTarget(syscall.SIGCONT),
		},
		{
			Name: "kill", Title: "One of 15 targets killed, 60 % load", SlotsPerTarget: 4, Load: 0.6,
			InjectFault: signalTarget(syscall.SIGKILL), CountsLost: true,
		},
	}
}

func injectTargetFault(f standin.Fault) func(*Deployment) error {
	return func(d *Deployment) error { return d.SetFault(0, f) }
}

func signalTarget(s syscall.Signal) func(*Deployment) error {
	return func(d *Deployment) error { return d.TargetProcesses[0].Signal(s) }
}

// CapacityPerSecond returns the requests per second that the slots of all targets serve.
func (r *FaultScenario) CapacityPerSecond(cfg MeasureConfig) float64 {
	return float64(cfg.Targets*r.SlotsPerTarget) / cfg.ServiceTime.Seconds()
}

// Measure runs the scenario RunsPerMethod times for each method and returns one result per method. All methods get the
// same request schedules, and each run has a cluster of its own.
func (r *FaultScenario) Measure(ctx context.Context, binaryDir string, cfg MeasureConfig) ([]*standin.FaultResult, error) {
	var results []*standin.FaultResult
	for _, method := range cfg.Methods {
		aggregate := &standin.FaultResult{Method: string(method), Capacity: r.CapacityPerSecond(cfg), ShareUnknown: r.CountsLost}
		for i := range cfg.RunsPerMethod {
			if err := r.runOnce(ctx, binaryDir, cfg, method, cfg.Seed+uint64(i), aggregate); err != nil {
				return nil, eris.Wrapf(err, "run %s with %s", r.Name, method)
			}
		}
		results = append(results, aggregate)
	}
	return results, nil
}

// faultRun is a run of a scenario with one method and one seed.
type faultRun struct {
	*FaultScenario
	d             *Deployment
	baselineStart sample
	faultStart    sample
	onsetEnd      sample // OnsetDuration after faultStart
	injectErr     error  // error of InjectFault
}

func (r *FaultScenario) runOnce(
	ctx context.Context, binaryDir string, cfg MeasureConfig, method core.Selection, seed uint64, aggregate *standin.FaultResult,
) error {
	workDir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return eris.Wrap(err, "make working directory")
	}
	defer os.RemoveAll(workDir)
	c := NewCluster(binaryDir, workDir)
	defer c.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := StartDeployment(startCtx, c, DeploymentConfig{
		Targets: cfg.Targets, Instances: cfg.Instances, SharedProcess: true, Slots: r.SlotsPerTarget, QueueLimit: cfg.QueueLimit,
		ServiceTime: cfg.ServiceTime, Sigma: cfg.Sigma, Seed: seed, Selection: string(method),
	})
	if err != nil {
		return err
	}
	run := &faultRun{FaultScenario: r, d: d}
	result := standin.RunLoad(ctx, standin.LoadConfig{
		Endpoints: d.CallerAddresses, Seed: seed, Mix: standin.DefaultMix,
		CallerTimeouts: standin.DefaultCallerTimeouts(), Stages: run.stages(cfg),
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if run.injectErr != nil {
		return run.injectErr
	}
	if err := d.CheckInstancesRunning(); err != nil {
		return err
	}
	return run.recordResult(result, cfg, aggregate)
}

// startTimeout bounds StartDeployment.
const startTimeout = 30 * time.Second

func (r *faultRun) stages(cfg MeasureConfig) []standin.Stage {
	before := r.Load * r.CapacityPerSecond(cfg)
	after := before
	if r.FaultLoad > 0 {
		after = r.FaultLoad * r.CapacityPerSecond(cfg)
	}
	return []standin.Stage{
		{Phase: standin.PhaseWarmUp, Rate: before, Duration: cfg.WarmUpDuration},
		{
			Phase: standin.PhaseBefore, Rate: before, Duration: cfg.BeforeFaultDuration,
			OnStart: func() { r.baselineStart = r.d.takeSample() },
		},
		{Phase: standin.PhaseOnset, Rate: after, Duration: OnsetDuration, OnStart: r.startFault},
		{
			Phase: standin.PhaseSustained, Rate: after, Duration: cfg.FaultDuration - OnsetDuration,
			OnStart: func() { r.onsetEnd = r.d.takeSample() },
		},
	}
}

func (r *faultRun) startFault() {
	r.faultStart = r.d.sampleCounters()
	if r.InjectFault != nil {
		r.injectErr = r.InjectFault(r.d)
	}
}

// recordResult clears the fault and adds the measurements of the run to aggregate.
func (r *faultRun) recordResult(result *standin.LoadResult, cfg MeasureConfig, aggregate *standin.FaultResult) error {
	end := r.d.takeSample()
	if r.ClearFault != nil {
		if err := r.ClearFault(r.d); err != nil {
			return err
		}
		end.received = r.d.WaitForStableCounts()
	}
	ledger, err := r.d.Ledger()
	if err != nil {
		return err
	}
	since := r.onsetEnd
	if since.received[0] == unknownCount { // a target stopped by SIGSTOP does not report its counters
		since = r.faultStart
		aggregate.ShareFromOnset = true
	}
	affectedReceived, totalReceived := receivedBetween(since, end)
	aggregate.Add(result, result.CompareWithLedger(ledger), standin.RunStats{
		AffectedReceived: affectedReceived, TotalReceived: totalReceived,
		Attempts: end.attempts - r.faultStart.attempts, FaultDuration: cfg.FaultDuration,
		MachineCPUUtilization: end.machineCPU.busyFraction(r.baselineStart.machineCPU),
		CPUTime:               end.cpu - r.baselineStart.cpu, WallTime: end.takenAt.Sub(r.baselineStart.takenAt),
	})
	return nil
}

// stableCountInterval is the time without a change after which the count of a resumed target is taken as final.
const stableCountInterval = 200 * time.Millisecond

// WaitForStableCounts waits until the first target, after a resume, has read the requests that were queued on its
// connections. It returns the requests received by each target. It has no timeout.
func (d *Deployment) WaitForStableCounts() []int64 {
	last := d.receivedCounts()
	for {
		time.Sleep(stableCountInterval)
		next := d.receivedCounts()
		if next[0] == last[0] && next[0] != unknownCount {
			return next
		}
		last = next
	}
}

// receivedBetween returns the requests received between two samples by the affected first target and by all targets. It
// takes an unknown count as 0.
func receivedBetween(from, to sample) (affected, total int64) {
	for i := range to.received {
		n := max(to.received[i]-max(from.received[i], 0), 0)
		if i == 0 {
			affected = n
		}
		total += n
	}
	return affected, total
}

// unknownCount marks a target whose counters could not be read.
const unknownCount = -1

// sample holds the counters of a deployment at one time.
type sample struct {
	takenAt    time.Time
	received   []int64       // requests received by each target
	attempts   float64       // attempts ended by the instances
	cpu        time.Duration // see cpuTime
	machineCPU machineCPUTime
}

func (d *Deployment) takeSample() sample {
	s := d.sampleCounters()
	s.machineCPU = readMachineCPUTime()
	s.cpu = d.cpuTime()
	return s
}

// sampleCounters reads the request counters only, which delays the start of a fault less than takeSample.
func (d *Deployment) sampleCounters() sample {
	return sample{takenAt: time.Now(), received: d.receivedCounts(), attempts: d.SumCounter("burdockpitch_attempts_total")}
}

func (d *Deployment) receivedCounts() []int64 {
	list := make([]int64, len(d.TargetAddresses))
	for i := range d.TargetAddresses {
		c, err := d.TargetCounts(i)
		list[i] = c.Received + c.DiscardedReads
		if err != nil {
			list[i] = unknownCount
		}
	}
	return list
}

// cpuTime returns the CPU time that this process and the running processes of the cluster have used.
func (d *Deployment) cpuTime() time.Duration {
	var seconds float64
	pids := []int{os.Getpid()}
	for _, p := range d.runningProcesses() {
		pids = append(pids, p.cmd.Process.Pid)
	}
	for _, pid := range pids {
		proc, err := procfs.NewProc(pid)
		if err != nil {
			continue
		}
		if stat, err := proc.Stat(); err == nil {
			seconds += stat.CPUTime()
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// machineCPUTime is the CPU time of the whole machine since boot, summed over its processors.
type machineCPUTime struct{ idleSeconds, totalSeconds float64 }

func readMachineCPUTime() machineCPUTime {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return machineCPUTime{}
	}
	stat, err := fs.Stat()
	if err != nil {
		return machineCPUTime{}
	}
	t := stat.CPUTotal
	idle := t.Idle + t.Iowait
	return machineCPUTime{idleSeconds: idle, totalSeconds: idle + t.User + t.Nice + t.System + t.IRQ + t.SoftIRQ + t.Steal}
}

// busyFraction returns the fraction of the machine's CPU time since an earlier reading that was not idle, or 0 if the
// time is unknown.
func (t machineCPUTime) busyFraction(earlier machineCPUTime) float64 {
	if t.totalSeconds <= earlier.totalSeconds {
		return 0
	}
	return 1 - (t.idleSeconds-earlier.idleSeconds)/(t.totalSeconds-earlier.totalSeconds)
}

// BinaryDir returns dir, or the directory of the running program if dir is empty.
func BinaryDir(dir string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	executable, err := os.Executable()
	return filepath.Dir(executable), eris.Wrap(err, "find the running program")
}

// CPUCount returns the number of logical CPUs that the measured processes and the load generator share.
func CPUCount() int { return runtime.NumCPU() }
