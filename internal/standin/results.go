package standin

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Limits beyond which a run is reported as not trustworthy, because the machine itself then adds latency.
const (
	maxCPUUtilization = 0.75
	maxSendLagP99     = 2 * time.Millisecond
)

// RunStats holds the counters of one run.
type RunStats struct {
	// AffectedReceived and TotalReceived are the numbers of requests that the affected target and all targets received,
	// from 2 s after the onset on, or from the onset on if FaultResult.ShareFromOnset is set.
	AffectedReceived, TotalReceived int64
	// Attempts is the number of attempts by all instances since the onset.
	Attempts float64
	// FaultDuration is the time from the onset to the end of the schedule.
	FaultDuration time.Duration
	// MachineCPUUtilization is the share (0 to 1) of the machine's processor time that all its processes use.
	MachineCPUUtilization float64
	// CPUTime is the processor time that the run itself used during WallTime.
	CPUTime  time.Duration
	WallTime time.Duration
}

// trustworthiness returns "yes", or the reason why a run is not trustworthy.
func trustworthiness(cpuUtilization float64, sendLag *hdrhistogram.Histogram) string {
	lagP99 := time.Duration(sendLag.ValueAtQuantile(99)) * time.Microsecond
	if cpuUtilization > maxCPUUtilization {
		return "no: machine saturated"
	}
	if lagP99 > maxSendLagP99 {
		return "no: generator late"
	}
	return "yes"
}

// FaultResult aggregates the runs of one selection method.
type FaultResult struct {
	// Method is the name of the selection method.
	Method string
	// Capacity is the number of requests per second that all targets together can serve without the fault.
	Capacity float64
	// ShareFromOnset is set when the affected target's share of the received requests includes the first 2 s of the
	// fault. They are left out only if the target reported its counts at the end of these 2 s.
	ShareFromOnset bool
	// ShareUnknown is set when the fault destroys the counters of the affected target, so that its share of the received
	// requests is unknown.
	ShareUnknown bool

	load          LoadResult
	discrepancies Discrepancies
	stats         RunStats // sums over the runs; MachineCPUUtilization is the highest of them
}

// Add adds the results of one run. All runs must have the same schedule duration.
func (r *FaultResult) Add(load *LoadResult, d *Discrepancies, run RunStats) {
	r.load.Records = append(r.load.Records, load.Records...)
	r.load.WallTime += load.WallTime
	r.load.PlannedDuration = load.PlannedDuration
	r.discrepancies.DuplicateExecutions = append(r.discrepancies.DuplicateExecutions, d.DuplicateExecutions...)
	r.discrepancies.RefusedButExecuted = append(r.discrepancies.RefusedButExecuted, d.RefusedButExecuted...)
	r.discrepancies.AnsweredNotExecuted = append(r.discrepancies.AnsweredNotExecuted, d.AnsweredNotExecuted...)
	r.discrepancies.WrongResponses = append(r.discrepancies.WrongResponses, d.WrongResponses...)
	r.stats.AffectedReceived += run.AffectedReceived
	r.stats.TotalReceived += run.TotalReceived
	r.stats.Attempts += run.Attempts
	r.stats.FaultDuration += run.FaultDuration
	r.stats.MachineCPUUtilization = max(r.stats.MachineCPUUtilization, run.MachineCPUUtilization)
	r.stats.CPUTime += run.CPUTime
	r.stats.WallTime += run.WallTime
}

// FaultTables returns the tables that compare all selection methods under one fault.
func FaultTables(results []*FaultResult) []*Table {
	return []*Table{latencyTable(results), outcomeTable(results), usageTable(results)}
}

var phases = []Phase{PhaseBefore, PhaseOnset, PhaseSustained}

