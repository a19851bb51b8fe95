package core

import "time"

const (
	// latencyGain is the weight of one sample. An instance sends each target only a few requests per second, so that
	// one answer 20 times slower than typical has to show.
	latencyGain = 0.3
	// latencyHalfLife is the age at which half of a target's deviation from the service is forgotten. A target that looks
	// slow gets few requests, so the estimate has to recover without them.
	latencyHalfLife = 500 * time.Millisecond
	// maxSampleRatio bounds a sample in multiples of the typical latency.
	maxSampleRatio = 20
	// failureLatencyRatio is the weight of a failure as a latency, in multiples of the typical one: two in a row lead to
	// ejection, a single one does not.
	failureLatencyRatio = 16
)

// typicalLatency returns the median latency of the service.
func (s *Service) typicalLatency() time.Duration { return s.latencies.typical() }

// typicalLatencyFor returns the median latency of requests like r, or that of the service while it is not known.
func (s *Service) typicalLatencyFor(r *request) time.Duration {
	if r.latencies.median.samples == 0 {
		return s.typicalLatency()
	}
	return r.latencies.typical()
}

// normalizeLatency converts the time that a request took into what one of the typical latency of the service would have taken,
// so that the latencies of a target can be compared whatever it works on.
func (s *Service) normalizeLatency(r *request, elapsed time.Duration) time.Duration {
	return time.Duration(float64(elapsed) * float64(s.typicalLatency()) / float64(s.typicalLatencyFor(r)))
}

const (
	// minRunSamples is the number of answers before the run time of a kind of requests is trusted.
	minRunSamples = 3
	// maxUndisturbedEstimate is the highest estimate at which an answer counts as that of an undisturbed target. How much longer
	// a disturbed one takes is known too roughly to tell the run time from it.
	maxUndisturbedEstimate = 1.5
	// defaultRunShare is the share of its objective that a request is taken to need before the run time is known. Objectives
	// are set so that a run at the usual pace meets them with time to spare.
	defaultRunShare = 1.0 / 3
)

// runTime returns the median time in which an undisturbed target answers requests like r.
func (s *Service) runTime(r *request) time.Duration {
	if q := &r.latencies.run; q.samples >= minRunSamples {
		return q.value
	}
	return time.Duration(defaultRunShare * float64(r.objective+r.waitedBefore-r.arrived))
}

// observeRunTime takes the time to an answer as a run time if its target was undisturbed.
func (s *Service) observeRunTime(a *attempt, elapsed time.Duration) {
	if a.estimate > 0 && a.estimate <= maxUndisturbedEstimate {
		a.request.latencies.run.observe(time.Duration(float64(elapsed) / a.estimate))
	}
}

// expectedLatency returns the latency estimate of t, drawn towards that of the service as its evidence ages.
func (s *Service) expectedLatency(t *targetState, now Instant) time.Duration {
	typical := s.typicalLatency()
	if !t.hasLatency {
		return typical
	}
	weight := float64(latencyHalfLife) / float64(latencyHalfLife+now-t.latencyAt)
	return typical + time.Duration(weight*float64(t.latencyEstimate-typical))
}

// latencyRatio returns the latency estimate of t in multiples of the typical latency.
func (s *Service) latencyRatio(t *targetState, now Instant) float64 {
	return float64(s.expectedLatency(t, now)) / float64(s.typicalLatency())
}

// longestOutstanding returns how long the oldest attempt on t has been in flight. Time during which this process was paused
// does not count.
func (s *Service) longestOutstanding(t *targetState, now Instant) time.Duration {
	oldest := t.attempts.head()
	if oldest == nil {
		return 0
	}
	return now - max(oldest.sentAt, s.resumedAt)
}

// observeLatency adds a latency sample of t.
func (s *Service) observeLatency(now Instant, t *targetState, sample time.Duration) {
	sample = min(sample, maxSampleRatio*s.typicalLatency())
	before := s.expectedLatency(t, now)
	t.latencyEstimate = before + time.Duration(latencyGain*float64(sample-before))
	t.latencyAt = now
	t.hasLatency = true
}

// countSlow counts slow answers in a row: in contrast to the estimate it does not depend on how far the latencies of a
// service are spread.
func (s *Service) countSlow(now Instant, t *targetState, slow bool) {
	if !slow {
		t.consecutiveSlow = 0
		return
	}
	t.consecutiveSlow++
	t.slowAt = now
}

// observeLatencyAtLeast adds a sample of which only a lower bound is known; one below the estimate says nothing.
func (s *Service) observeLatencyAtLeast(now Instant, t *targetState, bound time.Duration) {
	if bound > s.expectedLatency(t, now) {
		s.observeLatency(now, t, bound)
	}
}
