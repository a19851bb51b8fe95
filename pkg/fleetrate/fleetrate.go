// Package fleetrate divides a request rate that holds for all instances together among a few of them, without
// communication.
//
// The rate is divided evenly among the senders, each of which has a token bucket that holds one request. All instances
// that know the same fleet agree on the senders of a target, because these are the instances with the highest rendezvous
// hash of instance and target. Dividing among all instances would let a large fleet send a burst: after a pause, each
// instance may send one request at once.
package fleetrate

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Never is the wait of an instance that is no sender.
const Never time.Duration = math.MaxInt64

// tokenTolerance absorbs the rounding of times to nanoseconds.
const tokenTolerance = 1e-6

// Hash returns the rendezvous hash of an instance and a target.
func Hash(instance, target string) uint64 { return xxhash.Sum64String(instance + "/" + target) }

// Share returns the part of a rate that instance self may use if a number of instances of the fleet are senders of the
// target; 0 if self is not one of them.
func Share(perSecond float64, senders int, self string, fleet []string, target string) float64 {
	senders = min(senders, len(fleet))
	own, rank := Hash(self, target), 0
	for _, instance := range fleet {
		if instance != self && Hash(instance, target) > own {
			rank++
		}
	}
	if rank >= senders {
		return 0
	}
	return perSecond / float64(senders)
}

// Bucket is the token bucket of one instance for one target. It holds at most one request. The zero value is empty and
// has no share. Times are monotonic.
type Bucket struct {
	share      float64 // requests per second; 0 if the instance is no sender
	tokens     float64 // requests that may be sent at refilledAt
	refilledAt time.Duration
}

// Start sets the level, from 0 to 1. A random level keeps instances that learn of a rate together from sending together.
func (b *Bucket) Start(now time.Duration, level float64) { b.tokens, b.refilledAt = level, now }

// Share returns the share of the instance in requests per second.
func (b *Bucket) Share() float64 { return b.share }

// SetShare changes the share. An instance that is no sender loses its tokens.
func (b *Bucket) SetShare(now time.Duration, share float64) {
	b.refill(now)
	b.share = share
	if share == 0 {
		b.tokens = 0
	}
}

// refill adds the tokens since the last refill.
func (b *Bucket) refill(now time.Duration) {
	b.tokens = min(1, b.tokens+b.share*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Wait returns the time until the bucket admits a request, at most limit: 0 if it admits one now, Never for an instance
// that is no sender.
func (b *Bucket) Wait(now, limit time.Duration) time.Duration {
	missing := 1 - tokenTolerance - b.tokens - b.share*(now-b.refilledAt).Seconds()
	switch {
	case missing <= 0:
		return 0
	case b.share <= 0:
		return Never
	}
	return time.Duration(math.Ceil(min(missing/b.share, limit.Seconds()) * float64(time.Second)))
}

// Take records that a request is sent.
func (b *Bucket) Take(now time.Duration) {
	b.refill(now)
	b.tokens = max(b.tokens-1, 0)
}
