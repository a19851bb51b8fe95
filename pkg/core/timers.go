package core

import (
	"container/heap"
	"math"
)

// never is the due time of an item that is not scheduled.
const never = Instant(math.MaxInt64)

// timer is an entry of the timer heap. At most one of request, target and reachability is set. If none is, it is the
// timer of the health probes or, with SelectAsk, of the backlog.
type timer struct {
	at           Instant
	heapPosition int // position in the heap plus one; 0 when not scheduled
	request      *request
	target       *targetState
	reachability bool
}

// timerHeap orders entries by due time. It implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = i+1, j+1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.heapPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapPosition = 0
	return t
}

// schedule sets the due time of t. If at is never, it removes t from the heap.
func (s *Service) schedule(t *timer, at Instant) {
	switch {
	case at == t.at && t.heapPosition != 0:
		return
	case at == never:
		s.unschedule(t)
	case t.heapPosition == 0:
		t.at = at
		heap.Push(&s.timers, t)
	default:
		t.at = at
		heap.Fix(&s.timers, t.heapPosition-1)
	}
}

func (s *Service) unschedule(t *timer) {
	if t.heapPosition != 0 {
		heap.Remove(&s.timers, t.heapPosition-1)
	}
}

// runDueTimers removes all entries that are due and runs their handlers.
func (s *Service) runDueTimers(now Instant, out []Effect) []Effect {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		t := heap.Pop(&s.timers).(*timer)
		switch {
		case t.request != nil:
			out = s.onRequestTimer(now, t.request, out)
		case t.target != nil:
			out = s.onTargetTimer(now, t.target, out)
		case t.reachability:
			out = s.onReachabilityTimer(now, out)
		default:
			out = s.onProbeTimer(now, out)
		}
	}
	return out
}

// armTimer sets the runtime's timer when the next due time is earlier than the one that is set. A timer that fires too
// early only causes one step without work, which costs less than resetting the timer with each request.
func (s *Service) armTimer(out []Effect) []Effect {
	if len(s.timers) == 0 || s.timers[0].at >= s.timerAt {
		return out
	}
	s.timerAt = s.timers[0].at
	return append(out, Effect{Kind: SetTimer, At: s.timerAt})
}
