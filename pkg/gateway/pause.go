package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

const (
	// pauseCheckInterval is short against pauseLimit, so that a pause is found soon after it ends.
	pauseCheckInterval = 200 * time.Millisecond
	// pauseThreshold is the gap between ticks that counts as a pause of the process (design page, section 2.1).
	pauseThreshold = time.Second
	// refreshPollInterval is the interval at which a request looks whether the view was read again.
	refreshPollInterval = 5 * time.Millisecond
)

// clockReading is a time on both clocks.
type clockReading struct {
	boot      time.Time // time since the machine was started, which goes on while it is suspended
	monotonic time.Duration
}

// heartbeat is the last time at which the process was known to run and its view to be usable.
type heartbeat struct {
	clockReading
	generation uint64 // number of pauses before it
}

func (c clock) readClocks() clockReading { return clockReading{boot: sinceBoot(), monotonic: c.now()} }

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
func (r clockReading) gap(earlier clockReading) time.Duration {
	return max(r.monotonic-earlier.monotonic, r.boot.Sub(earlier.boot))
}

// pauseDetector tells whether the view of targets and rules dates from before a pause of the process. It is safe for
// concurrent use.
type pauseDetector struct {
	clock clock
	last  atomic.Pointer[heartbeat] // nil while nothing watches for pauses
}

// stale reports whether the process has just resumed and the view was not read again yet.
func (p *pauseDetector) stale() bool {
	last := p.last.Load()
	return last != nil && p.clock.readClocks().gap(last.clockReading) > pauseThreshold
}

// generation numbers the views between pauses. A choice made on one generation must not be acted on once holds reports false for it.
func (p *pauseDetector) generation() uint64 {
	if last := p.last.Load(); last != nil {
		return last.generation
	}
	return 0
}

// isCurrent reports whether the process was not paused since view was returned. A choice made after the pause but before
// the view was read again has the old number too, so it fails even if it is looked at only afterwards.
func (p *pauseDetector) isCurrent(generation uint64) bool {
	last := p.last.Load()
	return last == nil || last.generation == generation && p.clock.readClocks().gap(last.clockReading) <= pauseThreshold
}

// awaitRefresh returns once the view is not stale or ctx ends.
func (p *pauseDetector) awaitRefresh(ctx context.Context) {
	for p.stale() {
		select {
		case <-time.After(refreshPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// recordHeartbeat records that the process runs. With resumed, the view was read again after a pause. Only one goroutine calls it.
func (p *pauseDetector) recordHeartbeat(refreshed bool) {
	generation := p.generation()
	if refreshed {
		generation++
	}
	p.last.Store(&heartbeat{clockReading: p.clock.readClocks(), generation: generation})
}

// WatchPauses finds pauses of the process until ctx ends. After each it calls refresh, which reads the view again in
// bounded time, and then reports the pause to all services. Requests wait until refresh has returned.
func (g *Gateway) WatchPauses(ctx context.Context, refresh func()) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	g.pauses.recordHeartbeat(false)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		refreshed := g.handleGap(g.clock.readClocks().gap(g.pauses.last.Load().clockReading), refresh)
		g.pauses.recordHeartbeat(refreshed) // the time that refresh took is no pause
	}
}

// handleGap handles the gap since the last handleGap and reports whether it was a pause.
func (g *Gateway) handleGap(gap time.Duration, refresh func()) bool {
	if gap <= pauseThreshold {
		return false
	}
	g.log.Info("process resumed after a pause", "gap", gap.String())
	refresh()
	g.broadcast(core.Resumed{Gap: gap})
	return true
}
