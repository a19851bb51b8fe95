package standin

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// OutcomeBroken is recorded when the caller got no whole response, so it was told nothing.
const OutcomeBroken wire.Outcome = "broken"

// Record is what one caller saw.
type Record struct {
	ID    string
	Class core.Class
	Phase Phase
	// Entry is the index of the entry that the request was sent to.
	Entry int
	// Status is the HTTP status, or 0.
	Status int
	// Outcome is what the caller was told.
	Outcome wire.Outcome
	// Reason is the reason given for a refusal.
	Reason string
	// At is the scheduled time of the request since the start of the run.
	At time.Duration
	// Latency is the time from the scheduled send to the end of the body.
	Latency time.Duration
	// Lag is how late the request was sent; a large lag means that the generator could not keep to the schedule.
	Lag time.Duration
	// Wrong is set when the answer belongs to another request.
	Wrong bool
	// Err is the error that broke the exchange.
	Err error
}

func (r *Record) end(due time.Time, outcome wire.Outcome, err error) {
	r.Latency = time.Since(due)
	r.Outcome = outcome
	r.Err = err
}

// Served reports whether the caller got a whole answer that is no server error.
func (r *Record) Served() bool { return r.Outcome == wire.OutcomeAnswered && r.Status < 500 }

// Refused reports whether the caller was told that its request did not run.
func (r *Record) Refused() bool { return r.Outcome == wire.OutcomeNotRun }

// LoadResult holds the records of a run in the order of the schedule.
type LoadResult struct {
	Records []Record
	// Wall is the length of the run.
	Wall time.Duration
	// Planned is the length of the schedule. Answers may come later.
	Planned time.Duration
}

// assignOnset moves requests that were in flight when the fault began to its first phase, so that the figures from
// before the fault hold nothing of it.
func (r *LoadResult) assignOnset(stages []Stage) {
	at := slices.IndexFunc(stages, func(s Stage) bool { return s.Phase == PhaseOnset })
	if at < 0 {
		return
	}
	var onset time.Duration
	for _, s := range stages[:at] {
		onset += s.Length
	}
	for i := range r.Records {
		if rec := &r.Records[i]; rec.Phase == PhaseBefore && rec.At+rec.Latency > onset {
			rec.Phase = PhaseOnset
		}
	}
}

// Histogram limits: 1 us to 60 s at three significant digits.
const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

// Histogram returns the distribution of value, in microseconds, over the records that pass keep.
func (r *LoadResult) Histogram(keep func(*Record) bool, value func(*Record) time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowestMicros, highestMicros, digits)
	for i := range r.Records {
		if rec := &r.Records[i]; keep(rec) {
			_ = h.RecordValue(min(max(value(rec).Microseconds(), lowestMicros), highestMicros))
		}
	}
	return h
}

// Latency returns the distribution of latency of a class in a phase. Failed requests count with the time that they
// took, so a request that hangs is not left out; refusals are a distribution of their own.
func (r *LoadResult) Latency(class core.Class, phase Phase) *hdrhistogram.Histogram {
	keep := func(rec *Record) bool { return rec.Class == class && rec.Phase == phase && !rec.Refused() }
	return r.Histogram(keep, latencyOf)
}

// RefusalLatency returns the distribution of the time to a refusal from the onset on.
func (r *LoadResult) RefusalLatency() *hdrhistogram.Histogram {
	return r.Histogram(func(rec *Record) bool { return inFault(rec) && rec.Refused() }, latencyOf)
}

// SendLag returns the distribution of how late requests were sent.
func (r *LoadResult) SendLag() *hdrhistogram.Histogram {
	return r.Histogram(func(*Record) bool { return true }, func(rec *Record) time.Duration { return rec.Lag })
}

func latencyOf(rec *Record) time.Duration { return rec.Latency }

// Count returns the number of records that pass keep.
func (r *LoadResult) Count(keep func(*Record) bool) int {
	n := 0
	for i := range r.Records {
		if keep(&r.Records[i]) {
			n++
		}
	}
	return n
}

// Comparison holds the work ids on which what callers were told and what targets ran contradict each other.
type Comparison struct {
	// RunTwice lists non-idempotent requests that ran more than once.
	RunTwice []string
	// NotRunButRan lists requests whose caller was told that they did not run, though they did.
	NotRunButRan []string
	// AnsweredNeverRan lists requests that were answered though no target ran them.
	AnsweredNeverRan []string
	// WrongAnswer lists requests that got the answer to another request.
	WrongAnswer []string
}

// Clean reports whether nothing contradicts.
func (c *Comparison) Clean() bool {
	return len(c.RunTwice)+len(c.NotRunButRan)+len(c.AnsweredNeverRan)+len(c.WrongAnswer) == 0
}

// Compare compares the records with the merged ledgers of all targets.
func (r *LoadResult) Compare(runs Ledger) *Comparison {
	c := &Comparison{}
	for i := range r.Records {
		rec := &r.Records[i]
		ran := runs[rec.ID]
		if rec.Class == core.ClassOnce && ran > 1 {
			c.RunTwice = append(c.RunTwice, rec.ID)
		}
		if rec.Refused() && ran > 0 {
			c.NotRunButRan = append(c.NotRunButRan, rec.ID)
		}
		if rec.Served() && ran == 0 {
			c.AnsweredNeverRan = append(c.AnsweredNeverRan, rec.ID)
		}
		if rec.Wrong {
			c.WrongAnswer = append(c.WrongAnswer, rec.ID)
		}
	}
	return c
}
