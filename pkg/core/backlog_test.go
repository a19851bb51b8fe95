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

// TestRetryAfterFollowsBacklog guards against a Retry-After that does not grow with the backlog, so that callers retry
// while the same requests still wait, and against one that makes all of them retry at the same moment.
func TestRetryAfterFollowsBacklog(t *testing.T) {
	s := newAskingService(4)
	now, rng := Instant(0), rand.New(rand.NewPCG(1, 2))
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
		s.rng.Seed(rng.Uint64(), 0)
		return s.retryAfter(now, newWaitingRequest(RequestID(waiting+1)), ReasonDeadline)
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
