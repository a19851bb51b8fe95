package core

import (
	"container/heap"
	"math"
)

// never is the due time of an item that is not scheduled.
const never = Instant(math.MaxInt64)

// due is an entry of the timer heap. At most one of request and target is set; without them it is the
// look for targets to probe.
type due struct {
	at      Instant
	slot    int // position in the heap plus one; 0 when not scheduled
	request *request
	target  *targetState
}

// dueHeap orders entries by due time. It implements heap.Interface.
type dueHeap []*due

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].at < h[j].at }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].slot, h[j].slot = i+1, j+1
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	d := x.(*due)
	*h = append(*h, d)
	d.slot = len(*h)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	d.slot = 0
	return d
}

// schedule sets the due time of d; never removes it.
func (s *Service) schedule(d *due, at Instant) {
	switch {
	case at == d.at && d.slot != 0:
		return
	case at == never:
		s.unschedule(d)
	case d.slot == 0:
		d.at = at
		heap.Push(&s.timers, d)
	default:
		d.at = at
		heap.Fix(&s.timers, d.slot-1)
	}
}

func (s *Service) unschedule(d *due) {
	if d.slot != 0 {
		heap.Remove(&s.timers, d.slot-1)
	}
}

// expire handles all entries that are due.
func (s *Service) expire(now Instant, out []Effect) []Effect {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		d := heap.Pop(&s.timers).(*due)
		switch {
		case d.request != nil:
			out = s.requestDue(now, d.request, out)
		case d.target != nil:
			out = s.onTargetTimer(now, d.target, out)
		default:
			out = s.onProbeTimer(now, out)
		}
	}
	return out
}

// arm asks for a timer when the next due time is earlier than the timer that is set. A timer that turns out to be too
// early only causes one idle step, which costs less than resetting the timer with each request.
func (s *Service) arm(out []Effect) []Effect {
	if len(s.timers) == 0 || s.timers[0].at >= s.armed {
		return out
	}
	s.armed = s.timers[0].at
	return append(out, Effect{Kind: SetTimer, At: s.armed})
}
