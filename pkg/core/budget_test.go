package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestFleetUsesItsRetryBudget guards against retries that are denied while the budget of the fleet has room, and against
// more retries than the budget. With 150 instances the share of each is small: rounded down, a tenth of the budget would
// stay unused while all targets shed requests.
func TestFleetUsesItsRetryBudget(t *testing.T) {
	const instances, requestsEach = 150, 24
	p := DefaultPolicy()
	p.InstanceCount, p.RetryFloor, p.RetriesIncludeHedges = instances, 0, true
	p.RetryRatio, p.RetrySlack, p.HedgeRatio, p.HedgeSlack = 0.18, 207, 0.06, 69
	const limit = 0.18*instances*requestsEach + 207
	for name, hedge := range map[string]bool{"retries only": false, "hedges first": true} {
		t.Run(name, func(t *testing.T) {
			used, hedges := 0, 0
			for i := range instances {
				p.InstanceID = fmt.Sprintf("10.1.0.%d:8161", i)
				b := &budget{}
				for n := range 2 * requestsEach { // with fewer windows, the load may be a burst that ends now
					b.addRequest(BudgetWindow * Instant(2*n+1) / (2 * requestsEach))
				}
				for hedge && b.allowsHedge(2*BudgetWindow, &p, 1) {
					b.addHedge()
					hedges++
					used++
				}
				for b.takeRetry(2*BudgetWindow, &p) {
					used++
				}
			}
			require.InDelta(t, limit, used, 0.02*limit)
			require.Equal(t, hedge, hedges > 0)
		})
	}
}

// TestRetryBudgetAfterRestart guards against a fleet that exceeds its retry budget when all instances restart: their
// counts are lost, and each of them knows only a few of the others.
func TestRetryBudgetAfterRestart(t *testing.T) {
	const instances, requestsEach, requestsAfter = 150, 24, 12
	used := 0
	for i := range instances {
		p := DefaultPolicy()
		p.RetryFloor, p.RetriesIncludeHedges, p.RetryRatio, p.RetrySlack = 0, true, 0.18, 207
		p.InstanceID = fmt.Sprintf("10.1.0.%d:8161", i)
		for _, run := range []struct {
			start    Instant // of the requests, from the start of the process
			requests int
			fleet    int // instances known
		}{{time.Minute, requestsEach, instances}, {0, requestsAfter, 1}} {
			p.InstanceCount = run.fleet
			b := &budget{}
			for n := range run.requests {
				b.addRequest(run.start + time.Duration(n+1)*100*time.Millisecond)
			}
			for b.takeRetry(run.start+time.Duration(run.requests+1)*100*time.Millisecond, &p) {
				used++
			}
		}
	}
	const limit = 0.2*instances*(requestsEach+requestsAfter) + 230
	require.LessOrEqual(t, float64(used), limit)
}

// TestRetryBudgetOfRestartedInstances guards against a fleet that exceeds its retry budget when all instances restart
// right after they have used it: with steady load, a window that contains the restart has no more requests than any other.
func TestRetryBudgetOfRestartedInstances(t *testing.T) {
	const instances, requestsPerSecond, restartAt = 150, 3, 60 * time.Second
	use := func(p Policy, start, end Instant) (used int) { // from start to end since the start of the process
		b := &budget{}
		for at := start; at < end; at += time.Second / requestsPerSecond {
			b.addRequest(at)
		}
		for b.takeRetry(end, &p) {
			used++
		}
		return used
	}
	used := 0
	for i := range instances {
		p := DefaultPolicy()
		p.RetryFloor, p.RetriesIncludeHedges, p.RetryRatio, p.StartRetryRatio, p.RetrySlack = 0, true, 0.18, 0.02, 207
		p.InstanceID, p.InstanceCount = fmt.Sprintf("10.1.0.%d:8161", i), instances
		used += use(p, 0, restartAt) + use(p, 0, BudgetWindow-time.Second)
	}
	const limit = 0.2*instances*requestsPerSecond*10 + 230
	require.LessOrEqual(t, float64(used), limit)
}

