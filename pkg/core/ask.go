package core

import (
	"slices"
	"time"
)

// SelectAsk asks several targets for their load immediately before a request is sent and takes the one that promises the
// earliest answer. It answers services whose load changes faster than an instance's own requests can observe: with a few
// requests per second and target, a report that rode on an earlier answer describes a state that is gone.
const SelectAsk Selection = "ask"

const (
	// askReuse is the age up to which a report is used instead of asking again. Load that changes several times a second
	// is still mostly the same after it.
	askReuse = 25 * time.Millisecond
	// askLimit is how long a request waits for the answers of the targets that it asked: several times the round trip
	// within a region.
	askLimit = 12 * time.Millisecond
	// askGood is the estimate, in multiples of an undisturbed run, at which no further targets are asked.
	askGood = 1.3
	// backlogAsk and backlogAskMax bound the mean interval at which targets are asked while requests wait for room. It
	// doubles while no target has any: then all instances ask, and their probes would take more than they find.
	backlogAsk    = 15 * time.Millisecond
	backlogAskMax = 30 * time.Millisecond
	// backlogTargets is the number of targets that are asked at each of these times. The answers of this instance's own
	// requests tell most of what becomes free; probes only find what others leave.
	backlogTargets = 2
	// silentTime is how long a target that left a probe unanswered is not sent requests without a report.
	silentTime = 2 * time.Second
	// warmupFactor is the estimate of a target that has just started: caches and compilers make it about half as fast.
	warmupFactor = 2
	// fullFactor is the slowdown of a target whose last free slot is taken.
	fullFactor = 1.7
	// calmRuns is the number of typical latencies without a waiting request after which late requests are served: slots
	// that were full then have become free about twice.
	calmRuns = 2
	// remoteCost is the estimate added for a target in another zone: the traffic between zones costs more than the round
	// trip takes.
	remoteCost = 0.1
	// askBurst is the time for which the allowance of probes accumulates.
	askBurst = 2 * time.Second
)

// asks reports whether the service asks targets before it sends.
func (s *Service) asks() bool { return s.policy.Selection == SelectAsk }

// askBudget is a token bucket of probes. It holds askBurst of the rate.
type askBudget struct {
	level float64
	at    Instant
	begun bool
}

// take returns up to n probes as the rate per second allows.
func (b *askBudget) take(now Instant, rate float64, n int) int {
	limit := rate * askBurst.Seconds()
	if !b.begun {
		b.begun, b.level = true, limit
	}
	b.level = min(limit, b.level+rate*(now-b.at).Seconds())
	b.at = now
	granted := min(n, int(b.level))
	b.level -= float64(granted)
	return granted
}

// askRate returns the probes per second of this instance.
func (s *Service) askRate() float64 {
	return s.policy.AskPerTarget * float64(s.usable) / float64(max(s.policy.Instances, 1))
}

// busy returns the requests that t works on or holds, as far as is known.
func (t *targetState) busy() int { return t.reportedInUse + t.sentSince }

// room returns the number of requests that t holds before it counts as full. Targets slow down when nearly all of their
// slots are in use, so that filling the last slot lowers what the target completes.
func (s *Service) room(t *targetState) int {
	return max(1, int(s.policy.Headroom*float64(s.slots(t))+1e-9))
}

// estimate returns when t would answer one more request, in multiples of an undisturbed run.
func (s *Service) estimate(t *targetState, now Instant) float64 {
	slots, busy := s.slots(t), t.busy()
	estimate := t.pace
	if busy+1 > s.room(t) {
		estimate *= fullFactor
	}
	if now < t.warmUntil {
		estimate *= warmupFactor
	}
	if queued := busy + 1 - slots; queued > 0 {
		estimate += t.pace * float64(queued) / float64(slots)
	}
	if s.policy.Zone != "" && t.zone != s.policy.Zone {
		estimate += remoteCost
	}
	if s.suspect(t, now) {
		estimate += suspectPenalty
	}
	return estimate
}

