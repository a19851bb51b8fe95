package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopSendsNothingThatMayOutlastIt guards against attempts, hedges and relays of a stopping instance for requests that
// may not be answered before its end, and against those in flight that are refused with the waiting ones.
func TestStopSendsNothingThatMayOutlastIt(t *testing.T) {
	rt := newTestRuntime(t, 5)
	rt.step(FleetChanged{Instances: []string{"", "other"}})
	inFlight := rt.submit(ClassLookup, 10*time.Second)
	rt.step(StopRequested{LatestDeadline: rt.now + 5*time.Second})
	require.Zero(t, inFlight.decisions)
	rt.submit(ClassLookup, 6*time.Second)
	require.Equal(t, ReasonStopping, rt.refusal().Reason)
	require.Equal(t, StoppingRetryAfter, rt.refusal().RetryAfter)
	require.Zero(t, rt.submit(ClassLookup, 4*time.Second).decisions, "answered before the end")

	failConnects(rt, 0, 1, 2, 3, 4) // the instance is cut off; checkRelay fails if it relays inFlight
	require.Zero(t, inFlight.decisions)
	rt.endAttempt(rt.inFlight[0], notSent)
	require.Equal(t, ReasonStopping, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)
}

// mayOutlastStop reports whether a stopping instance may end before the deadline of r, so that it must not be sent.
func (rt *testRuntime) mayOutlastStop(r *submittedRequest) bool {
	return r.deadline > rt.latestDeadline
}
