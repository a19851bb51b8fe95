package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWaitedBefore guards against taking callers for retrying because they wait a little less than others, and against
// missing those that do retry.
func TestWaitedBefore(t *testing.T) {
	rt := newTestRuntime(t, 2, func(p *Policy) { p.FirstAttemptShare = 0.8 })
	objective := func(timeout time.Duration) time.Duration {
		r := rt.s.newRequest(rt.now, RequestArrived{
			Request: 1, Rule: "look", CallerTimeout: timeout, Deadline: rt.now + timeout, Objective: rt.now + 300*time.Millisecond,
		})
		return r.objective - rt.now
	}
	require.Equal(t, 300*time.Millisecond, objective(900*time.Millisecond))
	require.Equal(t, 300*time.Millisecond, objective(time.Second))
	require.Equal(t, 300*time.Millisecond, objective(800*time.Millisecond))
	require.Equal(t, 200*time.Millisecond, objective(700*time.Millisecond))
	require.Equal(t, -200*time.Millisecond, objective(300*time.Millisecond))
	require.Equal(t, 300*time.Millisecond, objective(0), "not stated")
	rt.now += 2 * callerTimeoutWindow
	require.Equal(t, 300*time.Millisecond, objective(300*time.Millisecond), "timeouts from before the window are dropped")
}
