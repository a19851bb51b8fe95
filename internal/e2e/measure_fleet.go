package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// FleetMeasurement configures a measurement of configuration propagation or of control cost.
type FleetMeasurement struct {
	// Mode is "spread", which measures propagation times, or "cost", which measures control cost.
	Mode string
	// InstanceCounts are the fleet sizes, measured one after another.
	InstanceCounts []int
	// ChangesPerCase is the number of configuration changes of each case in mode "spread".
	ChangesPerCase int
	// ServiceCount is the number of services, each with a document. Only the document of "registry" changes.
	ServiceCount int
	// PaddingBytes is the size of the comments in the document that changes.
	PaddingBytes int
	// Duration is the length of each case in mode "cost".
	Duration time.Duration
	// PartitionDuration is how long half of the fleet is partitioned from the other half in mode "spread".
	PartitionDuration time.Duration
}

// PropagationResult gives the times from the publication of a change, or from the end of a partition, until the change
// was in force at all instances.
type PropagationResult struct {
	Case      string `json:"case"`
	Instances int    `json:"entries"`
	Changes   int    `json:"changes"`
	MedianMs  int64  `json:"median_ms"`
	MaxMs     int64  `json:"max_ms"`
}

// CostResult gives the control cost per instance as a mean over the fleet; fields that end in Max give the largest
// value of an instance. CPU is in percent of one core, memory is the resident set size in MiB.
type CostResult struct {
	Case              string  `json:"case"`
	Instances         int     `json:"entries"`
	Services          int     `json:"services"`
	Seconds           float64 `json:"seconds"`
	CPUPercent        float64 `json:"cpu_percent_of_core"`
	CPUPercentMax     float64 `json:"cpu_percent_of_core_max"`
	MemoryMB          float64 `json:"memory_mb"`
	MemoryMBMax       float64 `json:"memory_mb_max"`
	SentBytesPerS     float64 `json:"sent_bytes_per_s"`
	ReceivedBytesPerS float64 `json:"received_bytes_per_s"`
	PlatformReadsPerS float64 `json:"platform_reads_per_s"`
}

// Run measures the fleet sizes one after another and encodes each result as soon as it is known. It stops the cluster
// after each size.
func (m FleetMeasurement) Run(ctx context.Context, c *Cluster, out *json.Encoder) error {
	for _, n := range m.InstanceCounts {
		if err := m.measureSize(ctx, c, n, out); err != nil {
			return err
		}
	}
	return nil
}

func (m FleetMeasurement) measureSize(ctx context.Context, c *Cluster, instances int, out *json.Encoder) error {
	defer c.Stop()
	f, err := NewFleet(ctx, c)
	if err != nil {
		return err
	}
	f.GroupCount, f.PaddingBytes = 2, m.PaddingBytes
	v := rules.Version{Epoch: 1, Revision: 1}
	if err := f.Publish(v); err != nil {
		return err
	}
	for i := 1; i < m.ServiceCount; i++ {
		document := strings.Replace(FleetDocument(v), "registry", fmt.Sprintf("service-%d", i), 1)
		if err := PublishDocument(f.PlatformAddress, document); err != nil {
			return err
		}
	}
	if err := f.AddInstances(instances); err != nil {
		return err
	}
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	switch m.Mode {
	case "spread":
		return m.measurePropagation(ctx, f, v, out)
	case "cost":
		return m.measureCosts(ctx, f, v, out)
	}
	return eris.Errorf("unknown measurement mode %q", m.Mode)
}

func (m FleetMeasurement) measurePropagation(ctx context.Context, f *Fleet, v rules.Version, out *json.Encoder) error {
	isolated := f.InstancesInGroup(1)
	var partitionedReaders []string
	for _, inst := range isolated {
		partitionedReaders = append(partitionedReaders, inst.PeerAddress)
	}
	for _, c := range []struct {
		name   string
		faults standin.PlatformFaults
	}{
		{"platform in reach of all", standin.PlatformFaults{}},
		{"half cut off from the platform", standin.PlatformFaults{PartitionedReaders: partitionedReaders}},
	} {
		if err := f.SetPlatformFaults(c.faults); err != nil {
			return err
		}
		var durations []time.Duration
		for range m.ChangesPerCase {
			v.Revision++
			elapsed, err := f.timePropagation(ctx, v, func() error { return f.Publish(v) })
			if err != nil {
				return err
			}
			durations = append(durations, elapsed)
		}
		if err := out.Encode(newPropagationResult(c.name, len(f.Instances), durations)); err != nil {
			return err
		}
	}
	return m.measurePartitionRecovery(ctx, f, v, isolated, out)
}

