package core

import "time"

// targetState is what this instance knows about one target.
type targetState struct {
	id      TargetID
	zone    Zone
	starts  *startHistory
	leaving bool // cached starts.leaving()
	listed  bool
	// evacuated is set while the zone of t is evacuated.
	evacuated bool
	// evacuationEndedAt is the end of the latest evacuation. Attempts sent before it do not show the state of t.
	evacuationEndedAt Instant
	// unprobedUntil is the time until which t gets no requests unless it answers a probe; 0 if it need not.
	unprobedUntil Instant
	timer         timer

	inFlight int
	attempts list[attempt] // in flight, in order of sending

	slots             int // reported; 0 when unknown
	reportedInUse     int
	sentSinceReport   int     // attempts sent by this instance since the report
	slowdown          float64 // time that work takes, in multiples of the usual time
	warmupUntil       Instant // by the list entry
	unansweredProbeAt Instant // time of the latest probe that got no answer
	unhealthy         bool    // its latest load probe failed
	othersInUse       int     // reported load without the attempts of this instance
	reportedAt        Instant
	hasReport         bool
	inReported        bool // t is in Service.reportedTargets

	latencyEstimate time.Duration
	latencyAt       Instant
	hasLatency      bool
	consecutiveSlow int // slow responses in a row
	slowAt          Instant

	limit            float64 // attempts of this instance that may be in flight; can be a fraction
	consecutiveSheds int
	shedAt           Instant
	backoffUntil     Instant // after sheds
	retryAfterUntil  Instant // the target has asked for no requests until then
	slowStartUntil   Instant
	rateLimit        rateLimit
	warmup           warmup
	inSubset         bool // t is in Service.subset

	// entryRevision and entryWarmup are those of the list entry, once entryListed is set.
	entryListed   bool
	entryRevision uint64
	entryWarmup   time.Duration

	ejection ejection

	observedAt        Instant // time of the latest attempt or probe that ended; at first the time of listing
	trafficObservedAt Instant // time of the latest attempt that ended; -1 before the first
	probing           bool    // a probe is in flight
	probedAt          Instant // start of the latest probe
}

// usable reports whether t may get new attempts and probes: it is listed, not leaving, and its zone is not evacuated.
func (t *targetState) usable() bool { return t.listed && !t.leaving && !t.evacuated }

// setTargets replaces the list of targets and drops the state of those no longer listed.
func (s *Service) setTargets(now Instant, entries []Target, out []Effect) []Effect {
	wasEmpty := len(s.listedTargets) == 0
	for _, t := range s.listedTargets {
		t.listed = false
	}
	s.listedTargets = s.listedTargets[:0]
	for _, entry := range entries {
		out = s.listTarget(now, entry, wasEmpty, out)
	}
	s.removeUnlistedTargets()
	s.expireStartHistories(now)
	s.refreshTargets(now)
	s.scheduleProbes(now)
	return out
}

// listTarget adds one entry of the list. A new target gets no slow start if the list was empty before, because no other
// target could take the load.
func (s *Service) listTarget(now Instant, entry Target, wasEmpty bool, out []Effect) []Effect {
	t := s.targets[entry.ID]
	if t != nil && t.listed {
		return out // duplicate entry
	}
	if t == nil {
		t = s.newTarget(now, entry.ID)
		if !wasEmpty {
			s.startSlowStart(now, t)
			s.startWarmup(now, t)
		}
	}
	t.listed = true
	t.zone = entry.Zone
	starts := s.startHistory(now, entry.ID)
	if starts.setCurrent(entry.Start) {
		s.resetTarget(now, t)
	}
	s.listWarmup(now, t, entry)
	if entry.Leaving {
		starts.markLeaving(entry.Start)
	}
	wasLeaving := t.leaving
	t.leaving = starts.leaving()
	s.listedTargets = append(s.listedTargets, t)
	if wasLeaving {
		return out
	}
	return countLeaving(t, ReasonList, out)
}

func (s *Service) newTarget(now Instant, id TargetID) *targetState {
	t := &targetState{id: id, starts: s.startHistory(now, id), observedAt: now, trafficObservedAt: -1, slowdown: 1}
	t.timer.target = t
	t.limit = float64(s.slots(t))
	s.targets[id] = t
	return t
}

