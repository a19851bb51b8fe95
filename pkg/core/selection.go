package core

import "time"

const (
	// localDraws and anyDraws are the numbers of random candidates from the own zone and from everywhere that are
	// compared. Few random candidates keep instances with equally stale views from all choosing the same target.
	localDraws = 3
	anyDraws   = 3
	// nearEqual is the factor by which a later candidate must be better. The order of candidates is random.
	nearEqual = 0.9
	// zonePenalty is the load per slot by which a target in the own zone may exceed a remote one.
	zonePenalty = 0.25
	// suspectPenalty is the load per slot at which a healthy target is as bad as one that looks slow.
	suspectPenalty = 2
	// onceSuspectPenalty is higher because a non-idempotent attempt on a slow target cannot be hedged.
	onceSuspectPenalty = 8
	// meanGain is the weight of one report in the mean load of the service.
	meanGain = 0.1
	// reportMemoryMin bounds the age at which a load report counts half, which otherwise is the typical latency.
	reportMemoryMin = time.Millisecond
)

// baseline reports whether the method is one of the plain ones, which ignore health, load reports and zones, so that
// measurements show what these are worth.
func (m Selection) baseline() bool {
	return m == SelectRandom || m == SelectRoundRobin || m == SelectTwoChoices
}

// pick is the best candidate so far.
type pick struct {
	target *targetState
	score  float64
}

func (p *pick) consider(t *targetState, score float64) {
	if p.target == nil || score < p.score*nearEqual {
		p.target, p.score = t, score
	}
}

// choose returns the target for the next attempt of r, or nil when none has room. A hedge never goes to a target that r
// has tried; other attempts avoid these targets.
func (s *Service) choose(now Instant, r *request, hedge bool) *targetState {
	if s.inFlight >= s.serviceLimit() {
		s.allFull = s.allFull && s.freedTarget == nil // the freed target may have room once the limit allows it
		return nil
	}
	if s.allFull {
		return s.chooseFreed(now, hedge)
	}
	t := s.compare(now, r, hedge)
	s.allFull = t == nil && !hedge
	return t
}

// chooseFreed returns the target that may have got room in this step. While the service is full, looking at 1,100
// targets in each step would cost more than the step.
func (s *Service) chooseFreed(now Instant, hedge bool) *targetState {
	if t := s.freedTarget; t != nil && !hedge && t.usable() && s.hasRoom(t, now) {
		return t
	}
	return nil
}

func (s *Service) compare(now Instant, r *request, hedge bool) *targetState {
	if s.policy.Selection == SelectRoundRobin {
		return s.nextInTurn(now, r, hedge)
	}
	var best pick
	local, anywhere := s.draws()
	s.draw(now, s.localTargets, local, r, false, &best)
	s.draw(now, s.usableTargets, anywhere, r, false, &best)
	if best.target == nil && !hedge {
		s.draw(now, s.usableTargets, 1, r, true, &best)
	}
	return best.target
}

// draws returns the numbers of candidates from the own zone and from everywhere.
func (s *Service) draws() (local, anywhere int) {
	switch s.policy.Selection {
	case SelectRandom:
		return 0, 1
	case SelectTwoChoices:
		return 0, 2
	}
	return localDraws, anyDraws
}

// draw considers count random targets of list that have room. It shuffles the list as far as it looks, so each target
// is looked at once, and all are if none has room. Relaxed admits targets that r has tried and ignores slow start.
func (s *Service) draw(now Instant, list []*targetState, count int, r *request, relaxed bool, best *pick) {
	if count == 0 {
		return
	}
	for i := range list {
		j := i + s.randIntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
		t := list[i]
		if !s.hasRoom(t, now) || !relaxed && (r.tried(t) || !s.admitted(t, now)) {
			continue
		}
		best.consider(t, s.score(t, now, r))
		if count--; count == 0 {
			return
		}
	}
}

func (s *Service) nextInTurn(now Instant, r *request, hedge bool) *targetState {
	for range s.listedTargets {
		s.nextRoundRobin = (s.nextRoundRobin + 1) % len(s.listedTargets)
		t := s.listedTargets[s.nextRoundRobin]
		if t.usable() && s.hasRoom(t, now) && !(hedge && r.tried(t)) {
			return t
		}
	}
	return nil
}

// hasRoom reports whether t may get an attempt now.
func (s *Service) hasRoom(t *targetState, now Instant) bool {
	if s.policy.Selection.baseline() {
		return t.inFlight < s.capacity(t, never)
	}
	return !t.ejection.active && now >= t.backoffUntil && t.inFlight < s.capacity(t, now)
}

// admitted is false for the share of draws that the slow start of t leaves out.
func (s *Service) admitted(t *targetState, now Instant) bool {
	if now >= t.rampUntil || s.policy.Selection.baseline() {
		return true
	}
	const scale = 1 << 20
	return float64(s.randIntN(scale)) < t.slowStartShare(now)*scale
}

// score rates t by the selection method; lower is better.
func (s *Service) score(t *targetState, now Instant, r *request) float64 {
	switch s.policy.Selection {
	case SelectRandom:
		return 0
	case SelectTwoChoices:
		return float64(t.inFlight)
	}
	score := (1 + s.load(t, now)) / float64(s.slots(t))
	if s.policy.Selection == SelectLoadLatency {
		score *= s.slowness(t, now)
	}
	if s.policy.Zone != "" && t.zone != s.policy.Zone {
		score += zonePenalty
	}
	return score + s.suspectCost(t, now, r)
}

// suspectCost returns the penalty for a target that looks slow.
func (s *Service) suspectCost(t *targetState, now Instant, r *request) float64 {
	suspect := s.suspect(t, now)
	if r.class != ClassOnce {
		return suspectPenalty * indicator(suspect)
	}
	return onceSuspectPenalty * indicator(suspect || t.consecutiveSlow > 0 && now-t.slowAt < onceSuspectTime)
}

func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// load estimates the requests on t: our own, which are known, and those of others as last reported. As the report ages
// it gives way to the mean over the service.
func (s *Service) load(t *targetState, now Instant) float64 {
	others := s.meanOthersInUse
	if t.hasReport {
		memory := max(s.typicalLatency(), reportMemoryMin)
		weight := float64(memory) / float64(memory+now-t.reportedAt)
		others += weight * (float64(t.othersInUse) - others)
	}
	return float64(t.inFlight) + others
}

// suspect reports whether t looks slow: by its estimate, or by an attempt that is outstanding for too long. The latter
// is known before any answer, which matters when an instance sends a target only a few requests per second.
func (s *Service) suspect(t *targetState, now Instant) bool {
	if oldest := t.attempts.head(); oldest != nil && s.outstanding(t, now) > suspectOutstandingRatio*s.typicalFor(oldest.request) {
		return true
	}
	return t.hasLatency && s.slowness(t, now) > suspectLatencyRatio
}
