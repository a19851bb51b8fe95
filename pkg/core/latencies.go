package core

import "time"

// This file keeps the latencies of requests by kind: what is usual for one rule and class is slow for another.

const (
	// quantileStep is the relative step of a quantile estimate once it has settled.
	quantileStep = 0.05
	// minTypicalLatency keeps scheduling noise on very fast services from looking like slowness.
	minTypicalLatency = 500 * time.Microsecond
	// defaultTypicalLatency stands in for the typical latency before the first answer.
	defaultTypicalLatency = 10 * time.Millisecond
	// tailQuantile and tailRatio define a slow answer: later than this quantile and this multiple of the typical latency.
	tailQuantile = 0.95
	slowRatio    = 2
)

// quantileEstimator tracks one quantileEstimator of a stream in constant space: the value moves up by step*p on a larger sample and down
// by step*(1-p) on a smaller one, which balances at the quantileEstimator.
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

// latencyStats are the times to the answers of a group of requests, and how long their callers wait.
type latencyStats struct {
	median, tail quantileEstimator
	// hedge is the quantile after which a request is hedged.
	hedge quantileEstimator
	// run is the median time on an undisturbed target.
	run            quantileEstimator
	callerTimeouts callerTimeouts
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

// typical returns the median latency.
func (l *latencyStats) typical() time.Duration {
	if l.median.samples == 0 {
		return defaultTypicalLatency
	}
	return max(l.median.value, minTypicalLatency)
}

// slowThreshold returns the time from which an answer counts as slow. The quantile adapts it to widely spread latencies,
// where a multiple of the median alone is exceeded all the time.
func (l *latencyStats) slowThreshold() time.Duration { return max(l.tail.value, slowRatio*l.typical()) }

// minSlowSamples is the number of answers before one of the same kind can be slow.
const minSlowSamples = 3

// requestKind groups the requests whose latencies are comparable. The rules of one service may differ by orders of magnitude: a
// few requests of a short one would make those of a long one look slow.
type requestKind struct {
	rule  string
	class Class
}

// maxRequestKinds bounds the kinds of requests whose latencies are kept for one service. Configurations have hundreds of rules,
// but only some of them see traffic.
const maxRequestKinds = 256

// latencyStatsOf returns the latencies of requests of one kind. Beyond maxKinds it forgets the kind that was not used for
// the longest time.
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
