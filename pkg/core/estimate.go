package core

import "time"

const (
	// quantileStep is the relative step of a quantile estimate once it has settled.
	quantileStep = 0.05
	// latencyGain is the weight of one sample. An instance sends each target only a few requests per second, so that
	// one answer 20 times slower than typical has to show.
	latencyGain = 0.3
	// latencyMemory is the age at which half of a target's deviation from the service is forgotten. A target that looks
	// slow gets few requests, so the estimate has to recover without them.
	latencyMemory = 500 * time.Millisecond
	// typicalFloor keeps scheduling noise on very fast services from looking like slowness.
	typicalFloor = 500 * time.Microsecond
	// typicalDefault stands in for the typical latency before the first answer.
	typicalDefault = 10 * time.Millisecond
	// maxSampleRatio bounds a sample in multiples of the typical latency.
	maxSampleRatio = 20
	// failureRatio is the weight of a failure as a latency, in multiples of the typical one: two in a row lead to
	// ejection, a single one does not.
	failureRatio = 16
	// tailQuantile and tailRatio define a slow answer: later than this quantile and this multiple of the typical latency.
	tailQuantile = 0.95
	tailRatio    = 2
)

// quantile tracks one quantile of a stream in constant space: the value moves up by step*p on a larger sample and down
// by step*(1-p) on a smaller one, which balances at the quantile.
type quantile struct {
	p       float64
	value   time.Duration
	samples int
}

func (q *quantile) observe(d time.Duration) {
	q.samples++
	if q.samples == 1 {
		q.value = max(d, time.Microsecond)
		return
	}
	step := max(quantileStep, 1/float64(q.samples))
	if d > q.value {
		q.value += time.Duration(step * q.p * float64(q.value))
	} else {
		q.value -= time.Duration(step * (1 - q.p) * float64(q.value))
	}
	q.value = max(q.value, time.Microsecond)
}

// typicalLatency returns the median latency of the service.
func (s *Service) typicalLatency() time.Duration {
	if s.median.samples == 0 {
		return typicalDefault
	}
	return max(s.median.value, typicalFloor)
}

// slowAfter returns the time from which an answer counts as slow. The quantile adapts it to services with widely spread
// latencies, where a multiple of the median alone is exceeded all the time.
func (s *Service) slowAfter() time.Duration { return max(s.tail.value, tailRatio*s.typicalLatency()) }

const (
	// runSamples is the number of answers before the run time of a class is trusted.
	runSamples = 3
	// runEstimateMax is the highest estimate at which an answer counts as that of an undisturbed target. How much longer
	// a disturbed one takes is known too roughly to tell the run time from it.
	runEstimateMax = 1.5
	// runShare is the share of its objective that a request is taken to need before the run time is known. Objectives
	// are set so that a run at the usual pace meets them with time to spare.
	runShare = 1.0 / 3
)

// runTime returns the median time in which an undisturbed target answers requests like r.
func (s *Service) runTime(r *request) time.Duration {
	if q := &s.runs[r.class]; q.samples >= runSamples {
		return q.value
	}
	return time.Duration(runShare * float64(r.objective-r.arrived))
}

// observeRun takes the time to an answer as a run time if its target was undisturbed.
func (s *Service) observeRun(a *attempt, elapsed time.Duration) {
	if a.estimate > 0 && a.estimate <= runEstimateMax {
		s.runs[a.request.class].observe(time.Duration(float64(elapsed) / a.estimate))
	}
}

// expected returns the latency estimate of t, drawn towards that of the service as its evidence ages.
func (s *Service) expected(t *targetState, now Instant) time.Duration {
	typical := s.typicalLatency()
	if !t.hasLatency {
		return typical
	}
	weight := float64(latencyMemory) / float64(latencyMemory+now-t.latencyAt)
	return typical + time.Duration(weight*float64(t.latency-typical))
}

// slowness returns the latency estimate of t in multiples of the typical latency.
func (s *Service) slowness(t *targetState, now Instant) float64 {
	return float64(s.expected(t, now)) / float64(s.typicalLatency())
}

// outstanding returns how long the oldest attempt on t has been in flight. Time during which this process was paused
// does not count.
func (s *Service) outstanding(t *targetState, now Instant) time.Duration {
	if t.oldest == nil {
		return 0
	}
	return now - max(t.oldest.sentAt, s.resumedAt)
}

// observe adds a latency sample of t.
func (s *Service) observe(now Instant, t *targetState, sample time.Duration) {
	sample = min(sample, maxSampleRatio*s.typicalLatency())
	before := s.expected(t, now)
	t.latency = before + time.Duration(latencyGain*float64(sample-before))
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

// observeAtLeast adds a sample of which only a lower bound is known; one below the estimate says nothing.
func (s *Service) observeAtLeast(now Instant, t *targetState, bound time.Duration) {
	if bound > s.expected(t, now) {
		s.observe(now, t, bound)
	}
}
