package gateway

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// newClockBeforeStep returns a clock that was started before the wall clock was set forward by the given seconds. The
// methods of time.Time cannot change its wall clock reading alone, so this changes the field directly: in a time with a
// monotonic reading, the first word holds the wall clock's seconds above 30 bits of nanoseconds.
func newClockBeforeStep(seconds uint64) clock {
	c := newClock()
	*(*uint64)(unsafe.Pointer(&c.start)) -= seconds << 30
	return c
}

// Guards against deadlines whose wall clock reading has already passed when they are set. This happens if they are
// computed from the start of the process and the wall clock was set forward since; every probe then fails before it is
// sent.
func TestDeadlinesAfterWallClockStep(t *testing.T) {
	c := newClockBeforeStep(3)
	require.InDelta(t, 3*time.Second, time.Now().Round(0).Sub(c.start.Round(0)), float64(time.Second), "the wall clock is stepped")
	require.Less(t, c.now(), time.Second, "the monotonic clock is not stepped")

	deadline := c.timeAt(c.now() + time.Minute)
	require.InDelta(t, time.Minute, time.Until(deadline), float64(time.Second))
	require.InDelta(t, time.Minute, deadline.Round(0).Sub(time.Now().Round(0)), float64(time.Second))
	require.Equal(t, c.now().Round(time.Second), c.offset(c.timeAt(c.now())).Round(time.Second))
}
