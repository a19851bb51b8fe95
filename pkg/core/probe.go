package core

import (
	"math"
	"time"
)

const (
	// ProbeTimeout bounds the time from SendProbe to the end of the probe. The runtime may thus send a probe up to this
	// long after the budget has granted it. All probes granted during BudgetWindow plus ProbeTimeout can therefore be
	// sent within one BudgetWindow, and healthProbeBudget.refill limits its rate accordingly.
	ProbeTimeout = 250 * time.Millisecond
	// probeAfterIdle is the time since the latest observation of a target after which it may be probed.
	probeAfterIdle = time.Second
	// probeRecheckInterval is the interval at which a service looks for targets to probe while its budget allows no
	// probe at all, and the minimum interval between two counts of denied probes.
	probeRecheckInterval = time.Second
)

// healthProbeBudget is a token bucket whose unit is slot time, the time for which probes occupy slots of targets. It
// starts empty and holds at most the cost of one probe, so that neither the start or replacement of an instance nor a
// pause of its process allows more than the rate plus one probe.
type healthProbeBudget struct {
	timer      timer   // also runs the backlog if the service probes targets for their load
	slotTimeNs float64 // slot time in nanoseconds
	refilledAt Instant
	deniedAt   Instant // time of the last count of a denied probe
}

// refill adds the slot time accrued since the last refill and returns the time until the bucket covers the cost of one
// probe, or never if the allowance is too small. The rate is such that a full bucket and the slot time accrued during
// BudgetWindow plus ProbeTimeout add up to the allowance.
func (b *healthProbeBudget) refill(now Instant, allowance, cost time.Duration) time.Duration {
	elapsed := now - b.refilledAt
	b.refilledAt = now
	if allowance <= cost {
		b.slotTimeNs = 0
		return never
	}
	rate := float64(allowance-cost) / float64(BudgetWindow+ProbeTimeout)
	b.slotTimeNs = min(b.slotTimeNs+rate*float64(elapsed), float64(cost))
	missing := float64(cost) - b.slotTimeNs
	if missing <= 0 {
		return 0
	}
	return time.Duration(min(math.Ceil(missing/rate)+1, float64(time.Hour)))
}

// probeAllowance returns the slot time that this instance may spend on probes per BudgetWindow. A target that reports
// more slots than configured does not raise it, because reports can be wrong.
func (s *Service) probeAllowance() time.Duration {
	slots := 0
	for _, t := range s.usableTargets {
		slots += min(s.slots(t), s.policy.SlotsPerTarget)
	}
	return time.Duration(s.policy.ProbeShare * float64(slots) * float64(BudgetWindow) / float64(max(s.policy.InstanceCount, 1)))
}

// scheduleProbes runs onProbeTimer at the end of the current step.
func (s *Service) scheduleProbes(now Instant) { s.schedule(&s.healthProbeBudget.timer, now) }

// sendsHealthProbes reports whether the policy has health probes.
func (s *Service) sendsHealthProbes() bool {
	p := &s.policy
	return p.ProbeShare > 0 && p.ProbeCost > 0 && !p.Selection.isBaseline() && !s.probesLoad()
}

// onProbeTimer sends at most one health probe and schedules the next check. If the service probes targets for their
// load, it handles the backlog instead.
func (s *Service) onProbeTimer(now Instant, out []Effect) []Effect {
	if s.probesLoad() {
		return s.onBacklogTimer(now, out)
	}
	p := &s.policy
	if !s.sendsHealthProbes() || s.stop.requested {
		return out // a policy change schedules the next check
	}
	allowance := s.probeAllowance()
	wait := s.healthProbeBudget.refill(now, allowance, p.ProbeCost)
	t, next := s.longestUnobserved(now)
	if t != nil && wait == 0 {
		out = append(out, Effect{Kind: SendProbe, Target: t.id, At: now + ProbeTimeout})
		t.probing, t.probedAt = true, now
		s.healthProbeBudget.slotTimeNs -= float64(p.ProbeCost)
		wait = s.healthProbeBudget.refill(now, allowance, p.ProbeCost)
		t, next = s.longestUnobserved(now)
	}
	if t != nil {
		out = s.recordDeniedProbe(now, t, out)
		next = now + min(wait, probeRecheckInterval)
	}
	if next != never {
		s.schedule(&s.healthProbeBudget.timer, next)
	}
	return out
}

