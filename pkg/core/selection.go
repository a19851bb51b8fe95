package core

import "time"

const (
	// localCandidates and anyZoneCandidates are the numbers of random candidates compared from the local zone and from
	// all zones. Comparing only a few random candidates keeps instances with equally stale views from all choosing the
	// same target.
	localCandidates   = 3
	anyZoneCandidates = 3
	// scoreReplaceRatio is the improvement that a later candidate needs: it replaces the best one only if its score is
	// below this multiple of the best score. Candidates come in random order, so nearly equal scores do not always
	// favor the same target.
	scoreReplaceRatio = 0.9
	// remoteZoneScorePenalty is added to the score of targets in other zones, in requests per slot: a local target is
	// preferred until its load exceeds that of a remote one by this much.
	remoteZoneScorePenalty = 0.25
	// suspectPenalty is added to the score of a target that looks slow, in requests per slot: a healthy target is
	// preferred to it until its load is this much higher. It is also added to the response estimate, which is measured
	// in run times on an undisturbed target.
	suspectPenalty = 2
	// onceSuspectPenalty replaces suspectPenalty in the score for non-idempotent requests. It is higher because their
	// attempts on a slow target cannot be hedged.
	onceSuspectPenalty = 8
	// meanLoadGain is the weight of one load report in the moving average of the load over the service.
	meanLoadGain = 0.1
	// minReportHalfLife is the lower bound of the half-life of load reports, the age at which a report has half its
	// weight. Above the bound, the half-life is the typical latency of the service.
	minReportHalfLife = time.Millisecond
)

// isBaseline reports whether m ignores health, load reports and zones. Baselines serve as the reference in measurements
// of what these contribute.
func (m Selection) isBaseline() bool {
	return m == SelectRandom || m == SelectRoundRobin || m == SelectTwoChoices
}

// bestCandidate is the candidate with the best score so far, if any.
type bestCandidate struct {
	target *targetState
	score  float64
}

func (b *bestCandidate) consider(t *targetState, score float64) {
	if b.target == nil || score < b.score*scoreReplaceRatio {
		b.target, b.score = t, score
	}
}

// chooseTarget returns the target for the next attempt of r, or nil if no target has capacity. Targets that r has tried
// are avoided; a hedge is never sent to one.
func (s *Service) chooseTarget(now Instant, r *request, hedge bool) *targetState {
	if s.inFlightOutsideEvacuation() >= s.serviceLimit() {
		// The service limit keeps the target freed in this step unused. With allFull cleared, the next choice below the
		// limit scans all targets and finds it.
		s.allFull = s.allFull && s.freedTarget == nil
		return nil
	}
	if s.allFull {
		return s.chooseFreed(now, hedge)
	}
	t := s.chooseByMethod(now, r, hedge)
	s.allFull = t == nil && !hedge
	return t
}

// chooseFreed returns the target freed in this step if it has capacity, or nil; for a hedge always nil. While the
// service is full, scanning 1,100 targets in each step would cost more than the rest of the step.
func (s *Service) chooseFreed(now Instant, hedge bool) *targetState {
	if t := s.freedTarget; t != nil && !hedge && t.usable() && s.hasCapacity(t, now) {
		return t
	}
	return nil
}

// chooseByMethod applies the selection method of the policy to all usable targets.
func (s *Service) chooseByMethod(now Instant, r *request, hedge bool) *targetState {
	if s.policy.Selection == SelectRoundRobin {
		return s.chooseRoundRobin(now, r, hedge)
	}
	var best bestCandidate
	local, anywhere := s.candidateCounts()
	s.sampleCandidates(now, s.localTargets, local, r, false, &best)
	s.sampleCandidates(now, s.usableTargets, anywhere, r, false, &best)
	if best.target == nil && !hedge {
		s.sampleCandidates(now, s.usableTargets, 1, r, true, &best)
	}
	return best.target
}

// candidateCounts returns how many candidates to compare from the local zone and from all zones.
func (s *Service) candidateCounts() (local, anywhere int) {
	switch s.policy.Selection {
	case SelectRandom:
		return 0, 1
	case SelectTwoChoices:
		return 0, 2
	}
	return localCandidates, anyZoneCandidates
}

