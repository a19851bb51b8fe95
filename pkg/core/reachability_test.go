package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failConnects reports probes of targets to which no connection could be opened, and returns the reachability reported.
func failConnects(rt *testRuntime, targets ...int) (reports []bool) {
	for _, i := range targets {
		rt.advance(30 * time.Millisecond)
		for _, e := range rt.step(ProbeEnded{Target: targetID(i), Unreachable: true}) {
			if e.Kind == ReportReachability {
				reports = append(reports, e.Unreachable)
			}
		}
	}
	return reports
}

// TestUnreachableTargets guards against an instance that takes single targets that are down, or overload, for a cut from
// all targets, and against one that does not notice a cut or its end.
func TestUnreachableTargets(t *testing.T) {
	rt := newTestRuntime(t, 5)
	require.Empty(t, failConnects(rt, 0, 1, 0, 1, 0, 1, 0, 1), "two targets")
	rt.step(ProbeEnded{Target: targetID(3), OK: true})
	require.Empty(t, failConnects(rt, 0, 1, 2, 0), "too few failures since the response")
	require.Equal(t, []bool{true}, failConnects(rt, 1, 2, 3))
	rt.step(ProbeEnded{Target: targetID(3), Statement: Statement{Responded: true}})
	require.Equal(t, ReportReachability, rt.lastEffects[0].Kind)
	require.False(t, rt.lastEffects[0].Unreachable)
	for range 20 {
		rt.step(ProbeEnded{Target: targetID(1)}) // a health check that fails
	}
	require.False(t, rt.s.reachability.unreachable)
}
