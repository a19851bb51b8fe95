package core

import "time"

const (
	// drainWindow is the span over which ended attempts are counted.
	drainWindow = time.Second
	drainStep   = 100 * time.Millisecond
	drainSteps  = int(drainWindow / drainStep)
	// waitMargin is added to the expected wait: a request refused at once costs its caller less than one that expires
	// in the queue.
	waitMargin = 1.5
	// retryAfterMin and retryAfterMax bound Retry-After.
	retryAfterMin = 100 * time.Millisecond
	retryAfterMax = 30 * time.Second
)

// drainRate counts ended attempts over drainWindow.
type drainRate struct {
	steps   [drainSteps]int
	current int64
	total   int
	// busySince is the time since which the queue has not been empty.
	busySince Instant
	busy      bool
}

func (d *drainRate) advance(now Instant) {
	newest := int64(now / drainStep)
	for i := max(d.current, newest-int64(drainSteps)); i < newest; i++ {
		step := &d.steps[(i+1)%int64(drainSteps)]
		d.total -= *step
		*step = 0
	}
	d.current = newest
}

func (d *drainRate) count(now Instant) {
	d.advance(now)
	d.steps[d.current%int64(drainSteps)]++
	d.total++
}

func (d *drainRate) setBusy(now Instant, busy bool) {
	if busy && !d.busy {
		d.busySince = now
	}
	d.busy = busy
}

// requestsPerSecond returns the rate at which requests leave the queue. Ended attempts show it once the queue has been
// busy for the whole window; before that the attempts in flight and the given latency do.
func (s *Service) requestsPerSecond(now Instant, latency time.Duration) float64 {
	s.drained.advance(now)
	if s.drained.busy && now-s.drained.busySince >= drainWindow && s.drained.total > 0 {
		return float64(s.drained.total) / drainWindow.Seconds()
	}
	return float64(max(s.inFlight, 1)) / latency.Seconds()
}

// expectedWait returns how long a new request of the class would wait in the queue.
func (s *Service) expectedWait(now Instant, class Class) time.Duration {
	rate := s.requestsPerSecond(now, s.typicalLatency())
	ahead := s.queue.urgentLength()
	patient := s.queue.classes[ClassPatient].length
	switch {
	case class == ClassPatient && ahead > 0:
		rate /= patientShare // the guaranteed share
		ahead = patient
	case class == ClassPatient:
		ahead = patient
	case patient > 0:
		rate *= (patientShare - 1.0) / patientShare
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// retryAfter returns when the caller of a refused request can expect room. Beside a backlog it adds up to half of the
// wait at random: many requests are refused at the same moments of a burst, and would return together.
func (s *Service) retryAfter(now Instant, r *request) time.Duration {
	wait := s.expectedWait(now, r.class)
	if s.probesLoad() {
		wait = s.expectedBacklogWait(now, r)
		wait += time.Duration(s.random(int(wait/2) + 1))
	}
	return min(max(wait, retryAfterMin), retryAfterMax)
}

// admit puts a request that cannot be sent now into its queue, or refuses it.
func (s *Service) admit(now Instant, r *request, out []Effect) []Effect {
	if s.stopping && r.started == 0 {
		return s.refuse(now, r, ReasonStopping, out)
	}
	if s.queue.classes[r.class].length >= s.policy.QueueLimit {
		return s.refuse(now, r, ReasonQueueFull, out)
	}
	wait := time.Duration(waitMargin * float64(s.expectedWait(now, r.class)))
	if r.started == 0 && now+wait+s.typicalLatencyFor(r) > r.deadline {
		return s.refuse(now, r, ReasonInfeasible, out)
	}
	r.phase = phaseQueued
	s.queue.push(r)
	s.drained.setBusy(now, true)
	s.scheduleRequest(r)
	return out
}

// dispatch sends queued requests while targets have room. Freed is the target that may have got room, or nil.
func (s *Service) dispatch(now Instant, freed *targetState, out []Effect) []Effect {
	if s.probesLoad() {
		return s.dispatchBacklog(now, out)
	}
	s.freed = freed
	out = s.dispatchQueue(now, out)
	s.full = s.full && (s.queue.length() > 0 || freed == nil)
	s.freed = nil
	return out
}

func (s *Service) dispatchQueue(now Instant, out []Effect) []Effect {
	for s.queue.length() > 0 {
		r := s.queue.head()
		if now+s.typicalLatencyFor(r) > r.deadline {
			s.dequeue(now, r)
			out = s.refuse(now, r, ReasonDeadline, out)
			continue
		}
		if s.usable == 0 {
			s.dequeue(now, r)
			out = s.refuse(now, r, ReasonNoTarget, out)
			continue
		}
		t := s.choose(now, r, false)
		if t == nil {
			return out
		}
		s.queue.leave(r)
		s.drained.setBusy(now, s.queue.length() > 0)
		out = s.send(now, r, t, out)
	}
	return out
}

// dequeue removes a request that leaves the queue without its turn.
func (s *Service) dequeue(now Instant, r *request) {
	s.queue.remove(r)
	s.drained.setBusy(now, s.queue.length() > 0)
}
