// Package capacity measures how the state, the messages and the steps of an entry instance grow with the numbers of
// targets, services, documents and instances. docs/CAPACITY.md works with its figures.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"
)

// Run prints all tables as markdown.
func Run(w io.Writer) error {
	for _, table := range []func(io.Writer) error{targets, connections, exchanges, members, lists, documents, tables} {
		if err := table(w); err != nil {
			return err
		}
	}
	return nil
}

// repeats is the number of runs whose median counts as the time of a step. Other work on the machine disturbs single
// runs.
const repeats = 9

// median returns the median time of step.
func median(step func()) time.Duration {
	times := make([]time.Duration, repeats)
	for i := range times {
		start := time.Now()
		step()
		times[i] = time.Since(start)
	}
	slices.Sort(times)
	return times[repeats/2]
}

// heap returns the bytes that the result of build keeps alive.
func heap(build func() any) int64 {
	before := live()
	kept := build()
	after := live()
	runtime.KeepAlive(kept)
	return after - before
}

// live returns the bytes of reachable objects. Two collections also empty the pools of the standard library.
func live() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func head(w io.Writer, title string, columns ...string) {
	fmt.Fprintf(w, "\n### %s\n\n", title)
	row(w, columns)
	rule := make([]string, len(columns))
	for i := range rule {
		rule[i] = "---"
	}
	row(w, rule)
}

func row[T any](w io.Writer, cells []T) {
	fmt.Fprint(w, "|")
	for _, c := range cells {
		fmt.Fprintf(w, " %v |", c)
	}
	fmt.Fprintln(w)
}

func cells(values ...any) []any { return values }

func micros(d time.Duration) string { return fmt.Sprintf("%.1f us", float64(d.Nanoseconds())/1e3) }
func millis(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Nanoseconds())/1e6) }
