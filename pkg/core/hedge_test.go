package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// hedgeDelay returns the time after which a lookup is hedged.
func (rt *testRuntime) hedgeDelay() time.Duration {
	return rt.s.latenciesByKind[requestKind{class: ClassLookup}].hedge.value
}

// TestHedge guards against a lookup that is not hedged when its target is slow, a hedge to the same target, and
// delivery of the slow target's response after that of the hedge.
func TestHedge(t *testing.T) {
	rt := newTestRuntime(t, 2, func(p *Policy) { p.Selection, p.HedgeFloor = SelectRandom, 20 })
	rt.trainLatency()
	for range 8 {
		r := rt.submit(ClassLookup, time.Second)
		rt.advance(2 * rt.hedgeDelay())
		require.Len(t, rt.inFlight, 2)
		slow, hedge := rt.inFlight[0], rt.inFlight[1]
		require.NotEqual(t, slow.target, hedge.target)
		rt.answer(hedge)
		require.Equal(t, hedge.id, r.delivered)
		require.True(t, slow.cancelled)
		rt.commit(slow, false, false)
		require.Equal(t, hedge.id, r.delivered)
	}

	// No hedge may be sent at the deadline of the request, although its attempt stays in flight for decisionGrace.
	rt.submit(ClassLookup, rt.hedgeDelay())
	rt.advance(time.Second)
	require.Len(t, rt.inFlight, 1)
}

// TestNoHedge guards against hedging requests that must run at most once, and against hedges that add load while
// requests are queued.
func TestNoHedge(t *testing.T) {
	rt := newTestRuntime(t, 15)
	rt.trainLatency()
	rt.submit(ClassOnce, time.Second)
	rt.advance(500 * time.Millisecond)
	require.Len(t, rt.inFlight, 1)
	rt.answer(rt.inFlight[0])

	n := rt.fillTargets(ClassLookup)
	rt.advance(500 * time.Millisecond)
	require.Len(t, rt.inFlight, n)
}

// TestEarlyHedgesLeaveBudget guards against hedges of slightly late attempts that spend the whole budget, so that none
// is left for an attempt that hangs.
func TestEarlyHedgesLeaveBudget(t *testing.T) {
	rt := newTestRuntime(t, 15, func(p *Policy) { p.HedgeRatio, p.HedgeFloor = 0, 5 })
	rt.trainLatency()
	delay := rt.hedgeDelay()
	for range 10 {
		rt.submit(ClassLookup, time.Second)
	}
	rt.advance(delay + time.Millisecond)
	require.Len(t, rt.hedges, 4)
	rt.advance(2 * delay)
	require.Len(t, rt.hedges, 5)
}

// TestRetryBudget guards against retries that multiply the load of a failing service.
func TestRetryBudget(t *testing.T) {
	rt := newTestRuntime(t, 15, func(p *Policy) { p.RetryFloor = 3 })
	firstWindowRetries := 0
	for i := range 200 {
		if i == 100 {
			firstWindowRetries = len(rt.retries)
			rt.advance(BudgetWindow + time.Second)
		}
		r := rt.submit(ClassLookup, time.Second)
		for r.decisions == 0 {
			if len(rt.inFlight) == 0 {
				rt.advance(time.Millisecond)
				continue
			}
			rt.endAttempt(rt.inFlight[0], broken)
		}
	}
	require.Equal(t, ReasonRetryBudget, rt.refusal().Reason)
	require.InDelta(t, 3+10, firstWindowRetries, 1)
	require.InDelta(t, 3+10, len(rt.retries)-firstWindowRetries, 1, "the first window does not count in the second")
}

// TestRetryBackoff guards against retries without jitter, which would arrive in lockstep, and against retries to the
// target that failed.
func TestRetryBackoff(t *testing.T) {
	rt := newTestRuntime(t, 15)
	waits := make(map[time.Duration]bool)
	for range 10 {
		r := rt.submit(ClassLookup, time.Second)
		first := rt.inFlight[0]
		rt.endAttempt(first, broken)
		require.Empty(t, rt.inFlight)
		began := rt.now
		for len(rt.inFlight) == 0 {
			rt.advance(10 * time.Microsecond)
		}
		waits[rt.now-began] = true
		require.Equal(t, r, rt.inFlight[0].request)
		require.NotEqual(t, first.target, rt.inFlight[0].target)
		rt.answer(rt.inFlight[0])
	}
	require.Greater(t, len(waits), 5)
}
