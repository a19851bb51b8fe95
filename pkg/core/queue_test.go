package core

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fillTargets submits requests until one is queued, and returns the number of attempts in flight.
func (rt *testRuntime) fillTargets(class Class) int {
	rt.Helper()
	for n := 0; rt.s.queue.length() == 0; n++ {
		if n > 1000 {
			rt.Fatalf("no request was queued")
		}
		rt.submit(class, 10*time.Second)
	}
	return len(rt.inFlight)
}

// TestQueueOrder guards against patient requests that delay urgent ones (once and lookup) beyond the patient share, and
// against urgent requests that starve patient ones.
func TestQueueOrder(t *testing.T) {
	rt := newTestRuntime(t, 1)
	rt.trainLatency()
	rt.fillTargets(ClassPatient)
	for range 20 {
		rt.submit(ClassPatient, 10*time.Second)
		rt.submit(ClassLookup, 10*time.Second)
		rt.advance(time.Microsecond)
		rt.submit(ClassOnce, 10*time.Second)
		rt.advance(time.Microsecond)
	}
	var order []Class
	for len(order) < 20 {
		last := rt.s.lastAttemptID
		rt.answer(rt.inFlight[0])
		for _, a := range rt.inFlight {
			if a.id > last {
				order = append(order, a.request.class)
			}
		}
	}
	patient := 0
	for i, class := range order {
		if class == ClassPatient {
			patient++
			continue
		}
		require.Equal(t, (i-patient)%2 == 0, class == ClassLookup, "urgent requests leave in order of arrival")
	}
	require.Equal(t, len(order)/patientShareDivisor, patient)
}

// TestQueueRefusals guards against unbounded queues, against queueing requests that cannot meet their deadline and
// against a Retry-After that does not reflect the queue.
func TestQueueRefusals(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.QueueLimit = 50 })
	rt.trainLatency()
	rt.fillTargets(ClassLookup)
	began := rt.now
	require.Equal(t, 1, rt.submit(ClassLookup, 6*time.Millisecond).decisions)
	require.Equal(t, ReasonInfeasible, rt.refusal().Reason)
	shortQueueRetryAfter := rt.refusal().RetryAfter
	for rt.s.queue.classes[ClassLookup].length < 50 {
		require.Zero(t, rt.submit(ClassLookup, 10*time.Second).decisions)
	}
	rt.submit(ClassLookup, 10*time.Second)
	require.Equal(t, ReasonQueueFull, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)
	require.Equal(t, began, rt.now)
	require.Zero(t, rt.submit(ClassOnce, 10*time.Second).decisions, "the queues of other classes are not full")

	longQueue := newTestRuntime(t, 1, func(p *Policy) { p.QueueLimit = 500 })
	longQueue.trainLatency()
	longQueue.fillTargets(ClassLookup)
	for range 400 {
		longQueue.submit(ClassLookup, 10*time.Second)
	}
	longQueue.submit(ClassLookup, time.Millisecond)
	require.Greater(t, longQueue.refusal().RetryAfter, 2*shortQueueRetryAfter)
}

// TestRequestExpiresInQueue guards against requests that are sent or stay queued after their deadline, also after a
// pause in which no timer fired.
func TestRequestExpiresInQueue(t *testing.T) {
	rt := newTestRuntime(t, 1)
	rt.fillTargets(ClassLookup)
	r := rt.submit(ClassLookup, time.Second)
	rt.advance(time.Second)
	require.Equal(t, 1, r.decisions)
	require.Equal(t, ReasonDeadline, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)

	r = rt.submit(ClassLookup, time.Second)
	rt.now += 2 * time.Second
	rt.step(Resumed{Gap: 2 * time.Second})
	require.Equal(t, 1, r.decisions)
	require.True(t, rt.refusal().NotRun)
}

// TestDispatchAfterServiceLimitReached guards against requests that stay queued until their deadline while a target is
// idle. Here t1 gains capacity while the service limit is reached, and the next attempt ends on t0, which still has no
// capacity after that.
func TestDispatchAfterServiceLimitReached(t *testing.T) {
	rt := newTestRuntime(t, 2)
	setLimits := func(limit float64) {
		rt.s.setLimit(rt.s.listedTargets[0], limit)
		rt.s.setLimit(rt.s.listedTargets[1], limit)
	}
	setLimits(1.9)
	rt.fillTargets(ClassLookup)
	require.True(t, rt.s.allFull)
	setLimits(0.9)
	for _, a := range slices.Clone(rt.inFlight) {
		if a.target == targetID(1) {
			rt.answer(a)
		}
	}
	require.Equal(t, 1, rt.s.queue.length())
	rt.endAttempt(rt.inFlight[0], shedding)
	require.Zero(t, rt.s.queue.length())
}

// TestRetryQueuesFirst guards against late refusals of retries: a request that had an attempt goes to the front of the
// queue.
func TestRetryQueuesFirst(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.SlotsPerTarget = 2 })
	rt.fillTargets(ClassLookup)
	rt.submit(ClassLookup, 10*time.Second)
	r := rt.inFlight[0].request
	rt.endAttempt(rt.inFlight[0], notSent)
	rt.advance(retryBackoffMax)
	require.Equal(t, r.id, rt.s.queue.head().id)
}

