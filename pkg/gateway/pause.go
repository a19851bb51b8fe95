package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

const (
	// pauseCheckInterval is much shorter than pauseThreshold, so that a pause is detected soon after it ends.
	pauseCheckInterval = 200 * time.Millisecond
	// pauseThreshold is the longest gap between heartbeats that does not count as a pause of the process (design page,
	// section 2.1).
	pauseThreshold = time.Second
	// refreshPollInterval is how often a waiting request checks whether the view has been refreshed.
	refreshPollInterval = 5 * time.Millisecond
)

// clockReading is one point in time on both clocks.
type clockReading struct {
	boot      time.Time // CLOCK_BOOTTIME, as an offset from the Unix epoch
	monotonic time.Duration
}

// heartbeat is the last time at which the process was known to run with a usable view.
type heartbeat struct {
	clockReading
	generation uint64 // number of pauses before the heartbeat
}

func (c clock) readClocks() clockReading {
	return clockReading{boot: readBootClock(), monotonic: c.now()}
}

// readBootClock reads CLOCK_BOOTTIME, which advances while the machine is suspended and cannot be set. The wall clock
// is not suitable, because it may be stepped by seconds.
func readBootClock() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0) // no such clock in this kernel; a step of the wall clock then looks like a pause
	}
	return time.Unix(t.Unix())
}

// gap returns the time since an earlier reading on the clock that advanced further, because the monotonic clock stops
// while the machine is suspended.
func (r clockReading) gap(earlier clockReading) time.Duration {
	return max(r.monotonic-earlier.monotonic, r.boot.Sub(earlier.boot))
}

// pauseDetector detects pauses of the process, such as a stopped process or a suspended machine. The view, which is the
// process's copy of targets and rules, must be read again after a pause. It is safe for concurrent use.
type pauseDetector struct {
	clock clock
	last  atomic.Pointer[heartbeat] // nil until the first heartbeat; no pause is detected before it
}

// stale reports whether the process has resumed from a pause and the view has not been refreshed yet.
func (p *pauseDetector) stale() bool {
	last := p.last.Load()
	return last != nil && p.clock.readClocks().gap(last.clockReading) > pauseThreshold
}

// generation returns the number of the current view, which rises with each pause. A decision based on one generation
// must not be acted on once isCurrent returns false for it.
func (p *pauseDetector) generation() uint64 {
	if last := p.last.Load(); last != nil {
		return last.generation
	}
	return 0
}

// isCurrent reports whether the process has not been paused since generation was returned. The number changes only when
// the view is refreshed, so a decision made between the end of a pause and the refresh is not current either, even if
// it is checked after the refresh.
func (p *pauseDetector) isCurrent(generation uint64) bool {
	last := p.last.Load()
	return last == nil || last.generation == generation && p.clock.readClocks().gap(last.clockReading) <= pauseThreshold
}

// awaitRefresh waits until the view is not stale or ctx ends.
func (p *pauseDetector) awaitRefresh(ctx context.Context) {
	for p.stale() {
		select {
		case <-time.After(refreshPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// recordHeartbeat records that the process runs. If refreshed is set, the view was refreshed after a pause and a new
// generation starts. It must be called from one goroutine only.
func (p *pauseDetector) recordHeartbeat(refreshed bool) {
	generation := p.generation()
	if refreshed {
		generation++
	}
	p.last.Store(&heartbeat{clockReading: p.clock.readClocks(), generation: generation})
}

// WatchPauses detects pauses of the process until ctx ends. After each pause it calls refresh, which must read targets
// and rules again in bounded time, and then reports the pause to all services. Requests wait until refresh returns.
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
		g.pauses.recordHeartbeat(refreshed) // the time spent in refresh does not count as a pause
	}
}

// handleGap refreshes the view if the gap since the last heartbeat was a pause, and reports whether it was one.
func (g *Gateway) handleGap(gap time.Duration, refresh func()) bool {
	if gap <= pauseThreshold {
		return false
	}
	g.log.Info("process resumed after a pause", "gap", gap.String())
	refresh()
	g.broadcast(core.Resumed{Gap: gap})
	return true
}
