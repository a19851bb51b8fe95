package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const fastLatency, slowLatency = 5 * time.Millisecond, 100 * time.Millisecond

// firstTargetSlow is the latency in a service whose target t0 is 20 times slower than the others.
func firstTargetSlow(id TargetID) time.Duration {
	if id == targetID(0) {
		return slowLatency
	}
	return fastLatency
}

// state returns the state of the i-th target.
func (rt *testRuntime) state(i int) TargetStatus { return rt.s.View(rt.now).Targets[i].Status }

// ejectFirstTarget ejects t0 by failed attempts.
func (rt *testRuntime) ejectFirstTarget() {
	rt.Helper()
	for n := 0; rt.state(0) != TargetStatusEjected; n++ {
		if n > 1000 {
			rt.Fatalf("t0 is not ejected")
		}
		rt.submit(ClassOnce, time.Second)
		a := rt.inFlight[len(rt.inFlight)-1]
		if a.target != targetID(0) {
			rt.answer(a)
			rt.advance(10 * time.Millisecond)
			continue
		}
		rt.endAttempt(a, broken)
	}
}

// TestSlowTarget guards against a slow target that stays in rotation, at the few requests per target that one of 14
// instances sends. Without ejection t0 would get 60 of 900 requests.
func TestSlowTarget(t *testing.T) {
	for _, method := range []Selection{SelectLoad, SelectLoadLatency} {
		for class, most := range map[Class]int{ClassOnce: 5, ClassLookup: 9} {
			t.Run(string(method)+" "+class.String(), func(t *testing.T) {
				rt := newTestRuntime(t, 15, func(p *Policy) { p.Selection = method })
				rt.trainLatency()
				sends := rt.generateTraffic(3*time.Second, 3333*time.Microsecond, class, firstTargetSlow)
				require.LessOrEqual(t, sends[targetID(0)], most)
				require.Positive(t, sends[targetID(0)])
				for i := 1; i < 15; i++ {
					require.Greater(t, sends[targetID(i)], 30, targetID(i))
				}
			})
		}
	}
}

// TestOutstandingAttempt guards against sending more requests to a target that has not responded to the first.
func TestOutstandingAttempt(t *testing.T) {
	rt := newTestRuntime(t, 2)
	rt.trainLatency()
	rt.submit(ClassOnce, 10*time.Second)
	hung := rt.inFlight[0].target
	rt.advance(2 * suspectOutstandingRatio * fastLatency)
	for range 4 {
		rt.submit(ClassOnce, 10*time.Second)
		require.NotEqual(t, hung, rt.inFlight[len(rt.inFlight)-1].target)
	}
}

// TestPauseNotObservedAsLatency guards against counting time in which this process did not run as latency of the
// targets.
func TestPauseNotObservedAsLatency(t *testing.T) {
	rt := newTestRuntime(t, 3)
	rt.trainLatency()
	for range 3 {
		rt.submit(ClassOnce, 10*time.Second)
	}
	rt.now += 5 * time.Second
	rt.step(Resumed{Gap: 5 * time.Second})
	for len(rt.inFlight) > 0 {
		require.False(t, rt.s.isSuspect(rt.s.targets[rt.inFlight[0].target], rt.now))
		rt.answer(rt.inFlight[0])
	}
	require.Less(t, rt.s.typicalLatency(), 2*fastLatency)
	require.Zero(t, rt.s.ejectedCount)
}

// TestFastFailuresEject guards against a target that fails at once and therefore looks idle and fast.
func TestFastFailuresEject(t *testing.T) {
	rt := newTestRuntime(t, 15)
	rt.trainLatency()
	failures := 0
	for range 600 {
		rt.submit(ClassLookup, time.Second)
		rt.advance(3 * time.Millisecond)
		for len(rt.inFlight) > 0 {
			a := rt.inFlight[0]
			if a.target == targetID(0) {
				failures++
			}
			rt.commit(a, a.target == targetID(0), false)
			if a.request.delivered == a.id {
				rt.endAttempt(a, AttemptEnded{Outcome: OutcomeAnswered})
			}
		}
	}
	require.Equal(t, TargetStatusEjected, rt.state(0))
	require.LessOrEqual(t, failures, 4)
}

