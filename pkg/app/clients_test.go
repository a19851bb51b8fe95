package app

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

// Guards against bounds that add up to more than the machine has, or leave too few descriptors to targets, peers and the
// store, and against a small machine that serves nobody.
func TestCapacityIsDivided(t *testing.T) {
	for name, tc := range map[string]struct{ descriptors, process int64 }{
		"smallest machine": {4100, 184 << 20}, "usual machine": {4100, 284 << 20}, "largest machine": {8192, 536 << 20},
		"few descriptors": {256, 8 << 30}, "much of both": {1 << 20, 64 << 30},
	} {
		t.Run(name, func(t *testing.T) {
			c := divideCapacity(tc.descriptors, tc.process, settings.Default())
			connections := int64(c.callers + c.relays + 2*c.local)
			require.LessOrEqual(t, connections, tc.descriptors/2)
			require.LessOrEqual(t, connections*httpserver.ConnectionBytes+c.memory+c.responseHeads, tc.process*5/8)
			require.Positive(t, c.responseHeads)
			require.GreaterOrEqual(t, c.callers, minCallerConnections)
			require.Positive(t, c.relays)
		})
	}
	s := settings.Default()
	s.Limits.Connections = 100
	c := divideCapacity(4100, 184<<20, s)
	require.Equal(t, 100, c.callers+c.relays+2*c.local)
	require.Equal(t, minCallerConnections, divideCapacity(20, 16<<20, settings.Default()).callers)
}
