package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an instance that reads faster than its share of the platform's limit.
func TestTokenBucketLimitsReads(t *testing.T) {
	b := newTokenBucket(5, 3)
	now := b.last
	for range 3 {
		require.Zero(t, b.reserve(now))
	}
	require.Equal(t, 200*time.Millisecond, b.reserve(now))
	require.Equal(t, 400*time.Millisecond, b.reserve(now))
	require.Zero(t, b.reserve(now.Add(time.Minute)), "tokens are refilled")
	require.Zero(t, b.reserve(now.Add(time.Minute)))
	require.Zero(t, b.reserve(now.Add(time.Minute)))
	require.NotZero(t, b.reserve(now.Add(time.Minute)), "the burst limits the refill")
}

// Guards against readers that retry all at the same time, or without growing pauses.
func TestBackoffGrowsToLimitWithJitter(t *testing.T) {
	b := backoff{initialPause: 100 * time.Millisecond, maxPause: time.Second}
	for _, full := range []time.Duration{100, 200, 400, 800, 1000, 1000} {
		full *= time.Millisecond
		pause := b.pause()
		require.GreaterOrEqual(t, pause, full/2)
		require.LessOrEqual(t, pause, full)
	}
	b.reset()
	require.LessOrEqual(t, b.pause(), 100*time.Millisecond)
}
