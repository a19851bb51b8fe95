package core

import (
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