// TestStop guards against three faults of the graceful stop: it leaves queued requests unsent, it queues new requests,
// or it refuses new requests although targets have capacity.
func TestStop(t *testing.T) {
	rt := newTestRuntime(t, 1)
	n := rt.fillTargets(ClassLookup)
	rt.step(StopRequested{LatestDeadline: never})
	rt.submit(ClassLookup, time.Second)
	require.Equal(t, ReasonStopping, rt.refusal().Reason)
	rt.answer(rt.inFlight[0])
	require.Len(t, rt.inFlight, n, "the request queued before the stop was sent")
	rt.answer(rt.inFlight[0])
	require.Zero(t, rt.submit(ClassLookup, time.Second).decisions, "requests that need not be queued are still served")
}

// TestNoTarget guards against queueing requests of a service without targets.
func TestNoTarget(t *testing.T) {
	rt := newTestRuntime(t, 0)
	rt.submit(ClassOnce, time.Second)
	require.Equal(t, ReasonNoTarget, rt.refusal().Reason)
	require.True(t, rt.refusal().NotRun)
}

// TestShed guards against attempts to a target during its shed backoff, against a backoff that does not grow and a
// limit that does not fall with repeated sheds, and against counting a fast refusal as a low latency.
func TestShed(t *testing.T) {
	rt := newTestRuntime(t, 2)
	rt.trainLatency()
	target := rt.s.listedTargets[0]
	limit := target.limit
	var last time.Duration
	for range 6 {
		for {
			rt.submit(ClassLookup, time.Second)
			if a := rt.inFlight[len(rt.inFlight)-1]; a.target == target.id {
				rt.advance(time.Microsecond)
				latency := rt.s.expectedLatency(target, rt.now)
				rt.endAttempt(a, shedding)
				require.Equal(t, latency, rt.s.expectedLatency(target, rt.now))
				break
			}
			rt.answer(rt.inFlight[len(rt.inFlight)-1])
		}
		backoff := target.backoffUntil - rt.now
		require.Less(t, last/2, backoff)
		for rt.now < target.backoffUntil {
			rt.submit(ClassLookup, time.Second)
			require.NotEqual(t, target.id, rt.inFlight[len(rt.inFlight)-1].target)
			rt.answer(rt.inFlight[len(rt.inFlight)-1])
			rt.advance(time.Millisecond)
		}
		for len(rt.inFlight) > 0 {
			rt.answer(rt.inFlight[0])
		}
		last = backoff
	}
	require.Greater(t, last, 100*time.Millisecond)
	require.Less(t, target.limit, limit/2)
}

// TestConcurrentShedsCountOnce guards against one overload that lowers the limit once per attempt in flight.
func TestConcurrentShedsCountOnce(t *testing.T) {
	rt := newTestRuntime(t, 1)
	for range 3 {
		rt.submit(ClassLookup, time.Second)
	}
	rt.advance(time.Millisecond)
	target := rt.s.listedTargets[0]
	limit := target.limit
	for range 3 {
		rt.endAttempt(rt.inFlight[0], shedding)
	}
	require.InDelta(t, limit*limitDecreaseFactor, target.limit, 0.001)
	require.Equal(t, 1, target.consecutiveSheds)
}

// TestLimitGrows guards against a limit that stays low after an overload, and one that grows while the target reports
// queued requests.
func TestLimitGrows(t *testing.T) {
	rt := newTestRuntime(t, 1)
	target := rt.s.listedTargets[0]
	grow := func(load LoadReport) float64 {
		before := target.limit
		for range 3 {
			rt.submit(ClassLookup, time.Second)
		}
		a := rt.inFlight[0]
		rt.commit(a, false, false)
		rt.endAttempt(a, AttemptEnded{Outcome: OutcomeAnswered, Load: load})
		rt.answer(rt.inFlight[0])
		rt.answer(rt.inFlight[0])
		return target.limit - before
	}
	require.Positive(t, grow(LoadReport{InUse: 2, Slots: 4}))
	require.Zero(t, grow(LoadReport{InUse: 6, Slots: 4}))
}

// TestQueuedRequestIsSentWhenRateLimitEnds guards against a request that stays queued although a target that was ejected
// has capacity again and no longer limits its rate. The history is the shortest that TestRandomEvents found; testRuntime
// checks each step.
func TestQueuedRequestIsSentWhenRateLimitEnds(t *testing.T) {
	rt := newTestRuntime(t, 3, func(p *Policy) {
		p.Selection, p.SlotsPerTarget, p.QueueLimit, p.RetryFloor = SelectTwoChoices, 1, 1, 0
	})
	probe := func(ok bool, st Statement) {
		rt.step(ProbeEnded{Target: "t1", OK: ok, Statement: st, Latency: time.Millisecond})
	}
	probe(false, Statement{})
	probe(true, statedRate(0))
	for range 3 {
		rt.submit(ClassOnce, 300*time.Millisecond)
	}
	require.Equal(t, 1, rt.s.queue.length())
	probe(false, Statement{})
	probe(true, Statement{Responded: true})
	require.Zero(t, rt.s.queue.length())
}
