package standin

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// OutcomeBroken is recorded when the caller got no complete response, so no outcome was reported to it.
const OutcomeBroken wire.Outcome = "broken"

// Record is the result of one request as its caller saw it.
type Record struct {
	ID    string
	Class core.Class
	Phase Phase
	// Endpoint is the index of the address in LoadConfig.Endpoints that the request was sent to.
	Endpoint int
	// Status is the HTTP status, or 0 if no complete response header arrived.
	Status int
	// Outcome is the outcome that the response reported, or OutcomeBroken.
	Outcome wire.Outcome
	// Reason is the reason given for a refusal.
	Reason string
	// ScheduledAt is the time at which the request was due, since the start of the run.
	ScheduledAt time.Duration
	// Latency is the time from the scheduled send to the end of the response body or to the error.
	Latency time.Duration
	// SendLag is how late the request was sent. A large lag means that the generator could not keep up with the
	// schedule.
	SendLag time.Duration
	// WrongResponse is set when the response body is not the one expected, such as that of another request.
	WrongResponse bool
	// Err is the error that kept the caller from getting a complete response, or nil.
	Err error
}

func (r *Record) finish(scheduled time.Time, outcome wire.Outcome, err error) {
	r.Latency = time.Since(scheduled)
	r.Outcome = outcome
	r.Err = err
}

// Served reports whether the caller got a complete response that is not a server error.
func (r *Record) Served() bool { return r.Outcome == wire.OutcomeAnswered && r.Status < 500 }

// Refused reports whether the response stated that the request was not executed.
func (r *Record) Refused() bool { return r.Outcome == wire.OutcomeNotRun }

// LoadResult holds the records of a run in the order of the schedule.
type LoadResult struct {
	Records []Record
	// WallTime is the duration of the run.
	WallTime time.Duration
	// PlannedDuration is the duration of the schedule. Responses may arrive later.
	PlannedDuration time.Duration
}

// moveInFlightToOnset moves requests that were in flight when the fault started from PhaseBefore to PhaseOnset, so that
// the fault does not affect the figures of PhaseBefore.
func (r *LoadResult) moveInFlightToOnset(stages []Stage) {
	onsetIndex := slices.IndexFunc(stages, func(s Stage) bool { return s.Phase == PhaseOnset })
	if onsetIndex < 0 {
		return
	}
	var onset time.Duration
	for _, s := range stages[:onsetIndex] {
		onset += s.Duration
	}
	for i := range r.Records {
		if rec := &r.Records[i]; rec.Phase == PhaseBefore && rec.ScheduledAt+rec.Latency > onset {
			rec.Phase = PhaseOnset
		}
	}
}

// Histogram limits: 1 us to 60 s at three significant digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// Histogram returns the distribution of value, in microseconds, over the records that match. Values outside the
// histogram limits are clamped.
func (r *LoadResult) Histogram(match func(*Record) bool, value func(*Record) time.Duration) *hdrhistogram.Histogram {
	h := hdrhistogram.New(minMicros, maxMicros, significantDigits)
	for i := range r.Records {
		if rec := &r.Records[i]; match(rec) {
			_ = h.RecordValue(min(max(value(rec).Microseconds(), minMicros), maxMicros))
		}
	}
	return h
}

// Latency returns the latency distribution of a class in a phase. Failed requests count with the time that they took,
// so that a request that hangs is not left out. Refusals are not included; see RefusalLatency.
func (r *LoadResult) Latency(class core.Class, phase Phase) *hdrhistogram.Histogram {
	match := func(rec *Record) bool { return rec.Class == class && rec.Phase == phase && !rec.Refused() }
	return r.Histogram(match, latencyOf)
}

// RefusalLatency returns the latency distribution of the refused requests since the onset of the fault.
func (r *LoadResult) RefusalLatency() *hdrhistogram.Histogram {
	return r.Histogram(func(rec *Record) bool { return duringFault(rec) && rec.Refused() }, latencyOf)
}

// SendLag returns the distribution of how late requests were sent.
func (r *LoadResult) SendLag() *hdrhistogram.Histogram {
	return r.Histogram(func(*Record) bool { return true }, func(rec *Record) time.Duration { return rec.SendLag })
}

func latencyOf(rec *Record) time.Duration { return rec.Latency }

// Count returns the number of records that match.
func (r *LoadResult) Count(match func(*Record) bool) int {
	n := 0
	for i := range r.Records {
		if match(&r.Records[i]) {
			n++
		}
	}
	return n
}

// Discrepancies lists the work IDs for which the callers' records contradict the targets' ledgers or the expected
// responses.
type Discrepancies struct {
	// DuplicateExecutions lists non-idempotent requests that were executed more than once.
	DuplicateExecutions []string
	// RefusedButExecuted lists requests that were executed although the response stated that they were not.
	RefusedButExecuted []string
	// AnsweredNotExecuted lists requests that were served although no target executed them.
	AnsweredNotExecuted []string
	// WrongResponses lists requests with Record.WrongResponse set.
	WrongResponses []string
}

// IsEmpty reports whether there is no discrepancy.
func (d *Discrepancies) IsEmpty() bool {
	return len(d.DuplicateExecutions)+len(d.RefusedButExecuted)+len(d.AnsweredNotExecuted)+len(d.WrongResponses) == 0
}

// CompareWithLedger compares the records with executions, the merged ledgers of all targets.
func (r *LoadResult) CompareWithLedger(executions Ledger) *Discrepancies {
	d := &Discrepancies{}
	for i := range r.Records {
		rec := &r.Records[i]
		executed := executions[rec.ID]
		if rec.Class == core.ClassOnce && executed > 1 {
			d.DuplicateExecutions = append(d.DuplicateExecutions, rec.ID)
		}
		if rec.Refused() && executed > 0 {
			d.RefusedButExecuted = append(d.RefusedButExecuted, rec.ID)
		}
		if rec.Served() && executed == 0 {
			d.AnsweredNotExecuted = append(d.AnsweredNotExecuted, rec.ID)
		}
		if rec.WrongResponse {
			d.WrongResponses = append(d.WrongResponses, rec.ID)
		}
	}
	return d
}