// TestRetryBudgetHoldsInEachWindow guards against retries that the requests of another window allow. The requests of a
// window, of the one before it or of the one half a window before it limit the retries in it, for each load over time.
func TestRetryBudgetHoldsInEachWindow(t *testing.T) {
	setRapidDefaults(t)
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		p.RetryFloor, p.RetriesIncludeHedges, p.RetryRatio, p.StartRetryRatio = 0, true, 0.2, 0.02
		b := &budget{}
		var requests, retries []Instant
		now := Instant(0)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			perSecond := rapid.IntRange(0, 40).Draw(t, "requests")
			retrying := rapid.Bool().Draw(t, "retrying")
			for end := now + time.Duration(rapid.IntRange(1, 80).Draw(t, "length"))*100*time.Millisecond; now < end; now += budgetBucketWidth {
				for range perSecond / 10 {
					b.addRequest(now)
					requests = append(requests, now)
				}
				for retrying && b.takeRetry(now, &p) {
					retries = append(retries, now)
				}
			}
		}
		in := func(times []Instant, from Instant) (n int) {
			for _, at := range times {
				if at >= from && at < from+BudgetWindow {
					n++
				}
			}
			return n
		}
		for from := range now / budgetBucketWidth {
			from *= budgetBucketWidth
			most := max(in(requests, from), in(requests, from-BudgetWindow/2), in(requests, from-BudgetWindow))
			if n := in(retries, from); float64(n) > 0.2*float64(most)+1 { // the hash of the ID rounds up
				t.Fatalf("%d retries for %d requests in the window from %v", n, most, from)
			}
		}
	})
}

// TestWaitingRetriesCountWhenTheyAreSent guards against retries that count in the window in which they are planned, and
// reach targets together with those of a later one: a target can want no requests for seconds. The test runtime checks
// the budget whenever a retry is sent.
func TestWaitingRetriesCountWhenTheyAreSent(t *testing.T) {
	const retries = 3
	rt := newTestRuntime(t, retries, func(p *Policy) { p.RetryFloor, p.RetryRatio, p.StartRetryRatio = retries, 0, 0 })
	shed := func(retryAfter time.Duration) {
		for range retries {
			rt.submit(ClassLookup, 30*time.Second)
		}
		for range retries {
			rt.endAttempt(rt.inFlight[0], AttemptEnded{
				Outcome: OutcomeRefused, Reason: ReasonShed, Statement: Statement{Responded: true, RetryAfter: retryAfter},
			})
		}
	}
	answerFor := func(d time.Duration) {
		for end := rt.now + d; rt.now < end; rt.advance(10 * time.Millisecond) {
			for len(rt.inFlight) > 0 {
				rt.answer(rt.inFlight[0])
			}
		}
	}
	shed(8 * time.Second)
	answerFor(BudgetWindow + time.Second)
	require.Len(t, rt.retries, retries)
	shed(0)
	require.Equal(t, ReasonRetryBudget, rt.refusal().Reason)
	answerFor(time.Second)
	require.Len(t, rt.retries, retries, "all of them were sent in this window")
}

// TestUnsentRetryLeavesTheBudget guards against retries that count although their requests ended before they were sent.
func TestUnsentRetryLeavesTheBudget(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.RetryFloor, p.RetryRatio, p.StartRetryRatio = 1, 0, 0 })
	for range 3 {
		r := rt.submit(ClassLookup, 30*time.Second)
		rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonShed})
		require.Zero(t, r.decisions, "its retry is planned")
		rt.step(CallerLeft{Request: r.id})
		rt.advance(time.Second)
	}
	require.Empty(t, rt.retries)
}

// checkBudgets compares the retries and hedges just decided with the requests in the exact window.
func (rt *testRuntime) checkBudgets() {
	p := rt.s.policy
	if n := len(rt.retries); n > 0 && rt.retries[n-1] == rt.now {
		if got := countInWindow(rt.retries, rt.now); float64(got) > float64(p.RetryFloor)+p.RetryRatio*rt.requestsInWindow() {
			rt.Fatalf("%d retries for %v requests in the window exceed the retry budget", got, rt.requestsInWindow())
		}
	}
	if n := len(rt.hedges); n > 0 && rt.hedges[n-1] == rt.now {
		if got := countInWindow(rt.hedges, rt.now); float64(got) > float64(p.HedgeFloor)+p.HedgeRatio*rt.requestsInWindow() {
			rt.Fatalf("%d hedges for %v requests in the window exceed the hedge budget", got, rt.requestsInWindow())
		}
	}
}

func (rt *testRuntime) requestsInWindow() float64 { return float64(countInWindow(rt.arrivals, rt.now)) }

func countInWindow(times []Instant, now Instant) int {
	n := 0
	for n < len(times) && now-times[len(times)-1-n] < BudgetWindow {
		n++
	}
	return n
}