// candidate reports whether r may be sent to t at all.
func (s *Service) candidate(t *targetState, now Instant, r *request) bool {
	return !t.ejection.active && now >= t.backoffUntil && !r.tried(t)
}

// reportedRoom reports whether t has told at most the given time ago that it has room.
func (s *Service) reportedRoom(t *targetState, now Instant, age time.Duration) bool {
	return t.hasReport && now-t.reportedAt <= age && t.busy() < s.room(t)
}

// bestReported returns the target with the lowest estimate among those that told at most the given time ago that they
// have room, and that would answer r in time.
func (s *Service) bestReported(now Instant, r *request, age time.Duration) (best *targetState, estimate float64) {
	limit := s.timeLimit(now, r)
	run := s.runTime(r)
	room := s.roomFor(now, r)
	for _, t := range s.all {
		if !s.reportedRoom(t, now, age) || !s.candidate(t, now, r) || t.busy()+room > s.room(t) {
			continue
		}
		e := s.estimate(t, now)
		if now+time.Duration(e*float64(run)) > limit {
			continue
		}
		if best == nil || e < estimate {
			best, estimate = t, e
		}
	}
	return best, estimate
}

// noRoom is more than any target has.
const noRoom = 1 << 20

// roomFor returns how many requests a target has to have room for to get r.
//
// A request that is late gets none while requests that can be in time had to wait lately: it would take their room, and
// on a slow target for longest, which by the time it ends would be fast again. Otherwise it leaves room for one more, as
// does a request while more urgent ones had to wait.
func (s *Service) roomFor(now Instant, r *request) int {
	calm := now - calmRuns*s.typicalLatency()
	late := s.late(now, r)
	for priority, at := range s.pressedAt {
		if at <= calm || at == 0 {
			continue
		}
		if late {
			return noRoom
		}
		if priority < min(r.priority, numPriorities-1) {
			return 2
		}
	}
	if late {
		return 2
	}
	return 1
}

// late reports whether r would miss its objective on every target.
func (s *Service) late(now Instant, r *request) bool { return now+s.runTime(r) > r.objective }

// timeLimit is the time by which r has to be answered: the objective while it can be met, then the deadline. A request
// that can still be in time thus does not go to a target that is slow at the moment, and one that is late takes what
// others leave.
func (s *Service) timeLimit(now Instant, r *request) Instant {
	if s.late(now, r) {
		return r.deadline
	}
	return r.objective
}

// startAsking sends r on a fresh report, or asks targets and lets r wait for their answers.
func (s *Service) startAsking(now Instant, r *request, out []Effect) []Effect {
	if t := s.chooseTrial(now, r); t != nil {
		return s.sendTrial(now, r, t, out)
	}
	if s.backlog.ahead(r) {
		return s.waitForRoom(now, r, out)
	}
	if t, estimate := s.bestReported(now, r, askReuse); t != nil && estimate <= askGood {
		return s.send(now, r, t, out)
	}
	r.phase = phaseAsking
	r.askedRemote = len(s.nearLocal) == 0
	r.askUntil = now + askLimit
	s.asking = append(s.asking, r)
	out = s.askFor(now, r, out)
	s.scheduleRequest(r)
	return s.considerAnswers(now, r, out)
}

// askFor asks targets for r: first in the own zone, then anywhere.
func (s *Service) askFor(now Instant, r *request, out []Effect) []Effect {
	list, count := s.nearLocal, s.policy.AskLocal
	if r.askedRemote {
		list, count = s.near, s.policy.AskRemote
	}
	r.asked = r.asked[:0]
	accept := func(t *targetState) bool { return s.candidate(t, now, r) }
	return s.ask(now, list, count, accept, func(t *targetState) { r.asked = append(r.asked, t) }, out)
}

