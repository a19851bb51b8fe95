package core

import "time"

// This file tracks latencies by kind of request, because a latency that is usual for one rule and class is slow for
// another.

const (
	// quantileStep is the relative step of a quantile estimate. The steps before the 20th sample are larger.
	quantileStep = 0.05
	// minTypicalLatency keeps scheduling noise on very fast services from looking like slowness.
	minTypicalLatency = 500 * time.Microsecond
	// defaultTypicalLatency is the typical latency assumed before the first response.
	defaultTypicalLatency = 10 * time.Millisecond
	// tailQuantile and slowRatio define a slow response: one that takes longer than this quantile and than this
	// multiple of the typical latency.
	tailQuantile = 0.95
	slowRatio    = 2
)

// quantileEstimator tracks one quantile of a stream in constant space. The value moves up by step*quantile on a larger
// sample and down by step*(1-quantile) on a smaller one, which balances at the quantile.
type quantileEstimator struct {
	quantile float64
	value    time.Duration
	samples  int
}

func (q *quantileEstimator) observe(d time.Duration) {
	q.samples++
	if q.samples == 1 {
		q.value = max(d, time.Microsecond)
		return
	}
	step := max(quantileStep, 1/float64(q.samples))
	if d > q.value {
		q.value += time.Duration(step * q.quantile * float64(q.value))
	} else {
		q.value -= time.Duration(step * (1 - q.quantile) * float64(q.value))
	}
	q.value = max(q.value, time.Microsecond)
}

// latencyStats holds the latencies of a group of requests and the timeouts that their callers state.
type latencyStats struct {
	median, tail quantileEstimator
	// hedge is the latency quantile after which a request is hedged.
	hedge quantileEstimator
	// run is the median run time: the time to the response of an undisturbed target.
	run            quantileEstimator
	callerTimeouts timeoutTracker
	// usedAt is the time of the latest request.
	usedAt Instant
}

func newLatencyStats(hedgeQuantile float64) latencyStats {
	return latencyStats{median: quantileEstimator{quantile: 0.5}, tail: quantileEstimator{quantile: tailQuantile}, hedge: quantileEstimator{quantile: hedgeQuantile}, run: quantileEstimator{quantile: 0.5}}
}

func (l *latencyStats) observe(elapsed time.Duration) {
	l.median.observe(elapsed)
	l.tail.observe(elapsed)
	l.hedge.observe(elapsed)
}

// typical returns the median latency, at least minTypicalLatency, or defaultTypicalLatency before the first sample.
func (l *latencyStats) typical() time.Duration {
	if l.median.samples == 0 {
		return defaultTypicalLatency
	}
	return max(l.median.value, minTypicalLatency)
}

// slowThreshold returns the latency above which a response counts as slow. The tail quantile adapts it to widely spread
// latencies, where many responses exceed a multiple of the median.
func (l *latencyStats) slowThreshold() time.Duration { return max(l.tail.value, slowRatio*l.typical()) }

// minSlowSamples is the number of responses to a kind of request before one of them can count as slow.
const minSlowSamples = 3

// requestKind identifies requests with comparable latencies. The rules of one service may differ by orders of
// magnitude: a few requests of a short rule would make those of a long one look slow.
type requestKind struct {
	rule  string
	class Class
}

// maxRequestKinds bounds the kinds of requests whose latencies are kept for one service. Configurations have hundreds
// of rules, but only some of them see traffic.
const maxRequestKinds = 256

// latencyStatsOf returns the latencies of one kind of request. At maxRequestKinds it evicts the least recently used
// kind.
func (s *Service) latencyStatsOf(now Instant, k requestKind) *latencyStats {
	l := s.latenciesByKind[k]
	if l == nil {
		if len(s.latenciesByKind) >= maxRequestKinds {
			delete(s.latenciesByKind, s.leastRecentlyUsedKind())
		}
		fresh := newLatencyStats(s.policy.HedgeQuantile)
		l = &fresh
		s.latenciesByKind[k] = l
	}
	l.usedAt = now
	return l
}

func (s *Service) leastRecentlyUsedKind() requestKind {
	var oldest requestKind
	at := never
	for k, l := range s.latenciesByKind {
		if l.usedAt < at {
			oldest, at = k, l.usedAt
		}
	}
	return oldest
}
