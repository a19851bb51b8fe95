package core

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// statedRate returns the statement of a response that limits the request rate.
func statedRate(perSecond float64) Statement {
	return Statement{Responded: true, RequestRate: perSecond, HasRequestRate: true}
}

// TestRequestRateIsReported guards against an incident in which nobody can tell which limits an instance knew: one that
// is not recorded, that ends without a response of the target, or that outlives a restart.
func TestRequestRateIsReported(t *testing.T) {
	rate := func(perSecond float64) *float64 { return &perSecond }
	for name, tc := range map[string]struct {
		next Event
		want *float64
	}{
		"stays without a response":         {ProbeEnded{Target: "t0"}, rate(2.5)},
		"stays with the same statement":    {ProbeEnded{Target: "t0", OK: true, Statement: statedRate(2.5)}, rate(2.5)},
		"changes":                          {ProbeEnded{Target: "t0", OK: true, Statement: statedRate(0)}, rate(0)},
		"ends with a response without one": {ProbeEnded{Target: "t0", OK: true, Statement: Statement{Responded: true}}, nil},
		"ends with a restart":              {TargetsChanged{Targets: []Target{{ID: "t0", Start: "next"}}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			rt := newTestRuntime(t, 1)
			effects := rt.step(ProbeEnded{Target: "t0", OK: true, Statement: statedRate(2.5)})
			require.Contains(t, effects, Effect{Kind: ReportRateLimit, Target: "t0", Rate: 2.5})
			rt.advance(time.Millisecond)
			rt.step(tc.next)
			require.Equal(t, tc.want, rt.s.View(rt.now).Targets[0].RequestRate)
		})
	}
}

// TestRateSharesAddUp guards against instances that together exceed the rate of a target or save up a burst of it, and
// against a rate that no instance may use.
func TestRateSharesAddUp(t *testing.T) {
	for _, size := range []int{1, 2, 13, 92, 300} {
		for _, perSecond := range []float64{0, 0.3, 3.5, 40, 1000} {
			var fleet []string
			for i := range size {
				fleet = append(fleet, fmt.Sprint("instance-", i))
			}
			sum, senders := 0.0, 0
			for _, id := range fleet {
				p := DefaultPolicy()
				p.InstanceID = id
				s := NewService(p)
				s.setFleet(0, fleet)
				if share := s.rateShare("t0", perSecond); share > 0 {
					sum += share
					senders++
				}
			}
			require.InDelta(t, perSecond, sum, 1e-6, "%d instances", size)
			require.LessOrEqual(t, float64(senders), math.Ceil(perSecond)+additionalSenders)
		}
	}
}

// TestRateLimitHolds guards against a selection method that does not respect the rate that a target states, and against
// a limit that stays in force after the target has withdrawn it. The oracle checks each attempt.
func TestRateLimitHolds(t *testing.T) {
	for _, method := range Selections {
		t.Run(string(method), func(t *testing.T) {
			rt := newTestRuntime(t, 3, func(p *Policy) { p.Selection, p.InstanceCount = method, 1 })
			load := LoadReport{Slots: 4}
			state := func(st Statement) {
				for i := range 3 {
					rt.step(ProbeEnded{Target: targetID(i), OK: true, Load: load, Statement: st})
				}
			}
			state(statedRate(2))
			total := 0
			for range 200 {
				rt.submit(ClassLookup, 100*time.Millisecond)
				rt.advance(20 * time.Millisecond)
				state(statedRate(2))
				for len(rt.inFlight) > 0 {
					total++
					rt.endAttempt(rt.inFlight[0], AttemptEnded{Outcome: OutcomeAnswered, Statement: statedRate(2)})
				}
			}
			require.Greater(t, total, 3*2*3, "the rates of 3 targets are used for 4 s")

			state(Statement{Responded: true})
			for range 9 {
				rt.submit(ClassLookup, 100*time.Millisecond)
			}
			require.Len(t, rt.inFlight, 9, "more than the 3 requests that the limits would admit")
		})
	}
}

