// Package callermemory bounds the bytes of heads and bodies that an instance holds for its callers. It has no clock and no
// I/O: the time is an argument, as an offset from the start of the process. Nothing waits for memory.
package callermemory

import (
	"math"
	"sync"
	"time"
)

// Reason says why memory is not available.
type Reason string

const (
	// Granted is the reason of a reservation that was made.
	Granted Reason = ""
	// Full means that the total bound leaves no room.
	Full Reason = "full"
	// CallerShare means that the caller holds its share, and that most of the total is in use.
	CallerShare Reason = "caller-share"
	// Released means that the reservation has been released before.
	Released Reason = "released"
)

// Parts of the total. While more than the shared part is in use, a caller gets no memory beyond its own part. One caller
// alone can therefore hold the shared part, and leaves the rest to others.
const (
	sharedDivisor = 2
	callerDivisor = 4
)

// MaxBody returns the size of the largest body that can be held within a total.
func MaxBody(total int64) int64 { return total / sharedDivisor }

// Bounds of RetryAfter. Bodies are held no longer than the longest deadline, 50 s, so that half of it is left on average
// when nothing is known about releases.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 25 * time.Second
)

// Budget hands out the memory for bodies. It is safe for concurrent use.
type Budget struct {
	total int64

	mu       sync.Mutex
	used     int64
	byCaller map[string]int64 // bytes held, only of callers that hold any
	releases releaseRate
}

// New returns a budget of a number of bytes; 0 means no bound.
func New(total int64) *Budget {
	if total <= 0 {
		total = math.MaxInt64
	}
	return &Budget{total: total, byCaller: make(map[string]int64)}
}

// Reservation is memory that a caller holds. It has one holder at first; the memory is free once all of them have
// released it.
type Reservation struct {
	budget  *Budget
	caller  string
	bytes   int64 // guarded by budget.mu, as is holders
	holders int
}

// Reserve reserves n bytes for a caller, or returns nil and the reason why they are not available. Zero bytes are always
// available.
func (b *Budget) Reserve(caller string, n int64) (*Reservation, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reason := b.check(caller, n); reason != Granted {
		return nil, reason
	}
	r := &Reservation{budget: b, caller: caller, holders: 1}
	r.add(n)
	return r, Granted
}

// Grow adds n bytes to a reservation. If they are not available, the reservation stays as it is.
func (r *Reservation) Grow(n int64) Reason {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders == 0 {
		return Released
	}
	reason := r.budget.check(r.caller, n)
	if reason == Granted {
		r.add(n)
	}
	return reason
}

// Retain adds a holder, which has to call Release too.
func (r *Reservation) Retain() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.holders > 0 {
		r.holders++
	}
}

// Release ends the use by one holder and returns the number of bytes that are free thereby. Once there is no holder left,
// it has no effect.
func (r *Reservation) Release(now time.Duration) int64 {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.holders == 0 {
		return 0
	}
	r.holders--
	if r.holders > 0 {
		return 0
	}
	n := r.bytes
	r.add(-n)
	b.releases.add(now, n)
	return n
}

// Used returns the number of bytes reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// RetryAfter returns the time after which n bytes are likely to be available to a caller that was refused them for a
// reason, at the rate at which bytes were released lately.
func (b *Budget) RetryAfter(now time.Duration, caller string, n int64, reason Reason) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.releases.perSecond(now)
	seconds := secondsUntil(b.used-b.total+n, rate)
	if reason == CallerShare {
		// Either less than the shared part is in use again, or the caller's part of the releases brings it below its own.
		held := b.byCaller[caller]
		shared := secondsUntil(b.used-b.total/sharedDivisor+n, rate)
		own := secondsUntil(held-b.total/callerDivisor+n, rate*float64(held)/float64(max(b.used, 1)))
		seconds = max(seconds, min(shared, own))
	}
	if seconds >= maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// secondsUntil returns the time in which a number of bytes is released at a rate per second.
func secondsUntil(bytes int64, rate float64) float64 {
	switch {
	case bytes <= 0:
		return 0
	case rate == 0:
		return math.Inf(1)
	}
	return float64(bytes) / rate
}

// check returns Granted if n bytes are available to a caller. The caller holds the lock.
func (b *Budget) check(caller string, n int64) Reason {
	switch {
	case n <= 0:
		return Granted
	case n > b.total-b.used:
		return Full
	case b.used+n > b.total/sharedDivisor && b.byCaller[caller]+n > b.total/callerDivisor:
		return CallerShare
	}
	return Granted
}

// add changes the size of a reservation. The caller holds the lock.
func (r *Reservation) add(n int64) {
	b := r.budget
	r.bytes += n
	b.used += n
	b.byCaller[r.caller] += n
	if b.byCaller[r.caller] == 0 {
		delete(b.byCaller, r.caller)
	}
}
