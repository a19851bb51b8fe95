package core

import "time"

// This file keeps the latencies of requests by kind: what is usual for one rule and class is slow for another.

const (
	// quantileStep is the relative step of a quantile estimate once it has settled.
	quantileStep = 0.05
	// typicalFloor keeps scheduling noise on very fast services from looking like slowness.
	typicalFloor = 500 * time.Microsecond
	// typicalDefault stands in for the typical latency before the first answer.
	typicalDefault = 10 * time.Millisecond
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

// latencies are the times to the answers of a group of requests, and how long their callers wait.
type latencies struct {
	median, tail quantile
	// hedge is the quantile after which a request is hedged.
	hedge quantile
	// run is the median time on an undisturbed target.
	run    quantile
	stated statedWaits
	// usedAt is the time of the latest request.
	usedAt Instant
}

func newLatencies(hedgeQuantile float64) latencies {
	return latencies{median: quantile{p: 0.5}, tail: quantile{p: tailQuantile}, hedge: quantile{p: hedgeQuantile}, run: quantile{p: 0.5}}
}

func (l *latencies) observe(elapsed time.Duration) {
	l.median.observe(elapsed)
	l.tail.observe(elapsed)
	l.hedge.observe(elapsed)
}

// typical returns the median latency.
func (l *latencies) typical() time.Duration {
	if l.median.samples == 0 {
		return typicalDefault
	}
	return max(l.median.value, typicalFloor)
}

// slowAfter returns the time from which an answer counts as slow. The quantile adapts it to widely spread latencies,
// where a multiple of the median alone is exceeded all the time.
func (l *latencies) slowAfter() time.Duration { return max(l.tail.value, tailRatio*l.typical()) }

// usualSamples is the number of answers before one of the same kind can be slow.
const usualSamples = 3

// kind groups the requests whose latencies are comparable. The rules of one service may differ by orders of magnitude: a
// few requests of a short one would make those of a long one look slow.
type kind struct {
	rule  string
	class Class
}

// maxKinds bounds the kinds of requests whose latencies are kept for one service. Configurations have hundreds of rules,
// but only some of them see traffic.
const maxKinds = 256

// latenciesOf returns the latencies of requests of one kind. Beyond maxKinds it forgets the kind that was not used for
// the longest time.
func (s *Service) latenciesOf(now Instant, k kind) *latencies {
	l := s.latenciesByKind[k]
	if l == nil {
		if len(s.latenciesByKind) >= maxKinds {
			delete(s.latenciesByKind, s.longestUnused())
		}
		fresh := newLatencies(s.policy.HedgeQuantile)
		l = &fresh
		s.latenciesByKind[k] = l
	}
	l.usedAt = now
	return l
}

func (s *Service) longestUnused() kind {
	var oldest kind
	at := never
	for k, l := range s.latenciesByKind {
		if l.usedAt < at {
			oldest, at = k, l.usedAt
		}
	}
	return oldest
}