// ask sends probes to up to count random targets that accept takes. Targets that are being asked already count, and
// those with a fresh report are passed over.
func (s *Service) ask(
	now Instant, list []*targetState, count int, accept func(*targetState) bool, asked func(*targetState), out []Effect,
) []Effect {
	for i := range list {
		if count == 0 {
			break
		}
		j := i + s.random(len(list)-i)
		list[i], list[j] = list[j], list[i]
		t := list[i]
		if !accept(t) || t.hasReport && now-t.reportedAt <= askReuse {
			continue
		}
		if !t.probing {
			if s.askBudget.take(now, s.askRate(), 1) == 0 {
				return append(out, Effect{Kind: CountDenied, Target: t.id, Reason: ReasonProbe})
			}
			t.probing, t.probedAt = true, now
			out = append(out, Effect{Kind: SendProbe, Target: t.id, At: now + ProbeLimit})
		}
		asked(t)
		count--
	}
	return out
}

// answered reports whether all targets that r asked have answered or failed.
func (r *request) answered() bool {
	return !slices.ContainsFunc(r.asked, func(t *targetState) bool { return t.probing })
}

// reviewAsking looks at the requests that wait for answers after an answer has come.
func (s *Service) reviewAsking(now Instant, out []Effect) []Effect {
	for i := 0; i < len(s.asking); {
		r := s.asking[i]
		out = s.considerAnswers(now, r, out)
		if i < len(s.asking) && s.asking[i] == r {
			i++
		}
	}
	return out
}

// considerAnswers decides for a request that asked: a good answer is taken at once, otherwise the best one when all have
// come or the time is over.
func (s *Service) considerAnswers(now Instant, r *request, out []Effect) []Effect {
	t, estimate := s.bestReported(now, r, askLimit+askReuse)
	if t != nil && estimate <= askGood {
		return s.sendAsked(now, r, t, out)
	}
	over := now >= r.askUntil
	if !over && !r.answered() {
		return out
	}
	if !r.askedRemote && len(s.near) > len(s.nearLocal) {
		r.askedRemote = true
		r.askUntil = now + askLimit
		out = s.askFor(now, r, out)
		s.scheduleRequest(r)
		if len(r.asked) > 0 && !r.answered() {
			return out
		}
		t, _ = s.bestReported(now, r, askLimit+askReuse)
	}
	if t != nil {
		return s.sendAsked(now, r, t, out)
	}
	s.stopAsking(r)
	if t := s.chooseUnreported(now, r); t != nil {
		return s.send(now, r, t, out)
	}
	return s.waitForRoom(now, r, out)
}

func (s *Service) sendAsked(now Instant, r *request, t *targetState, out []Effect) []Effect {
	s.stopAsking(r)
	return s.send(now, r, t, out)
}

// stopAsking ends the wait for answers.
func (s *Service) stopAsking(r *request) {
	if i := slices.Index(s.asking, r); i >= 0 {
		s.asking = slices.Delete(s.asking, i, i+1)
	}
	r.asked = r.asked[:0]
	r.askUntil = never
}

// chooseUnreported returns the target with the fewest requests of this instance if no target has told its load lately:
// then the answers are lost on the way, not the targets full.
func (s *Service) chooseUnreported(now Instant, r *request) *targetState {
	var best *targetState
	for _, t := range s.all {
		if t.hasReport && now-t.reportedAt <= time.Second {
			return nil
		}
		if !s.candidate(t, now, r) || now-t.silentAt < silentTime && t.silentAt > 0 || t.inFlight >= s.room(t) {
			continue
		}
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	return best
}

// askEnded takes the answer of a target that was asked.
func (s *Service) askEnded(now Instant, t *targetState, ev ProbeEnded, out []Effect) []Effect {
	t.probing = false
	s.learnStart(now, t, t.starts.current, ev.Start, ev.Leaving)
	if ev.OK {
		t.evidenceAt = now
		s.noteLoad(now, t, ev.Load, 0)
	} else {
		t.hasReport = false
		t.silentAt = now
	}
	out = s.reviewAsking(now, out)
	return s.dispatch(now, t, out)
}
