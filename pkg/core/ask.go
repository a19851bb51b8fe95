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

// take reports whether the rate per second allows one more probe, and counts it.
func (b *askBudget) take(now Instant, rate float64) bool {
	limit := rate * askBurst.Seconds()
	if !b.begun {
		b.begun, b.level = true, limit
	}
	b.level = min(limit, b.level+rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// askRate returns the probes per second of this instance.
func (s *Service) askRate() float64 {
	return s.policy.LoadProbesPerTarget * float64(s.usableCount) / float64(max(s.policy.InstanceCount, 1))
}

// startAsking sends r on a fresh report, or asks targets and lets r wait for their answers.
func (s *Service) startAsking(now Instant, r *request, out []Effect) []Effect {
	if t := s.chooseTrial(now, r); t != nil {
		return s.sendTrial(now, r, t, out)
	}
	if s.ahead(now, r) {
		return s.waitForRoom(now, r, out)
	}
	if t, estimate := s.bestReported(now, r, askReuse); t != nil && estimate <= askGood {
		return s.send(now, r, t, out)
	}
	r.phase = phaseProbing
	r.probedRemote = len(s.localSubset) == 0
	r.probesDeadline = now + askLimit
	s.awaitingProbes = append(s.awaitingProbes, r)
	out = s.askFor(now, r, out)
	s.scheduleRequest(r)
	return s.considerAnswers(now, r, out)
}

// askFor asks targets for r: first in the own zone, then anywhere.
func (s *Service) askFor(now Instant, r *request, out []Effect) []Effect {
	list, count := s.localSubset, s.policy.LoadProbesLocal
	if r.probedRemote {
		list, count = s.subset, s.policy.LoadProbesRemote
	}
	r.probedTargets = r.probedTargets[:0]
	accept := func(t *targetState) bool { return s.candidate(t, now, r) }
	return s.ask(now, list, count, accept, func(t *targetState) { r.probedTargets = append(r.probedTargets, t) }, out)
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
		j := i + s.randIntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		t := list[i]
		if !accept(t) || t.hasReport && now-t.reportedAt <= askReuse {
			continue
		}
		if !t.probing {
			if !s.loadProbeBudget.take(now, s.askRate()) {
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
	return !slices.ContainsFunc(r.probedTargets, func(t *targetState) bool { return t.probing })
}

// reviewAsking looks at the requests that wait for answers after an answer has come.
func (s *Service) reviewAsking(now Instant, out []Effect) []Effect {
	for i := 0; i < len(s.awaitingProbes); {
		r := s.awaitingProbes[i]
		out = s.considerAnswers(now, r, out)
		if i < len(s.awaitingProbes) && s.awaitingProbes[i] == r {
			i++
		}
	}
	return out
}

// considerAnswers decides for a request that asked: a good answer is taken at once, otherwise the best one when all have
// come or the time is over.
func (s *Service) considerAnswers(now Instant, r *request, out []Effect) []Effect {
	t, estimate := s.bestReported(now, r, reportLife)
	if t != nil && estimate <= askGood {
		return s.sendAsked(now, r, t, out)
	}
	over := now >= r.probesDeadline
	if !over && !r.answered() {
		return out
	}
	if !r.probedRemote && len(s.subset) > len(s.localSubset) {
		r.probedRemote = true
		r.probesDeadline = now + askLimit
		out = s.askFor(now, r, out)
		s.scheduleRequest(r)
		if len(r.probedTargets) > 0 && !r.answered() {
			return out
		}
		t, _ = s.bestReported(now, r, reportLife)
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
	if i := slices.Index(s.awaitingProbes, r); i >= 0 {
		s.awaitingProbes = slices.Delete(s.awaitingProbes, i, i+1)
	}
	r.probedTargets = r.probedTargets[:0]
	r.probesDeadline = never
}

// chooseUnreported returns the target with the fewest requests of this instance if no target has told its load lately:
// then the answers are lost on the way, not the targets full.
func (s *Service) chooseUnreported(now Instant, r *request) *targetState {
	var best *targetState
	for _, t := range s.usableTargets {
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
	t.ill = !ev.OK
	switch {
	case ev.OK:
		t.evidenceAt = now
		s.noteLoad(now, t, ev.Load, 0)
	case ev.Load.Slots > 0:
		s.noteLoad(now, t, ev.Load, 0)
	default:
		t.hasReport = false
		t.silentAt = now
	}
	out = s.reviewAsking(now, out)
	return s.dispatch(now, t, out)
}