// sampleCandidates offers up to count random targets that have capacity to best. It shuffles targets only as far as it
// scans them: it scans each target at most once and stops early when it has found count targets. With relaxed, targets
// that r has tried are eligible and slow start is ignored.
func (s *Service) sampleCandidates(now Instant, targets []*targetState, count int, r *request, relaxed bool, best *bestCandidate) {
	if count == 0 {
		return
	}
	for i := range targets {
		j := i + s.randIntN(len(targets)-i)
		targets[i], targets[j] = targets[j], targets[i]
		t := targets[i]
		if !s.hasCapacity(t, now) || !relaxed && (r.tried(t) || !s.slowStartAdmits(t, now)) {
			s.recordNotAdmitted(now, r, t)
			continue
		}
		best.consider(t, s.score(t, now, r))
		if count--; count == 0 {
			return
		}
	}
}

func (s *Service) chooseRoundRobin(now Instant, r *request, hedge bool) *targetState {
	for range s.listedTargets {
		s.lastRoundRobin = (s.lastRoundRobin + 1) % len(s.listedTargets)
		t := s.listedTargets[s.lastRoundRobin]
		if t.usable() && s.hasCapacity(t, now) && !(hedge && r.tried(t)) {
			return t
		}
	}
	return nil
}

// isAvailable reports whether t is not ejected or in backoff, has answered a probe if it has to, and admits a request.
func (s *Service) isAvailable(t *targetState, now Instant) bool {
	return !t.ejection.active && now >= t.backoffEnd() && !t.awaitsProbe(now) && s.admits(t, now)
}

// hasCapacity reports whether t may receive an attempt now: it is available and below its in-flight limit. Baselines
// respect the in-flight limit and what the target states, but neither ejections nor the backoff after sheds.
func (s *Service) hasCapacity(t *targetState, now Instant) bool {
	if s.policy.Selection.isBaseline() {
		// At the time never, no slow start is in progress.
		return now >= t.retryAfterUntil && s.admits(t, now) && t.inFlight < s.capacity(t, never)
	}
	return s.isAvailable(t, now) && t.inFlight < s.capacity(t, now)
}

// slowStartAdmits decides at random whether t is eligible, with a probability that rises to 1 by the end of its slow
// start.
func (s *Service) slowStartAdmits(t *targetState, now Instant) bool {
	if now >= t.slowStartUntil || s.policy.Selection.isBaseline() {
		return true
	}
	return s.randFloat() < t.slowStartShare(now)
}

// score rates t by the selection method; lower is better.
func (s *Service) score(t *targetState, now Instant, r *request) float64 {
	switch s.policy.Selection {
	case SelectRandom:
		return 0
	case SelectTwoChoices:
		return float64(t.inFlight)
	}
	score := (1 + s.estimatedLoad(t, now)) / float64(s.slots(t))
	if s.policy.Selection == SelectLoadLatency {
		score *= s.latencyRatio(t, now)
	}
	if s.policy.Zone != "" && t.zone != s.policy.Zone {
		score += remoteZoneScorePenalty
	}
	return score + s.suspectPenaltyFor(t, now, r)
}

// suspectPenaltyFor returns the penalty in the score of t for looking slow, or 0. For a non-idempotent request, a
// single recent slow response is enough.
func (s *Service) suspectPenaltyFor(t *targetState, now Instant, r *request) float64 {
	suspect := s.isSuspect(t, now)
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

// estimatedLoad returns the estimated number of requests on t: those of this instance, which are known, and those of
// other instances as last reported. As the report ages, the number for other instances approaches the mean over the
// targets of the service.
func (s *Service) estimatedLoad(t *targetState, now Instant) float64 {
	others := s.meanOthersInUse
	if t.hasReport {
		halfLife := max(s.typicalLatency(), minReportHalfLife)
		weight := float64(halfLife) / float64(halfLife+now-t.reportedAt)
		others += weight * (float64(t.othersInUse) - others)
	}
	return float64(t.inFlight) + others
}

// isSuspect reports whether t looks slow, either by its latency estimate or because its oldest attempt has been
// outstanding for too long. The latter shows before any response arrives, which matters when an instance sends a target
// only a few requests per second.
func (s *Service) isSuspect(t *targetState, now Instant) bool {
	if oldest := t.attempts.head(); oldest != nil && s.longestOutstanding(t, now) > suspectOutstandingRatio*s.typicalLatencyFor(oldest.request) {
		return true
	}
	return t.hasLatency && s.latencyRatio(t, now) > suspectLatencyRatio
}
