package core

import "time"

// targetState is the view that this instance has of one target.
type targetState struct {
	id      TargetID
	zone    Zone
	starts  *startHistory
	leaving bool // copy of starts.leaving
	listed  bool
	timer   timer

	inFlight int
	attempts list[attempt] // in flight, in order of sending

	slots             int // reported; 0 when unknown
	reportedInUse     int
	sentSinceReport   int     // attempts of this instance since the report
	slowdown          float64 // how long work takes, in multiples of the usual time
	warmupUntil       Instant
	unansweredProbeAt Instant // time of the latest probe without an answer
	unhealthy         bool    // its latest probe was answered with a failure
	othersInUse       int     // reported load without the requests of this instance
	reportedAt        Instant
	hasReport         bool
	inReported        bool // in Service.reported

	latencyEstimate time.Duration
	latencyAt       Instant
	hasLatency      bool
	consecutiveSlow int // slow answers without another one between them
	slowAt          Instant

	limit            float64
	consecutiveSheds int // sheds in a row
	shedAt           Instant
	backoffUntil     Instant
	slowStartUntil   Instant

	ejection ejection

	observedAt        Instant // time of the latest evidence from attempts or probes; at first the time of listing
	trafficObservedAt Instant // time of the latest evidence from attempts
	probing           bool    // a probe is in flight
	probedAt          Instant // start of the latest probe
}

// usable reports whether t may get new attempts at all.
func (t *targetState) usable() bool { return t.listed && !t.leaving }

// setTargets replaces the list of targets.
func (s *Service) setTargets(now Instant, list []Target) {
	first := len(s.listedTargets) == 0
	for _, t := range s.listedTargets {
		t.listed = false
	}
	s.listedTargets = s.listedTargets[:0]
	for _, entry := range list {
		s.listTarget(now, entry, first)
	}
	s.removeUnlistedTargets()
	s.expireStartHistories(now)
	s.refreshTargets(now)
	s.scheduleProbes(now)
}

// listTarget adds one entry of the list. There is no slow start for the first list: no other target could take the load.
func (s *Service) listTarget(now Instant, entry Target, first bool) {
	t := s.targets[entry.ID]
	if t != nil && t.listed {
		return // duplicate entry
	}
	if t == nil {
		t = s.newTarget(now, entry.ID)
		if !first {
			s.startSlowStart(now, t)
		}
	}
	t.listed = true
	t.zone = entry.Zone
	t.warmupUntil = now + entry.Warmup
	starts := s.startHistory(now, entry.ID)
	if starts.setCurrent(entry.Start) {
		s.resetTarget(now, t)
	}
	if entry.Leaving {
		starts.markLeaving(entry.Start)
	}
	t.leaving = starts.leaving()
	s.listedTargets = append(s.listedTargets, t)
}

func (s *Service) newTarget(now Instant, id TargetID) *targetState {
	t := &targetState{id: id, starts: s.startHistory(now, id), observedAt: now, trafficObservedAt: -1, slowdown: 1}
	t.timer.target = t
	t.limit = float64(s.slots(t))
	s.targets[id] = t
	return t
}

// resetTarget forgets the evidence about the former process behind t.
func (s *Service) resetTarget(now Instant, t *targetState) {
	s.endEjection(t)
	s.allFull = false
	t.slots, t.reportedInUse, t.sentSinceReport, t.slowdown, t.hasReport = 0, 0, 0, 1, false
	t.unhealthy, t.hasLatency, t.consecutiveSlow = false, false, 0
	t.consecutiveSheds, t.backoffUntil = 0, 0
	t.ejection = ejection{}
	s.setLimit(t, float64(s.slots(t)))
	s.startSlowStart(now, t)
}

// removeUnlistedTargets drops the targets that are no longer listed; attempts in flight still hold theirs.
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

// refreshTargets recomputes what depends on the set of usable targets.
func (s *Service) refreshTargets(now Instant) {
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

// scheduleTarget sets the next time at which t may become available.
func (s *Service) scheduleTarget(now Instant, t *targetState) {
	at := never
	if t.backoffUntil > now {
		at = t.backoffUntil
	}
	if t.ejection.active {
		at = min(at, t.ejection.timerAt)
	}
	if now < t.slowStartUntil {
		at = min(at, now+slowStartRecheckInterval, t.slowStartUntil)
	}
	s.schedule(&t.timer, at)
}

// onTargetTimer handles the end of a backoff or of an ejection.
func (s *Service) onTargetTimer(now Instant, t *targetState, out []Effect) []Effect {
	if t.ejection.active && t.ejection.timerAt <= now {
		s.onEjectionTimer(now, t)
	}
	s.scheduleTarget(now, t)
	return s.dispatch(now, t, out)
}

// recordLoad takes note of a load report that is age old.
func (s *Service) recordLoad(now Instant, t *targetState, load LoadReport, age time.Duration) {
	at := now - age
	if load.Slots <= 0 || t.hasReport && at < t.reportedAt {
		return
	}
	if t.slots != load.Slots {
		t.slots = load.Slots
		s.setLimit(t, t.limit) // the bounds depend on the slots
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
