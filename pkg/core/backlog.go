package core

import (
	"cmp"
	"slices"
	"time"
)

// backlog holds the requests that wait for free slots when the service probes targets for their load.
//
// It limits the damage of bursts beyond the capacity of the targets. Requests that can still meet their objective
// precede late ones, which cannot, so that late requests do not delay others. Within each group, priority decides and
// then the order of arrival. Late requests are sent only if no request that could meet its objective had to wait
// recently, and are refused one run time after their objective has passed.
type backlog struct {
	waiting []*request
	// unsuccessfulRounds is the number of probe rounds in a row after which no request could be sent.
	unsuccessfulRounds int
}

// isBehindWaiting reports whether a waiting request precedes r or ranks equal to it.
func (s *Service) isBehindWaiting(now Instant, r *request) bool {
	return slices.ContainsFunc(s.backlog.waiting, func(w *request) bool { return s.comparePrecedence(now, w, r) <= 0 })
}

func (b *backlog) add(r *request) { b.waiting = append(b.waiting, r) }

func (b *backlog) remove(r *request) {
	if i := slices.Index(b.waiting, r); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// comparePrecedence is negative if a is sent before b, and 0 if neither precedes the other.
func (s *Service) comparePrecedence(now Instant, a, b *request) int {
	if late := s.isLate(now, a); late != s.isLate(now, b) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrived, b.arrived))
}

// waitingInOrder returns the waiting requests in the order in which they are sent.
func (s *Service) waitingInOrder(now Instant) []*request {
	order := slices.Clone(s.backlog.waiting)
	slices.SortStableFunc(order, func(a, b *request) int { return s.comparePrecedence(now, a, b) })
	return order
}

// enterBacklog puts r into the backlog, or refuses it if the service is stopping, no target is usable, the backlog is full
// or r would miss its deadline.
func (s *Service) enterBacklog(now Instant, r *request, out []Effect) []Effect {
	switch {
	case s.stop.requested && r.attemptsStarted == 0:
		return s.refuse(now, r, ReasonStopping, out)
	case s.usableCount == 0:
		return s.refuse(now, r, s.noTargetReason(), out)
	case len(s.backlog.waiting) >= s.policy.QueueLimit:
		return s.refuse(now, r, ReasonQueueFull, out)
	case now+s.expectedBacklogWait(now, r)+s.runTime(r) > r.deadline, s.isHopeless(now, r, s.runTime(r), s.coldWait(now)):
		return s.refuse(now, r, s.infeasibleReason(now), out)
	}
	s.recordContention(now, r)
	r.phase = phaseQueued
	s.backlog.add(r)
	s.completions.setQueueBusy(now, true)
	s.scheduleRequest(r)
	s.schedule(&s.healthProbeBudget.timer, now) // runs onBacklogTimer in this step
	return out
}

// numPriorities is the number of priorities that are distinguished under contention; lower ones count as the last.
const numPriorities = 4

// recordContention records that r has to wait although it can meet its objective.
func (s *Service) recordContention(now Instant, r *request) {
	if !s.isLate(now, r) {
		s.contendedAt[min(max(r.priority, 0), numPriorities-1)] = now
	}
}

// expectedBacklogWait returns how long r would wait for the requests that precede it.
func (s *Service) expectedBacklogWait(now Instant, r *request) time.Duration {
	ahead := 0
	for _, w := range s.backlog.waiting {
		if s.comparePrecedence(now, w, r) < 0 {
			ahead++
		}
	}
	wait := time.Duration(float64(ahead) / s.departuresPerSecond(now, s.runTime(r)) * float64(time.Second))
	stated, _ := s.statedWait(now, ahead)
	return max(wait, stated)
}

// dispatchBacklog sends waiting requests while targets have reported free slots, and refuses all of them if no target
// is usable. A request for which none of the targets with free slots qualifies does not block those behind it.
func (s *Service) dispatchBacklog(now Instant, out []Effect) []Effect {
	if len(s.backlog.waiting) == 0 {
		return out
	}
	hasFreeSlots := slices.ContainsFunc(s.recentReports(now), func(t *targetState) bool { return s.hasReportedFreeSlots(t, now, freshReportAge, 1) })
	if !hasFreeSlots && s.usableCount > 0 {
		return out
	}
	for _, r := range s.waitingInOrder(now) {
		if s.usableCount == 0 {
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, s.noTargetReason(), out)
			continue
		}
		if t, _ := s.bestReported(now, r, freshReportAge); t != nil {
			s.recordContention(now, r)
			s.leaveBacklog(now, r)
			s.backlog.unsuccessfulRounds = 0
			out = s.send(now, r, t, out)
		}
	}
	return out
}

// probeAdmitting probes t if its rate limit or warm-up admits a request again and requests wait. The rounds of
// onBacklogTimer would reach it too late: until it is used, the share of this instance stays unused.
func (s *Service) probeAdmitting(now Instant, t *targetState, out []Effect) []Effect {
	if !s.probesLoad() || len(s.backlog.waiting) == 0 || !t.rateLimit.active && !s.boundsWarmup() || !t.usable() || s.isOutOfReach(t, now) {
		return out
	}
	accept := func(t *targetState) bool {
		return s.isAvailable(t, now) || s.warmthOf(t, now) == unknownWarmth && s.isWorthProbing(t, now)
	}
	return s.sendLoadProbes(now, []*targetState{t}, 1, accept, func(*targetState) {}, out)
}

func (s *Service) leaveBacklog(now Instant, r *request) {
	s.backlog.remove(r)
	s.completions.setQueueBusy(now, len(s.backlog.waiting) > 0)
}

// shouldRefuse reports whether a waiting request has to be refused: it can no longer meet its deadline, or it is still
// waiting one run time after its objective has passed, although every slot has become free once in that time. For a
// request that arrived after its objective, the run time counts from the arrival.
func (s *Service) shouldRefuse(now Instant, r *request) bool {
	run := s.runTime(r)
	return now+run > r.deadline || now > max(r.objective, r.arrived)+run
}

// onBacklogTimer refuses waiting requests that cannot be served. If other requests remain, it sends the next round of
// load probes.
func (s *Service) onBacklogTimer(now Instant, out []Effect) []Effect {
	coldWait := s.coldWait(now)
	for _, r := range slices.Clone(s.backlog.waiting) {
		switch {
		case s.shouldRefuse(now, r):
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, ReasonDeadline, out)
		case s.isHopeless(now, r, s.runTime(r), coldWait):
			s.leaveBacklog(now, r)
			out = s.refuse(now, r, ReasonWarmup, out)
		}
	}
	if len(s.backlog.waiting) == 0 {
		return out
	}
	accept := func(t *targetState) bool { return s.isWorthProbing(t, now) }
	out = s.sendLoadProbes(now, s.subset, backlogProbeTargets, accept, func(*targetState) {}, out)
	s.schedule(&s.healthProbeBudget.timer, now+s.jitter(2*exponentialBackoff(backlogProbeInterval, s.backlog.unsuccessfulRounds, maxBacklogProbeInterval)))
	s.backlog.unsuccessfulRounds++
	return out
}
