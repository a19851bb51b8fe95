package peer

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

// Guards against traffic between instances that no metric shows, or that is attributed to the wrong message, direction or
// zone.
func TestTrafficIsCounted(t *testing.T) {
	nodes := startListedNodes(t, 2)
	nodes[0].docs.set(1)
	count := func(n *testNode, message, direction string) float64 {
		return testutil.ToFloat64(n.metrics.traffic.bytes.WithLabelValues(message, direction, "own"))
	}
	require.Eventually(t, func() bool {
		return count(nodes[1], "exchange", "in") > 0 && count(nodes[1], "pull", "in") > 0 && count(nodes[0], "pull", "out") > 0
	}, waitTimeout, 5*time.Millisecond)
	for _, n := range nodes {
		require.Positive(t, count(n, "exchange", "out"))
		require.Positive(t, testutil.ToFloat64(n.metrics.traffic.messages.WithLabelValues("exchange", "in", "own")))
		require.Zero(t, testutil.ToFloat64(n.metrics.traffic.bytes.WithLabelValues("exchange", "in", "other")))
	}
	require.Equal(t, "own", nodes[0].zoneLabel("127.0.0.2:1"), "a port of an outgoing connection")
	require.Equal(t, "unknown", nodes[0].zoneLabel("127.0.0.20:1"))
}
