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
	// freshReportAge is the age up to which a report is used instead of asking again. Load that changes several times a second
	// is still mostly the same after it.
	freshReportAge = 25 * time.Millisecond
	// loadProbeTimeout is how long a request waits for the answers of the targets that it asked: several times the round trip
	// within a region.
	loadProbeTimeout = 12 * time.Millisecond
	// goodEstimate is the estimate, in multiples of an undisturbed run, at which no further targets are asked.
	goodEstimate = 1.3
	// backlogProbeInterval and backlogAskMax bound the mean interval at which targets are asked while requests wait for room. It
	// doubles while no target has any: then all instances ask, and their probes would take more than they find.
	backlogProbeInterval    = 15 * time.Millisecond
	maxBacklogProbeInterval = 30 * time.Millisecond
	// backlogProbeTargets is the number of targets that are asked at each of these times. The answers of this instance's own
	// requests tell most of what becomes free; probes only find what others leave.
	backlogProbeTargets = 2
	// unansweredProbeTime is how long a target that left a probe unanswered is not sent requests without a report.
	unansweredProbeTime = 2 * time.Second
	// loadProbeBurst is the time for which the allowance of probes accumulates.
	loadProbeBurst = 2 * time.Second
)

// probesLoad reports whether the service probesLoad targets before it sends.
func (s *Service) probesLoad() bool { return s.policy.Selection == SelectAsk }

// loadProbeBudget is a token bucket of probes. It holds askBurst of the rate.
type loadProbeBudget struct {
	tokens      float64
	refilledAt  Instant
	initialized bool
}