func latencyTable(results []*FaultResult) *Table {
	t := &Table{
		Title: "Latency in ms of requests that were not refused; ratio is that of p99.9 to p99.9 before the fault.",
		Header: []string{
			"selection", "phase", "lookups", "p50", "p99", "p99.9", "max", "ratio",
			"bookings", "p50", "p99", "p99.9", "max", "ratio",
		},
	}
	for _, r := range results {
		for _, p := range phases {
			row := []string{r.Method, string(p)}
			row = append(row, r.latencyCells(core.ClassLookup, p)...)
			row = append(row, r.latencyCells(core.ClassOnce, p)...)
			t.AddRow(row...)
		}
	}
	return t
}

const ratioPercentile = 99.9 // percentile whose value in a phase is divided by its value before the fault

func (r *FaultResult) latencyCells(class core.Class, p Phase) []string {
	h := r.load.Latency(class, p)
	before := r.load.Latency(class, PhaseBefore).ValueAtQuantile(ratioPercentile)
	ratio := "-"
	if p != PhaseBefore && before > 0 {
		ratio = fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(ratioPercentile))/float64(before))
	}
	cells := append([]string{fmt.Sprint(h.TotalCount())}, PercentileCells(h)...)
	return append(cells, ratio)
}

func outcomeTable(results []*FaultResult) *Table {
	t := &Table{
		Title: "From the onset on; the share of the affected target from 2 s on (fair: equal parts).",
		Header: []string{
			"selection", "share of the affected target", "attempts per request", "goodput /s", "of capacity",
			"lookups / bookings / patient",
			"lookups served", "bookings served", "patient served", "lookups failed", "refused", "refusal p99 ms",
			"run twice", "not-run but ran", "answered, never ran", "wrong answers",
		},
	}
	for _, r := range results {
		t.AddRow(r.outcomeCells()...)
	}
	return t
}

func duringFault(rec *Record) bool { return rec.Phase == PhaseOnset || rec.Phase == PhaseSustained }

func (r *FaultResult) outcomeCells() []string {
	requests := r.load.Count(duringFault)
	lookup, once, patient := r.goodput(core.ClassLookup), r.goodput(core.ClassOnce), r.goodput(core.ClassPatient)
	totalGoodput := lookup + once + patient
	refused := r.load.Count(func(rec *Record) bool { return duringFault(rec) && rec.Refused() })
	lookups := r.load.Count(func(rec *Record) bool { return duringFault(rec) && rec.Class == core.ClassLookup })
	failed := r.load.Count(func(rec *Record) bool {
		return duringFault(rec) && rec.Class == core.ClassLookup && !rec.Served() && !rec.Refused()
	})
	d := &r.discrepancies
	return []string{
		r.Method, r.affectedShare(), fmt.Sprintf("%.3f", r.stats.Attempts/float64(requests)), fmt.Sprintf("%.0f", totalGoodput),
		percent(totalGoodput, r.Capacity), fmt.Sprintf("%.0f / %.0f / %.0f", lookup, once, patient), r.servedPercent(core.ClassLookup), r.servedPercent(core.ClassOnce), r.servedPercent(core.ClassPatient),
		fmt.Sprintf("%d (%s)", failed, percent(float64(failed), float64(lookups))), fmt.Sprint(refused),
		FormatMillis(r.load.RefusalLatency().ValueAtQuantile(99)),
		fmt.Sprint(len(d.DuplicateExecutions)), fmt.Sprint(len(d.RefusedButExecuted)), fmt.Sprint(len(d.AnsweredNotExecuted)),
		fmt.Sprint(len(d.WrongResponses)),
	}
}

// goodput returns the served requests of a class per second that ended between the onset and the end of the schedule.
// Requests still queued at the end are served later, so counting them would give more than the capacity.
func (r *FaultResult) goodput(class core.Class) float64 {
	n := r.load.Count(func(rec *Record) bool {
		return duringFault(rec) && rec.Class == class && rec.Served() && rec.ScheduledAt+rec.Latency <= r.load.PlannedDuration
	})
	return float64(n) / r.stats.FaultDuration.Seconds()
}

