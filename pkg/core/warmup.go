package core

import (
	"math"
	"slices"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/fleetrate"
)

// This file bounds the requests to cold targets. A target is cold for a time after its start and may become cold again
// while it runs. Meanwhile it tolerates Policy.WarmupRate requests per second from all instances together, which package
// fleetrate divides among a few of them.

// The age of the latest statement of a target about its warm-up, on the response to a load probe, above which its state
// is unknown. Instances that have not noticed that a target is cold send it at most the requests of this time.
const (
	maxWarmthAge = 500 * time.Millisecond
	// minWarmthAge is how long the load report on the same response can be used.
	minWarmthAge = maxReportAge
	// unnoticedShare is the share of what the bound leaves beside the senders that the mean number of these requests may
	// take. The target with the most requests gets about twice the mean.
	unnoticedShare = 0.7
)

// An instance that has known other instances for less than joinTime learns of the others step by step, because all may
// have been replaced together. It sends nothing to cold targets until it has learned of no further one for settleTime,
// which is longer than two rounds of the exchange between instances.
const (
	joinTime   = 30 * time.Second
	settleTime = 2 * time.Second
)

// warmth is the warm-up state of a target as far as this instance knows.
type warmth uint8

const (
	warm warmth = iota
	cold
	// unknownWarmth is treated like cold until a probe is answered, but does not lead to refusals.
	unknownWarmth
)

// warmup is what this instance knows about the warm-up of one target, and its share of the rate for cold targets.
type warmup struct {
	coldUntil Instant // by the newest observation; the target is warm at this time
	// stated is set once a response to a probe has stated whether the target is cold; statedAt is the start of the latest
	// such probe.
	stated   bool
	statedAt Instant
	// unknown is set while earlier observations say nothing about the current state.
	unknown      bool
	bucket       fleetrate.Bucket
	started      bool
	shareVersion int  // value of Service.shareVersion for which the share of the bucket was computed
	reportedCold bool // by the latest ReportWarmup effect
}

// markUnknown discards what is known, until a probe is answered. Until then t counts as cold.
func (w *warmup) markUnknown() { w.unknown, w.stated = true, false }

// boundsWarmup reports whether requests to cold targets are bounded.
func (s *Service) boundsWarmup() bool { return s.policy.WarmupRate > 0 }

// warmthOf returns the warm-up state of t; always warm if requests to cold targets are not bounded.
func (s *Service) warmthOf(t *targetState, now Instant) warmth {
	w := &t.warmup
	switch {
	case !s.boundsWarmup():
		return warm
	case now < w.coldUntil:
		return cold
	case s.probesLoad() && (!w.stated || now-w.statedAt > s.warmthAge):
		return unknownWarmth
	case w.unknown && s.policy.ProbeShare > 0:
		return unknownWarmth
	}
	return warm
}

// updateWarmup prepares a step of a service whose requests to cold targets are bounded.
func (s *Service) updateWarmup(now Instant) {
	if !s.boundsWarmup() {
		return
	}
	s.updateWarmthAge(now)
	if s.fleetUnsettled && now >= s.fleetSettlesAt {
		s.fleetUnsettled = false
		s.updateWarmupShares(now)
	}
}

// learnFleet notes a change of the known instances.
func (s *Service) learnFleet(now Instant, before []string) {
	if len(before) <= 1 && len(s.fleet) > 1 {
		s.fleetJoinedAt = now
	}
	hasNew := slices.ContainsFunc(s.fleet, func(id string) bool { return !slices.Contains(before, id) })
	if s.policy.HasPeers && hasNew && len(s.fleet) > 1 && now-s.fleetJoinedAt < joinTime {
		s.fleetUnsettled, s.fleetSettlesAt = true, now+settleTime
	}
	s.updateWarmupShares(now)
}

// updateWarmupShares makes the shares in the rates of cold targets be computed again.
func (s *Service) updateWarmupShares(now Instant) {
	s.shareVersion++
	for _, t := range s.coldTargets {
		if t.listed {
			s.scheduleTarget(now, t)
		}
	}
}

