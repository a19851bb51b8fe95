package standin

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Limits beyond which a run is reported as not trustworthy: the machine then adds latency of its own.
const (
	maxBusy    = 0.75
	maxSendLag = 2 * time.Millisecond // at p99
)

// RunUsage holds the counters of one run.
type RunUsage struct {
	// Affected and Received are the requests that the affected target and all targets received from 2 s on.
	Affected, Received int64
	// Attempts is the number of attempts of all entry instances since the onset.
	Attempts float64
	// FaultTime is the time from the onset to the end.
	FaultTime time.Duration
	// Busy is the share of the machine's processor time in use, by anything on the machine.
	Busy float64
	// Cores is the processor time of the run itself over Wall.
	Cores time.Duration
	Wall  time.Duration
}

// trust returns why a run is not trustworthy, or "yes".
func trust(busy float64, lag *hdrhistogram.Histogram) string {
	late := time.Duration(lag.ValueAtQuantile(99)) * time.Microsecond
	if busy > maxBusy {
		return "no: machine saturated"
	}
	if late > maxSendLag {
		return "no: generator late"
	}
	return "yes"
}

// FaultResult sums up the runs of one method.
type FaultResult struct {
	// Method is the selection method.
	Method string
	// Capacity is the number of requests per second that all slots serve.
	Capacity float64
	// ShareFromOnset is set when the share of the affected target includes the first 2 s.
	ShareFromOnset bool
	// Unseen is set when the affected target could not count.
	Unseen bool

	load       LoadResult
	comparison Comparison
	usage      RunUsage // Busy is the highest of the runs
}

// Add adds one run.
func (r *FaultResult) Add(load *LoadResult, c *Comparison, u RunUsage) {
	r.load.Records = append(r.load.Records, load.Records...)
	r.load.Wall += load.Wall
	r.load.Planned = load.Planned
	r.comparison.RunTwice = append(r.comparison.RunTwice, c.RunTwice...)
	r.comparison.NotRunButRan = append(r.comparison.NotRunButRan, c.NotRunButRan...)
	r.comparison.AnsweredNeverRan = append(r.comparison.AnsweredNeverRan, c.AnsweredNeverRan...)
	r.comparison.WrongAnswer = append(r.comparison.WrongAnswer, c.WrongAnswer...)
	r.usage.Affected += u.Affected
	r.usage.Received += u.Received
	r.usage.Attempts += u.Attempts
	r.usage.FaultTime += u.FaultTime
	r.usage.Busy = max(r.usage.Busy, u.Busy)
	r.usage.Cores += u.Cores
	r.usage.Wall += u.Wall
}

// FaultTables returns the tables of one fault run over all methods.
func FaultTables(results []*FaultResult) []*Table {
	return []*Table{latencyTable(results), outcomeTable(results), usageTable(results)}
}

var phases = []Phase{PhaseBefore, PhaseOnset, PhaseAfter}

func latencyTable(results []*FaultResult) *Table {
	t := &Table{
		Title: "Latency in ms of requests that were not refused; ratio is that of p99.9 to p99.9 before the fault.",
		Head: []string{
			"selection", "phase", "lookups", "p50", "p99", "p99.9", "max", "ratio",
			"bookings", "p50", "p99", "p99.9", "max", "ratio",
		},
	}
	for _, r := range results {
		for _, p := range phases {
			row := []string{r.Method, string(p)}
			row = append(row, r.latencyCells(core.ClassLookup, p)...)
			row = append(row, r.latencyCells(core.ClassOnce, p)...)
			t.Add(row...)
		}
	}
	return t
}

const tail = 99.9 // the percentile that ratios compare

func (r *FaultResult) latencyCells(class core.Class, p Phase) []string {
	h := r.load.Latency(class, p)
	before := r.load.Latency(class, PhaseBefore).ValueAtQuantile(tail)
	ratio := "-"
	if p != PhaseBefore && before > 0 {
		ratio = fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(tail))/float64(before))
	}
	cells := append([]string{fmt.Sprint(h.TotalCount())}, Percentiles(h)...)
	return append(cells, ratio)
}

func outcomeTable(results []*FaultResult) *Table {
	t := &Table{
		Title: "From the onset on; the share of the affected target from 2 s on (fair: equal parts).",
		Head: []string{
			"selection", "share of the affected target", "attempts per request", "goodput /s", "of capacity",
			"lookups / bookings / patient",
			"lookups served", "bookings served", "patient served", "lookups failed", "refused", "refusal p99 ms",
			"run twice", "not-run but ran", "answered, never ran", "wrong answers",
		},
	}
	for _, r := range results {
		t.Add(r.outcomeCells()...)
	}
	return t
}

func inFault(rec *Record) bool { return rec.Phase == PhaseOnset || rec.Phase == PhaseAfter }

