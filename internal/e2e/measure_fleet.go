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

// FleetMeasurement configures a measurement of a fleet.
type FleetMeasurement struct {
	// Mode is "spread" or "cost".
	Mode string
	// Entries are the numbers of instances to measure.
	Entries []int
	// Rounds is the number of changes of each case in mode "spread".
	Rounds int
	// Services is the number of documents; all but one never change.
	Services int
	// Padding is the size of the comments in the document that changes, in bytes.
	Padding int
	// Duration is the time of each case in mode "cost".
	Duration time.Duration
	// Partition is how long a half of the fleet is separated from the other in mode "spread".
	Partition time.Duration
}

// SpreadResult gives the times from a publication until it was in force at all instances.
type SpreadResult struct {
	Case     string `json:"case"`
	Entries  int    `json:"entries"`
	Changes  int    `json:"changes"`
	MedianMs int64  `json:"median_ms"`
	MaxMs    int64  `json:"max_ms"`
}

// CostResult gives the control cost per entry instance as a mean over the fleet, and the largest.
type CostResult struct {
	Case             string  `json:"case"`
	Entries          int     `json:"entries"`
	Services         int     `json:"services"`
	Seconds          float64 `json:"seconds"`
	CPUPercent       float64 `json:"cpu_percent_of_core"`
	CPUPercentMax    float64 `json:"cpu_percent_of_core_max"`
	MemoryMB         float64 `json:"memory_mb"`
	MemoryMBMax      float64 `json:"memory_mb_max"`
	SentBytesPerS    float64 `json:"sent_bytes_per_s"`
	ReadBytesPerS    float64 `json:"received_bytes_per_s"`
	PlatformReadsPer float64 `json:"platform_reads_per_s"`
}

// Run measures and writes each result to out as soon as it is known.
func (m FleetMeasurement) Run(ctx context.Context, c *Cluster, out *json.Encoder) error {
	for _, n := range m.Entries {
		if err := m.one(ctx, c, n, out); err != nil {
			return err
		}
	}
	return nil
}

func (m FleetMeasurement) one(ctx context.Context, c *Cluster, n int, out *json.Encoder) error {
	defer c.Stop()
	f, err := NewFleet(ctx, c)
	if err != nil {
		return err
	}
	f.Groups, f.Padding = 2, m.Padding
	v := rules.Version{Epoch: 1, Revision: 1}
	if err := f.Publish(v); err != nil {
		return err
	}
	for i := 1; i < m.Services; i++ {
		text := strings.Replace(FleetDocument(v), "registry", fmt.Sprintf("service-%d", i), 1)
		if err := PublishDocument(f.Platform, text); err != nil {
			return err
		}
	}
	if err := f.Add(n); err != nil {
		return err
	}
	if err := f.Ready(ctx); err != nil {
		return err
	}
	switch m.Mode {
	case "spread":
		return m.spread(ctx, f, v, out)
	case "cost":
		return m.cost(ctx, f, v, out)
	}
	return eris.Errorf("unknown mode %q", m.Mode)
}

func (m FleetMeasurement) spread(ctx context.Context, f *Fleet, v rules.Version, out *json.Encoder) error {
	half := f.Group(1)
	var cut []string
	for _, e := range half {
		cut = append(cut, e.Peer)
	}
	for _, c := range []struct {
		name   string
		faults standin.PlatformFaults
	}{{"platform in reach of all", standin.PlatformFaults{}}, {"half cut off from the platform", standin.PlatformFaults{PartitionedReaders: cut}}} {
		if err := f.SetFaults(c.faults); err != nil {
			return err
		}
		var times []time.Duration
		for range m.Rounds {
			v.Revision++
			took, err := f.timed(ctx, v, func() error { return f.Publish(v) })
			if err != nil {
				return err
			}
			times = append(times, took)
		}
		if err := out.Encode(spreadResult(c.name, len(f.Entries), times)); err != nil {
			return err
		}
	}
	return m.heal(ctx, f, v, half, out)
}

