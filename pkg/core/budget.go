package core

import "time"

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

func (b *budget) retryLimit(p *Policy) int {
	return p.RetryFloor + int(p.RetryRatio*float64(b.completeRequests())+p.instanceShare(p.RetrySlack))
}

func (b *budget) hedgeLimit(p *Policy) int {
	return p.HedgeFloor + int(p.HedgeRatio*float64(b.completeRequests())+p.instanceShare(p.HedgeSlack))
}

// takeRetry reports whether one more retry is allowed, and counts it if so.
func (b *budget) takeRetry(now Instant, p *Policy) bool {
	b.advance(now)
	if b.total.retries >= b.retryLimit(p) {
		return false
	}
	b.bucket(b.newestBucket).retries++
	b.total.retries++
	return true
}

// allowsHedge reports whether one more hedge fits into the given share of the hedge budget.
func (b *budget) allowsHedge(now Instant, p *Policy, budgetShare float64) bool {
	b.advance(now)
	return float64(b.total.hedges+1) <= budgetShare*float64(b.hedgeLimit(p))
}

func (b *budget) addHedge() {
	b.bucket(b.newestBucket).hedges++
	b.total.hedges++
}
