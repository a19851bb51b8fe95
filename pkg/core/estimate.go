package core

import "time"

const (
	// latencyGain is the weight of one sample in the moving average. It is high because an instance sends each target
	// only a few requests per second: a single response 20 times slower than typical has to show.
	latencyGain = 0.3
	// latencyHalfLife is the time since the last sample after which the latency estimate of a target has lost half of
	// its deviation from the typical latency of the service. A target that looks slow gets few requests, so its
	// estimate has to recover without new samples.
	latencyHalfLife = 500 * time.Millisecond
	// maxSampleRatio is the upper bound of a latency sample, in multiples of the typical latency.
	maxSampleRatio = 20
	// failureLatencyRatio is the latency that a failure counts as, in multiples of the typical latency. Two failures in
	// a row lead to ejection, a single one does not.
	failureLatencyRatio = 16
)

// typicalLatency returns the median latency of the service.
func (s *Service) typicalLatency() time.Duration { return s.latencies.typical() }

// typicalLatencyFor returns the median latency of the request kind of r. Until a request of this kind has been
// answered, it returns the median latency of the service.
func (s *Service) typicalLatencyFor(r *request) time.Duration {
	if r.latencies.median.samples == 0 {
		return s.typicalLatency()
	}
	return r.latencies.typical()
}

// normalizeLatency makes latencies of different kinds of requests comparable: it divides the time that r took by the
// typical latency of its kind and multiplies it by the typical latency of the service.
func (s *Service) normalizeLatency(r *request, elapsed time.Duration) time.Duration {
	return time.Duration(float64(elapsed) * float64(s.typicalLatency()) / float64(s.typicalLatencyFor(r)))
}

const (
	// minRunSamples is the number of responses after which the measured run time of a kind of request is used.
	minRunSamples = 3
	// maxUndisturbedEstimate is the highest attempt.estimate at which the response to an attempt gives a run time
	// sample. Above it, the load or slowdown of the target delays the response by a factor that is known too roughly.
	maxUndisturbedEstimate = 1.5
	// defaultRunShare is the share of its objective that a request is assumed to take before its run time is known.
	// Objectives are set so that a run at the usual speed meets them with time to spare.
	defaultRunShare = 1.0 / 3
)

// runTime returns the median time in which an undisturbed target responds to requests of the kind of r. Before
// minRunSamples responses, it assumes defaultRunShare of the objective.
func (s *Service) runTime(r *request) time.Duration {
	if q := &r.latencies.run; q.samples >= minRunSamples {
		return q.value
	}
	return time.Duration(defaultRunShare * float64(r.objective+r.waitedBefore-r.arrived))
}

// observeRunTime adds a run time sample if the target was nearly undisturbed when a was sent. The sample is the time to
// the response divided by a.estimate, the expected time in multiples of an undisturbed run.
func (s *Service) observeRunTime(a *attempt, elapsed time.Duration) {
	if a.estimate > 0 && a.estimate <= maxUndisturbedEstimate {
		a.request.latencies.run.observe(time.Duration(float64(elapsed) / a.estimate))
	}
}

// expectedLatency returns the latency estimate of t, which approaches the typical latency of the service as the last
// sample ages.
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

// longestOutstanding returns how long the oldest attempt on t has been in flight. Time before the end of the last pause
// of this process, or of the last evacuation of the zone, does not count.
func (s *Service) longestOutstanding(t *targetState, now Instant) time.Duration {
	oldest := t.attempts.head()
	if oldest == nil {
		return 0
	}
	return now - max(oldest.sentAt, s.resumedAt, t.evacuationEndedAt)
}

// observeLatency adds a sample to the latency estimate of t.
func (s *Service) observeLatency(now Instant, t *targetState, sample time.Duration) {
	sample = min(sample, maxSampleRatio*s.typicalLatency())
	before := s.expectedLatency(t, now)
	t.latencyEstimate = before + time.Duration(latencyGain*float64(sample-before))
	t.latencyAt = now
	t.hasLatency = true
}

// countSlow counts slow responses in a row. Unlike the latency estimate, the count does not depend on the spread of the
// latencies of a service.
func (s *Service) countSlow(now Instant, t *targetState, slow bool) {
	if !slow {
		t.consecutiveSlow = 0
		return
	}
	t.consecutiveSlow++
	t.slowAt = now
}

// observeLatencyAtLeast adds a sample of which only a lower bound is known. A bound below the estimate carries no
// information and is ignored.
func (s *Service) observeLatencyAtLeast(now Instant, t *targetState, bound time.Duration) {
	if bound > s.expectedLatency(t, now) {
		s.observeLatency(now, t, bound)
	}
}