func (r *FaultResult) outcomeCells() []string {
	total := r.load.Count(inFault)
	lookup, once, patient := r.goodput(core.ClassLookup), r.goodput(core.ClassOnce), r.goodput(core.ClassPatient)
	rate := lookup + once + patient
	refused := r.load.Count(func(rec *Record) bool { return inFault(rec) && rec.Refused() })
	lookups := r.load.Count(func(rec *Record) bool { return inFault(rec) && rec.Class == core.ClassLookup })
	failed := r.load.Count(func(rec *Record) bool {
		return inFault(rec) && rec.Class == core.ClassLookup && !rec.Served() && !rec.Refused()
	})
	c := &r.comparison
	return []string{
		r.Method, r.share(), fmt.Sprintf("%.3f", r.usage.Attempts/float64(total)), fmt.Sprintf("%.0f", rate),
		percent(rate, r.Capacity), fmt.Sprintf("%.0f / %.0f / %.0f", lookup, once, patient), r.served(core.ClassLookup), r.served(core.ClassOnce), r.served(core.ClassPatient),
		fmt.Sprintf("%d (%s)", failed, percent(float64(failed), float64(lookups))), fmt.Sprint(refused),
		FormatMillis(r.load.RefusalLatency().ValueAtQuantile(99)),
		fmt.Sprint(len(c.RunTwice)), fmt.Sprint(len(c.NotRunButRan)), fmt.Sprint(len(c.AnsweredNeverRan)),
		fmt.Sprint(len(c.WrongAnswer)),
	}
}

// goodput returns the served requests of a class per second that ended between the onset and the end of the schedule.
// What is still queued then is served later, so counting it would give more than the capacity.
func (r *FaultResult) goodput(class core.Class) float64 {
	n := r.load.Count(func(rec *Record) bool {
		return inFault(rec) && rec.Class == class && rec.Served() && rec.At+rec.Latency <= r.load.Planned
	})
	return float64(n) / r.usage.FaultTime.Seconds()
}

func (r *FaultResult) share() string {
	if r.Unseen {
		return "not seen"
	}
	text := percent(float64(r.usage.Affected), float64(r.usage.Received))
	if r.ShareFromOnset {
		text += " (from the onset)"
	}
	return text
}

func (r *FaultResult) served(class core.Class) string {
	of := func(rec *Record) bool { return inFault(rec) && rec.Class == class }
	n := r.load.Count(func(rec *Record) bool { return of(rec) && rec.Served() })
	return percent(float64(n), float64(r.load.Count(of)))
}

func percent(part, whole float64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f %%", 100*part/whole)
}

func usageTable(results []*FaultResult) *Table {
	t := &Table{
		Title: "Processor use; other programs on the machine count as busy.",
		Head:  []string{"selection", "cores used by the run", "machine busy", "send lag p99 ms", "send lag max ms", "trustworthy"},
	}
	for _, r := range results {
		t.Add(append([]string{r.Method}, usageCells(r.usage, &r.load)...)...)
	}
	return t
}

func usageCells(u RunUsage, load *LoadResult) []string {
	lag := load.SendLag()
	return []string{
		fmt.Sprintf("%.2f", u.Cores.Seconds()/u.Wall.Seconds()), percent(u.Busy, 1),
		FormatMillis(lag.ValueAtQuantile(99)), FormatMillis(lag.Max()), trust(u.Busy, lag),
	}
}

// LatencyResult is a run of added latency: entry 0 is the direct way, entry 1 leads through an entry instance.
type LatencyResult struct {
	Load       *LoadResult
	Comparison *Comparison
	Usage      RunUsage
}

// Tables returns the tables of the run.
func (r *LatencyResult) Tables() []*Table {
	t := &Table{
		Title: "Latency in ms; both ways are measured in the same run.",
		Head:  []string{"class", "way", "requests", "p50", "p99", "p99.9", "max", "not served"},
	}
	for _, class := range []core.Class{core.ClassLookup, core.ClassOnce, core.ClassPatient} {
		r.addRows(t, class.String(), func(rec *Record) bool { return rec.Class == class })
	}
	r.addRows(t, "all", func(*Record) bool { return true })
	usage := &Table{Head: []string{"cores used by the run", "machine busy", "send lag p99 ms", "send lag max ms", "trustworthy", "ledger"}}
	usage.Add(append(usageCells(r.Usage, r.Load), r.Comparison.String())...)
	return []*Table{t, usage}
}

func (r *LatencyResult) addRows(t *Table, name string, keep func(*Record) bool) {
	var both [2]*hdrhistogram.Histogram
	for entry, way := range []string{"direct", "through the entry instance"} {
		of := func(rec *Record) bool { return rec.Phase == PhaseBefore && rec.Entry == entry && keep(rec) }
		both[entry] = r.Load.Histogram(of, latencyOf)
		lost := r.Load.Count(func(rec *Record) bool { return of(rec) && !rec.Served() })
		row := append([]string{name, way, fmt.Sprint(both[entry].TotalCount())}, Percentiles(both[entry])...)
		t.Add(append(row, fmt.Sprint(lost))...)
	}
	row := []string{name, "difference", ""}
	for _, q := range Quantiles {
		row = append(row, FormatMillis(both[1].ValueAtQuantile(q)-both[0].ValueAtQuantile(q)))
	}
	t.Add(append(row, FormatMillis(both[1].Max()-both[0].Max()), "")...)
}

// FormatTables returns the markdown text of tables.
func FormatTables(tables []*Table) string {
	var parts []string
	for _, t := range tables {
		parts = append(parts, t.String())
	}
	return strings.Join(parts, "\n")
}