func (r *FaultResult) affectedShare() string {
	if r.ShareUnknown {
		return "not seen"
	}
	text := percent(float64(r.stats.AffectedReceived), float64(r.stats.TotalReceived))
	if r.ShareFromOnset {
		text += " (from the onset)"
	}
	return text
}

func (r *FaultResult) servedPercent(class core.Class) string {
	match := func(rec *Record) bool { return duringFault(rec) && rec.Class == class }
	n := r.load.Count(func(rec *Record) bool { return match(rec) && rec.Served() })
	return percent(float64(n), float64(r.load.Count(match)))
}

func percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f %%", 100*part/whole)
}

func usageTable(results []*FaultResult) *Table {
	t := &Table{
		Title:  "Processor use; other programs on the machine count as busy.",
		Header: []string{"selection", "cores used by the run", "machine busy", "send lag p99 ms", "send lag max ms", "trustworthy"},
	}
	for _, r := range results {
		t.AddRow(append([]string{r.Method}, usageCells(r.stats, &r.load)...)...)
	}
	return t
}

func usageCells(stats RunStats, load *LoadResult) []string {
	lag := load.SendLag()
	return []string{
		fmt.Sprintf("%.2f", stats.CPUTime.Seconds()/stats.WallTime.Seconds()), percent(stats.MachineCPUUtilization, 1),
		FormatMillis(lag.ValueAtQuantile(99)), FormatMillis(lag.Max()), trustworthiness(stats.MachineCPUUtilization, lag),
	}
}

// LatencyResult holds the result of a run that measures the latency that an instance adds. Endpoint 0 is a target,
// endpoint 1 an instance that forwards to this target.
type LatencyResult struct {
	Load          *LoadResult
	Discrepancies *Discrepancies
	Stats         RunStats
}

// Tables returns the tables of the run.
func (r *LatencyResult) Tables() []*Table {
	t := &Table{
		Title:  "Latency in ms; both ways are measured in the same run.",
		Header: []string{"class", "way", "requests", "p50", "p99", "p99.9", "max", "not served"},
	}
	for _, class := range []core.Class{core.ClassLookup, core.ClassOnce, core.ClassPatient} {
		r.addRows(t, class.String(), func(rec *Record) bool { return rec.Class == class })
	}
	r.addRows(t, "all", func(*Record) bool { return true })
	usage := &Table{Header: []string{"cores used by the run", "machine busy", "send lag p99 ms", "send lag max ms", "trustworthy", "ledger"}}
	usage.AddRow(append(usageCells(r.Stats, r.Load), r.Discrepancies.String())...)
	return []*Table{t, usage}
}

// addRows adds one row for each endpoint and one for the difference of their latencies. It uses the records for which
// match returns true, except those of the warm-up.
func (r *LatencyResult) addRows(t *Table, name string, match func(*Record) bool) {
	var byPath [2]*hdrhistogram.Histogram
	for endpoint, path := range []string{"direct", "through the instance"} {
		onPath := func(rec *Record) bool { return rec.Phase == PhaseBefore && rec.Endpoint == endpoint && match(rec) }
		byPath[endpoint] = r.Load.Histogram(onPath, latencyOf)
		unserved := r.Load.Count(func(rec *Record) bool { return onPath(rec) && !rec.Served() })
		row := append([]string{name, path, fmt.Sprint(byPath[endpoint].TotalCount())}, PercentileCells(byPath[endpoint])...)
		t.AddRow(append(row, fmt.Sprint(unserved))...)
	}
	row := []string{name, "difference", ""}
	for _, p := range ReportedPercentiles {
		row = append(row, FormatMillis(byPath[1].ValueAtQuantile(p)-byPath[0].ValueAtQuantile(p)))
	}
	t.AddRow(append(row, FormatMillis(byPath[1].Max()-byPath[0].Max()), "")...)
}

// FormatTables returns the markdown text of tables.
func FormatTables(tables []*Table) string {
	var parts []string
	for _, t := range tables {
		parts = append(parts, t.String())
	}
	return strings.Join(parts, "\n")
}