// resetTarget discards what was observed about the previous process of t.
func (s *Service) resetTarget(now Instant, t *targetState) {
	s.endEjection(t)
	s.allFull = false
	t.slots, t.reportedInUse, t.sentSinceReport, t.slowdown, t.hasReport = 0, 0, 0, 1, false
	t.unhealthy, t.hasLatency, t.consecutiveSlow = false, false, 0
	t.consecutiveSheds, t.backoffUntil, t.retryAfterUntil = 0, 0, 0
	t.ejection = ejection{}
	t.rateLimit = rateLimit{}
	t.warmup.stated, t.warmup.unknown = false, false
	s.startWarmup(now, t)
	s.setLimit(t, float64(s.slots(t)))
	s.startSlowStart(now, t)
}

// removeUnlistedTargets drops the targets that are no longer listed. Attempts in flight keep a reference to theirs.
func (s *Service) removeUnlistedTargets() {
	for id, t := range s.targets {
		if t.listed {
			continue
		}
		s.endEjection(t)
		s.unschedule(&t.timer)
		delete(s.targets, id)
	}
}

// refreshTargets recomputes everything that depends on the set of usable targets.
func (s *Service) refreshTargets(now Instant) {
	s.applyEvacuation(now)
	s.usableCount, s.limitSum, s.allFull = 0, 0, false
	s.usableTargets, s.localTargets = s.usableTargets[:0], s.localTargets[:0]
	for _, t := range s.listedTargets {
		if !t.usable() {
			s.endEjection(t)
			continue
		}
		s.usableCount++
		s.limitSum += t.limit
		s.usableTargets = append(s.usableTargets, t)
		if s.isLocal(t) {
			s.localTargets = append(s.localTargets, t)
		}
	}
	s.chooseSubset()
	s.enforceMaxEjected(now)
}

// scheduleTarget sets the timer of t to the next time at which it may become available.
func (s *Service) scheduleTarget(now Instant, t *targetState) {
	if t.timer.heapPosition != 0 && t.timer.at <= now {
		return // due in this step, which sets the next time
	}
	at := never
	if t.backoffEnd() > now {
		at = t.backoffEnd()
	}
	if t.ejection.active {
		at = min(at, t.ejection.timerAt)
	}
	if wait := t.rateLimit.wait(now); wait > 0 && wait != never {
		at = min(at, now+wait)
	}
	at = min(at, s.nextWarmupTime(now, t))
	if t.awaitsProbe(now) {
		at = min(at, t.unprobedUntil)
	}
	if now < t.slowStartUntil {
		at = min(at, now+slowStartRecheckInterval, t.slowStartUntil)
	}
	s.schedule(&t.timer, at)
}

// onTargetTimer handles the end of a backoff, of an ejection, of a warm-up, of a step of the slow start or of the wait for
// a request that the rate limit or the warm-up admits.
func (s *Service) onTargetTimer(now Instant, t *targetState, out []Effect) []Effect {
	if t.ejection.active && t.ejection.timerAt <= now {
		s.onEjectionTimer(now, t)
	}
	s.reviewWarmup(now, t)
	s.scheduleTarget(now, t)
	out = s.probeAdmitting(now, t, out)
	return s.dispatch(now, t, out)
}

// recordLoad applies a load report of the given age. Reports older than the current one are ignored.
func (s *Service) recordLoad(now Instant, t *targetState, load LoadReport, age time.Duration) {
	at := now - age
	if load.Slots <= 0 || t.hasReport && at < t.reportedAt {
		return
	}
	if t.slots != load.Slots {
		t.slots = load.Slots
		s.setLimit(t, t.limit) // the bounds of the limit depend on the slots
	}
	t.hasReport = true
	if !t.inReported {
		t.inReported = true
		s.reportedTargets = append(s.reportedTargets, t)
	}
	t.reportedAt = at
	t.reportedInUse = load.InUse
	t.sentSinceReport = 0
	t.slowdown = 1
	if load.Slowdown > 0 {
		t.slowdown = load.Slowdown
	}
	t.othersInUse = max(load.InUse-t.inFlight, 0)
	s.meanOthersInUse += (float64(t.othersInUse) - s.meanOthersInUse) * meanLoadGain
}