// updateWarmthAge sets the age above which the state of a target is unknown. It is below maxWarmthAge if instances that
// have not noticed that a target is cold would otherwise exceed the bound: with maxWarmthAge and targets that complete 57
// requests per second, 19 reached a cold one within a second where 10 are allowed (simulation). A shorter age costs load
// probes, and throughput when their budget is used up.
func (s *Service) updateWarmthAge(now Instant) {
	p := &s.policy
	spare := unnoticedShare * (p.WarmupRate*(p.WarmupOvershoot-1) + p.WarmupSlack - float64(p.warmupSenders()))
	s.completions.advance(now)
	perTarget := float64(s.completions.total) / completionWindow.Seconds() * float64(max(p.InstanceCount, 1)) / float64(max(s.usableCount, 1))
	s.warmthAge = maxWarmthAge
	if perTarget*maxWarmthAge.Seconds() > spare {
		s.warmthAge = max(time.Duration(spare/perTarget*float64(time.Second)), minWarmthAge)
	}
}

// warmupWait returns the time until the warm-up of t admits a request of this instance: 0 if it admits one now, never
// for a target in unknown state of which this instance is no sender.
func (s *Service) warmupWait(t *targetState, now Instant) time.Duration {
	state := s.warmthOf(t, now)
	if state == warm {
		return 0
	}
	wait := s.warmupBucket(now, t).Wait(now, maxStatedWait)
	if state == cold {
		wait = min(wait, t.warmup.coldUntil-now)
	}
	return wait
}

// warmupBucket returns the bucket of t with the current share of this instance. The share is computed when it is needed
// first, because most targets are warm.
func (s *Service) warmupBucket(now Instant, t *targetState) *fleetrate.Bucket {
	w := &t.warmup
	if w.shareVersion != s.shareVersion {
		if !w.started {
			w.started = true
			w.bucket.Start(now, s.randFloat()) // instances that learn of a cold target together do not send together
		}
		w.bucket.SetShare(now, s.warmupShare(t.id))
		w.shareVersion = s.shareVersion
	}
	return &w.bucket
}

// warmupShare returns the share of this instance in the rate of a cold target. An instance that knows no other one
// although its settings name some cannot tell how many share the rate, so it sends nothing.
func (s *Service) warmupShare(id TargetID) float64 {
	p := &s.policy
	switch {
	case p.HasPeers && len(s.fleet) <= 1, s.fleetUnsettled:
		return 0
	case len(s.fleet) == 0:
		return p.WarmupRate / float64(max(p.InstanceCount, 1))
	}
	return fleetrate.Share(p.WarmupRate, p.warmupSenders(), p.InstanceID, s.fleet, string(id))
}

// warmupSenders returns the number of instances that send to a cold target. In one second each sends its share and at
// most one request more. Two groups of instances with different views of the fleet may each choose this many, so the
// number is such that both groups together stay within the bound.
func (p *Policy) warmupSenders() int {
	spare := (p.WarmupRate*(p.WarmupOvershoot-2) + p.WarmupSlack) / 2
	return int(max(1, min(math.Ceil(p.WarmupRate)+additionalSenders, spare+1e-9)))
}

// admits reports whether a request may be sent to t now, by the rate that t states and by its warm-up.
func (s *Service) admits(t *targetState, now Instant) bool {
	return t.rateLimit.admits(now) && s.warmupWait(t, now) == 0
}

// takeAdmission records that a request is sent to t.
func (s *Service) takeAdmission(now Instant, t *targetState) {
	t.rateLimit.take(now)
	if s.warmthOf(t, now) != warm {
		s.warmupBucket(now, t).Take(now)
	}
}

// isWarmupWorthProbing reports whether a load probe of t can help a request: t is warm, admits a request, or its state is
// unknown or may have changed.
func (s *Service) isWarmupWorthProbing(t *targetState, now Instant) bool {
	return s.warmthOf(t, now) != cold || s.warmupWait(t, now) == 0 || now-t.warmup.statedAt >= rateLimitCheckInterval
}

