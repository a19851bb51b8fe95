package bodymemory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against more memory than the total, a caller that gets more than its share while most of the total is in use,
// and bytes that are counted wrongly after any sequence of steps, repeated releases included.
func TestBudgetHoldsInEverySequence(t *testing.T) {
	const total = 1000
	rapid.Check(t, func(t *rapid.T) {
		b := New(total)
		type holding struct {
			*Reservation
			caller  string
			n       int64
			holders int
		}
		var all []*holding
		sum := func(caller string) (n int64) {
			for _, h := range all {
				if h.holders > 0 && (caller == "" || h.caller == caller) {
					n += h.n
				}
			}
			return n
		}
		verify := func(caller string, n int64, reason Reason) {
			used, held := sum("")+n, sum(caller)+n
			want := Granted
			switch {
			case used > total:
				want = Full
			case used > total/2 && held > total/4 && n > 0:
				want = CallerShare
			}
			require.Equal(t, want, reason)
		}
		n := rapid.Int64Range(0, total/3)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := rapid.IntRange(0, 3).Draw(t, "step")
			if step == 0 || len(all) == 0 {
				h := &holding{caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), n: n.Draw(t, "n"), holders: 1}
				var reason Reason
				h.Reservation, reason = b.Reserve(h.caller, h.n)
				verify(h.caller, h.n, reason)
				if reason == Granted {
					all = append(all, h)
				}
			} else {
				h := rapid.SampledFrom(all).Draw(t, "holding")
				switch {
				case step == 1 && h.holders > 0:
					more := n.Draw(t, "more")
					reason := h.Grow(more)
					verify(h.caller, more, reason)
					if reason == Granted {
						h.n += more
					}
				case step == 1:
					require.Equal(t, Released, h.Grow(1))
				case step == 2:
					h.Retain()
					if h.holders > 0 {
						h.holders++
					}
				default:
					h.holders = max(h.holders-1, 0)
					h.Release(0)
				}
			}
			require.Equal(t, sum(""), b.Used())
		}
		for _, h := range all {
			for range h.holders {
				h.Release(0)
			}
		}
		require.Zero(t, b.Used())
		require.Empty(t, b.byCaller)
	})
}

// Guards against one caller that keeps all others out: whatever it does, it leaves half of the total, and each other
// caller gets a quarter.
func TestOneCallerLeavesRoomForOthers(t *testing.T) {
	b := New(1000)
	var reason Reason
	for reason == Granted {
		_, reason = b.Reserve("greedy", 10)
	}
	require.Equal(t, CallerShare, reason)
	require.EqualValues(t, 500, b.Used())
	for _, caller := range []string{"x", "y"} {
		_, reason = b.Reserve(caller, 250)
		require.Equal(t, Granted, reason)
	}
	_, reason = b.Reserve("z", 1)
	require.Equal(t, Full, reason)
}

// Guards against a Retry-After that does not follow the rate of releases, or that is shorter or longer than its bounds.
func TestRetryAfterFollowsReleases(t *testing.T) {
	b := New(1000)
	release := func(at time.Duration, n int64) {
		r, reason := b.Reserve("short", n)
		require.Equal(t, Granted, reason)
		r.Release(at)
	}
	reserve := func(caller string, n int64) {
		_, reason := b.Reserve(caller, n)
		require.Equal(t, Granted, reason)
	}
	const now = 20 * time.Second
	reserve("a", 250)
	require.Equal(t, maxRetryAfter, b.RetryAfter(now, "b", 800, Full), "nothing was released")
	for s := range 10 { // 20 bytes per second
		release(now+time.Duration(s-9)*time.Second, 20)
	}
	reserve("b", 250)
	reserve("c", 250)
	reserve("d", 250)
	require.Equal(t, 3*time.Second, b.RetryAfter(now, "e", 60, Full))
	require.Equal(t, minRetryAfter, b.RetryAfter(now, "e", 1, Full))
	require.Equal(t, 4*time.Second, b.RetryAfter(now, "d", 20, CallerShare), "a quarter of the releases are the caller's")
	require.Equal(t, maxRetryAfter, b.RetryAfter(now+10*time.Second, "e", 60, Full), "the releases are long ago")
}
