package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// This file drives the reducer through every history of one request that spec/request.pml explores: each attempt may end
// in each way at each moment, the caller may leave, and time may pass up to the next retry or beyond the deadline. The
// runtime of the tests checks every step against what it knows itself.

// historyDepth is the number of steps of a history. Three attempts can start and end in it, with a step to spare.
const historyDepth = 6

// historyStep is one thing that can happen next.
type historyStep func(rt *runtime, r *asked)

// attemptEnds are the ways in which an attempt ends.
var attemptEnds = []func(rt *runtime, a *sent){
	func(rt *runtime, a *sent) { rt.commit(a, false, false) },
	func(rt *runtime, a *sent) { rt.commit(a, true, false) },
	func(rt *runtime, a *sent) { rt.end(a, shedding) },
	func(rt *runtime, a *sent) { rt.end(a, notSent) },
	func(rt *runtime, a *sent) { rt.end(a, broken) },
}

// historySteps returns what can happen next.
func historySteps(rt *runtime, r *asked) []historyStep {
	steps := []historyStep{
		func(rt *runtime, _ *asked) { rt.advance(50 * time.Millisecond) }, // past the wait before a retry
		func(rt *runtime, r *asked) { rt.advance(r.deadline - rt.now + 2*decisionGrace) },
	}
	if r.decided == 0 {
		steps = append(steps, func(rt *runtime, r *asked) { rt.step(CallerLeft{Request: r.id}) })
	}
	for i := range rt.live {
		if a := rt.live[i]; a.committed {
			steps = append(steps, func(rt *runtime, _ *asked) {
				rt.end(rt.live[i], AttemptEnded{Outcome: OutcomeAnswered})
			}, func(rt *runtime, _ *asked) { rt.end(rt.live[i], broken) })
			continue
		}
		for _, end := range attemptEnds {
			steps = append(steps, func(rt *runtime, _ *asked) { end(rt, rt.live[i]) })
		}
	}
	return steps
}

// playHistory plays a history from the start, where each number picks the next step, and returns how many steps can follow
// and whether the request and its attempts are over.
func playHistory(t *testing.T, class Class, history []int) (next int, over bool) {
	rt := newTestRuntime(t, 3, func(p *Policy) { p.MaxAttempts, p.HedgeFloor = 3, 5 })
	r := rt.arrive(class, time.Second)
	for _, choice := range history {
		historySteps(rt, r)[choice](rt, r)
	}
	over = r.decided == 1 && len(rt.live) == 0
	if over {
		require.Empty(t, rt.s.requests, "%v of class %v: the request is kept", history, class)
	}
	return len(historySteps(rt, r)), over
}

// Guards against a history, however rare, in which a request that may run once runs twice, "not run" is untrue, a request
// has two decisions or none, or is kept for ever.
func TestEveryHistoryOfARequest(t *testing.T) {
	for _, class := range []Class{ClassOnce, ClassLookup} {
		count := 0
		var explore func(history []int)
		explore = func(history []int) {
			count++
			next, over := playHistory(t, class, history)
			if over || len(history) == historyDepth {
				return
			}
			for choice := range next {
				explore(append(history[:len(history):len(history)], choice))
			}
		}
		explore(nil)
		t.Logf("class %v: %d histories", class, count)
		require.Greater(t, count, 1000)
	}
}