// listWarmup applies the warm-up time of a list entry. It counts from the time at which this version of the entry was
// first listed. An entry never shortens the time, because it may have been written before the target became cold.
func (s *Service) listWarmup(now Instant, t *targetState, entry Target) {
	if t.entryListed && entry.Revision == t.entryRevision && entry.Warmup == t.entryWarmup {
		return
	}
	t.entryListed, t.entryRevision, t.entryWarmup = true, entry.Revision, entry.Warmup
	t.warmupUntil = now + entry.Warmup
	t.warmup.coldUntil = max(t.warmup.coldUntil, t.warmupUntil)
	s.reviewWarmup(now, t)
}

// startWarmup makes t cold for the warm-up time of the service, because its process has just started.
func (s *Service) startWarmup(now Instant, t *targetState) {
	t.warmup.coldUntil = now + s.policy.Warmup
	s.reviewWarmup(now, t)
}

// recordWarmup applies what t states about its warm-up on the response to a probe that was sent at sentAt. A response
// that reports a failure counts as well: targets with a failing health check may serve all the same.
func (s *Service) recordWarmup(now Instant, t *targetState, st Statement, sentAt Instant) {
	if !s.boundsWarmup() || !st.HasWarmup {
		return
	}
	w, wasUnknown := &t.warmup, s.warmthOf(t, now) == unknownWarmth
	w.coldUntil, w.stated, w.statedAt, w.unknown = now+st.Warmup, true, sentAt, false
	s.reviewWarmup(now, t)
	s.scheduleTarget(now, t)
	if wasUnknown {
		s.schedule(&t.timer, now) // dispatches waiting requests in this step
	}
}

// nextWarmupTime returns the next time at which the warm-up of t may admit a request or ends; never if there is none. A
// target in unknown state is probed when a request arrives, and needs no time with load probes.
func (s *Service) nextWarmupTime(now Instant, t *targetState) Instant {
	state := s.warmthOf(t, now)
	if state == warm || state == unknownWarmth && s.probesLoad() {
		return never
	}
	at := never
	if wait := s.warmupWait(t, now); wait > 0 && wait != never {
		at = now + wait
	}
	if state == cold {
		at = min(at, t.warmup.coldUntil)
	}
	return at
}

// reviewWarmup records whether t has become cold or warm.
func (s *Service) reviewWarmup(now Instant, t *targetState) {
	isCold := s.warmthOf(t, now) == cold
	if isCold == t.warmup.reportedCold {
		return
	}
	t.warmup.reportedCold = isCold
	s.changedWarmups = append(s.changedWarmups, t)
	if isCold {
		s.coldTargets = append(s.coldTargets, t)
	} else if !s.probesLoad() && s.boundsWarmup() {
		s.startSlowStart(now, t)
	}
	s.schedule(&t.timer, now) // dispatches waiting requests in this step if t has gained capacity
}

// reviewWarmups reviews all targets after a change of the policy.
func (s *Service) reviewWarmups(now Instant) {
	s.shareVersion++
	for _, t := range s.listedTargets {
		s.reviewWarmup(now, t)
	}
}

// reportWarmups reports the targets that have become cold or warm in this step.
func (s *Service) reportWarmups(now Instant, out []Effect) []Effect {
	for _, t := range s.changedWarmups {
		if s.targets[t.id] == t {
			out = append(out, Effect{Kind: ReportWarmup, Target: t.id, Warmup: max(t.warmup.coldUntil-now, 0)})
		}
	}
	s.changedWarmups = s.changedWarmups[:0]
	return out
}

