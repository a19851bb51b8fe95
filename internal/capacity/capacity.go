// Package capacity measures how the memory, the messages and the processing times of an instance grow with the numbers
// of targets, services, documents and instances. docs/CAPACITY.md uses its figures.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"
)

// PrintTables runs all measurements and prints their tables as markdown.
func PrintTables(w io.Writer) error {
	for _, table := range []func(io.Writer) error{measureTargets, measureConnections, measureExchanges, measureMembership, measureInstanceList, measureDocuments, measureRoutingTable} {
		if err := table(w); err != nil {
			return err
		}
	}
	return nil
}

// medianRuns is the number of runs that medianDuration takes the median of. Other work on the machine disturbs single
// runs.
const medianRuns = 9

// medianDuration returns the median duration of medianRuns calls of step.
func medianDuration(step func()) time.Duration {
	times := make([]time.Duration, medianRuns)
	for i := range times {
		start := time.Now()
		step()
		times[i] = time.Since(start)
	}
	slices.Sort(times)
	return times[medianRuns/2]
}

// retainedHeapBytes returns the bytes that the result of build keeps alive.
func retainedHeapBytes(build func() any) int64 {
	before := liveHeapBytes()
	result := build()
	after := liveHeapBytes()
	runtime.KeepAlive(result)
	return after - before
}

// liveHeapBytes returns the bytes of reachable objects. A second collection also empties the sync.Pools of the standard
// library.
func liveHeapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func printTableHeader(w io.Writer, title string, columns ...string) {
	fmt.Fprintf(w, "\n### %s\n\n", title)
	printRow(w, columns)
	separator := make([]string, len(columns))
	for i := range separator {
		separator[i] = "---"
	}
	printRow(w, separator)
}

func printRow[T any](w io.Writer, row []T) {
	fmt.Fprint(w, "|")
	for _, c := range row {
		fmt.Fprintf(w, " %v |", c)
	}
	fmt.Fprintln(w)
}

func cells(values ...any) []any { return values }

func formatMicros(d time.Duration) string {
	return fmt.Sprintf("%.1f us", float64(d.Nanoseconds())/1e3)
}
func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d.Nanoseconds())/1e6)
}
