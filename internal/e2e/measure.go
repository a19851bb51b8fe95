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

// MeasureConfig holds what the fault runs share. Mean service time and rates are chosen so that the machine stays well
// below saturation: 15 targets of 4 slots at 20 ms serve 3,000 requests/s.
type MeasureConfig struct {
	// Methods are the selection methods to compare.
	Methods []core.Selection
	// Targets and Entries are the numbers of targets and entry instances.
	Targets, Entries int
	// ServiceTime, Sigma and QueueLimit configure the targets.
	ServiceTime time.Duration
	Sigma       float64
	QueueLimit  int
	// WarmUp, Before and After are the lengths of the phases; After includes the first 2 s of the fault.
	WarmUp, Before, After time.Duration
	// Repeat is the number of runs per method whose records are put together, with seeds that count up from Seed.
	Repeat int
	Seed   uint64
}

// Onset is the length of the first phase of a fault.
const Onset = 2 * time.Second

// DefaultMeasureConfig returns the configuration of the documented measurements.
func DefaultMeasureConfig() MeasureConfig {
	return MeasureConfig{
		Methods: []core.Selection{
			core.SelectRandom, core.SelectRoundRobin, core.SelectTwoChoices, core.SelectLoad, core.SelectLoadLatency,
		},
		Targets: 15, Entries: 14, ServiceTime: 20 * time.Millisecond, Sigma: 0.5, QueueLimit: 8,
		WarmUp: 3 * time.Second, Before: 10 * time.Second, After: 12 * time.Second, Repeat: 1, Seed: 1,
	}
}

// FaultRun is one kind of fault at one load.
type FaultRun struct {
	// Name identifies the run on the command line; several runs may share one.
	Name string
	// Title says what is measured.
	Title string
	// Slots is the number of slots of each target.
	Slots int
	// Load is the share of the slot capacity that is offered; FaultLoad, if set, is the share from the fault on.
	Load, FaultLoad float64
	// Fault, if set, starts the fault, which affects the first target.
	Fault func(*Deployment) error
	// Undo, if set, ends the fault after the run so that the target can be asked for its counts.
	Undo func(*Deployment) error
	// Unseen is set when the affected target cannot tell what it was sent.
	Unseen bool
}

// FaultRuns returns the runs of the performance goals.
func FaultRuns() []FaultRun {
	const straggle = 20
	slow := targetFault(standin.Fault{Kind: standin.FaultSlow, Factor: straggle})
	return []FaultRun{
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 4 slots, 60 % load", Slots: 4, Load: 0.6, Fault: slow},
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 4 slots, 80 % load", Slots: 4, Load: 0.8, Fault: slow},
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 3 slots, 60 % load", Slots: 3, Load: 0.6, Fault: slow},
		{Name: "straggler", Title: "One of 15 targets 20 times slower, 3 slots, 80 % load", Slots: 3, Load: 0.8, Fault: slow},
		{
			Name: "fail-fast", Title: "One of 15 targets answers every request at once with 500, 60 % load", Slots: 4, Load: 0.6,
			Fault: targetFault(standin.Fault{Kind: standin.FaultError}),
		},
		{
			Name: "fail-fast", Title: "One of 15 targets closes every connection at once, 60 % load", Slots: 4, Load: 0.6,
			Fault: targetFault(standin.Fault{Kind: standin.FaultCloseConnection}),
		},
		{Name: "overload", Title: "Load rises from 60 % to 150 % of capacity", Slots: 4, Load: 0.6, FaultLoad: 1.5},
		{
			Name: "silent", Title: "The open connections of one of 15 targets become unresponsive, 60 % load", Slots: 4, Load: 0.6,
			Fault: targetFault(standin.Fault{Kind: standin.FaultSilentConnections}),
		},
		{
			Name: "freeze", Title: "One of 15 targets stopped by SIGSTOP, 60 % load", Slots: 4, Load: 0.6,
			Fault: targetSignal(syscall.SIGSTOP), Undo: targetSignal(syscall.SIGCONT),
		},
		{
			Name: "kill", Title: "One of 15 targets killed, 60 % load", Slots: 4, Load: 0.6,
			Fault: targetSignal(syscall.SIGKILL), Unseen: true,
		},
	}
}

