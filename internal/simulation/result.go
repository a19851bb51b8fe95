package simulation

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Result is what the callers of one run got.
type Result struct {
	calls    []*call
	attempts int
	// servedByTarget is the number of requests that each target has answered.
	servedByTarget []int
	// arrivalsByTarget holds the times at which requests reached each target.
	arrivalsByTarget [][]core.Instant
	requestTimes     []core.Instant // of the requests of callers, retries included
	repeatTimes      []core.Instant // at which an attempt after the first of its request reached a target
	mostWhileCold    int            // most requests that reached a cold target within coldWindow
	// arrivedDespiteOrder is the number of requests that were sent to a zone after all instances knew that it is evacuated.
	arrivedDespiteOrder int
}

// Run plays a pattern with the given options. The same seed gives the same result.
func Run(p *Pattern, o Options, seed uint64) *Result {
	f := newFleet(p, o, seed)
	f.runUntil(p.Duration.Std())
	r := &Result{calls: f.calls, attempts: f.attempts, requestTimes: f.requestTimes, repeatTimes: f.repeatTimes}
	for _, id := range f.targetIDs {
		r.servedByTarget = append(r.servedByTarget, f.targets[id].served)
		r.arrivalsByTarget = append(r.arrivalsByTarget, f.targets[id].arrivals)
		r.mostWhileCold = max(r.mostWhileCold, f.targets[id].mostWhileCold)
		r.arrivedDespiteOrder += f.targets[id].despiteOrder
	}
	return r
}

// Check returns the expectations of a pattern that a run does not meet. The baseline is the run with p.Baseline, or nil.
func Check(p *Pattern, r, baseline *Result) []string {
	unmet := append(r.checkCold(p), r.checkEvacuation(p)...)
	for _, e := range p.Expect {
		report := func(ok bool, format string, args ...any) {
			if !ok {
				unmet = append(unmet, fmt.Sprintf("%s, %s, %s to %s: ", p.Name, e.Class, e.From.Std(), e.To.Std())+fmt.Sprintf(format, args...))
			}
		}
		inTime, answered := r.share(e, (*call).inTime), r.share(e, (*call).answered)
		report(e.InTime == 0 || inTime > e.InTime, "%.3f in time, want above %.3f", inTime, e.InTime)
		report(e.Answered == 0 || answered > e.Answered, "%.3f answered, want above %.3f", answered, e.Answered)
		if e.AboveBaseline > 0 {
			before := baseline.share(e, (*call).inTime)
			report(inTime > before+e.AboveBaseline, "%.3f in time, want above the baseline's %.3f by %.3f", inTime, before, e.AboveBaseline)
		}
		if e.RefusedWithin > 0 {
			early := func(c *call) bool { return c.refusedAt == 0 || c.sent || c.refusedAt-c.arrived < e.RefusedWithin.Std() }
			share := r.share(e, early)
			report(share == 1, "%.3f refused within %s, want all", share, e.RefusedWithin.Std())
		}
		if e.AttemptsPerRequest > 0 {
			attempts := float64(r.attempts) / float64(len(r.calls))
			report(attempts <= e.AttemptsPerRequest, "%.2f attempts per request, want at most %.2f", attempts, e.AttemptsPerRequest)
		}
		if e.RepeatRatio > 0 {
			repeats, allowed := r.mostRepeats(e)
			report(float64(repeats) <= allowed, "%d attempts after the first of their request within %s, want at most %.0f", repeats, core.BudgetWindow, allowed)
		}
		for _, f := range p.Faults {
			if e.RateLimitFactor == 0 || f.Kind != FaultRateLimit {
				continue
			}
			most, allowed := r.mostArrivals(p, f, e), e.RateLimitFactor*f.Strength*rateLimitWindow.Seconds()+e.RateLimitSlack
			report(float64(most) <= allowed, "%d requests reached a target within %s, want at most %.0f", most, rateLimitWindow, allowed)
		}
	}
	return unmet
}

