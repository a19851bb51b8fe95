package core

import (
	"math"
	"time"
)

const (
	// ProbeLimit bounds the time from SendProbe to the end of the probe. A probe that the runtime sends late can move
	// into a later window by at most this much, which the budget takes into account.
	ProbeLimit = 250 * time.Millisecond
	// probeAfter is the age of the latest evidence about a target at which it may be probed.
	probeAfter = time.Second
	// probeRecheck is the interval at which a service looks for targets to probe while its budget allows no probe at all,
	// and the shortest interval between two counts of denied probes.
	probeRecheck = time.Second
)

// probeBudget is a token bucket in slot time. It starts empty and holds one probe, so neither a start, a replacement nor
// a pause of the process allows more than the rate and that one probe.
type probeBudget struct {
	due      timer
	level    float64 // slot time in nanoseconds
	at       Instant // time of the last refill
	deniedAt Instant // time of the last count of a denied probe
}

// refill adds what accrued since the last refill and returns the time until the level covers one probe; never when the
// allowance is too small. In a window of BudgetWindow plus ProbeLimit a full bucket and the rate add up to the allowance.
func (b *probeBudget) refill(now Instant, allowance, cost time.Duration) time.Duration {
	elapsed := now - b.at
	b.at = now
	if allowance <= cost {
		b.level = 0
		return never
	}
	rate := float64(allowance-cost) / float64(BudgetWindow+ProbeLimit)
	b.level = min(b.level+rate*float64(elapsed), float64(cost))
	missing := float64(cost) - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(min(math.Ceil(missing/rate)+1, float64(time.Hour)))
}

// probeAllowance returns the slot time that this instance may spend on probes per BudgetWindow. A target that reports
// more slots than expected does not raise it, because reports can be wrong.
func (s *Service) probeAllowance() time.Duration {
	slots := 0
	for _, t := range s.usableTargets {
		slots += min(s.slots(t), s.policy.SlotsPerTarget)
	}
	return time.Duration(s.policy.ProbeShare * float64(slots) * float64(BudgetWindow) / float64(max(s.policy.InstanceCount, 1)))
}

// planProbe looks for targets to probe in this step.
func (s *Service) planProbe(now Instant) { s.schedule(&s.probeBudget.due, now) }

// probeDue sends at most one probe and sets the time of the next look.
func (s *Service) probeDue(now Instant, out []Effect) []Effect {
	if s.asks() {
		return s.backlogDue(now, out)
	}
	p := &s.policy
	if p.ProbeShare <= 0 || p.ProbeCost <= 0 || p.Selection.baseline() || s.stopping {
		return out // a change of the policy plans the next look
	}
	allowance := s.probeAllowance()
	wait := s.probeBudget.refill(now, allowance, p.ProbeCost)
	t, next := s.oldestEvidence(now)
	if t != nil && wait == 0 {
		out = append(out, Effect{Kind: SendProbe, Target: t.id, At: now + ProbeLimit})
		t.probing, t.probedAt = true, now
		s.probeBudget.level -= float64(p.ProbeCost)
		wait = s.probeBudget.refill(now, allowance, p.ProbeCost)
		t, next = s.oldestEvidence(now)
	}
	if t != nil {
		out = s.denyProbe(now, t, out)
		next = now + min(wait, probeRecheck)
	}
	if next != never {
		s.schedule(&s.probeBudget.due, next)
	}
	return out
}

// denyProbe counts that t, the target with the oldest evidence, waits for the budget: at most once per probeRecheck and
// service, and not for a short wait, because targets become idle together.
func (s *Service) denyProbe(now Instant, t *targetState, out []Effect) []Effect {
	if now-t.evidenceAt < 2*probeAfter || s.probeBudget.deniedAt != 0 && now-s.probeBudget.deniedAt < probeRecheck {
		return out
	}
	s.probeBudget.deniedAt = now
	return append(out, Effect{Kind: CountDenied, Target: t.id, Reason: ReasonProbe})
}

// oldestEvidence returns the target to probe first, or nil and the time at which there may be one. The scan starts at a
// random target, so that instances with equal evidence do not probe the same target.
func (s *Service) oldestEvidence(now Instant) (*targetState, Instant) {
	var oldest *targetState
	next := never
	if len(s.usableTargets) == 0 {
		return nil, next
	}
	first := s.randIntN(len(s.usableTargets))
	for i := range s.usableTargets {
		t := s.usableTargets[(first+i)%len(s.usableTargets)]
		at := s.probeAt(now, t)
		next = min(next, at)
		if at <= now && (oldest == nil || t.evidenceAt < oldest.evidenceAt) {
			oldest = t
		}
	}
	return oldest, next
}

// probeAt returns the earliest time for a probe of t. Attempts in flight will tell more than a probe, and a target that
// sheds load is spared the cost.
func (s *Service) probeAt(now Instant, t *targetState) Instant {
	if t.probing || t.inFlight > 0 {
		return now + probeAfter
	}
	return max(t.evidenceAt+probeAfter, t.backoffUntil)
}

// probeEnded takes note of a probe. Its latency is not that of a request, so it gives no latency sample.
func (s *Service) probeEnded(now Instant, ev ProbeEnded, out []Effect) []Effect {
	t := s.targets[ev.Target]
	if t == nil {
		if ev.Leaving {
			s.lineage(now, ev.Target).leave(ev.Start)
		}
		return out
	}
	if s.asks() {
		return s.askEnded(now, t, ev, out)
	}
	overtaken := t.probing && (t.trafficAt >= t.probedAt || t.inFlight > 0 || s.resumedAt > t.probedAt)
	t.probing = false
	t.evidenceAt = now
	s.learnStart(now, t, t.starts.current, ev.Start, ev.Leaving)
	if !ev.OK {
		if overtaken {
			return out // newer traffic, or a pause of this process, outweighs the probe
		}
		return s.failed(now, t, failureRatio*s.typicalLatency(), out)
	}
	s.noteLoad(now, t, ev.Load, 0)
	if !overtaken && ev.Latency <= s.latencies.slowAfter() {
		s.offerTrial(now, t)
	}
	return s.dispatch(now, nil, out)
}

// offerTrial ends the time without trials of an ejected target after a good probe. It does so once in a series of
// ejections: when the trial fails nevertheless, traffic has shown that the probes are wrong.
func (s *Service) offerTrial(now Instant, t *targetState) {
	e := &t.ejection
	if !e.active || e.ready || e.trying || e.probed {
		return
	}
	e.probed = true
	s.ejectionDue(now, t)
	s.scheduleTarget(now, t)
}
