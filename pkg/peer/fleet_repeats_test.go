package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
)

// Guards against traffic above 15 KB/s per instance while targets crash under requests that come again and again, and that
// other instances answer between the crashes: each third crash is a verdict until an instance that has answered the request
// acquits it.
func TestFleetTrafficOfRepeatedRequests(t *testing.T) {
	for name, retriedShare := range map[string]float64{"answered": 0.8, "unanswered": 0} {
		t.Run(name, func(t *testing.T) { testRepeatedRequests(t, retriedShare) })
	}
}

// testRepeatedRequests plays requests of which retriedShare is answered by another target after a crash.
func testRepeatedRequests(t *testing.T, retriedShare float64) {
	const (
		size             = 124
		contents         = 200
		callers          = 5
		crashesPerSecond = 22
		answersPerSecond = 500
		maxBytes         = 15000.0
	)
	f := newFleet(size)
	random := func() (*simInstance, quarantine.Fingerprint) {
		return f.instances[f.rng.IntN(size)], quarantine.Fingerprint{Content: 1 + f.rng.Uint64N(contents), Caller: 1 + f.rng.Uint64N(callers)}
	}
	var crash, answer func()
	crash = func() {
		target := fmt.Sprint("target-", f.rng.Uint64())
		for range 5 {
			in, request := random()
			in.reduceCrashes(quarantine.CrashObserved{Fingerprint: request, Target: target})
			if f.rng.Float64() < retriedShare {
				in.reduceCrashes(quarantine.ResponseReceived{Fingerprint: request})
			}
			in.reduceCrashes(quarantine.RequestEnded{Fingerprint: request})
		}
		f.after(time.Second/crashesPerSecond, crash)
	}
	answer = func() {
		in, request := random()
		in.reduceCrashes(quarantine.ResponseReceived{Fingerprint: request})
		f.after(time.Second/answersPerSecond, answer)
	}
	crash()
	answer()
	f.runUntil(20 * time.Second)
	got := f.traffic(f.now)
	t.Logf("%+v", got)
	require.Less(t, got.maxBytes, maxBytes)
}
