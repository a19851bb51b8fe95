package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// This file drives the reducer through every history of one request that spec/request.pml explores: each attempt may
// end in each way at each moment, the caller may leave, the request may be quarantined, and time may advance to the next
// retry or past the deadline. testRuntime checks every step against its own records.

// historyDepth is the largest number of steps in a history: enough for three attempts to start and end, plus one step.
const historyDepth = 6

// historyStep is one possible next step of a history.
type historyStep func(rt *testRuntime, r *submittedRequest)

// attemptEnds are the ways in which an attempt in flight can end.
var attemptEnds = []func(rt *testRuntime, a *sentAttempt){
	func(rt *testRuntime, a *sentAttempt) { rt.commit(a, false, false) },
	func(rt *testRuntime, a *sentAttempt) { rt.commit(a, true, false) },
	func(rt *testRuntime, a *sentAttempt) { rt.endAttempt(a, shedding) },
	func(rt *testRuntime, a *sentAttempt) { rt.endAttempt(a, notSent) },
	func(rt *testRuntime, a *sentAttempt) { rt.endAttempt(a, broken) },
}

// historySteps returns the possible next steps in the current state.
func historySteps(rt *testRuntime, r *submittedRequest) []historyStep {
	steps := []historyStep{
		func(rt *testRuntime, _ *submittedRequest) { rt.advance(50 * time.Millisecond) }, // past the wait before a retry
		func(rt *testRuntime, r *submittedRequest) { rt.advance(r.deadline - rt.now + 2*decisionGrace) },
	}
	if r.decisions == 0 {
		steps = append(steps, func(rt *testRuntime, r *submittedRequest) { rt.step(CallerLeft{Request: r.id}) },
			func(rt *testRuntime, r *submittedRequest) { rt.step(RequestQuarantined{Request: r.id}) })
	}
	for i := range rt.inFlight {
		if a := rt.inFlight[i]; a.committed {
			steps = append(steps, func(rt *testRuntime, _ *submittedRequest) {
				rt.endAttempt(rt.inFlight[i], AttemptEnded{Outcome: OutcomeAnswered})
			}, func(rt *testRuntime, _ *submittedRequest) { rt.endAttempt(rt.inFlight[i], broken) })
			continue
		}
		for _, end := range attemptEnds {
			steps = append(steps, func(rt *testRuntime, _ *submittedRequest) { end(rt, rt.inFlight[i]) })
		}
	}
	return steps
}

// replayHistory replays a history from the start, in which each number is the index of a step in historySteps. It
// returns the number of possible next steps and whether the request is decided and all its attempts have ended.
func replayHistory(t *testing.T, class Class, history []int) (nextSteps int, done bool) {
	rt := newTestRuntime(t, 3, func(p *Policy) { p.MaxAttempts, p.HedgeFloor = 3, 5 })
	r := rt.submit(class, time.Second)
	for _, choice := range history {
		historySteps(rt, r)[choice](rt, r)
	}
	done = r.decisions == 1 && len(rt.inFlight) == 0
	if done {
		require.Empty(t, rt.s.requests, "history %v of class %v: the request was not released", history, class)
	}
	return len(historySteps(rt, r)), done
}

// TestEveryHistoryOfARequest guards against a history, however rare, in which a request that may run at most once runs
// twice, a refusal wrongly states that the request did not run, or a request has two decisions, has none or is never
// released.
func TestEveryHistoryOfARequest(t *testing.T) {
	for _, class := range []Class{ClassOnce, ClassLookup} {
		count := 0
		var explore func(history []int)
		explore = func(history []int) {
			count++
			nextSteps, done := replayHistory(t, class, history)
			if done || len(history) == historyDepth {
				return
			}
			for choice := range nextSteps {
				explore(append(history[:len(history):len(history)], choice))
			}
		}
		explore(nil)
		t.Logf("class %v: %d histories", class, count)
		require.Greater(t, count, 1000)
	}
}
