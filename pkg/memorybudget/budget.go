// Package memorybudget bounds the bytes of heads and bodies that an instance holds for others: for callers, or for servers
// whose responses it reads. Each of them has an account. The package has no clock and no I/O: the time is an argument, as an
// offset from the start of the process. Nothing waits for memory.
package memorybudget

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
	// AccountShare means that the account holds its share, and that most of the total is in use.
	AccountShare Reason = "account-share"
	// Released means that the reservation has been released before.
	Released Reason = "released"
)

// Parts of the total. While more than the shared part is in use, an account gets no memory beyond its own part. One account
// alone can therefore hold the shared part, and leaves the rest to others.
const (
	sharedDivisor  = 2
	accountDivisor = 4
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

	mu        sync.Mutex
	used      int64
	byAccount map[string]int64 // bytes held, only of accounts that hold any
	releases  releaseRate
}

// New returns a budget of a number of bytes; 0 means no bound.
func New(total int64) *Budget {
	if total <= 0 {
		total = math.MaxInt64
	}
	return &Budget{total: total, byAccount: make(map[string]int64)}
}

// Reservation is memory that an account holds. It has one holder at first; the memory is free once all of them have
// released it.
type Reservation struct {
	budget  *Budget
	account string
	bytes   int64 // guarded by budget.mu, as is holders
	holders int
}

// Reserve reserves n bytes for an account, or returns nil and the reason why they are not available. Zero bytes are always
// available.
func (b *Budget) Reserve(account string, n int64) (*Reservation, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reason := b.check(account, n); reason != Granted {
		return nil, reason
	}
	r := &Reservation{budget: b, account: account, holders: 1}
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
	reason := r.budget.check(r.account, n)
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

// RetryAfter returns the time after which n bytes are likely to be available to an account that was refused them for a
// reason, at the rate at which bytes were released lately.
func (b *Budget) RetryAfter(now time.Duration, account string, n int64, reason Reason) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.releases.perSecond(now)
	seconds := secondsUntil(b.used-b.total+n, rate)
	if reason == AccountShare {
		// Either less than the shared part is in use again, or the account's part of the releases brings it below its own.
		held := b.byAccount[account]
		shared := secondsUntil(b.used-b.total/sharedDivisor+n, rate)
		own := secondsUntil(held-b.total/accountDivisor+n, rate*float64(held)/float64(max(b.used, 1)))
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

// check returns Granted if n bytes are available to an account. The caller holds the lock.
func (b *Budget) check(account string, n int64) Reason {
	switch {
	case n <= 0:
		return Granted
	case n > b.total-b.used:
		return Full
	case b.used+n > b.total/sharedDivisor && b.byAccount[account]+n > b.total/accountDivisor:
		return AccountShare
	}
	return Granted
}

// add changes the size of a reservation. The caller holds the lock.
func (r *Reservation) add(n int64) {
	b := r.budget
	r.bytes += n
	b.used += n
	b.byAccount[r.account] += n
	if b.byAccount[r.account] == 0 {
		delete(b.byAccount, r.account)
	}
}
