package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFleetUsesItsRetryBudget guards against retries that are denied while the budget of the fleet has room, and against
// more retries than the budget. With 150 instances the share of each is small: rounded down, a tenth of the budget would
// stay unused while all targets shed requests.
func TestFleetUsesItsRetryBudget(t *testing.T) {
	const instances, requestsEach = 150, 24
	p := DefaultPolicy()
	p.InstanceCount, p.RetryFloor, p.RetriesIncludeHedges = instances, 0, true
	p.RetryRatio, p.RetrySlack, p.HedgeRatio, p.HedgeSlack = 0.18, 207, 0.06, 69
	const limit = 0.18*instances*requestsEach + 207
	for name, hedge := range map[string]bool{"retries only": false, "hedges first": true} {
		t.Run(name, func(t *testing.T) {
			used, hedges := 0, 0
			for i := range instances {
				p.InstanceID = fmt.Sprintf("10.1.0.%d:8161", i)
				b := &budget{}
				for n := range requestsEach {
					b.addRequest(BudgetWindow * Instant(n+1) / (requestsEach + 1))
				}
				for hedge && b.allowsHedge(BudgetWindow, &p, 1) {
					b.addHedge()
					hedges++
					used++
				}
				for b.takeRetry(BudgetWindow, &p) {
					used++
				}
			}
			require.InDelta(t, limit, used, 0.02*limit)
			require.Equal(t, hedge, hedges > 0)
		})
	}
}

// TestRetryBudgetAfterRestart guards against a fleet that exceeds its retry budget when all instances restart: their
// counts are lost, and each of them knows only a few of the others.
func TestRetryBudgetAfterRestart(t *testing.T) {
	const instances, requestsEach, requestsAfter = 150, 24, 12
	used := 0
	for i := range instances {
		p := DefaultPolicy()
		p.RetryFloor, p.RetriesIncludeHedges, p.RetryRatio, p.RetrySlack = 0, true, 0.18, 207
		p.InstanceID = fmt.Sprintf("10.1.0.%d:8161", i)
		for _, run := range []struct {
			start    Instant // of the requests, from the start of the process
			requests int
			fleet    int // instances known
		}{{time.Minute, requestsEach, instances}, {0, requestsAfter, 1}} {
			p.InstanceCount = run.fleet
			b := &budget{}
			for n := range run.requests {
				b.addRequest(run.start + time.Duration(n+1)*100*time.Millisecond)
			}
			for b.takeRetry(run.start+time.Duration(run.requests+1)*100*time.Millisecond, &p) {
				used++
			}
		}
	}
	const limit = 0.2*instances*(requestsEach+requestsAfter) + 230
	require.LessOrEqual(t, float64(used), limit)
}

// TestRetryBudgetOfRestartedInstances guards against a fleet that exceeds its retry budget when all instances restart
// right after they have used it: with steady load, a window that contains the restart has no more requests than any other.
func TestRetryBudgetOfRestartedInstances(t *testing.T) {
	const instances, requestsPerSecond, restartAt = 150, 3, 60 * time.Second
	use := func(p Policy, start, end Instant) (used int) { // from start to end since the start of the process
		b := &budget{}
		for at := start; at < end; at += time.Second / requestsPerSecond {
			b.addRequest(at)
		}
		for b.takeRetry(end, &p) {
			used++
		}
		return used
	}
	used := 0
	for i := range instances {
		p := DefaultPolicy()
		p.RetryFloor, p.RetriesIncludeHedges, p.RetryRatio, p.StartRetryRatio, p.RetrySlack = 0, true, 0.18, 0.02, 207
		p.InstanceID, p.InstanceCount = fmt.Sprintf("10.1.0.%d:8161", i), instances
		used += use(p, 0, restartAt) + use(p, 0, BudgetWindow-time.Second)
	}
	const limit = 0.2*instances*requestsPerSecond*10 + 230
	require.LessOrEqual(t, float64(used), limit)
}