// recordDeniedProbe counts that t, the target with the oldest observation, waits for the probe budget, at most once per
// probeRecheckInterval and service. A short wait is not counted: targets tend to become idle together, and then some
// have to wait briefly even if the budget suffices.
func (s *Service) recordDeniedProbe(now Instant, t *targetState, out []Effect) []Effect {
	if now-t.observedAt < 2*probeAfterIdle || s.healthProbeBudget.deniedAt != 0 && now-s.healthProbeBudget.deniedAt < probeRecheckInterval {
		return out
	}
	s.healthProbeBudget.deniedAt = now
	return append(out, Effect{Kind: CountDenied, Target: t.id, Reason: ReasonProbe})
}

// longestUnobserved returns the target to probe first, or nil and the time at which there may be one. The scan starts
// at a random target, so that instances whose observations are equally old do not all probe the same target.
func (s *Service) longestUnobserved(now Instant) (*targetState, Instant) {
	var oldest *targetState
	next := never
	if len(s.usableTargets) == 0 {
		return nil, next
	}
	first := s.randIntN(len(s.usableTargets))
	for i := range s.usableTargets {
		t := s.usableTargets[(first+i)%len(s.usableTargets)]
		at := s.nextProbeAt(now, t)
		next = min(next, at)
		if at <= now && (oldest == nil || t.observedAt < oldest.observedAt) {
			oldest = t
		}
	}
	return oldest, next
}

// nextProbeAt returns the earliest time for a probe of t. A target with attempts in flight is not probed, because their
// responses give more information than a probe, unless it gets no requests before it is probed. A target that sheds
// load is spared the cost of a probe until its backoff ends.
func (s *Service) nextProbeAt(now Instant, t *targetState) Instant {
	if t.probing || t.inFlight > 0 && !t.awaitsProbe(now) {
		return now + probeAfterIdle
	}
	return max(t.observedAt+probeAfterIdle, t.backoffEnd())
}

// probeEnded applies the result of a probe. The latency of a probe is not used as a sample, because it differs from
// that of a request.
func (s *Service) probeEnded(now Instant, ev ProbeEnded, out []Effect) []Effect {
	t := s.targets[ev.Target]
	if t == nil {
		if ev.Statement.Leaving {
			s.startHistory(now, ev.Target).markLeaving(ev.Statement.Start)
		}
		return out
	}
	switch {
	case ev.Unreachable:
		out = s.recordUnreachable(now, t, out)
	case ev.OK, ev.Load.Slots > 0, ev.Statement.Responded:
		out = s.recordReached(out)
	default:
		s.recordUnanswered(now)
	}
	if s.probesLoad() {
		return s.loadProbeEnded(now, t, ev, out)
	}
	s.recordProbeAnswer(now, t, ev)
	outdated := t.probing && (t.trafficObservedAt >= t.probedAt || t.inFlight > 0 || s.resumedAt > t.probedAt)
	sentAt := t.probeSentAt(now)
	t.probing = false
	t.observedAt = now
	out = s.recordStatement(now, t, t.starts.current, ev.Statement, ReasonProbe, out)
	s.recordWarmup(now, t, ev.Statement, sentAt)
	if !ev.OK {
		if outdated {
			return out // newer traffic, or a pause of this process, outweighs the probe
		}
		return s.recordFailure(now, t, failureLatencyRatio*s.typicalLatency(), out)
	}
	s.recordLoad(now, t, ev.Load, 0)
	if !outdated && ev.Latency <= s.latencies.slowThreshold() {
		s.offerTrial(now, t)
	}
	return s.dispatch(now, nil, out)
}

// offerTrial makes an ejected target ready for a trial request at once after a good probe, instead of at the end of its
// ejection time. It does so only once in a series of ejections: if that trial fails, good probes of the target do not
// show that it serves requests well.
func (s *Service) offerTrial(now Instant, t *targetState) {
	e := &t.ejection
	if !e.active || e.readyForTrial || e.trialInFlight || e.probeOfferedTrial {
		return
	}
	e.probeOfferedTrial = true
	s.onEjectionTimer(now, t)
	s.scheduleTarget(now, t)
}

// probeSentAt returns the start of the probe of t in flight, or now if there is none.
func (t *targetState) probeSentAt(now Instant) Instant {
	if t.probing {
		return t.probedAt
	}
	return now
}
