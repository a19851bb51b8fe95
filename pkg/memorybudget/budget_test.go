package memorybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against more memory than the total, an account that gets more than its share while most of the total is in use,
// and bytes that are counted wrongly after any sequence of steps, repeated releases included.
func TestBudgetHoldsInEverySequence(t *testing.T) {
	const total = 1000
	sizes := rapid.Int64Range(1, total/3)
	rapid.Check(t, func(t *rapid.T) {
		b := New(total)
		bytes := make(map[*Reservation]int64) // as they should be counted
		holders := make(map[*Reservation]int)
		var all []*Reservation
		held := func(account string) (n int64) {
			for r := range bytes {
				if holders[r] > 0 && (account == "" || r.account == account) {
					n += bytes[r]
				}
			}
			return n
		}
		expected := func(account string, n int64) Reason {
			switch {
			case held("")+n > total:
				return Full
			case held("")+n > total/2 && held(account)+n > total/4:
				return AccountShare
			}
			return Granted
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.IntRange(0, 3).Draw(t, "step")
			n := sizes.Draw(t, "n")
			if step == 0 || len(all) == 0 {
				account := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")
				want := expected(account, n)
				r, reason := b.Reserve(account, n)
				require.Equal(t, want, reason)
				if reason == Granted {
					all, bytes[r], holders[r] = append(all, r), n, 1
				}
				continue
			}
			r := rapid.SampledFrom(all).Draw(t, "reservation")
			switch {
			case holders[r] == 0:
				r.Retain()
				require.Equal(t, Released, r.Grow(n))
				require.Zero(t, r.Release(0))
			case step == 1:
				want := expected(r.account, n)
				require.Equal(t, want, r.Grow(n))
				if want == Granted {
					bytes[r] += n
				}
			case step == 2:
				r.Retain()
				holders[r]++
			default:
				holders[r]--
				r.Release(0)
			}
			require.Equal(t, held(""), b.Used())
		}
	})
}

// Guards against a Retry-After that does not follow the rate of releases, or that is shorter or longer than its bounds.
func TestRetryAfterFollowsReleases(t *testing.T) {
	const now = 20 * time.Second
	b := New(1000)
	require.Equal(t, maxRetryAfter, b.RetryAfter(now, "b", 1001, Full), "nothing was released")
	for s := range 10 { // 20 bytes per second
		r, _ := b.Reserve("a", 20)
		r.Release(now + time.Duration(s-9)*time.Second)
	}
	for _, account := range []string{"a", "b", "c", "d"} {
		_, reason := b.Reserve(account, 250)
		require.Equal(t, Granted, reason)
	}
	require.Equal(t, 3*time.Second, b.RetryAfter(now, "e", 60, Full))
	require.Equal(t, minRetryAfter, b.RetryAfter(now, "e", 1, Full))
	require.Equal(t, 4*time.Second, b.RetryAfter(now, "d", 20, AccountShare), "a quarter of the releases are the account's")
	require.Equal(t, maxRetryAfter, b.RetryAfter(now+10*time.Second, "e", 60, Full), "the releases are long ago")
}
