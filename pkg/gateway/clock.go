package gateway

import "time"

// clock maps between wall times and the reducer's instants.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) }

func (c clock) instant(t time.Time) time.Duration { return t.Sub(c.start) }

func (c clock) time(at time.Duration) time.Time { return c.start.Add(at) }