// take reports whether the rate per second allows one more probe, and counts it.
func (b *loadProbeBudget) take(now Instant, rate float64) bool {
	limit := rate * loadProbeBurst.Seconds()
	if !b.initialized {
		b.initialized, b.tokens = true, limit
	}
	b.tokens = min(limit, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// loadProbeRate returns the probes per second of this instance.
func (s *Service) loadProbeRate() float64 {
	return s.policy.LoadProbesPerTarget * float64(s.usableCount) / float64(max(s.policy.InstanceCount, 1))
}

// startLoadProbes sends r on a fresh report, or asks targets and lets r wait for their answers.
func (s *Service) startLoadProbes(now Instant, r *request, out []Effect) []Effect {
	if t := s.chooseTrialTarget(now, r); t != nil {
		return s.sendTrial(now, r, t, out)
	}
	if s.isBehindWaiting(now, r) {
		return s.enterBacklog(now, r, out)
	}
	if t, estimate := s.bestReported(now, r, freshReportAge); t != nil && estimate <= goodEstimate {
		return s.send(now, r, t, out)
	}
	r.phase = phaseProbing
	r.probedRemote = len(s.localSubset) == 0
	r.probesDeadline = now + loadProbeTimeout
	s.awaitingProbes = append(s.awaitingProbes, r)
	out = s.probeLoadFor(now, r, out)
	s.scheduleRequest(r)
	return s.decideOnReports(now, r, out)
}

// probeLoadFor asks targets for r: first in the own zone, then anywhere.
func (s *Service) probeLoadFor(now Instant, r *request, out []Effect) []Effect {
	list, count := s.localSubset, s.policy.LoadProbesLocal
	if r.probedRemote {
		list, count = s.subset, s.policy.LoadProbesRemote
	}
	r.probedTargets = r.probedTargets[:0]
	accept := func(t *targetState) bool { return s.isCandidate(t, now, r) }
	return s.sendLoadProbes(now, list, count, accept, func(t *targetState) { r.probedTargets = append(r.probedTargets, t) }, out)
}

// sendLoadProbes sends probes to up to count random targets that accept takes. Targets that are being asked already count, and
// those with a fresh report are passed over.
func (s *Service) sendLoadProbes(
	now Instant, list []*targetState, count int, accept func(*targetState) bool, onProbed func(*targetState), out []Effect,
) []Effect {
	for i := range list {
		if count == 0 {
			break
		}
		j := i + s.randIntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		t := list[i]
		if !accept(t) || t.hasReport && now-t.reportedAt <= freshReportAge {
			continue
		}
		if !t.probing {
			if !s.loadProbeBudget.take(now, s.loadProbeRate()) {
				return append(out, Effect{Kind: CountDenied, Target: t.id, Reason: ReasonProbe})
			}
			t.probing, t.probedAt = true, now
			out = append(out, Effect{Kind: SendProbe, Target: t.id, At: now + ProbeTimeout})
		}
		onProbed(t)
		count--
	}
	return out
}

// probesAnswered reports whether all targets that r asked have probesAnswered or failed.
func (r *request) probesAnswered() bool {
	return !slices.ContainsFunc(r.probedTargets, func(t *targetState) bool { return t.probing })
}

// reviewProbingRequests looks at the requests that wait for answers after an answer has come.
func (s *Service) reviewProbingRequests(now Instant, out []Effect) []Effect {
	for i := 0; i < len(s.awaitingProbes); {
		r := s.awaitingProbes[i]
		out = s.decideOnReports(now, r, out)
		if i < len(s.awaitingProbes) && s.awaitingProbes[i] == r {
			i++
		}
	}
	return out
}

// decideOnReports decides for a request that asked: a good answer is taken at once, otherwise the best one when all have
// come or the time is over.
func (s *Service) decideOnReports(now Instant, r *request, out []Effect) []Effect {
	t, estimate := s.bestReported(now, r, maxReportAge)
	if t != nil && estimate <= goodEstimate {
		return s.endProbingAndSend(now, r, t, out)
	}
	timedOut := now >= r.probesDeadline
	if !timedOut && !r.probesAnswered() {
		return out
	}
	if !r.probedRemote && len(s.subset) > len(s.localSubset) {
		r.probedRemote = true
		r.probesDeadline = now + loadProbeTimeout
		out = s.probeLoadFor(now, r, out)
		s.scheduleRequest(r)
		if len(r.probedTargets) > 0 && !r.probesAnswered() {
			return out
		}
		t, _ = s.bestReported(now, r, maxReportAge)
	}
	if t != nil {
		return s.endProbingAndSend(now, r, t, out)
	}
	s.endProbing(r)
	if t := s.chooseWithoutReports(now, r); t != nil {
		return s.send(now, r, t, out)
	}
	return s.enterBacklog(now, r, out)
}

func (s *Service) endProbingAndSend(now Instant, r *request, t *targetState, out []Effect) []Effect {
	s.endProbing(r)
	return s.send(now, r, t, out)
}

// endProbing ends the wait for answers.
func (s *Service) endProbing(r *request) {
	if i := slices.Index(s.awaitingProbes, r); i >= 0 {
		s.awaitingProbes = slices.Delete(s.awaitingProbes, i, i+1)
	}
	r.probedTargets = r.probedTargets[:0]
	r.probesDeadline = never
}

// chooseWithoutReports returns the target with the fewest requests of this instance if no target has told its load lately:
// then the answers are lost on the way, not the targets full.
func (s *Service) chooseWithoutReports(now Instant, r *request) *targetState {
	var best *targetState
	for _, t := range s.usableTargets {
		if t.hasReport && now-t.reportedAt <= time.Second {
			return nil
		}
		if !s.isCandidate(t, now, r) || now-t.unansweredProbeAt < unansweredProbeTime && t.unansweredProbeAt > 0 || t.inFlight >= s.usableSlots(t) {
			continue
		}
		if best == nil || t.inFlight < best.inFlight {
			best = t
		}
	}
	return best
}

// loadProbeEnded takes the answer of a target that was asked.
func (s *Service) loadProbeEnded(now Instant, t *targetState, ev ProbeEnded, out []Effect) []Effect {
	t.probing = false
	s.recordStart(now, t, t.starts.current, ev.Start, ev.Leaving)
	t.unhealthy = !ev.OK
	switch {
	case ev.OK:
		t.observedAt = now
		s.recordLoad(now, t, ev.Load, 0)
	case ev.Load.Slots > 0:
		s.recordLoad(now, t, ev.Load, 0)
	default:
		t.hasReport = false
		t.unansweredProbeAt = now
	}
	out = s.reviewProbingRequests(now, out)
	return s.dispatch(now, t, out)
}
