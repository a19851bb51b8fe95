package core

import "time"

const (
	budgetStep = 100 * time.Millisecond
	// One bucket more than the window holds: retries and hedges are counted over at least BudgetWindow and requests
	// over at most BudgetWindow, so that the limits hold in every exact window.
	budgetBuckets = int(BudgetWindow/budgetStep) + 1
)

type budgetBucket struct{ requests, retries, hedges int }

// budget counts requests, retries and hedges over a sliding window.
type budget struct {
	buckets [budgetBuckets]budgetBucket
	current int64 // number of the newest bucket since the start of the process
	total   budgetBucket
}

func (b *budget) bucket(number int64) *budgetBucket {
	return &b.buckets[number%int64(budgetBuckets)]
}

// advance drops the buckets that have left the window.
func (b *budget) advance(now Instant) {
	newest := int64(now / budgetStep)
	if newest-b.current >= int64(budgetBuckets) {
		*b = budget{current: newest}
		return
	}
	for b.current < newest {
		b.current++
		old := b.bucket(b.current)
		b.total.requests -= old.requests
		b.total.retries -= old.retries
		b.total.hedges -= old.hedges
		*old = budgetBucket{}
	}
}

// requests returns the number of requests in the window without its oldest, partial bucket.
func (b *budget) requests() int {
	return b.total.requests - b.bucket(b.current+1).requests
}

func (b *budget) addRequest(now Instant) {
	b.advance(now)
	b.bucket(b.current).requests++
	b.total.requests++
}

func (b *budget) retryLimit(p *Policy) int {
	return p.RetryFloor + int(p.RetryRatio*float64(b.requests())+p.share(p.RetrySlack))
}

func (b *budget) hedgeLimit(p *Policy) int {
	return p.HedgeFloor + int(p.HedgeRatio*float64(b.requests())+p.share(p.HedgeSlack))
}

// takeRetry reports whether one more retry is allowed, and counts it.
func (b *budget) takeRetry(now Instant, p *Policy) bool {
	b.advance(now)
	if b.total.retries >= b.retryLimit(p) {
		return false
	}
	b.bucket(b.current).retries++
	b.total.retries++
	return true
}

// hedgeAllowed reports whether a hedge fits into the given share of the budget.
func (b *budget) hedgeAllowed(now Instant, p *Policy, share float64) bool {
	b.advance(now)
	return float64(b.total.hedges+1) <= share*float64(b.hedgeLimit(p))
}

func (b *budget) addHedge() {
	b.bucket(b.current).hedges++
	b.total.hedges++
}
