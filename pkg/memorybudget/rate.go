package memorybudget

import "time"

// rateSeconds is the span over which releases are counted. It covers several requests of a deployment with few uploads,
// and forgets a burst before the longest Retry-After has passed.
const rateSeconds = 10

// releaseRate counts the bytes released in each of the last seconds. The zero value has counted none.
type releaseRate struct {
	bytes  [rateSeconds]int64 // by second modulo rateSeconds
	second int64              // of the latest call
}

func (r *releaseRate) add(now time.Duration, n int64) {
	r.advance(now)
	r.bytes[r.second%rateSeconds] += n
}

// perSecond returns the average number of bytes released per second.
func (r *releaseRate) perSecond(now time.Duration) float64 {
	r.advance(now)
	var sum int64
	for _, n := range r.bytes {
		sum += n
	}
	return float64(sum) / rateSeconds
}

// advance forgets the counts of seconds that are no longer in the span. Time does not go back.
func (r *releaseRate) advance(now time.Duration) {
	second := int64(now / time.Second)
	for s := max(r.second+1, second-rateSeconds+1); s <= second; s++ {
		r.bytes[s%rateSeconds] = 0
	}
	r.second = max(r.second, second)
}
