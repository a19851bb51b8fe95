package gateway

import "time"

// clock converts between time.Time and the reducer's time, which is an offset from the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }

func (c clock) offset(t time.Time) time.Duration { return t.Sub(c.start) }

// timeAt returns the time at an offset. It is computed from the current time, because the wall clock may have been set
// since the start of the process.
func (c clock) timeAt(offset time.Duration) time.Time {
	now := time.Now()
	return now.Add(offset - now.Sub(c.start))
}
