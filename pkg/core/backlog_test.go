package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newAskingService returns a service with SelectAsk and n targets.
func newAskingService(n int) *Service {
	policy := DefaultPolicy()
	policy.Selection, policy.InstanceCount = SelectAsk, 1
	s := NewService(policy)
	var list []Target
	for i := range n {
		list = append(list, Target{ID: TargetID(fmt.Sprint("t", i))})
	}
	s.Reduce(Input{Event: TargetsChanged{Targets: list}}, nil)
	return s
}

// TestUsableSlots guards against slots of small targets that stay free while requests wait, and against filling larger
// targets, which lowers their throughput.
func TestUsableSlots(t *testing.T) {
	s := newAskingService(1)
	for slots, usable := range map[int]int{1: 1, 2: 2, 3: 3, 4: 3, 5: 4, 8: 6, 20: 16} {
		target := s.listedTargets[0]
		target.slots = slots
		require.Equal(t, usable, s.usableSlots(target), "%d slots", slots)
	}
}

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

// TestRetryAfterFollowsBacklog guards against a Retry-After that does not grow with the backlog, so that callers retry
// while the same requests still wait, and against one that makes all of them retry at the same moment.
func TestRetryAfterFollowsBacklog(t *testing.T) {
	s := newAskingService(4)
	now := Instant(0)
	retryAfter := func(waiting int) time.Duration {
		s.backlog.waiting = s.backlog.waiting[:0]
		newWaitingRequest := func(id RequestID) *request {
			r := s.newRequest(now, RequestArrived{Request: id, Class: ClassLookup, Deadline: now + 9*time.Second, Objective: now + 6*time.Second})
			r.phase = phaseQueued
			now += time.Millisecond
			return r
		}
		for n := range waiting {
			s.backlog.add(newWaitingRequest(RequestID(n + 1)))
		}
		s.rng.Seed(rand.Uint64(), 0)
		return s.retryAfter(now, newWaitingRequest(RequestID(waiting+1)))
	}
	run := &s.latencyStatsOf(0, requestKind{class: ClassLookup}).run
	for range minRunSamples {
		run.observe(time.Second)
	}
	wait := run.value // expected wait for each request ahead, as none is in flight
	require.Equal(t, retryAfterMin, retryAfter(0))
	seen := make(map[time.Duration]bool)
	for range 10 {
		after := retryAfter(4)
		require.GreaterOrEqual(t, after, 4*wait)
		require.LessOrEqual(t, after, 6*wait)
		seen[after] = true
	}
	require.Greater(t, len(seen), 5, "Retry-After is spread")
}
