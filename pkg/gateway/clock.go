package gateway

import "time"

// clock maps between wall times and the reducer's instants.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }

func (c clock) offset(t time.Time) time.Duration { return t.Sub(c.start) }

// timeAt returns the timeAt of an instant on both clocks as they are now: the timeAt of day may have been set since the start.
func (c clock) timeAt(offset time.Duration) time.Time {
	now := time.Now()
	return now.Add(offset - now.Sub(c.start))
}
