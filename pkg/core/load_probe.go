package core

import (
	"slices"
	"time"
)

// SelectAsk probes several targets for their load immediately before a request is sent and chooses the one with the
// earliest expected response. It is meant for services whose load changes faster than an instance can observe through
// its own requests: at a few requests per second and target, the report on an earlier response is out of date.
const SelectAsk Selection = "ask"

const (
	// freshReportAge is the age up to which a load report is reused instead of sending another probe. Even load that
	// changes several times a second rarely changes within this time.
	freshReportAge = 25 * time.Millisecond
	// loadProbeTimeout is how long a request waits for the load probes sent for it: several times the round trip within
	// a region.
	loadProbeTimeout = 12 * time.Millisecond
	// goodEstimate is the response estimate, in multiples of an undisturbed run, at or below which no further targets
	// are probed.
	goodEstimate = 1.3
	// backlogProbeInterval is the minimum interval between rounds of load probes while requests wait in the backlog;
	// jitter makes it up to twice as long. It doubles to maxBacklogProbeInterval while no target has free slots: all
	// instances probe then, and the probes would take more capacity than they find.
	backlogProbeInterval    = 15 * time.Millisecond
	maxBacklogProbeInterval = 30 * time.Millisecond
	// backlogProbeTargets is the number of targets probed in each of these rounds. The responses to this instance's own
	// requests already report most of the slots that become free; probes only find slots that other instances freed and
	// left unused.
	backlogProbeTargets = 2
	// unansweredProbeTime is how long a target that did not answer a probe gets no requests unless it sends a load
	// report.
	unansweredProbeTime = 2 * time.Second
	// loadProbeBurst is the time over which unused probes accumulate.
	loadProbeBurst = 2 * time.Second
)

// probesLoad reports whether the service probes targets for their load before it sends a request.
func (s *Service) probesLoad() bool { return s.policy.Selection == SelectAsk }

// loadProbeBudget is a token bucket of load probes. Its capacity is loadProbeBurst times the rate, and it starts full.
type loadProbeBudget struct {
	tokens      float64
	refilledAt  Instant
	initialized bool
}

// take consumes one token and reports whether one was available, at the given rate in probes per second.
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

// loadProbeRate returns the load probes per second that this instance may send.
func (s *Service) loadProbeRate() float64 {
	return s.policy.LoadProbesPerTarget * float64(s.usableCount) / float64(max(s.policy.InstanceCount, 1))
}

// startLoadProbes sends r as a trial if an ejected target waits for one, or puts r into the backlog if a request that
// precedes it waits there. Otherwise it sends r at once if a fresh report promises a good response, or else probes
// targets and lets r wait for their answers.
func (s *Service) startLoadProbes(now Instant, r *request, out []Effect) []Effect {
	if t := s.chooseTrialTarget(now, r); t != nil {
		return s.sendTrial(now, r, t, out)
	}
	out = s.probeForTrial(now, out)
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

// probeLoadFor sends load probes for r: to targets in the local zone in the first round, to targets in all zones in the
// second.
func (s *Service) probeLoadFor(now Instant, r *request, out []Effect) []Effect {
	targets, count := s.localSubset, s.policy.LoadProbesLocal
	if r.probedRemote {
		targets, count = s.subset, s.policy.LoadProbesRemote
	}
	r.probedTargets = r.probedTargets[:0]
	accept := func(t *targetState) bool { return s.isWorthProbing(t, now) && !r.tried(t) }
	out = s.sendLoadProbes(now, targets, count, accept, func(t *targetState) { r.probedTargets = append(r.probedTargets, t) }, out)
	return s.probeColdOutsideSubset(now, r, out)
}

// isWorthProbing reports whether a load probe of t can help a request: t may receive one now or once it has answered, or
// its rate limit or warm-up may have ended.
func (s *Service) isWorthProbing(t *targetState, now Instant) bool {
	return !t.ejection.active && now >= t.backoffEnd() && (t.rateLimit.admits(now) || t.rateLimit.isCheckDue(now)) &&
		s.isWarmupWorthProbing(t, now)
}

// sendLoadProbes probes up to count random targets that accept admits, and calls onProbed for each. A target with a
// probe in flight counts as probed but gets no second probe; a target with a fresh report is skipped, unless it is not
// known whether it is cold, because load reports on responses to requests do not tell. It stops when the load probe
// budget is used up.
func (s *Service) sendLoadProbes(
	now Instant, targets []*targetState, count int, accept func(*targetState) bool, onProbed func(*targetState), out []Effect,
) []Effect {
	for i := range targets {
		if count == 0 {
			break
		}
		j := i + s.randIntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
		t := targets[i]
		if !accept(t) || t.hasReport && now-t.reportedAt <= freshReportAge && s.warmthOf(t, now) != unknownWarmth {
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

// probesEnded reports whether no probe that r waits for is still in flight. The load of evacuated targets is not needed.
func (r *request) probesEnded() bool {
	return !slices.ContainsFunc(r.probedTargets, func(t *targetState) bool { return t.probing && !t.evacuated })
}

// reviewProbingRequests decides again on all requests that wait for load probes, after a probe has ended.
func (s *Service) reviewProbingRequests(now Instant, out []Effect) []Effect {
	for i := 0; i < len(s.awaitingProbes); {
		r := s.awaitingProbes[i]
		out = s.decideOnReports(now, r, out) // removes r from the list unless r has to wait longer
		if i < len(s.awaitingProbes) && s.awaitingProbes[i] == r {
			i++
		}
	}
	return out
}

// decideOnReports decides how r, which waits for load probes, proceeds. A target with a good estimate is chosen at
// once. Otherwise, when all probes have ended or the timeout has passed, a second round probes targets in all zones if
// the first was limited to the local zone; after that the best target is chosen. If no reported target qualifies, r is
// sent to one without a report or enters the backlog.
func (s *Service) decideOnReports(now Instant, r *request, out []Effect) []Effect {
	t, estimate := s.bestReported(now, r, maxReportAge)
	if t != nil && estimate <= goodEstimate {
		return s.endProbingAndSend(now, r, t, out)
	}
	timedOut := now >= r.probesDeadline
	if !timedOut && !r.probesEnded() {
		return out
	}
	if !r.probedRemote && len(s.subset) > len(s.localSubset) {
		r.probedRemote = true
		r.probesDeadline = now + loadProbeTimeout
		out = s.probeLoadFor(now, r, out)
		s.scheduleRequest(r)
		if len(r.probedTargets) > 0 && !r.probesEnded() {
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

// endProbing removes r from the requests that wait for load probes.
func (s *Service) endProbing(r *request) {
	if i := slices.Index(s.awaitingProbes, r); i >= 0 {
		s.awaitingProbes = slices.Delete(s.awaitingProbes, i, i+1)
	}
	r.probedTargets = r.probedTargets[:0]
	r.probesDeadline = never
}

// chooseWithoutReports returns the target with the fewest requests of this instance, or nil if any target has reported
// its load within the last second. If none has, probes or their responses are lost on the way, and targets may have
// free slots all the same.
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

// loadProbeEnded applies the result of a load probe of t.
func (s *Service) loadProbeEnded(now Instant, t *targetState, ev ProbeEnded, out []Effect) []Effect {
	sentAt := t.probeSentAt(now)
	t.probing = false
	s.recordProbeAnswer(now, t, ev)
	out = s.recordStatement(now, t, t.starts.current, ev.Statement, ReasonProbe, out)
	s.recordWarmup(now, t, ev.Statement, sentAt)
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
