package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSimulationChangingSlowdown guards against requests to targets that are slow at the moment. Load reports on
// earlier responses are too old to show which targets are slow, so SelectAsk, which probes targets before it sends, has
// to answer more requests in time than SelectLoad.
func TestSimulationChangingSlowdown(t *testing.T) {
	inTime := make(map[Selection]float64)
	for _, selection := range []Selection{SelectLoad, SelectAsk} {
		sim := newSimulation(selection, 14, 16)
		sim.addLoad(0.5*simCapacity(16), 10*time.Second, ClassLookup, 0)
		sim.runUntil(15 * time.Second)
		inTime[selection] = sim.shareOf(2*time.Second, 10*time.Second, ClassLookup, (*simCall).inTime)
	}
	t.Logf("share of requests in time by selection: %v", inTime)
	require.Greater(t, inTime[SelectAsk], 0.95)
	require.Greater(t, inTime[SelectAsk], inTime[SelectLoad]+0.1)
}

// TestSimulationBurst guards against late requests that make further requests late. A burst of 1.5 times the capacity
// must not affect the time after it, and most of the capacity during it has to go to answers in time.
func TestSimulationBurst(t *testing.T) {
	sim := newSimulation(SelectAsk, 14, 16)
	base := 0.6 * simCapacity(16)
	sim.addLoad(base, 30*time.Second, ClassLookup, 0)
	sim.runUntil(8 * time.Second)
	sim.addLoad(0.9*simCapacity(16), 5*time.Second, ClassLookup, 0) // 1.5 times the capacity in total
	sim.runUntil(40 * time.Second)
	during := sim.shareOf(8*time.Second, 13*time.Second, ClassLookup, (*simCall).inTime)
	after := sim.shareOf(15*time.Second, 30*time.Second, ClassLookup, (*simCall).inTime)
	t.Logf("in time during the burst %.2f, after it %.2f", during, after)
	require.Greater(t, during, 0.5, "two thirds of the requests fit")
	require.Greater(t, after, 0.95, "the burst ended two seconds earlier")
}

// TestUsableSlots guards against slots of small targets that stay free while requests wait, and against filling larger
// targets, which lowers their throughput.
func TestUsableSlots(t *testing.T) {
	s := newSimulation(SelectAsk, 1, 1).instances[0].service
	for slots, usable := range map[int]int{1: 1, 2: 2, 3: 3, 4: 3, 5: 4, 8: 6, 20: 16} {
		target := s.listedTargets[0]
		target.slots = slots
		require.Equal(t, usable, s.usableSlots(target), "%d slots", slots)
	}
}

// TestSimulationAtCapacity guards against targets with three slots of which one always stays free: at the load that
// fills the other two, requests would wait although slots are idle.
func TestSimulationAtCapacity(t *testing.T) {
	sim := newSimulation(SelectAsk, 14, 16)
	sim.addLoad(simCapacity(16), 30*time.Second, ClassLookup, 0)
	sim.runUntil(40 * time.Second)
	inTime := sim.shareOf(5*time.Second, 30*time.Second, ClassLookup, (*simCall).inTime)
	t.Logf("share in time: %.3f", inTime)
	require.Greater(t, inTime, 0.96)
}

// TestSimulationPriorities guards against urgent requests that wait behind less urgent ones under overload.
func TestSimulationPriorities(t *testing.T) {
	sim := newSimulation(SelectAsk, 14, 16)
	sim.addLoad(0.5*simCapacity(16), 10*time.Second, ClassOnce, 1)
	sim.addLoad(0.9*simCapacity(16), 10*time.Second, ClassLookup, 2)
	sim.runUntil(20 * time.Second)
	urgentInTime := sim.shareOf(2*time.Second, 10*time.Second, ClassOnce, (*simCall).inTime)
	otherInTime := sim.shareOf(2*time.Second, 10*time.Second, ClassLookup, (*simCall).inTime)
	t.Logf("in time: urgent %.2f, others %.2f", urgentInTime, otherInTime)
	require.Greater(t, urgentInTime, 0.85)
	require.Greater(t, otherInTime, 0.2, "less urgent requests are still served")
}

// TestSimulationRefusesEarly guards against requests that are held until their deadline and then refused, although it
// was clear long before that they could not be served, and against retries that add load to overloaded targets.
func TestSimulationRefusesEarly(t *testing.T) {
	sim := newSimulation(SelectAsk, 14, 16)
	sim.addLoad(2*simCapacity(16), 10*time.Second, ClassLookup, 0)
	sim.runUntil(20 * time.Second)
	early := func(c *simCall) bool {
		return c.refusedAt == 0 || c.sent || c.refusedAt-c.arrived < simDeadline/2
	}
	require.Equal(t, 1.0, sim.shareOf(2*time.Second, 10*time.Second, ClassLookup, early))
	require.LessOrEqual(t, float64(sim.attempts), 1.15*float64(len(sim.calls)))
}

// TestSimulationUnreportedSlowdown guards against an instance that has seen only slow responses and refuses all
// requests from then on, because it sends none that could show that the targets are fast again.
func TestSimulationUnreportedSlowdown(t *testing.T) {
	sim := newSimulation(SelectAsk, 2, 6)
	sim.hiddenSlowdown = 8 // most responses come after the deadline
	sim.addLoad(10, 30*time.Second, ClassLookup, 0)
	sim.runUntil(5 * time.Second)
	sim.hiddenSlowdown = 1
	sim.runUntil(40 * time.Second)
	after := sim.shareOf(10*time.Second, 30*time.Second, ClassLookup, (*simCall).inTime)
	t.Logf("in time after the slowdown %.2f", after)
	require.Greater(t, after, 0.95)
}