// TestTrials guards against full traffic to a target that is still slow, against non-idempotent trial requests and
// against a target that is never restored.
func TestTrials(t *testing.T) {
	rt := newTestRuntime(t, 6)
	rt.trainLatency()
	rt.ejectFirstTarget()
	sends := rt.generateTraffic(5*time.Second, 5*time.Millisecond, ClassOnce, firstTargetSlow)
	require.Zero(t, sends[targetID(0)], "non-idempotent requests are never trials")
	sends = rt.generateTraffic(10*time.Second, 5*time.Millisecond, ClassLookup, firstTargetSlow)
	require.Equal(t, TargetStatusEjected, rt.state(0))
	require.Positive(t, sends[targetID(0)])
	require.LessOrEqual(t, sends[targetID(0)], 5)
	sends = rt.generateTraffic(35*time.Second, 5*time.Millisecond, ClassLookup, func(TargetID) time.Duration { return fastLatency })
	require.Equal(t, TargetStatusActive, rt.state(0))
	require.Greater(t, sends[targetID(0)], 100)
}

// TestTrialBound guards against trial traffic that grows with the number of ejected targets, and against a target that
// is not restored after a good trial.
func TestTrialBound(t *testing.T) {
	rt := newTestRuntime(t, 15)
	rt.trainLatency()
	for range 300 {
		rt.submit(ClassOnce, time.Second)
		rt.endAttempt(rt.inFlight[len(rt.inFlight)-1], broken)
		rt.advance(time.Millisecond)
	}
	require.Equal(t, 5, rt.s.ejectedCount)
	rt.advance(firstEjectionTime)
	trials := 0
	for range requestsPerTrial {
		rt.submit(ClassLookup, time.Second)
		if a := rt.inFlight[len(rt.inFlight)-1]; rt.s.targets[a.target].ejection.trialInFlight {
			trials++
		}
	}
	require.Equal(t, 1, trials)
	rt.generateTraffic(2*time.Second, 5*time.Millisecond, ClassLookup, func(TargetID) time.Duration { return fastLatency })
	require.Zero(t, rt.s.ejectedCount)
}

// TestReturnWithoutTrial guards against a target that stays ejected because all requests are non-idempotent.
func TestReturnWithoutTrial(t *testing.T) {
	rt := newTestRuntime(t, 6)
	rt.trainLatency()
	rt.ejectFirstTarget()
	rt.generateTraffic(firstEjectionTime+maxTrialWait+time.Second, 5*time.Millisecond, ClassOnce, func(TargetID) time.Duration { return fastLatency })
	require.NotEqual(t, TargetStatusEjected, rt.state(0))
}

// TestEjectionCap guards against ejecting most targets because of a network fault, and against an ejected share that
// grows when the list shrinks.
func TestEjectionCap(t *testing.T) {
	rt := newTestRuntime(t, 9, func(p *Policy) { p.RetryFloor = 0 })
	rt.trainLatency()
	for range 300 {
		rt.submit(ClassOnce, time.Second)
		rt.endAttempt(rt.inFlight[len(rt.inFlight)-1], broken)
		rt.advance(time.Millisecond)
	}
	require.Equal(t, 3, rt.s.ejectedCount)
	rt.setTargets(4)
	require.LessOrEqual(t, rt.s.ejectedCount, 1)
}

// TestSlowStart guards against full load on a target that has just started, and against a slow start of the first
// targets, which have no others to take the load.
func TestSlowStart(t *testing.T) {
	rt := newTestRuntime(t, 4)
	require.Equal(t, TargetStatusActive, rt.state(0))
	rt.trainLatency()
	rt.setTargets(5)
	require.Equal(t, TargetStatusRamping, rt.state(4))
	allFast := func(TargetID) time.Duration { return fastLatency }
	early := rt.generateTraffic(time.Second, 2*time.Millisecond, ClassLookup, allFast)
	require.Less(t, early[targetID(4)], 50, "fair share is 100")
	rt.generateTraffic(slowStartDuration, 2*time.Millisecond, ClassLookup, allFast)
	require.Equal(t, TargetStatusActive, rt.state(4))
	late := rt.generateTraffic(time.Second, 2*time.Millisecond, ClassLookup, allFast)
	require.Greater(t, late[targetID(4)], 70)
}

// TestTrialRespectsRateLimit guards against a trial request to an ejected target beyond the rate that it states.
func TestTrialRespectsRateLimit(t *testing.T) {
	rt := newTestRuntime(t, 6)
	rt.trainLatency()
	rt.ejectFirstTarget()
	rt.advance(2 * firstEjectionTime)
	require.NotEmpty(t, rt.s.awaitingTrial)
	rt.step(ProbeEnded{Target: targetID(0), Statement: statedRate(0)})
	for range 2 * requestsPerTrial {
		rt.submit(ClassLookup, time.Second)
		rt.answer(rt.inFlight[0])
	}
	require.NotEmpty(t, rt.s.awaitingTrial)
}
