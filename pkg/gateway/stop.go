package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// stopMargin is the time between the latest deadline of a request and the end of a stop, in which its response or refusal
// is written to the caller.
const stopMargin = 200 * time.Millisecond

// stopState is the graceful stop of the instance, for requests that the reducer does not know yet or has already decided
// to send. The reducer applies the same latest deadline to its decisions. It is safe for concurrent use.
type stopState struct {
	begun          context.Context // ends when the stop begins
	setBegun       context.CancelFunc
	latestDeadline atomic.Pointer[time.Time] // of a request that is certain to be answered; nil before begin
}

func newStopState() *stopState {
	s := &stopState{}
	s.begun, s.setBegun = context.WithCancel(context.Background())
	return s
}

// begin sets the time at which requests in progress are aborted. Calls after the first have no effect.
func (s *stopState) begin(end time.Time) {
	latest := end.Add(-stopMargin)
	if s.latestDeadline.CompareAndSwap(nil, &latest) {
		s.setBegun()
	}
}

func (s *stopState) requested() bool { return s.latestDeadline.Load() != nil }

// allows reports whether a request with this deadline may still be sent. It can become false, but never true again.
func (s *stopState) allows(deadline time.Time) bool {
	latest := s.latestDeadline.Load()
	return latest == nil || !deadline.After(*latest)
}

// onBegin calls f in a goroutine with the latest deadline once the stop has begun. The returned function, which must be
// called once, prevents the call or waits for its end.
func (s *stopState) onBegin(f func(latestDeadline time.Time)) (detach func()) {
	done := make(chan struct{})
	prevent := context.AfterFunc(s.begun, func() {
		defer close(done)
		f(*s.latestDeadline.Load())
	})
	return func() {
		if !prevent() {
			<-done
		}
	}
}

// whileAllowed returns a context for a wait on behalf of a request. It ends with ctx, and as soon as allows does not hold.
func (s *stopState) whileAllowed(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	detach := s.onBegin(func(latest time.Time) {
		if deadline.After(latest) {
			cancel()
		}
	})
	return ctx, func() {
		detach()
		cancel()
	}
}

// Drain begins the graceful stop, whose end aborts the requests in progress. From now on each response closes its
// connection. A request is still served if its deadline leaves no doubt that it is answered before the end. All others
// that have not been sent to a target are refused at once, wherever they wait.
func (g *Gateway) Drain(end time.Time) {
	g.stop.begin(end)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.stopRequested()
	}
}

// stopRequested informs the reducer of the stop, and ends the attempts that still wait for a connection and must no
// longer be sent.
func (e *engine) stopRequested() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(core.StopRequested{LatestDeadline: e.clock.offset(*e.stop.latestDeadline.Load())})
	for _, p := range e.pending {
		if e.mayBeSent(p) {
			continue
		}
		for _, state := range p.attempts {
			state.withdraw()
		}
	}
}

// mayBeSent reports whether the stop still allows an attempt of p to be written to a connection.
func (e *engine) mayBeSent(p *pendingRequest) bool { return e.stop.allows(p.attemptTemplate.Deadline) }
