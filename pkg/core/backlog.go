package core

import (
	"slices"
	"time"
)

// backlog holds the requests that wait for room while the service asks its targets.
//
// It answers bursts beyond what the targets can take: requests that can still meet their objective go before those that
// cannot, by priority and then in order of arrival, so that late work never makes more work late. Requests that are late
// get what room is left, up to their deadline.
type backlog struct {
	waiting []*request
}

// ahead reports whether a request of at least the priority of r waits already.
func (b *backlog) ahead(r *request) bool {
	return slices.ContainsFunc(b.waiting, func(w *request) bool { return w.priority <= r.priority })
}

func (b *backlog) add(r *request) { b.waiting = append(b.waiting, r) }

func (b *backlog) remove(r *request) {
	if i := slices.Index(b.waiting, r); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// first returns the request that goes next, or nil. A run is how long a target is expected to work on it.
func (b *backlog) first(now Instant, run time.Duration) *request {
	var best *request
	for _, r := range b.waiting {
		if best == nil || before(r, best, now+run) {
			best = r
		}
	}
	return best
}

// before reports whether a goes before b if they would be answered at the given time.
func before(a, b *request, answered Instant) bool {
	lateA, lateB := a.objective < answered, b.objective < answered
	switch {
	case lateA != lateB:
		return lateB
	case a.priority != b.priority:
		return a.priority < b.priority
	}
	return a.arrived < b.arrived
}

// waitForRoom puts r into the backlog, or refuses it if it could not be answered in time.
func (s *Service) waitForRoom(now Instant, r *request, out []Effect) []Effect {
	switch {
	case s.stopping && r.started == 0:
		return s.refuse(now, r, ReasonStopping, out)
	case len(s.backlog.waiting) >= s.policy.QueueLimit:
		return s.refuse(now, r, ReasonQueueFull, out)
	case now+s.backlogWait(now, r)+s.typicalLatency() > r.deadline:
		return s.refuse(now, r, ReasonInfeasible, out)
	}
	r.phase = phaseQueued
	s.backlog.add(r)
	s.drained.setBusy(now, true)
	s.scheduleRequest(r)
	s.schedule(&s.probes.due, now)
	return out
}

// backlogWait returns how long r would wait behind the requests that go before it.
func (s *Service) backlogWait(now Instant, r *request) time.Duration {
	ahead := 0
	for _, w := range s.backlog.waiting {
		if before(w, r, now+s.typicalLatency()) {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / s.requestsPerSecond(now) * float64(time.Second))
}

// dispatchBacklog sends waiting requests while targets have reported room.
func (s *Service) dispatchBacklog(now Instant, out []Effect) []Effect {
	for len(s.backlog.waiting) > 0 {
		r := s.backlog.first(now, s.typicalLatency())
		if s.usable == 0 {
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, ReasonNoTarget, out)
			continue
		}
		t, _ := s.bestReported(now, r, askReuse)
		if t == nil {
			return out
		}
		s.leaveBacklog(now, r)
		out = s.send(now, r, t, out)
	}
	return out
}

func (s *Service) leaveBacklog(now Instant, r *request) {
	s.backlog.remove(r)
	s.drained.setBusy(now, len(s.backlog.waiting) > 0)
}

// backlogDue refuses what can no longer be answered and asks targets again while requests wait.
func (s *Service) backlogDue(now Instant, out []Effect) []Effect {
	if len(s.backlog.waiting) == 0 {
		return out
	}
	for _, r := range slices.Clone(s.backlog.waiting) {
		if now+s.typicalLatency() > r.deadline {
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, ReasonDeadline, out)
		}
	}
	r := s.backlog.first(now, s.typicalLatency())
	if r == nil {
		return out
	}
	accept := func(t *targetState) bool { return s.candidate(t, now, r) }
	out = s.ask(now, s.all, s.policy.AskRemote, accept, func(*targetState) {}, out)
	s.schedule(&s.probes.due, now+s.jitter(2*backlogAsk))
	return out
}