// mostRepeats returns the number of repeats in the window in which they exceed what an expectation allows by most, or
// come closest to it, and that bound. The requests are those of the window, of the one before it or of the one half a
// window before it, whichever has most.
func (r *Result) mostRepeats(e Expectation) (repeats int, allowed float64) {
	const window = core.BudgetWindow
	for i, from := range r.repeatTimes {
		if from < e.From.Std() || from >= e.To.Std() {
			continue
		}
		n := countBetween(r.repeatTimes[i:], from, from+window)
		requests := max(countBetween(r.requestTimes, from, from+window), countBetween(r.requestTimes, from-window, from),
			countBetween(r.requestTimes, from-window/2, from+window/2))
		bound := e.RepeatRatio*float64(requests) + e.RepeatSlack
		if allowed == 0 || float64(n)-bound > float64(repeats)-allowed {
			repeats, allowed = n, bound
		}
	}
	return repeats, allowed
}

// countBetween counts the times, which are in order, from one time to another, the latter excluded.
func countBetween(times []core.Instant, from, to core.Instant) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to)
	return end - first
}

// mostArrivals returns the largest number of requests that reached one of the targets of a fault within rateLimitWindow,
// in the time of an expectation.
func (r *Result) mostArrivals(p *Pattern, f Fault, e Expectation) (most int) {
	for _, arrivals := range r.arrivalsByTarget[:p.affectedTargets(f)] {
		first := 0
		for last, at := range arrivals {
			if at >= e.To.Std() {
				break
			}
			for arrivals[first] < max(at-rateLimitWindow, e.From.Std()) && first < last {
				first++
			}
			if at >= e.From.Std() {
				most = max(most, last-first+1)
			}
		}
	}
	return most
}

// share returns the share of the requests of an expectation for which accept holds.
func (r *Result) share(e Expectation, accept func(*call) bool) float64 {
	class, known := core.ParseClass(e.Class)
	return shareOf(r.calls, func(c *call) bool {
		return c.arrived >= e.From.Std() && c.arrived < e.To.Std() && (!known || c.load.class == class)
	}, accept)
}

func shareOf(calls []*call, among, accept func(*call) bool) float64 {
	all, good := 0, 0
	for _, c := range calls {
		if !among(c) {
			continue
		}
		all++
		if accept(c) {
			good++
		}
	}
	return float64(good) / float64(max(all, 1))
}

// WriteTable writes a markdown table with a row for each class and each stretch of time: the share of its requests that
// were answered in time, answered at all, refused, and the quantiles of the time to the answer.
func (r *Result) WriteTable(w io.Writer, stretch time.Duration) error {
	if _, err := fmt.Fprint(w, "| from | class | requests | in time | answered | refused | p50 ms | p99 ms |\n|---|---|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for from, end := time.Duration(0), r.lastArrival(); from <= end; from += stretch {
		for _, class := range []core.Class{core.ClassOnce, core.ClassLookup, core.ClassPatient} {
			calls := slices.DeleteFunc(slices.Clone(r.calls), func(c *call) bool {
				return c.load.class != class || c.arrived < from || c.arrived >= from+stretch
			})
			if len(calls) == 0 {
				continue
			}
			if err := writeRow(w, from, class, calls); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Result) lastArrival() (last time.Duration) {
	for _, c := range r.calls {
		last = max(last, c.arrived)
	}
	return last
}

func writeRow(w io.Writer, from time.Duration, class core.Class, calls []*call) error {
	all := func(*call) bool { return true }
	refused := func(c *call) bool { return !c.answered() && c.refusedAt > 0 }
	var times []time.Duration
	for _, c := range calls {
		if c.answered() {
			times = append(times, c.answeredAt-c.arrived)
		}
	}
	slices.Sort(times)
	_, err := fmt.Fprintf(w, "| %s | %s | %d | %.3f | %.3f | %.3f | %s | %s |\n", from, class, len(calls), shareOf(calls, all, (*call).inTime),
		shareOf(calls, all, (*call).answered), shareOf(calls, all, refused), quantileText(times, 0.5), quantileText(times, 0.99))
	return err
}

// quantileText returns a quantile of sorted times in milliseconds, or "-" without any.
func quantileText(sorted []time.Duration, quantile float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return fmt.Sprint(sorted[int(quantile*float64(len(sorted)-1))].Milliseconds())
}