// measurePartitionRecovery measures the recovery of the isolated half of the fleet, which cannot reach the platform. It
// partitions this half from the other one by removing it from the instance list, since peers refuse instances that are
// not on the list. It publishes a change during the partition and measures the time from the end of the partition until
// the change is in force everywhere. The platform stays unreachable for the isolated half, so that this half can get
// the change only from the other one.
func (m FleetMeasurement) measurePartitionRecovery(
	ctx context.Context, f *Fleet, v rules.Version, isolated []*Instance, out *json.Encoder,
) error {
	v.Revision++
	if err := f.RegisterOnly(f.InstancesInGroup(0)); err != nil {
		return err
	}
	if err := sleep(ctx, m.PartitionDuration/2); err != nil {
		return err
	}
	if err := f.Publish(v); err != nil {
		return err
	}
	if err := f.WaitForVersion(ctx, v, f.InstancesInGroup(0)...); err != nil {
		return err
	}
	if err := sleep(ctx, m.PartitionDuration/2); err != nil {
		return err
	}
	for _, inst := range isolated {
		if got, err := f.Version(inst); err != nil || !got.Less(v) {
			return eris.Errorf("version %v at the partitioned instance %s, want a lower one (read error: %v)", got, inst.PeerAddress, err)
		}
	}
	elapsed, err := f.timePropagation(ctx, v, f.RegisterAll)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("half separated from platform and peers for %s, after the end for peers", m.PartitionDuration)
	return out.Encode(newPropagationResult(name, len(f.Instances), []time.Duration{elapsed}))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// timePropagation returns the time from the call of change until v is in force at all instances.
func (f *Fleet) timePropagation(ctx context.Context, v rules.Version, change func() error) (time.Duration, error) {
	start := time.Now()
	if err := change(); err != nil {
		return 0, err
	}
	err := f.WaitForVersion(ctx, v, f.Instances...)
	return time.Since(start), err
}

func newPropagationResult(name string, instances int, durations []time.Duration) PropagationResult {
	slices.Sort(durations)
	return PropagationResult{
		Case: name, Instances: instances, Changes: len(durations),
		MedianMs: durations[len(durations)/2].Milliseconds(), MaxMs: durations[len(durations)-1].Milliseconds(),
	}
}

func (m FleetMeasurement) measureCosts(ctx context.Context, f *Fleet, v rules.Version, out *json.Encoder) error {
	for _, changes := range []int{0, 1} {
		name := "idle"
		if changes > 0 {
			name = "one change a minute"
		}
		result, err := m.measureCostCase(ctx, f, &v, changes > 0)
		if err != nil {
			return err
		}
		result.Case = name
		if err := out.Encode(result); err != nil {
			return err
		}
	}
	return nil
}

// processUsage holds the resources that the processes of a fleet have used, from /proc and the platform's counters. The
// slices have one element per instance, in the order of Fleet.Instances. Bytes are those that a process read from or
// wrote to sockets and files, as the kernel counts them. On an instance without callers, this is control traffic and
// log lines.
type processUsage struct {
	takenAt       time.Time
	cpu           []time.Duration
	rssMiB        []float64
	writtenBytes  []float64
	readBytes     []float64
	platformReads int
}

func (m FleetMeasurement) measureCostCase(ctx context.Context, f *Fleet, v *rules.Version, withChanges bool) (CostResult, error) {
	before, err := f.readUsage()
	if err != nil {
		return CostResult{}, err
	}
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	end := time.After(m.Duration)
	if withChanges {
		v.Revision++
		if err := f.Publish(*v); err != nil {
			return CostResult{}, err
		}
	}
	for running := true; running; {
		select {
		case <-ticker.C:
			if !withChanges || time.Since(before.takenAt) >= m.Duration {
				continue
			}
			v.Revision++
			if err := f.Publish(*v); err != nil {
				return CostResult{}, err
			}
		case <-end:
			running = false
		case <-ctx.Done():
			return CostResult{}, ctx.Err()
		}
	}
	after, err := f.readUsage()
	if err != nil {
		return CostResult{}, err
	}
	result := newCostResult(before, after)
	result.Services = m.ServiceCount
	return result, nil
}

func newCostResult(before, after processUsage) CostResult {
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	n := float64(len(after.cpu))
	result := CostResult{
		Instances: len(after.cpu), Seconds: seconds,
		PlatformReadsPerS: float64(after.platformReads-before.platformReads) / seconds / n,
	}
	for i := range after.cpu {
		cpu := (after.cpu[i] - before.cpu[i]).Seconds() / seconds * 100
		result.CPUPercent += cpu / n
		result.CPUPercentMax = max(result.CPUPercentMax, cpu)
		result.MemoryMB += after.rssMiB[i] / n
		result.MemoryMBMax = max(result.MemoryMBMax, after.rssMiB[i])
		result.SentBytesPerS += (after.writtenBytes[i] - before.writtenBytes[i]) / seconds / n
		result.ReceivedBytesPerS += (after.readBytes[i] - before.readBytes[i]) / seconds / n
	}
	return result
}

func (f *Fleet) readUsage() (processUsage, error) {
	u := processUsage{takenAt: time.Now()}
	counts, err := f.PlatformCounts()
	if err != nil {
		return u, err
	}
	u.platformReads = counts.Reads
	for _, inst := range f.Instances {
		if err := u.addProcess(inst.cmd.Process.Pid); err != nil {
			return u, err
		}
	}
	return u, nil
}

const clockTick = 10 * time.Millisecond // USER_HZ is 100 on Linux

func (u *processUsage) addProcess(pid int) error {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return eris.Wrap(err, "read process statistics")
	}
	// The text after the process name in parentheses begins with field 3 of the file, so fields 14 and 15, utime and
	// stime, have the indices 11 and 12.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.cpu = append(u.cpu, time.Duration(user+system)*clockTick)
	rssKiB, err := procValue(dir+"status", "VmRSS:")
	if err != nil {
		return err
	}
	written, err := procValue(dir+"io", "wchar:")
	if err != nil {
		return err
	}
	read, err := procValue(dir+"io", "rchar:")
	u.rssMiB = append(u.rssMiB, rssKiB/1024)
	u.writtenBytes = append(u.writtenBytes, written)
	u.readBytes = append(u.readBytes, read)
	return err
}

// procValue returns the number after the first occurrence of a key in a file of /proc.
func procValue(file, key string) (float64, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, eris.Wrap(err, "read process statistics")
	}
	_, rest, ok := strings.Cut(string(text), key)
	if !ok || len(strings.Fields(rest)) == 0 {
		return 0, eris.Errorf("no %s in %s", key, file)
	}
	return strconv.ParseFloat(strings.Fields(rest)[0], 64)
}