// heal separates a half, which is cut off from the platform already, from its peers: instances that are not on the
// list are refused. It publishes meanwhile and measures from the end of the separation. The platform stays out of reach
// of that half, so that the newest version has to come from the other one.
func (m FleetMeasurement) heal(ctx context.Context, f *Fleet, v rules.Version, half []*Entry, out *json.Encoder) error {
	v.Revision++
	if err := f.ListOnly(f.Group(0)); err != nil {
		return err
	}
	if err := pause(ctx, m.Partition/2); err != nil {
		return err
	}
	if err := f.Publish(v); err != nil {
		return err
	}
	if err := f.Reaches(ctx, v, f.Group(0)...); err != nil {
		return err
	}
	if err := pause(ctx, m.Partition/2); err != nil {
		return err
	}
	for _, e := range half {
		if got, err := f.Version(e); err != nil || !got.Less(v) {
			return eris.Errorf("version %v at %s during the separation: %v", got, e.Peer, err)
		}
	}
	took, err := f.timed(ctx, v, f.List)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("half separated from platform and peers for %s, after the end for peers", m.Partition)
	return out.Encode(spreadResult(name, len(f.Entries), []time.Duration{took}))
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// timed returns the time from the start of begin until v is in force everywhere.
func (f *Fleet) timed(ctx context.Context, v rules.Version, begin func() error) (time.Duration, error) {
	start := time.Now()
	if err := begin(); err != nil {
		return 0, err
	}
	err := f.Reaches(ctx, v, f.Entries...)
	return time.Since(start), err
}

func spreadResult(name string, entries int, times []time.Duration) SpreadResult {
	slices.Sort(times)
	return SpreadResult{
		Case: name, Entries: entries, Changes: len(times),
		MedianMs: times[len(times)/2].Milliseconds(), MaxMs: times[len(times)-1].Milliseconds(),
	}
}

func (m FleetMeasurement) cost(ctx context.Context, f *Fleet, v rules.Version, out *json.Encoder) error {
	for _, changes := range []int{0, 1} {
		name := "idle"
		if changes > 0 {
			name = "one change a minute"
		}
		r, err := m.measureCost(ctx, f, &v, changes > 0)
		if err != nil {
			return err
		}
		r.Case = name
		if err := out.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// usage is what the processes of a fleet used so far, from /proc and the platform's counts. Bytes are those passed
// through all sockets and files of a process, as the kernel counts them; on an instance without callers this is control
// traffic and log lines.
type usage struct {
	at    time.Time
	cpu   []time.Duration
	rss   []float64 // MB
	wrote []float64
	read  []float64
	calls int
}

func (m FleetMeasurement) measureCost(ctx context.Context, f *Fleet, v *rules.Version, change bool) (CostResult, error) {
	before, err := f.usage()
	if err != nil {
		return CostResult{}, err
	}
	ticker := time.NewTicker(time.Minute)
	defer ticker.Stop()
	end := time.After(m.Duration)
	if change {
		v.Revision++
		if err := f.Publish(*v); err != nil {
			return CostResult{}, err
		}
	}
	for running := true; running; {
		select {
		case <-ticker.C:
			if !change || time.Since(before.at) >= m.Duration {
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
	after, err := f.usage()
	if err != nil {
		return CostResult{}, err
	}
	r := costResult(before, after)
	r.Services = m.Services
	return r, nil
}

func costResult(before, after usage) CostResult {
	seconds := after.at.Sub(before.at).Seconds()
	n := float64(len(after.cpu))
	r := CostResult{Entries: len(after.cpu), Seconds: seconds, PlatformReadsPer: float64(after.calls-before.calls) / seconds / n}
	for i := range after.cpu {
		cpu := (after.cpu[i] - before.cpu[i]).Seconds() / seconds * 100
		r.CPUPercent += cpu / n
		r.CPUPercentMax = max(r.CPUPercentMax, cpu)
		r.MemoryMB += after.rss[i] / n
		r.MemoryMBMax = max(r.MemoryMBMax, after.rss[i])
		r.SentBytesPerS += (after.wrote[i] - before.wrote[i]) / seconds / n
		r.ReadBytesPerS += (after.read[i] - before.read[i]) / seconds / n
	}
	return r
}

func (f *Fleet) usage() (usage, error) {
	u := usage{at: time.Now()}
	counts, err := f.Counts()
	if err != nil {
		return u, err
	}
	u.calls = counts.Reads
	for _, e := range f.Entries {
		if err := u.add(e.cmd.Process.Pid); err != nil {
			return u, err
		}
	}
	return u, nil
}

const clockTick = 10 * time.Millisecond // USER_HZ is 100 on Linux

func (u *usage) add(pid int) error {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return eris.Wrap(err, "read process statistics")
	}
	// The fields after the name in parentheses begin with field 3; utime and stime are fields 14 and 15.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.cpu = append(u.cpu, time.Duration(user+system)*clockTick)
	rss, err := procValue(dir+"status", "VmRSS:")
	if err != nil {
		return err
	}
	wrote, err := procValue(dir+"io", "wchar:")
	if err != nil {
		return err
	}
	read, err := procValue(dir+"io", "rchar:")
	u.rss = append(u.rss, rss/1024)
	u.wrote = append(u.wrote, wrote)
	u.read = append(u.read, read)
	return err
}

// procValue returns the number after a key in a file of /proc.
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
