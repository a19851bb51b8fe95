package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestRuntime returns a runtime with n targets and a policy that is easy to count with.
func newTestRuntime(t *testing.T, n int, change ...func(*Policy)) *testRuntime {
	t.Helper()
	p := DefaultPolicy()
	p.ProbeShare = 0.005
	for _, f := range change {
		f(&p)
	}
	rt := newEmptyTestRuntime(t, p)
	rt.setTargets(n)
	return rt
}

// trainLatency makes 5 ms the typical latency of the service, with enough answers to hedge.
func (rt *testRuntime) trainLatency() {
	rt.Helper()
	rt.generateTraffic(400*time.Millisecond, 5*time.Millisecond, ClassLookup, func(TargetID) time.Duration { return 5 * time.Millisecond })
	for len(rt.inFlight) > 0 {
		rt.answer(rt.inFlight[0])
	}
}

var (
	notSent      = AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent}
	shedding     = AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonShed}
	draining     = AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonDraining}
	broken       = AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, Failed: true}
	nestedGiveUp = AttemptEnded{Outcome: OutcomeUnknown, Reason: ReasonFailed, GaveUp: true}
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
		"once, proofs only":            {ClassOnce, []AttemptEnded{notSent, shedding, draining, notSent}, ReasonAttemptsExhausted, true},
		"lookup, proofs only":          {ClassLookup, []AttemptEnded{notSent, notSent, notSent, notSent}, ReasonAttemptsExhausted, true},
		"lookup, one without proof":    {ClassLookup, []AttemptEnded{notSent, broken, shedding, notSent}, ReasonAttemptsExhausted, false},
		"patient, inner instance gave": {ClassPatient, []AttemptEnded{nestedGiveUp}, ReasonNestedGiveUp, false},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 15)
			rt.submit(tc.class, time.Second)
			for _, end := range tc.ends {
				require.Len(t, rt.inFlight, 1)
				rt.endAttempt(rt.inFlight[0], end)
				if len(rt.inFlight) == 0 && rt.requests[0].decisions == 0 {
					rt.advance(retryBackoffMax)
				}
			}
			require.Equal(t, 1, rt.requests[0].decisions)
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
			r := rt.submit(tc.class, time.Second)
			first := rt.inFlight[0]
			rt.commit(first, true, tc.gaveUp)
			require.Equal(t, tc.delivered, r.delivered == first.id)
			rt.advance(retryBackoffMax)
			require.Equal(t, tc.delivered, r.attempts == 1)
		})
	}
}

// TestDeadlineWithAttemptInFlight guards against not-run without proof, and against a lost proof that comes with the
// end of the time.
func TestDeadlineWithAttemptInFlight(t *testing.T) {
	rt := newTestRuntime(t, 3)
	r := rt.submit(ClassOnce, 50*time.Millisecond)
	rt.advance(50*time.Millisecond + decisionGrace)
	require.Equal(t, 1, r.decisions)
	require.False(t, rt.refusal().NotRun)
	rt.commit(rt.inFlight[0], false, false) // too late to be delivered

	r = rt.submit(ClassOnce, 50*time.Millisecond)
	rt.advance(50 * time.Millisecond)
	require.Zero(t, r.decisions)
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonExpired})
	require.Equal(t, ReasonDeadline, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)
}

// TestCallerLeft guards against cancelling non-idempotent work that has started, and against working for nobody.
func TestCallerLeft(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.SlotsPerTarget = 1 })
	once := rt.submit(ClassOnce, time.Second)
	waiting := rt.submit(ClassOnce, time.Second)
	rt.step(CallerLeft{Request: once.id})
	require.Zero(t, once.decisions)
	rt.step(CallerLeft{Request: waiting.id})
	require.True(t, rt.refusal().NotRun)
	rt.endAttempt(rt.inFlight[0], notSent)
	require.Equal(t, ReasonCallerLeft, rt.refusal().Reason, "no second attempt when nobody waits")

	lookup := rt.submit(ClassLookup, time.Second)
	rt.step(CallerLeft{Request: lookup.id})
	require.True(t, rt.inFlight[0].cancelled)
	require.False(t, rt.refusal().NotRun)
}

// TestHopLimit guards against calls that go round in a loop.
func TestHopLimit(t *testing.T) {
	rt := newTestRuntime(t, 3)
	for hops, refused := range map[int]int{0: 0, maxHops: 0, maxHops + 1: 1} {
		require.Equal(t, refused, rt.submitAfterHops(hops, ClassLookup, time.Second).decisions, "%d hops", hops)
	}
	require.Len(t, rt.inFlight, 2)
}
