package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failConnects reports probes of targets to which no connection could be opened, and returns the reachability reported.
func failConnects(rt *testRuntime, targets ...int) (reports []bool) {
	for _, i := range targets {
		rt.advance(30 * time.Millisecond)
		for _, e := range rt.step(ProbeEnded{Target: targetID(i), Unreachable: true}) {
			if e.Kind == ReportReachability {
				reports = append(reports, e.Unreachable)
			}
		}
	}
	return reports
}

// TestUnreachableTargets guards against an instance that takes single targets that are down, or overload, for a cut from
// all targets, and against one that does not notice a cut or its end.
func TestUnreachableTargets(t *testing.T) {
	rt := newTestRuntime(t, 5)
	require.Empty(t, failConnects(rt, 0, 1, 0, 1, 0, 1, 0, 1), "two targets")
	rt.step(ProbeEnded{Target: targetID(3), OK: true})
	require.Empty(t, failConnects(rt, 0, 1, 2), "too few failures since the response")
	rt.advance(unreachableTime)
	require.Empty(t, failConnects(rt, 0), "too few failures")
	require.Equal(t, []bool{true}, failConnects(rt, 1, 2, 3))
	rt.step(ProbeEnded{Target: targetID(3), Statement: Statement{Responded: true}})
	require.Equal(t, ReportReachability, rt.lastEffects[0].Kind)
	require.False(t, rt.lastEffects[0].Unreachable)
	for range 20 {
		rt.step(ProbeEnded{Target: targetID(1)}) // a health check that is not answered
	}
	require.False(t, rt.s.reachability.unreachable)
}

// cutOff returns a runtime of an instance with another one beside it, which has just found that it reaches no target.
func cutOff(t *testing.T, change ...func(*Policy)) *testRuntime {
	rt := newTestRuntime(t, 5, change...)
	rt.step(FleetChanged{Instances: []string{"", "other"}})
	require.Equal(t, []bool{true}, failConnects(rt, 0, 1, 2, 3, 4))
	return rt
}

var declined = AttemptEnded{Outcome: OutcomeRefused, Reason: ReasonUnreachable}

// TestRequestIsRelayedWhileCutOff guards against requests that wait for targets which cannot be reached, and against one
// that is relayed to another instance although it may have run, came from one, or has nobody to go to.
func TestRequestIsRelayedWhileCutOff(t *testing.T) {
	rt := cutOff(t)
	r := rt.submit(ClassOnce, time.Second)
	require.True(t, rt.inFlight[0].relay)
	rt.endAttempt(rt.inFlight[0], declined)
	require.Equal(t, 2, r.relays, "a further instance")
	rt.endAttempt(rt.inFlight[0], broken)
	require.Equal(t, ReasonMayHaveRun, rt.refusal().Reason)

	r = rt.submit(ClassLookup, time.Second)
	rt.commit(rt.inFlight[0], false, false)
	require.Equal(t, 1, r.decisions, "delivered")
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeAnswered})

	rt.arrive(RequestArrived{Class: ClassLookup, Deadline: rt.now + time.Second, Relayed: true})
	require.Equal(t, ReasonUnreachable, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)

	r = rt.submit(ClassLookup, time.Second)
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNoInstance})
	require.Equal(t, 1, r.relays, "no instance is left")
	require.False(t, rt.inFlight[0].relay)
}

// TestExhaustedRelaysAreCounted guards against a request that has run out of relays and cannot be told from one that waits
// for targets.
func TestExhaustedRelaysAreCounted(t *testing.T) {
	rt := cutOff(t)
	r := rt.submit(ClassLookup, time.Second)
	for n := range maxRelays {
		require.Equal(t, n+1, r.relays)
		exhausted := 0
		for _, e := range rt.endAttempt(rt.inFlight[0], declined) {
			if e.Kind == CountDenied && e.Reason == ReasonRelaysExhausted {
				exhausted++
			}
		}
		require.Equal(t, n+1 == maxRelays, exhausted == 1)
	}
}