func targetFault(f standin.Fault) func(*Deployment) error {
	return func(d *Deployment) error { return d.SetFault(0, f) }
}

func targetSignal(s syscall.Signal) func(*Deployment) error {
	return func(d *Deployment) error { return d.TargetProcesses[0].Signal(s) }
}

// Capacity returns the requests per second that all slots serve.
func (r *FaultRun) Capacity(cfg MeasureConfig) float64 {
	return float64(cfg.Targets*r.Slots) / cfg.ServiceTime.Seconds()
}

// Measure runs the fault once for each method, on the same schedules, in clusters of their own.
func (r *FaultRun) Measure(ctx context.Context, binaries string, cfg MeasureConfig) ([]*standin.FaultResult, error) {
	var results []*standin.FaultResult
	for _, method := range cfg.Methods {
		sum := &standin.FaultResult{Method: string(method), Capacity: r.Capacity(cfg), ShareUnknown: r.Unseen}
		for i := range cfg.Repeat {
			if err := r.once(ctx, binaries, cfg, method, cfg.Seed+uint64(i), sum); err != nil {
				return nil, eris.Wrapf(err, "run %s with %s", r.Name, method)
			}
		}
		results = append(results, sum)
	}
	return results, nil
}

// faultRun is one run with one method and one seed.
type faultRun struct {
	*FaultRun
	d     *Deployment
	begin sample
	onset sample
	two   sample // 2 s after the onset
	err   error  // first error of a stage
}

func (r *FaultRun) once(
	ctx context.Context, binaries string, cfg MeasureConfig, method core.Selection, seed uint64, sum *standin.FaultResult,
) error {
	work, err := os.MkdirTemp("", "measure")
	if err != nil {
		return eris.Wrap(err, "make working directory")
	}
	defer os.RemoveAll(work)
	c := NewCluster(binaries, work)
	defer c.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	d, err := StartDeployment(startCtx, c, DeploymentConfig{
		Targets: cfg.Targets, Entries: cfg.Entries, Shared: true, Slots: r.Slots, QueueLimit: cfg.QueueLimit,
		ServiceTime: cfg.ServiceTime, Sigma: cfg.Sigma, Seed: seed, Selection: string(method),
	})
	if err != nil {
		return err
	}
	run := &faultRun{FaultRun: r, d: d}
	result := standin.RunLoad(ctx, standin.LoadConfig{
		Endpoints: d.Callers, Seed: seed, Mix: standin.DefaultMix, CallerTimeouts: standin.DefaultCallerTimeouts(), Stages: run.stages(cfg),
	})
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if run.err != nil {
		return run.err
	}
	if err := d.EntriesRunning(); err != nil {
		return err
	}
	return run.finish(result, cfg, sum)
}

// startLimit bounds the start of a deployment.
const startLimit = 30 * time.Second

func (r *faultRun) stages(cfg MeasureConfig) []standin.Stage {
	before := r.Load * r.Capacity(cfg)
	after := before
	if r.FaultLoad > 0 {
		after = r.FaultLoad * r.Capacity(cfg)
	}
	return []standin.Stage{
		{Phase: standin.PhaseWarmUp, Rate: before, Duration: cfg.WarmUp},
		{Phase: standin.PhaseBefore, Rate: before, Duration: cfg.Before, OnStart: func() { r.begin = r.d.sample() }},
		{Phase: standin.PhaseOnset, Rate: after, Duration: Onset, OnStart: r.startFault},
		{Phase: standin.PhaseSustained, Rate: after, Duration: cfg.After - Onset, OnStart: func() { r.two = r.d.sample() }},
	}
}

func (r *faultRun) startFault() {
	r.onset = r.d.sampleQuickly()
	if r.Fault != nil {
		r.err = r.Fault(r.d)
	}
}

