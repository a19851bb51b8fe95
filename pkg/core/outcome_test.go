package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestRuntime returns a test runtime with n targets. Its policy is the default one with health probes and the given
// changes.
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

// trainLatency makes 5 ms the typical latency of the service, with at least the minHedgeSamples responses that hedging
// requires.
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

// TestAttemptsUntilRefusal guards against refusals that wrongly state that the request did not run, and against another
// attempt of a once request that may have run.
func TestAttemptsUntilRefusal(t *testing.T) {
	for name, tc := range map[string]struct {
		class  Class
		ends   []AttemptEnded
		reason Reason
		notRun bool
	}{
		"once, unknown":               {ClassOnce, []AttemptEnded{broken}, ReasonMayHaveRun, false},
		"once, unknown after not run": {ClassOnce, []AttemptEnded{notSent, shedding, broken}, ReasonMayHaveRun, false},
		"once, none has run":          {ClassOnce, []AttemptEnded{notSent, shedding, draining, notSent}, ReasonAttemptsExhausted, true},
		"lookup, none has run":        {ClassLookup, []AttemptEnded{notSent, notSent, notSent, notSent}, ReasonAttemptsExhausted, true},
		"lookup, one may have run":    {ClassLookup, []AttemptEnded{notSent, broken, shedding, notSent}, ReasonAttemptsExhausted, false},
		"patient, nested give-up":     {ClassPatient, []AttemptEnded{nestedGiveUp}, ReasonNestedGiveUp, false},
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

// TestFailedResponse guards against 5xx responses that are neither delivered nor retried, and against retries that are
// not allowed: those of a non-idempotent request, beyond the budget or the maximum number of attempts, or after a
// response which states that an instance further down the call chain gave up (nested give-up).
func TestFailedResponse(t *testing.T) {
	noRetries := func(p *Policy) { p.RetryFloor, p.RetryRatio = 0, 0 }
	for name, tc := range map[string]struct {
		class     Class
		change    func(*Policy)
		gaveUp    bool
		delivered bool
	}{
		"lookup is retried": {ClassLookup, func(*Policy) {}, false, false},
		"once is delivered": {ClassOnce, func(*Policy) {}, false, true},
		"no budget":         {ClassLookup, noRetries, false, true},
		"last attempt":      {ClassLookup, func(p *Policy) { p.MaxAttempts = 1 }, false, true},
		"nested give-up":    {ClassLookup, func(*Policy) {}, true, true},
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

// TestDeadlineWithAttemptInFlight guards against two faults in refusals of a request whose attempt is in flight at the
// deadline: stating without proof that the request did not run, and not waiting for decisionGrace, in which the end of
// the attempt can prove that.
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

// TestCallerLeft guards against cancelling a non-idempotent attempt in flight, and against queued requests, retries and
// idempotent attempts that go on after the caller has left.
func TestCallerLeft(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.SlotsPerTarget = 1 })
	once := rt.submit(ClassOnce, time.Second)
	waiting := rt.submit(ClassOnce, time.Second)
	rt.step(CallerLeft{Request: once.id})
	require.Zero(t, once.decisions)
	rt.step(CallerLeft{Request: waiting.id})
	require.True(t, rt.refusal().NotRun)
	rt.endAttempt(rt.inFlight[0], notSent)
	require.Equal(t, ReasonCallerLeft, rt.refusal().Reason, "no retry after the caller has left")

	lookup := rt.submit(ClassLookup, time.Second)
	rt.step(CallerLeft{Request: lookup.id})
	require.True(t, rt.inFlight[0].cancelled)
	require.False(t, rt.refusal().NotRun)
}

// TestQuarantinedRequest guards against attempts for a request that crashes targets, against cancelling a non-idempotent
// attempt in flight, and against a refusal that wrongly says that the request did not run.
func TestQuarantinedRequest(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.SlotsPerTarget = 1 })
	once := rt.submit(ClassOnce, time.Second)
	waiting := rt.submit(ClassLookup, time.Second)
	rt.step(RequestQuarantined{Request: waiting.id})
	require.True(t, rt.refusal().NotRun)
	require.Equal(t, ReasonCrashesTargets, rt.refusal().Reason)
	rt.step(RequestQuarantined{Request: once.id})
	require.Zero(t, once.decisions)
	rt.endAttempt(rt.inFlight[0], notSent)
	require.Equal(t, ReasonCrashesTargets, rt.refusal().Reason)
	require.Equal(t, quarantineRetryAfter, rt.refusal().RetryAfter)

	lookup := rt.submit(ClassLookup, time.Second)
	rt.step(RequestQuarantined{Request: lookup.id})
	require.True(t, rt.inFlight[0].cancelled)
	require.False(t, rt.refusal().NotRun)

	arrival := RequestArrived{Request: 99, Class: ClassLookup, Deadline: rt.now + time.Second, Quarantined: true}
	effects := rt.s.Reduce(Input{Now: rt.now, Event: arrival}, nil)
	require.Len(t, effects, 1)
	require.Equal(t, Refuse, effects[0].Kind)
	require.True(t, effects[0].NotRun)
}

// TestHopLimit guards against requests that instances forward to each other in a loop.
func TestHopLimit(t *testing.T) {
	rt := newTestRuntime(t, 3)
	for hops, refused := range map[int]int{0: 0, maxHops: 0, maxHops + 1: 1} {
		require.Equal(t, refused, rt.submitAfterHops(hops, ClassLookup, time.Second).decisions, "%d hops", hops)
	}
	require.Len(t, rt.inFlight, 2)
}
