package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func fleetOf(size int) []Member {
	var list []Member
	for i := range size {
		list = append(list, Member{Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprint("zone-", i%3)})
	}
	return list
}

// instance is a State with the other members of its fleet.
type instance struct {
	*State
	self    Member
	members []Member
	now     time.Duration
}

func newInstance(fleet []Member, i int) *instance {
	others := slices.Delete(slices.Clone(fleet), i, i+1)
	return &instance{State: New(Config{Self: fleet[i].Address, Zone: fleet[i].Zone}), self: fleet[i], members: others}
}

func (n *instance) apply(now time.Duration, ev Event) []Effect {
	return n.Reduce(Input{Now: now, Members: n.members, Event: ev}, nil)
}

// Guards against instances that report to different collectors, so that none of them counts all crashes, and against a
// second crash that waits for a batch.
func TestSuspicionsGoToTheSameCollectors(t *testing.T) {
	fleet := fleetOf(30)
	receivers := make(map[Member]bool)
	for i := range fleet {
		n := newInstance(fleet, i)
		for _, e := range n.apply(0, SuspicionDue{Content: 1}) {
			require.Equal(t, SendReport, e.Kind)
			require.Equal(t, []uint64{1}, e.Suspicions)
			receivers[e.Member] = true
			n.apply(time.Millisecond, ReportEnded{Address: e.Member.Address, Zone: e.Member.Zone, Result: Delivered})
		}
		batched := n.apply(2*time.Millisecond, SuspicionDue{Content: 1})
		require.Len(t, batched, 1)
		require.Equal(t, Effect{Kind: SetTimer, At: batchInterval}, batched[0])
		urgent := n.apply(3*time.Millisecond, SuspicionDue{Content: 1, Urgent: true})
		require.NotEmpty(t, urgent)
		require.Equal(t, SendReport, urgent[0].Kind)
		require.Empty(t, n.apply(4*time.Millisecond, SuspicionDue{Content: 1}), "one report at a time")
	}
	require.Len(t, receivers, collectorCount)
	alone := newInstance(fleet[:1], 0)
	require.Empty(t, alone.apply(0, SuspicionDue{Content: 1}))
}

// Guards against a suspicion that is lost with the instance that should have collected it.
func TestFailedCollectorIsReplaced(t *testing.T) {
	n := newInstance(fleetOf(30), 0)
	sent := n.apply(0, SuspicionDue{Content: 1})
	failed := sent[0].Member
	n.apply(0, SuspicionDue{Content: 2})
	n.members = slices.DeleteFunc(n.members, func(m Member) bool { return m == failed })
	again := n.apply(time.Second, ReportEnded{Address: failed.Address, Zone: failed.Zone, Suspicions: sent[0].Suspicions, Result: Failed})
	require.NotEmpty(t, again)
	require.Equal(t, []uint64{1}, again[0].Suspicions)
	require.NotContains(t, []Member{sent[0].Member, sent[1].Member}, again[0].Member)
}

// Guards against verdicts that miss instances behind one that failed or that runs an older build, and against a number of
// messages that grows faster than the fleet.
func TestVerdictReachesAllInstances(t *testing.T) {
	fleet := fleetOf(300)
	for origin := range 20 {
		content := uint64(origin)
		instances := make(map[Member]*instance)
		for i, m := range fleet {
			instances[m] = newInstance(fleet, i)
		}
		failed := map[Member]bool{fleet[(origin*7+30)%300]: true, fleet[(origin*11+60)%300]: true}
		old := map[Member]bool{fleet[(origin*13+92)%300]: true}
		knows, messages, crossing := map[Member]bool{fleet[origin]: true}, 0, 0
		type task struct {
			from   *instance
			effect Effect
		}
		var queue []task
		deliver := func(from *instance, effects []Effect) {
			for _, e := range effects {
				queue = append(queue, task{from, e})
			}
		}
		deliver(instances[fleet[origin]], instances[fleet[origin]].apply(0, VerdictChanged{Content: content, Withheld: true}))
		for len(queue) > 0 {
			next := queue[0]
			queue = queue[1:]
			if next.effect.Kind == SetTimer {
				next.from.now = next.effect.At
				deliver(next.from, next.from.apply(next.from.now, TimerFired{}))
				continue
			}
			to, result := next.effect.Member, Delivered
			messages++
			if to.Zone != next.from.self.Zone {
				crossing++
			}
			switch {
			case failed[to]:
				result = Failed
				next.from.members = slices.DeleteFunc(slices.Clone(next.from.members), func(m Member) bool { return m == to })
			case old[to]:
				result = DeliveredToOldBuild
				knows[to] = true
			case !knows[to]:
				knows[to] = true
				deliver(instances[to], instances[to].apply(0, VerdictChanged{Content: content, Learned: true, Withheld: true}))
			}
			deliver(next.from, next.from.apply(next.from.now, ReportEnded{Address: to.Address, Zone: to.Zone, Verdicts: next.effect.Verdicts, Result: result}))
		}
		require.Equal(t, len(fleet)-len(failed), len(knows), "origin %d", origin)
		require.LessOrEqual(t, float64(messages), 2.1*float64(len(fleet)), "each instance gets it about once or twice")
		require.LessOrEqual(t, crossing, 2*entryCount)
	}
}

// Guards against a verdict that spreads although one of the first instances has answered the request, and against a
// release that stays with the collectors to which it was reported.
func TestReleaseOvertakesVerdict(t *testing.T) {
	fleet := fleetOf(30)
	collectors := make(map[Member]bool)
	for _, e := range newInstance(fleet, 0).apply(0, SuspicionDue{Content: 1}) {
		collectors[e.Member] = true
	}
	require.Len(t, collectors, collectorCount, "the first instance is none")
	for i, m := range fleet {
		n := newInstance(fleet, i)
		held := n.apply(0, VerdictChanged{Content: 1, Learned: true, Withheld: true})
		require.NotEmpty(t, held)
		require.Equal(t, Effect{Kind: SetTimer, At: forwardDelay}, held[0])
		released := n.apply(time.Millisecond, VerdictChanged{Content: 1, Learned: true})
		zones := make(map[string]bool)
		for _, e := range released {
			require.Equal(t, SendReport, e.Kind)
			zones[e.Member.Zone] = true
		}
		require.Equal(t, collectors[m], len(zones) == 3, "only collectors tell other zones")
		require.Empty(t, n.apply(forwardDelay, TimerFired{}))
	}
}