func (r *faultRun) finish(result *standin.LoadResult, cfg MeasureConfig, sum *standin.FaultResult) error {
	end := r.d.sample()
	if r.Undo != nil {
		if err := r.Undo(r.d); err != nil {
			return err
		}
		end.counts = r.d.Settled()
	}
	ledger, err := r.d.Ledger()
	if err != nil {
		return err
	}
	since := r.two
	if since.counts[0] == unknownCount { // a stopped target cannot be asked while it is stopped
		since = r.onset
		sum.ShareFromOnset = true
	}
	affected, all := countBetween(since, end)
	sum.Add(result, result.CompareWithLedger(ledger), standin.RunStats{
		AffectedReceived: affected, TotalReceived: all, Attempts: end.attempts - r.onset.attempts, FaultDuration: cfg.After,
		MachineCPUUtilization: end.machine.busyShare(r.begin.machine), CPUTime: end.cpu - r.begin.cpu, WallTime: end.at.Sub(r.begin.at),
	})
	return nil
}

// settle is how long the count of a resumed target must stay the same to be taken as final.
const settle = 200 * time.Millisecond

// Settled waits until a resumed first target has read what was sent to it, and returns the requests received by each
// target.
func (d *Deployment) Settled() []int64 {
	last := d.received()
	for {
		time.Sleep(settle)
		next := d.received()
		if next[0] == last[0] && next[0] != unknownCount {
			return next
		}
		last = next
	}
}

func countBetween(from, to sample) (affected, all int64) {
	for i := range to.counts {
		n := max(to.counts[i]-max(from.counts[i], 0), 0)
		if i == 0 {
			affected = n
		}
		all += n
	}
	return affected, all
}

// unknownCount stands for a target that did not tell its count.
const unknownCount = -1

// sample is a reading of all counters.
type sample struct {
	at       time.Time
	counts   []int64 // requests received by each target
	attempts float64 // attempts ended by the entry instances
	cpu      time.Duration
	machine  machineTime
}

func (d *Deployment) sample() sample {
	s := d.sampleQuickly()
	s.machine = readMachineTime()
	s.cpu = d.processorTime()
	return s
}

func (d *Deployment) sampleQuickly() sample {
	return sample{at: time.Now(), counts: d.received(), attempts: d.Metric("burdockpitch_attempts_total")}
}

func (d *Deployment) received() []int64 {
	list := make([]int64, len(d.Targets))
	for i := range d.Targets {
		c, err := d.Counts(i)
		list[i] = c.Received + c.DiscardedReads
		if err != nil {
			list[i] = unknownCount
		}
	}
	return list
}

// processorTime returns the processor time that this process and the running processes of the cluster used so far.
func (d *Deployment) processorTime() time.Duration {
	var sum float64
	pids := []int{os.Getpid()}
	for _, p := range d.running() {
		pids = append(pids, p.cmd.Process.Pid)
	}
	for _, pid := range pids {
		proc, err := procfs.NewProc(pid)
		if err != nil {
			continue
		}
		if stat, err := proc.Stat(); err == nil {
			sum += stat.CPUTime()
		}
	}
	return time.Duration(sum * float64(time.Second))
}

// machineTime is the processor time of the whole machine in seconds.
type machineTime struct{ idle, total float64 }

func readMachineTime() machineTime {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return machineTime{}
	}
	stat, err := fs.Stat()
	if err != nil {
		return machineTime{}
	}
	t := stat.CPUTotal
	idle := t.Idle + t.Iowait
	return machineTime{idle: idle, total: idle + t.User + t.Nice + t.System + t.IRQ + t.SoftIRQ + t.Steal}
}

// busyShare returns the share of the machine's processor time since an earlier reading that was not idle.
func (t machineTime) busyShare(earlier machineTime) float64 {
	if t.total <= earlier.total {
		return 0
	}
	return 1 - (t.idle-earlier.idle)/(t.total-earlier.total)
}

// Binaries returns dir, or the directory of the running program when dir is empty.
func Binaries(dir string) (string, error) {
	if dir != "" {
		return dir, nil
	}
	self, err := os.Executable()
	return filepath.Dir(self), eris.Wrap(err, "find this program")
}

// Cores returns the number of processors that the runs share.
func Cores() int { return runtime.NumCPU() }
