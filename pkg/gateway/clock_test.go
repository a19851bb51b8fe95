package gateway

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// newClockBeforeStep returns a clock whose process started before the time of day was set forward by the given seconds. The
// clocks of a time.Time cannot be moved apart by its methods: with a monotonic reading, its first word holds the seconds of
// the time of day above 30 bits of nanoseconds.
func newClockBeforeStep(seconds uint64) clock {
	c := newClock()
	*(*uint64)(unsafe.Pointer(&c.start)) -= seconds << 30
	return c
}

// Guards against deadlines that have passed on the time of day as soon as they are set, because that clock was set forward
// since the start of the process: every probe would then fail before it is sent.
func TestDeadlinesAfterWallClockStep(t *testing.T) {
	c := newClockBeforeStep(3)
	require.InDelta(t, 3*time.Second, time.Now().Round(0).Sub(c.start.Round(0)), float64(time.Second), "the step is there")
	require.Less(t, c.now(), time.Second, "the monotonic clock has no step")

	deadline := c.timeAt(c.now() + time.Minute)
	require.InDelta(t, time.Minute, time.Until(deadline), float64(time.Second))
	require.InDelta(t, time.Minute, deadline.Round(0).Sub(time.Now().Round(0)), float64(time.Second))
	require.Equal(t, c.now().Round(time.Second), c.offset(c.timeAt(c.now())).Round(time.Second))
}