// TestRateLimitRefusesAtOnce guards against requests that wait in vain for a target without room, against a Retry-After
// that is not the time until there is room, and against refusals that do not name the cause.
func TestRateLimitRefusesAtOnce(t *testing.T) {
	for _, method := range []Selection{SelectLoad, SelectAsk} {
		for name, tc := range map[string]struct {
			perSecond float64
			retryMin  time.Duration
			retryMax  time.Duration
		}{
			"one in five seconds": {0.2, 3 * time.Second, 8 * time.Second},
			"none":                {0, rateLimitCheckInterval, rateLimitCheckInterval},
		} {
			t.Run(string(method)+"/"+name, func(t *testing.T) {
				rt := newTestRuntime(t, 1, func(p *Policy) { p.Selection, p.InstanceCount = method, 1 })
				rt.step(ProbeEnded{Target: "t0", OK: true, Load: LoadReport{Slots: 4}, Statement: statedRate(tc.perSecond)})
				for len(rt.inFlight) == 0 && rt.now < 6*time.Second && tc.perSecond > 0 { // uses the token
					rt.submit(ClassLookup, 100*time.Millisecond)
					rt.advance(10 * time.Millisecond)
					rt.step(ProbeEnded{Target: "t0", OK: true, Load: LoadReport{Slots: 4}, Statement: statedRate(tc.perSecond)})
				}
				rt.submit(ClassLookup, 2*time.Second)
				refusal := rt.refusal()
				require.Equal(t, ReasonRateLimit, refusal.Reason)
				require.True(t, refusal.NotRun)
				require.GreaterOrEqual(t, refusal.RetryAfter, tc.retryMin)
				require.LessOrEqual(t, refusal.RetryAfter, tc.retryMax)
			})
		}
	}
}

// TestEndOfRateLimitIsNoticed guards against an instance that never sends to a target again because it sends no request
// to it on which it could see that the limit has ended.
func TestEndOfRateLimitIsNoticed(t *testing.T) {
	rt := newTestRuntime(t, 1, func(p *Policy) { p.Selection, p.InstanceCount = SelectAsk, 1 })
	rt.step(ProbeEnded{Target: "t0", OK: true, Load: LoadReport{Slots: 4}, Statement: statedRate(0)})
	rt.advance(rateLimitCheckInterval)
	rt.submit(ClassLookup, time.Second)
	require.True(t, rt.probing["t0"], "a request that is refused leads to a probe")
	rt.step(ProbeEnded{Target: "t0", OK: true, Load: LoadReport{Slots: 4}, Statement: Statement{Responded: true}})
	rt.submit(ClassLookup, time.Second)
	require.NotEmpty(t, rt.inFlight)

	rt = newTestRuntime(t, 1, func(p *Policy) { p.InstanceCount = 1 })
	rt.step(ProbeEnded{Target: "t0", OK: true, Statement: statedRate(0)})
	rt.advance(rateLimitTTL)
	rt.submit(ClassLookup, time.Second)
	rt.submit(ClassLookup, time.Second)
	require.Len(t, rt.inFlight, 1, "one request finds out whether the limit still holds")
}

// TestTargetThatWantsNoRequestsGetsNone guards against requests and probes to a target during the time for which it has
// asked for none, against a later response that shortens that time, and against a target that stays unused afterwards.
func TestTargetThatWantsNoRequestsGetsNone(t *testing.T) {
	for _, method := range Selections {
		t.Run(string(method), func(t *testing.T) {
			rt := newTestRuntime(t, 1, func(p *Policy) { p.Selection, p.InstanceCount, p.ProbeShare = method, 1, 0.1 })
			load := LoadReport{Slots: 4}
			rejected := func(wait time.Duration) Statement { return Statement{Responded: true, RetryAfter: wait} }
			rt.step(ProbeEnded{Target: "t0", OK: true, Load: load, Statement: rejected(3 * time.Second)})
			rt.step(ProbeEnded{Target: "t0", OK: true, Load: load, Statement: rejected(time.Second)})
			for rt.now < 2900*time.Millisecond {
				rt.submit(ClassLookup, 50*time.Millisecond)
				require.Equal(t, ReasonRateLimit, rt.refusal().Reason)
				rt.advance(20 * time.Millisecond)
			}
			require.Empty(t, rt.inFlight)
			require.Empty(t, rt.probing)
			rt.submit(ClassLookup, 10*time.Millisecond)
			require.InDelta(t, 100*time.Millisecond, rt.refusal().RetryAfter, float64(60*time.Millisecond))

			rt.advance(200 * time.Millisecond)
			rt.submit(ClassLookup, time.Second)
			require.True(t, len(rt.inFlight)+len(rt.probing) > 0)
		})
	}
}

// TestRetryAfterWithoutTargets guards against a Retry-After that grows because there are no targets whose statements
// could be waited for.
func TestRetryAfterWithoutTargets(t *testing.T) {
	rt := newTestRuntime(t, 0, func(p *Policy) { p.Selection = SelectAsk })
	rt.submit(ClassLookup, time.Second)
	require.Equal(t, ReasonNoTarget, rt.refusal().Reason)
	require.Equal(t, retryAfterMin, rt.refusal().RetryAfter)
}
