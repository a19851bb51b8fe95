package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// tokenBucket is a token bucket. It is safe for concurrent use.
type tokenBucket struct {
	rate  float64 // tokens per second
	burst float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst, last: time.Now()}
}

// reserve takes one token, possibly one that is not available yet, and returns how long to wait for it.
func (b *tokenBucket) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

// backoff computes exponentially growing pauses with jitter.
type backoff struct {
	initialPause, maxPause time.Duration
	next                   time.Duration
}

// pause returns the next pause: a random duration between half and all of a value that doubles up to the limit.
func (b *backoff) pause() time.Duration {
	b.next = min(max(b.next*2, b.initialPause), b.maxPause)
	return b.next/2 + rand.N(b.next/2+1)
}

func (b *backoff) reset() { b.next = 0 }

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
