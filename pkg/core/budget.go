package core

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	budgetBucketWidth = 100 * time.Millisecond
	// budgetBuckets is one more than fit into BudgetWindow, because the oldest bucket is only partly in the window. Its
	// retries and hedges count and its requests do not. Retries and hedges are thus counted over at least BudgetWindow
	// and requests over at most BudgetWindow, so that the limits hold in every window of exactly that length.
	budgetBuckets = int(BudgetWindow/budgetBucketWidth) + 1
)

type budgetBucket struct{ requests, retries, hedges int }

// budget counts requests, retries and hedges over a sliding window.
type budget struct {
	buckets      [budgetBuckets]budgetBucket
	newestBucket int64 // number of the newest bucket since the start of the process
	total        budgetBucket
}

func (b *budget) bucket(number int64) *budgetBucket {
	return &b.buckets[number%int64(budgetBuckets)]
}

// advance drops the buckets that have left the window.
func (b *budget) advance(now Instant) {
	newest := int64(now / budgetBucketWidth)
	if newest-b.newestBucket >= int64(budgetBuckets) {
		*b = budget{newestBucket: newest}
		return
	}
	for b.newestBucket < newest {
		b.newestBucket++
		old := b.bucket(b.newestBucket)
		b.total.requests -= old.requests
		b.total.retries -= old.retries
		b.total.hedges -= old.hedges
		*old = budgetBucket{}
	}
}

// completeRequests returns the number of requests in the window without its oldest bucket, which is partly outside.
func (b *budget) completeRequests() int {
	return b.total.requests - b.bucket(b.newestBucket+1).requests
}

func (b *budget) addRequest(now Instant) {
	b.advance(now)
	b.bucket(b.newestBucket).requests++
	b.total.requests++
}

// limitOf returns a limit from its parts, of which only the floor is a whole number. The parts of an instance are small
// in a large fleet, where rounding all of them down would leave a large share of the budget unused. With a limit that
// the fleet shares, each instance rounds up or down by its ID, so that the sum over the fleet stays the same.
//
// An instance that has just started gets no share of the slack: it may have used its share before a restart, and it does
// not know the size of the fleet yet. For the first reason, its ratio is Policy.StartRetryRatio.
func (b *budget) limitOf(p *Policy, floor int, ratio, slack float64) int {
	limit := ratio * float64(b.completeRequests())
	if !b.isStarting() {
		limit += p.instanceShare(slack)
	}
	if p.RetriesIncludeHedges {
		limit += float64(xxhash.Sum64String(p.InstanceID)) / (1 << 64)
	}
	return floor + int(limit)
}

// isStarting reports whether the process has not run for a whole window yet.
func (b *budget) isStarting() bool { return b.newestBucket < int64(BudgetWindow/budgetBucketWidth) }

func (b *budget) retryLimit(p *Policy) int {
	ratio := p.RetryRatio
	if b.isStarting() {
		ratio = p.StartRetryRatio
	}
	return b.limitOf(p, p.RetryFloor, ratio, p.RetrySlack)
}

func (b *budget) hedgeLimit(p *Policy) int {
	return b.limitOf(p, p.HedgeFloor, p.HedgeRatio, p.HedgeSlack)
}

// retriesUsed returns the retries in the window that count against the retry budget.
func (b *budget) retriesUsed(p *Policy) int {
	if p.RetriesIncludeHedges {
		return b.total.retries + b.total.hedges
	}
	return b.total.retries
}

// takeRetry reports whether one more retry is allowed, and counts it if so.
func (b *budget) takeRetry(now Instant, p *Policy) bool {
	b.advance(now)
	if b.retriesUsed(p) >= b.retryLimit(p) {
		return false
	}
	b.bucket(b.newestBucket).retries++
	b.total.retries++
	return true
}

// allowsHedge reports whether one more hedge fits into the given share of the hedge budget.
func (b *budget) allowsHedge(now Instant, p *Policy, budgetShare float64) bool {
	b.advance(now)
	if p.RetriesIncludeHedges && b.retriesUsed(p) >= b.retryLimit(p) {
		return false
	}
	return float64(b.total.hedges+1) <= budgetShare*float64(b.hedgeLimit(p))
}

func (b *budget) addHedge() {
	b.bucket(b.newestBucket).hedges++
	b.total.hedges++
}
