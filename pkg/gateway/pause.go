package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

const (
	// pauseTick is short against pauseLimit, so that a pause is found soon after it ends.
	pauseTick = 200 * time.Millisecond
	// pauseLimit is the gap between ticks that counts as a pause of the process (design page, section 2.1).
	pauseLimit = time.Second
	// freshPoll is the interval at which a request looks whether the view was read again.
	freshPoll = 5 * time.Millisecond
)

// reading is a time on both clocks.
type reading struct {
	boot      time.Time // time since the machine was started, which goes on while it is suspended
	monotonic time.Duration
}

// tick is the last time at which the process was known to run and its view to be usable.
type tick struct {
	reading
	view uint64 // number of pauses before it
}

func (c clock) reading() reading { return reading{boot: sinceBoot(), monotonic: c.now()} }

// sinceBoot reads the clock that counts suspensions and that nobody sets: the time of day may jump by seconds.
func sinceBoot() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0) // a kernel without this clock; a jump of the time of day then looks like a pause
	}
	return time.Unix(t.Unix())
}

// gap returns the time since an earlier reading by the clock that advanced further: the monotonic clock stands still
// while a machine is suspended.
func (r reading) gap(earlier reading) time.Duration {
	return max(r.monotonic-earlier.monotonic, r.boot.Sub(earlier.boot))
}

// pauses tells whether the view of targets and rules dates from before a pause of the process. It is safe for
// concurrent use.
type pauses struct {
	clock clock
	last  atomic.Pointer[tick] // nil while nothing watches for pauses
}

// stale reports whether the process has just resumed and the view was not read again yet.
func (p *pauses) stale() bool {
	last := p.last.Load()
	return last != nil && p.clock.reading().gap(last.reading) > pauseLimit
}

// view numbers the views between pauses. A choice made on one view must not be acted on once holds reports false for it.
func (p *pauses) view() uint64 {
	if last := p.last.Load(); last != nil {
		return last.view
	}
	return 0
}

// holds reports whether the process was not paused since view was returned. A choice made after the pause but before
// the view was read again has the old number too, so it fails even if it is looked at only afterwards.
func (p *pauses) holds(view uint64) bool {
	last := p.last.Load()
	return last == nil || last.view == view && p.clock.reading().gap(last.reading) <= pauseLimit
}

// await returns once the view is not stale or ctx ends.
func (p *pauses) await(ctx context.Context) {
	for p.stale() {
		select {
		case <-time.After(freshPoll):
		case <-ctx.Done():
			return
		}
	}
}

// mark records that the process runs. With resumed, the view was read again after a pause. Only one goroutine calls it.
func (p *pauses) mark(resumed bool) {
	view := p.view()
	if resumed {
		view++
	}
	p.last.Store(&tick{reading: p.clock.reading(), view: view})
}

// WatchPauses finds pauses of the process until ctx ends. After each it calls refresh, which reads the view again in
// bounded time, and then reports the pause to all services. Requests wait until refresh has returned.
func (g *Gateway) WatchPauses(ctx context.Context, refresh func()) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	g.pauses.mark(false)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		resumed := g.tick(g.clock.reading().gap(g.pauses.last.Load().reading), refresh)
		g.pauses.mark(resumed) // the time that refresh took is no pause
	}
}

// tick handles the gap since the last tick and reports whether it was a pause.
func (g *Gateway) tick(gap time.Duration, refresh func()) bool {
	if gap <= pauseLimit {
		return false
	}
	g.log.Info("process resumed after a pause", "gap", gap.String())
	refresh()
	g.broadcast(core.Resumed{Gap: gap})
	return true
}