// probeColdOutsideSubset probes one of the cold targets that are not in the subset and admit a request of this instance.
// Their senders would otherwise leave their rate unused.
func (s *Service) probeColdOutsideSubset(now Instant, r *request, out []Effect) []Effect {
	if len(s.coldTargets) == 0 {
		return out
	}
	s.coldTargets = slices.DeleteFunc(s.coldTargets, func(t *targetState) bool {
		return !t.listed || !t.warmup.reportedCold
	})
	accept := func(t *targetState) bool {
		return !t.inSubset && t.usable() && s.isAvailable(t, now) && !r.tried(t)
	}
	return s.sendLoadProbes(now, s.coldTargets, 1, accept, func(t *targetState) { r.probedTargets = append(r.probedTargets, t) }, out)
}

// probeUnknown probes t, which has just reported a free slot, if requests wait and its state is unknown.
func (s *Service) probeUnknown(now Instant, t *targetState, out []Effect) []Effect {
	if !s.boundsWarmup() || t == nil || len(s.backlog.waiting) == 0 || !t.usable() || s.warmthOf(t, now) != unknownWarmth {
		return out
	}
	accept := func(t *targetState) bool { return s.isWorthProbing(t, now) }
	return s.sendLoadProbes(now, []*targetState{t}, 1, accept, func(*targetState) {}, out)
}

// probeForTrial probes an ejected target in unknown state that waits for a trial request, which it could not get
// otherwise.
func (s *Service) probeForTrial(now Instant, out []Effect) []Effect {
	if len(s.awaitingTrial) == 0 || !s.boundsWarmup() || s.requestsSinceTrial < requestsPerTrial {
		return out
	}
	accept := func(t *targetState) bool {
		return t.usable() && now >= t.backoffEnd() && s.warmthOf(t, now) == unknownWarmth
	}
	return s.sendLoadProbes(now, slices.Clone(s.awaitingTrial), 1, accept, func(*targetState) {}, out)
}

// isOutOfReach reports whether this instance cannot send to t for lack of a load probe: t is not in its subset, nor a
// cold target of which it is a sender.
func (s *Service) isOutOfReach(t *targetState, now Instant) bool {
	return s.boundsWarmup() && s.probesLoad() && !t.inSubset &&
		(s.warmthOf(t, now) != cold || s.warmupBucket(now, t).Share() == 0)
}

// coldWait returns how long all targets admit no request because of warm-ups; 0 if one admits a request now.
func (s *Service) coldWait(now Instant) time.Duration {
	if !s.boundsWarmup() {
		return 0
	}
	wait, stated := s.statedWait(now, 0)
	if !stated || wait <= 0 || s.statedWaitReason(now) != ReasonWarmup {
		return 0
	}
	return wait
}

// isHopeless reports whether r, which takes the given run time, waits in vain if no target admits a request for coldWait:
// it can then no longer meet its deadline or, with load probes, would be refused for its objective.
func (s *Service) isHopeless(now Instant, r *request, run, coldWait time.Duration) bool {
	return coldWait > 0 &&
		(now+coldWait+run > r.deadline || s.probesLoad() && now+coldWait > max(r.objective, r.arrived)+run)
}

// statedWaitReason returns the reason to refuse a request because of statedWait.
func (s *Service) statedWaitReason(now Instant) Reason {
	isCold := func(t *targetState) bool { return s.warmthOf(t, now) == cold && !s.isOutOfReach(t, now) }
	if s.boundsWarmup() && slices.ContainsFunc(s.usableTargets, isCold) {
		return ReasonWarmup
	}
	return ReasonRateLimit
}

// recordNotAdmitted records that r is not sent to t because t is cold.
func (s *Service) recordNotAdmitted(now Instant, r *request, t *targetState) {
	if s.warmthOf(t, now) == cold && s.warmupWait(t, now) > 0 && !r.tried(t) {
		r.notAdmitted = true
	}
}

// countNotAdmitted counts r once if a cold target has not admitted it.
func countNotAdmitted(r *request, out []Effect) []Effect {
	if !r.notAdmitted || r.notAdmittedCounted {
		return out
	}
	r.notAdmittedCounted = true
	return append(out, Effect{Kind: CountDenied, Reason: ReasonWarmup})
}