// TestWaitingRequestsAreRelayed guards against requests that wait for targets when the instance is cut off, with its own
// callers or from another instance, and against one whose attempts did not find a connection.
func TestWaitingRequestsAreRelayed(t *testing.T) {
	rt := newTestRuntime(t, 3, func(p *Policy) { p.SlotsPerTarget, p.MaxAttempts = 1, 2 })
	rt.step(FleetChanged{Instances: []string{"", "other"}})
	for range 3 {
		rt.submit(ClassLookup, 10*time.Second)
	}
	waiting := rt.submit(ClassLookup, 10*time.Second)
	relayed := rt.arrive(RequestArrived{Class: ClassLookup, Deadline: rt.now + 10*time.Second, Relayed: true})
	require.Zero(t, waiting.relays+waiting.attempts)
	require.Equal(t, []bool{true}, failConnects(rt, 0, 1, 2, 0, 1))
	require.Equal(t, 1, waiting.relays)
	require.Equal(t, 1, relayed.decisions)

	rt = newTestRuntime(t, 3, func(p *Policy) { p.MaxAttempts = 2 })
	rt.step(FleetChanged{Instances: []string{"", "other"}})
	r := rt.submit(ClassOnce, time.Second)
	for range 2 {
		rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent, Unreachable: true})
		rt.advance(retryBackoffMax)
	}
	require.Equal(t, 1, r.relays)
	require.Zero(t, r.decisions)

	rt = newTestRuntime(t, 3, func(p *Policy) { p.MaxAttempts = 1 })
	rt.step(FleetChanged{Instances: []string{"", "other"}})
	rt.arrive(RequestArrived{Class: ClassOnce, Deadline: rt.now + time.Second, Relayed: true})
	rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeNotSent, Reason: ReasonNotSent, Unreachable: true})
	require.Equal(t, ReasonAttemptsExhausted, rt.refusal().Reason, "from another instance")
}

// TestReturnAfterCut guards against an instance that relays requests although it can connect to targets again, or that
// does not try to.
func TestReturnAfterCut(t *testing.T) {
	rt := cutOff(t)
	checks := 0
	for range 20 {
		for _, e := range rt.lastEffects {
			if e.Kind == CheckConnection {
				checks++
			}
		}
		rt.advance(reachabilityCheckInterval / 4)
	}
	require.GreaterOrEqual(t, checks, 4)
	rt.step(ConnectionChecked{Target: targetID(1), Unreachable: true})
	require.True(t, rt.s.reachability.unreachable)
	rt.step(ConnectionChecked{Target: targetID(1), OK: true})
	rt.submit(ClassLookup, time.Second)
	require.False(t, rt.inFlight[0].relay)
}

// TestCutIsNoticedWithLittleTraffic guards against an instance that needs several requests to notice a cut, because open
// connections fell silent and nothing else is tried; and against an idempotent request that waits on one of them.
func TestCutIsNoticedWithLittleTraffic(t *testing.T) {
	rt := newTestRuntime(t, 5)
	rt.step(FleetChanged{Instances: []string{"", "other"}})
	lookup, once := rt.submit(ClassLookup, 10*time.Second), rt.submit(ClassOnce, 10*time.Second)
	rt.advance(ProbeTimeout)
	for i := range suspectFailures {
		rt.step(ProbeEnded{Target: targetID(i)})
	}
	for start := rt.now; rt.now < start+time.Second && !rt.s.reachability.unreachable; rt.advance(10 * time.Millisecond) {
		for _, e := range rt.lastEffects {
			if e.Kind == CheckConnection {
				rt.step(ConnectionChecked{Target: e.Target, Unreachable: true})
			}
		}
	}
	require.True(t, rt.s.reachability.unreachable)
	require.Equal(t, 1, lookup.relays)
	require.Equal(t, 1, rt.s.budget.total.retries, "the first attempt may have reached its target")
	require.Zero(t, once.relays+once.decisions)
}
