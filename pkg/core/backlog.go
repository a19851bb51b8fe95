package core

import (
	"cmp"
	"slices"
	"time"
)

// backlog holds the requests that wait for room while the service asks its targets.
//
// It answers bursts beyond what the targets can take: requests that can still meet their objective go before those that
// cannot, by priority and then in order of arrival, so that late work never makes more work late. Requests that are late
// get room only while no others had to wait for it lately, and are refused after the time of one run without.
type backlog struct {
	waiting []*request
	// asked is the number of times in a row that targets were asked without finding room.
	asked int
}

// ahead reports whether a request waits already that r does not go before.
func (s *Service) ahead(now Instant, r *request) bool {
	return slices.ContainsFunc(s.backlog.waiting, func(w *request) bool { return s.compareTurns(now, w, r) <= 0 })
}

func (b *backlog) add(r *request) { b.waiting = append(b.waiting, r) }

func (b *backlog) remove(r *request) {
	if i := slices.Index(b.waiting, r); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// compareTurns is negative if a gets room before b, and 0 if neither goes first.
func (s *Service) compareTurns(now Instant, a, b *request) int {
	if late := s.late(now, a); late != s.late(now, b) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrived, b.arrived))
}

// inOrder returns the waiting requests in the order in which they get room.
func (s *Service) inOrder(now Instant) []*request {
	order := slices.Clone(s.backlog.waiting)
	slices.SortStableFunc(order, func(a, b *request) int { return s.compareTurns(now, a, b) })
	return order
}

// waitForRoom puts r into the backlog, or refuses it if it could not be answered in time.
func (s *Service) waitForRoom(now Instant, r *request, out []Effect) []Effect {
	switch {
	case s.stopping && r.attemptsStarted == 0:
		return s.refuse(now, r, ReasonStopping, out)
	case len(s.backlog.waiting) >= s.policy.QueueLimit:
		return s.refuse(now, r, ReasonQueueFull, out)
	case now+s.backlogWait(now, r)+s.runTime(r) > r.deadline:
		return s.refuse(now, r, ReasonInfeasible, out)
	}
	s.notePressure(now, r)
	r.phase = phaseQueued
	s.backlog.add(r)
	s.completions.setQueueBusy(now, true)
	s.scheduleRequest(r)
	s.schedule(&s.probeBudget.due, now)
	return out
}

// numPriorities bounds the priorities that are told apart under pressure; lower ones count as the last.
const numPriorities = 4

// notePressure notes that r has to wait although it can be in time.
func (s *Service) notePressure(now Instant, r *request) {
	if !s.late(now, r) {
		s.contendedAt[min(max(r.priority, 0), numPriorities-1)] = now
	}
}

// backlogWait returns how long r would wait behind the requests that go before it.
func (s *Service) backlogWait(now Instant, r *request) time.Duration {
	ahead := 0
	for _, w := range s.backlog.waiting {
		if s.compareTurns(now, w, r) < 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / s.departuresPerSecond(now, s.runTime(r)) * float64(time.Second))
}

// dispatchBacklog sends waiting requests while targets have reported room. A request for which no such target is good
// enough does not hold up those behind it.
func (s *Service) dispatchBacklog(now Instant, out []Effect) []Effect {
	if len(s.backlog.waiting) == 0 {
		return out
	}
	room := slices.ContainsFunc(s.recentReports(now), func(t *targetState) bool { return s.reportedRoom(t, now, askReuse, 1) })
	if !room && s.usableCount > 0 {
		return out
	}
	for _, r := range s.inOrder(now) {
		if s.usableCount == 0 {
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, ReasonNoTarget, out)
			continue
		}
		if t, _ := s.bestReported(now, r, askReuse); t != nil {
			s.notePressure(now, r)
			s.leaveBacklog(now, r)
			s.backlog.asked = 0
			out = s.send(now, r, t, out)
		}
	}
	return out
}

func (s *Service) leaveBacklog(now Instant, r *request) {
	s.backlog.remove(r)
	s.completions.setQueueBusy(now, len(s.backlog.waiting) > 0)
}

// hopeless reports whether a waiting request has to be refused: it cannot meet its deadline any more, or it has been late
// for the time of one run, in which every slot became free once, without room for it.
func (s *Service) hopeless(now Instant, r *request) bool {
	run := s.runTime(r)
	return now+run > r.deadline || now > max(r.objective, r.arrived)+run
}

// backlogDue refuses what is hopeless, and asks targets again while requests wait.
func (s *Service) backlogDue(now Instant, out []Effect) []Effect {
	for _, r := range slices.Clone(s.backlog.waiting) {
		if s.hopeless(now, r) {
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, ReasonDeadline, out)
		}
	}
	if len(s.backlog.waiting) == 0 {
		return out
	}
	accept := func(t *targetState) bool { return !t.ejection.active && now >= t.backoffUntil }
	out = s.ask(now, s.subset, backlogTargets, accept, func(*targetState) {}, out)
	s.schedule(&s.probeBudget.due, now+s.jitter(2*exponentialBackoff(backlogAsk, s.backlog.asked, backlogAskMax)))
	s.backlog.asked++
	return out
}
