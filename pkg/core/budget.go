package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	budgetBucketWidth = 100 * time.Millisecond
	windowBuckets     = int(BudgetWindow / budgetBucketWidth)
	// budgetBuckets covers the latest window and the one before it, and the bucket that is only partly inside.
	budgetBuckets = 2*windowBuckets + 1
)

type budgetBucket struct{ requests, retries, hedges int }

// budget counts requests, retries and hedges over sliding windows.
//
// The bucket that is only partly in the latest window counts for its retries and hedges, and not for its requests. The
// former are thus counted over at least BudgetWindow and the latter over at most BudgetWindow, so that the limits hold for
// the requests of exactly that time.
type budget struct {
	buckets      [budgetBuckets]budgetBucket
	newestBucket int64        // number of the newest bucket since the start of the process
	total        budgetBucket // of the latest window
	reserved     int          // planned retries that are not sent yet
}

// bucket returns the bucket with a number. A negative one, before the start of the process, is empty.
func (b *budget) bucket(number int64) *budgetBucket {
	return &b.buckets[(number+int64(budgetBuckets))%int64(budgetBuckets)]
}

// advance drops the buckets that have left the windows.
func (b *budget) advance(now Instant) {
	newest := int64(now / budgetBucketWidth)
	if newest-b.newestBucket >= int64(budgetBuckets) {
		*b = budget{newestBucket: newest, reserved: b.reserved}
		return
	}
	for b.newestBucket < newest {
		b.newestBucket++
		*b.bucket(b.newestBucket) = budgetBucket{}
		left := b.bucket(b.newestBucket - int64(windowBuckets) - 1)
		b.total.requests -= left.requests
		b.total.retries -= left.retries
		b.total.hedges -= left.hedges
	}
}

// completeRequests returns the number of requests in the latest window without its oldest bucket.
func (b *budget) completeRequests() int {
	return b.total.requests - b.bucket(b.newestBucket-int64(windowBuckets)).requests
}

func (b *budget) addRequest(now Instant) {
	b.advance(now)
	b.bucket(b.newestBucket).requests++
	b.total.requests++
}

// limitOf returns the limit for a number of requests from its parts, of which only the floor is a whole number. The parts of
// an instance are small in a large fleet, where rounding all of them down would leave a large share of the budget unused.
// With a limit that the fleet shares, each instance rounds up or down by its ID, so that the sum over the fleet stays the
// same.
//
// An instance that has just started gets no share of the slack: it may have used its share before a restart, and it does
// not know the size of the fleet yet. For the first reason, its ratio is Policy.StartRetryRatio.
func (b *budget) limitOf(p *Policy, requests, floor int, ratio, slack float64) int {
	limit := ratio * float64(requests)
	if !b.isStarting() {
		limit += p.instanceShare(slack)
	}
	if p.RetriesIncludeHedges {
		limit += float64(xxhash.Sum64String(p.InstanceID)) / (1 << 64)
	}
	return floor + int(limit)
}

// isStarting reports whether the process has not run for a whole window yet.
func (b *budget) isStarting() bool { return b.newestBucket < int64(windowBuckets) }

func (b *budget) retryLimit(p *Policy) int { return b.retryLimitFor(p, b.completeRequests()) }

// retryLimitFor returns the limit of the retries in a window with a number of requests.
func (b *budget) retryLimitFor(p *Policy, requests int) int {
	ratio := p.RetryRatio
	if b.isStarting() {
		ratio = p.StartRetryRatio
	}
	return b.limitOf(p, requests, p.RetryFloor, ratio, p.RetrySlack)
}

func (b *budget) hedgeLimit(p *Policy) int {
	return b.limitOf(p, b.completeRequests(), p.HedgeFloor, p.HedgeRatio, p.HedgeSlack)
}

// retriesIn returns the retries in a bucket or a window that count against the retry budget.
func (p *Policy) retriesIn(b budgetBucket) int {
	if p.RetriesIncludeHedges {
		return b.retries + b.hedges
	}
	return b.retries
}

// hasRoom reports whether the retry budget allows one more retry now, in the latest window and in each one that starts with
// a bucket and has not ended. The requests in the rest of such a window are unknown and may be few. Its limit follows from
// its requests so far, from those of the window before it or from those of the one half a window before it, whichever are
// most.
func (b *budget) hasRoom(p *Policy) bool {
	if p.retriesIn(b.total)+b.reserved >= b.retryLimit(p) {
		return false
	}
	var requests, retries [budgetBuckets + 1]int // sums over the buckets before an index; the oldest bucket has index 0
	for i := range budgetBuckets {
		bucket := b.bucket(b.newestBucket - int64(budgetBuckets-1-i))
		requests[i+1] = requests[i] + bucket.requests
		retries[i+1] = retries[i] + p.retriesIn(*bucket)
	}
	// between counts the requests in the window that starts with a bucket.
	between := func(start int) int { return requests[min(start+windowBuckets, budgetBuckets)] - requests[start] }
	for start := windowBuckets + 1; start < budgetBuckets; start++ {
		most := max(between(start), between(start-windowBuckets/2), between(start-windowBuckets))
		if retries[budgetBuckets]-retries[start]+b.reserved >= b.retryLimitFor(p, most) {
			return false
		}
	}
	return true
}

// reserveRetry reports whether one more retry is allowed, and reserves it if so. countReserved or releaseReserved must
// follow: a planned retry may wait for seconds before it is sent, and it reaches its target in another window then.
func (b *budget) reserveRetry(now Instant, p *Policy) bool {
	b.advance(now)
	if !b.hasRoom(p) {
		return false
	}
	b.reserved++
	return true
}

// countReserved counts a reserved retry, which is sent now.
func (b *budget) countReserved(now Instant) {
	b.advance(now)
	b.reserved--
	b.bucket(b.newestBucket).retries++
	b.total.retries++
}

// releaseReserved ends the reservation of a retry that is not sent.
func (b *budget) releaseReserved() { b.reserved-- }

// takeRetry reports whether one more retry is allowed, and counts it if so.
func (b *budget) takeRetry(now Instant, p *Policy) bool {
	if !b.reserveRetry(now, p) {
		return false
	}
	b.countReserved(now)
	return true
}

// allowsHedge reports whether one more hedge fits into the given share of the hedge budget.
func (b *budget) allowsHedge(now Instant, p *Policy, budgetShare float64) bool {
	b.advance(now)
	if p.RetriesIncludeHedges && !b.hasRoom(p) {
		return false
	}
	return float64(b.total.hedges+1) <= budgetShare*float64(b.hedgeLimit(p))
}

func (b *budget) addHedge() {
	b.bucket(b.newestBucket).hedges++
	b.total.hedges++
}
