package core

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUsableSlots guards against slots of small targets that stay free while requests wait, and against filling larger
// targets, which lowers their throughput.
func TestUsableSlots(t *testing.T) {
	s := newAskingService(1)
	for slots, usable := range map[int]int{1: 1, 2: 2, 3: 3, 4: 3, 5: 4, 8: 6, 20: 16} {
		target := s.listedTargets[0]
		target.slots = slots
		require.Equal(t, usable, s.usableSlots(target), "%d slots", slots)
	}
}
