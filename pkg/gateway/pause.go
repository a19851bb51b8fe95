package gateway

import (
	"context"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

const (
	// pauseTick is short against pauseLimit, so that a pause is found soon after it ends.
	pauseTick = 200 * time.Millisecond
	// pauseLimit is the gap between ticks that counts as a pause of the process (design page, section 2.1).
	pauseLimit = time.Second
)

// reading is a time on both clocks.
type reading struct {
	wall      time.Time // without a monotonic part
	monotonic time.Duration
}

func (c clock) reading() reading { return reading{wall: time.Now().Round(0), monotonic: c.now()} }

// gap returns the time since an earlier reading by the clock that advanced further: the monotonic clock stands still
// while a machine is suspended, the wall clock may be set back.
func (r reading) gap(earlier reading) time.Duration {
	return max(r.monotonic-earlier.monotonic, r.wall.Sub(earlier.wall))
}

// WatchPauses reports each pause of the process to all services until ctx ends.
func (g *Gateway) WatchPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseTick)
	defer ticker.Stop()
	last := g.clock.reading()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.tick(g.clock.reading().gap(last))
		last = g.clock.reading() // the time that OnResume took is no pause
	}
}

func (g *Gateway) tick(gap time.Duration) {
	if gap <= pauseLimit {
		return
	}
	g.log.Info("process resumed after a pause", "gap", gap.String())
	g.broadcast(core.Resumed{Gap: gap})
	if g.cfg.OnResume != nil {
		g.cfg.OnResume(gap)
	}
}
