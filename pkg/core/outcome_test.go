package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestRuntime returns a runtime with n targets and a policy that is easy to count with.
func newTestRuntime(t *testing.T, n int, change ...func(*Policy)) *runtime {
	t.Helper()
	p := DefaultPolicy()
	p.ProbeShare = 0.005
	for _, f := range change {
		f(&p)
	}
	rt := newRuntime(t, p)
	rt.list(n)
	return rt
}

// settleLatency makes 5 ms the typical latency of the service, with enough answers to hedge.
func (rt *runtime) settleLatency() {
	rt.Helper()
	rt.play(400*time.Millisecond, 5*time.Millisecond, ClassLookup, func(TargetID) time.Duration { return 5 * time.Millisecond })
	for len(rt.live) > 0 {
		rt.answer(rt.live[0])
	}
}

var (
	notSent  = AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent}
	shedding = AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonShed}
	draining = AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonDraining}
	broken   = AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, Failed: true}
	nested   = AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, GaveUp: true}
)

// TestAttemptsUntilRefusal guards against a wrong not-run and against a repeated once request.
func TestAttemptsUntilRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		class  Class
		ends   []AttemptEnded
		reason Reason
		notRun bool
	}{
		"once, unknown":                {ClassOnce, []AttemptEnded{broken}, ReasonMayHaveRun, false},
		"once, unknown after proof":    {ClassOnce, []AttemptEnded{notSent, shedding, broken}, ReasonMayHaveRun, false},
		"once, proofs only":            {ClassOnce, []AttemptEnded{notSent, shedding, draining, notSent}, ReasonAttempts, true},
		"lookup, proofs only":          {ClassLookup, []AttemptEnded{notSent, notSent, notSent, notSent}, ReasonAttempts, true},
		"lookup, one without proof":    {ClassLookup, []AttemptEnded{notSent, broken, shedding, notSent}, ReasonAttempts, false},
		"patient, inner instance gave": {ClassPatient, []AttemptEnded{nested}, ReasonNested, false},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 15)
			rt.arrive(tc.class, time.Second)
			for _, end := range tc.ends {
				require.Len(t, rt.live, 1)
				rt.end(rt.live[0], end)
				if len(rt.live) == 0 && rt.requests[0].decided == 0 {
					rt.advance(retryMax)
				}
			}
			require.Equal(t, 1, rt.requests[0].decided)
			require.Equal(t, tc.reason, rt.refusal().Reason)
			require.Equal(t, tc.notRun, rt.refusal().NotRun)
		})
	}
}

// TestFailedAnswer guards against lost 5xx answers, and against retries that class, budget or an inner instance forbid.
func TestFailedAnswer(t *testing.T) {
	noRetries := func(p *Policy) { p.RetryFloor, p.RetryRatio = 0, 0 }
	for name, tc := range map[string]struct {
		class     Class
		change    func(*Policy)
		gaveUp    bool
		delivered bool
	}{
		"lookup is retried":             {ClassLookup, func(*Policy) {}, false, false},
		"once is delivered":             {ClassOnce, func(*Policy) {}, false, true},
		"no budget":                     {ClassLookup, noRetries, false, true},
		"last attempt":                  {ClassLookup, func(p *Policy) { p.MaxAttempts = 1 }, false, true},
		"inner instance gave up before": {ClassLookup, func(*Policy) {}, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 15, tc.change)
			r := rt.arrive(tc.class, time.Second)
			first := rt.live[0]
			rt.commit(first, true, tc.gaveUp)
			require.Equal(t, tc.delivered, r.delivered == first.id)
			rt.advance(retryMax)
			require.Equal(t, tc.delivered, r.attempts == 1)
		})
	}
}

// TestDeadlineWithAttemptInFlight guards against not-run without proof, and against a lost proof that comes with the
// end of the time.
func TestDeadlineWithAttemptInFlight(t *testing.T) {
	rt := newTestRuntime(t, 3)
	r := rt.arrive(ClassOnce, 50*time.Millisecond)
	rt.advance(50*time.Millisecond + decisionGrace)
	require.Equal(t, 1, r.decided)
	require.False(t, rt.refusal().NotRun)
	rt.commit(rt.live[0], false, false) // too late to be delivered

	r = rt.arrive(ClassOnce, 50*time.Millisecond)
	rt.advance(50 * time.Millisecond)
	require.Zero(t, r.decided)
	rt.end(rt.live[0], AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonExpired})
	require.Equal(t, ReasonDeadline, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)
}

// TestCallerLeft guards against cancelling non-idempotent work that has started, and against working for nobody.
func TestCallerLeft(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.SlotsPerTarget = 1 })
	once := rt.arrive(ClassOnce, time.Second)
	waiting := rt.arrive(ClassOnce, time.Second)
	rt.step(CallerLeft{Request: once.id})
	require.Zero(t, once.decided)
	rt.step(CallerLeft{Request: waiting.id})
	require.True(t, rt.refusal().NotRun)
	rt.end(rt.live[0], notSent)
	require.Equal(t, ReasonCallerLeft, rt.refusal().Reason, "no second attempt when nobody waits")

	lookup := rt.arrive(ClassLookup, time.Second)
	rt.step(CallerLeft{Request: lookup.id})
	require.True(t, rt.live[0].cancelled)
	require.False(t, rt.refusal().NotRun)
}

// TestHopLimit guards against calls that go round in a loop.
func TestHopLimit(t *testing.T) {
	rt := newTestRuntime(t, 3)
	for hops, refused := range map[int]int{0: 0, maxHops: 0, maxHops + 1: 1} {
		require.Equal(t, refused, rt.arriveAfter(hops, ClassLookup, time.Second).decided, "%d hops", hops)
	}
	require.Len(t, rt.live, 2)
}