// TestSimulationRulesOfDifferentDuration guards against latencies that are shared by all requests of a class. A rule
// whose requests take a hundredth of the time, like those that check a new rule after each start, must make neither the
// requests of other rules look late nor slow targets look fast.
func TestSimulationRulesOfDifferentDuration(t *testing.T) {
	sim := newSimulation(SelectAsk, 14, 16)
	short := simCall{rule: "check", class: ClassLookup, runTime: simRunTime / 100}
	sim.addLoadLike(10*14, time.Second, short)
	sim.runUntil(time.Second)
	sim.addLoad(0.5*simCapacity(16), 10*time.Second, ClassLookup, 0)
	sim.addLoadLike(2, 10*time.Second, short)
	sim.runUntil(15 * time.Second)
	first := sim.shareOf(time.Second, 4*time.Second, ClassLookup, (*simCall).inTime)
	all := sim.shareOf(time.Second, 11*time.Second, ClassLookup, (*simCall).inTime)
	t.Logf("in time: %.3f in the first seconds, %.3f in total", first, all)
	require.Greater(t, first, 0.95)
	require.Greater(t, all, 0.95)
}

// TestSimulationCallerRetries guards against retries by callers that displace first attempts in a burst: the retries
// are late in any case, the first attempts can still be in time.
func TestSimulationCallerRetries(t *testing.T) {
	inTime := make(map[float64]float64)
	for _, share := range []float64{0, 0.8} {
		sim := newSimulation(SelectAsk, 14, 16)
		for _, i := range sim.instances {
			p := i.service.policy
			p.FirstAttemptShare = share
			i.apply(PolicyChanged{Policy: p})
		}
		call := simCall{class: ClassLookup, runTime: simRunTime, callerRetries: 2}
		sim.addLoadLike(0.5*simCapacity(16), 20*time.Second, call)
		sim.runUntil(5 * time.Second)
		sim.addLoadLike(1.5*simCapacity(16), 10*time.Second, call)
		sim.runUntil(30 * time.Second)
		inTime[share] = sim.shareOf(6*time.Second, 15*time.Second, ClassLookup, (*simCall).inTime)
	}
	t.Logf("share of requests in time by FirstAttemptShare: %v", inTime)
	require.Greater(t, inTime[0.8], inTime[0]+0.05)
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
	i := newSimulation(SelectAsk, 1, 4).instances[0]
	s := i.service
	retryAfter := func(waiting int) time.Duration {
		s.backlog.waiting = s.backlog.waiting[:0]
		newWaitingRequest := func(id RequestID) *request {
			r := s.newRequest(i.now, RequestArrived{Request: id, Class: ClassLookup, Deadline: i.now + 9*time.Second, Objective: i.now + 6*time.Second})
			r.phase = phaseQueued
			i.now += time.Millisecond
			return r
		}
		for n := range waiting {
			s.backlog.add(newWaitingRequest(RequestID(n + 1)))
		}
		s.rng.Seed(i.rng.Uint64(), 0)
		return s.retryAfter(i.now, newWaitingRequest(RequestID(waiting+1)))
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

// TestSimulationFailingHealthChecks guards against leaving out half of the targets because their health checks fail
// while they serve, and against preferring them while the others have free slots.
func TestSimulationFailingHealthChecks(t *testing.T) {
	sim := newSimulation(SelectAsk, 14, 16)
	for i := range 8 {
		sim.targets[TargetID(fmt.Sprint("t", i))].unhealthy = true
	}
	served := func(from int) (n int) {
		for i := range 8 {
			n += sim.targets[TargetID(fmt.Sprint("t", from+i))].served
		}
		return n
	}
	sim.addLoad(0.15*simCapacity(16), 5*time.Second, ClassLookup, 0)
	sim.runUntil(6 * time.Second)
	require.Less(t, served(0), served(8)/3, "the other targets have free slots")
	sim.addLoad(0.75*simCapacity(16), 10*time.Second, ClassLookup, 0)
	sim.runUntil(20 * time.Second)
	inTime := sim.shareOf(7*time.Second, 16*time.Second, ClassLookup, (*simCall).inTime)
	t.Logf("in time: %.3f", inTime)
	require.Greater(t, inTime, 0.95)
}

// TestSimulationRuleRecoversFromSlowdown guards against a rule that is never served again after a slowdown. The slow
// responses raise the run time estimate of the rule above its objective, so that all its requests count as late. Late
// requests are not sent as long as other requests have to wait now and then, and without a response the estimate stays.
func TestSimulationRuleRecoversFromSlowdown(t *testing.T) {
	sim := newSimulation(SelectAsk, 4, 3)
	lookup := simCall{rule: "look", class: ClassLookup, runTime: simRunTime}
	booking := simCall{rule: "book", class: ClassOnce, runTime: simRunTime / 4}
	sim.hiddenSlowdown = 4
	sim.addLoadLike(6, 5*time.Second, lookup)
	sim.runUntil(8 * time.Second)
	sim.hiddenSlowdown = 1
	sim.addLoadLike(30, 20*time.Second, booking)
	sim.addLoadLike(4, 20*time.Second, lookup)
	sim.runUntil(40 * time.Second)
	answered := func(c *simCall) bool { return c.answeredAt > 0 }
	lookupsAnswered := sim.shareOf(10*time.Second, 28*time.Second, ClassLookup, answered)
	bookingsInTime := sim.shareOf(10*time.Second, 28*time.Second, ClassOnce, (*simCall).inTime)
	t.Logf("lookups answered %.3f, bookings in time %.3f", lookupsAnswered, bookingsInTime)
	require.Greater(t, lookupsAnswered, 0.9)
	require.Greater(t, bookingsInTime, 0.9)
}
