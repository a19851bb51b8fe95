package core

import "time"

const (
	// completionWindow is the span over which ended attempts are counted.
	completionWindow      = time.Second
	completionBucketWidth = 100 * time.Millisecond
	completionBuckets     = int(completionWindow / completionBucketWidth)
	// waitMarginFactor multiplies the expected queue wait in the check that the deadline leaves enough time for it. The
	// margin avoids queueing requests that expire: a request refused at once costs its caller less.
	waitMarginFactor = 1.5
)

// completionRate counts ended attempts over completionWindow.
type completionRate struct {
	buckets      [completionBuckets]int
	newestBucket int64
	total        int
	// queueBusySince is the time since which the queue or backlog has not been empty.
	queueBusySince Instant
	queueBusy      bool
}

func (c *completionRate) advance(now Instant) {
	newest := int64(now / completionBucketWidth)
	for i := max(c.newestBucket, newest-int64(completionBuckets)); i < newest; i++ {
		bucket := &c.buckets[(i+1)%int64(completionBuckets)]
		c.total -= *bucket
		*bucket = 0
	}
	c.newestBucket = newest
}

func (c *completionRate) count(now Instant) {
	c.advance(now)
	c.buckets[c.newestBucket%int64(completionBuckets)]++
	c.total++
}

func (c *completionRate) setQueueBusy(now Instant, busy bool) {
	if busy && !c.queueBusy {
		c.queueBusySince = now
	}
	c.queueBusy = busy
}

// departuresPerSecond returns the rate at which requests leave the queue. Once the queue has been busy for the whole
// window, it is the rate of ended attempts; before that it is estimated from the attempts in flight and the given
// latency of a request.
func (s *Service) departuresPerSecond(now Instant, latency time.Duration) float64 {
	s.completions.advance(now)
	if s.completions.queueBusy && now-s.completions.queueBusySince >= completionWindow && s.completions.total > 0 {
		return float64(s.completions.total) / completionWindow.Seconds()
	}
	return float64(max(s.inFlightOutsideEvacuation(), 1)) / latency.Seconds()
}

// expectedQueueWait returns how long a new request of the class would wait in the queue.
func (s *Service) expectedQueueWait(now Instant, class Class) time.Duration {
	rate := s.departuresPerSecond(now, s.typicalLatency())
	ahead := s.queue.urgentLength()
	patient := s.queue.classes[ClassPatient].length
	switch {
	case class == ClassPatient && ahead > 0:
		rate /= patientShareDivisor // the share that patient requests get while others wait
		ahead = patient
	case class == ClassPatient:
		ahead = patient
	case patient > 0:
		rate *= (patientShareDivisor - 1.0) / patientShareDivisor
	}
	wait := time.Duration(float64(ahead+1) / rate * float64(time.Second))
	stated, _ := s.statedWait(now, ahead)
	return max(wait, stated)
}

// infeasibleReason returns the reason to refuse a request that would wait too long.
func (s *Service) infeasibleReason(now Instant) Reason {
	if wait, stated := s.statedWait(now, 0); stated && wait > 0 {
		return s.statedWaitReason(now)
	}
	return ReasonInfeasible
}

// enqueueOrRefuse puts a request that cannot be sent now into its queue, or refuses it.
func (s *Service) enqueueOrRefuse(now Instant, r *request, out []Effect) []Effect {
	if s.stop.requested && r.attemptsStarted == 0 {
		return s.refuse(now, r, ReasonStopping, out)
	}
	if s.queue.classes[r.class].length >= s.policy.QueueLimit {
		return s.refuse(now, r, ReasonQueueFull, out)
	}
	wait := time.Duration(waitMarginFactor * float64(s.expectedQueueWait(now, r.class)))
	if r.attemptsStarted == 0 && now+wait+s.typicalLatencyFor(r) > r.deadline {
		return s.refuse(now, r, s.infeasibleReason(now), out)
	}
	r.phase = phaseQueued
	s.queue.push(r)
	s.completions.setQueueBusy(now, true)
	s.scheduleRequest(r)
	return out
}

// dispatch sends queued requests while targets have capacity. freed is the target that may have gained some, or nil.
func (s *Service) dispatch(now Instant, freed *targetState, out []Effect) []Effect {
	if s.probesLoad() {
		return s.dispatchBacklog(now, s.probeUnknown(now, freed, out))
	}
	s.freedTarget = freed
	out = s.dispatchQueue(now, out)
	// If the queue is empty, freed may still have capacity, so the result of the latest scan no longer holds.
	s.allFull = s.allFull && (s.queue.length() > 0 || freed == nil)
	s.freedTarget = nil
	return out
}

func (s *Service) dispatchQueue(now Instant, out []Effect) []Effect {
	for s.queue.length() > 0 {
		r := s.queue.head()
		if now+s.typicalLatencyFor(r) > r.deadline {
			s.removeFromQueue(now, r)
			out = s.refuse(now, r, ReasonDeadline, out)
			continue
		}
		if s.usableCount == 0 {
			s.removeFromQueue(now, r)
			out = s.refuse(now, r, s.noTargetReason(), out)
			continue
		}
		t := s.chooseTarget(now, r, false)
		if t == nil {
			if !s.isHopeless(now, r, s.typicalLatencyFor(r), s.coldWait(now)) {
				return out
			}
			s.removeFromQueue(now, r)
			out = s.refuse(now, r, ReasonWarmup, out)
			continue
		}
		s.queue.dequeue(r)
		s.completions.setQueueBusy(now, s.queue.length() > 0)
		out = s.send(now, r, t, out)
	}
	return out
}

// removeFromQueue removes a request that leaves the queue without being sent.
func (s *Service) removeFromQueue(now Instant, r *request) {
	s.queue.remove(r)
	s.completions.setQueueBusy(now, s.queue.length() > 0)
}
