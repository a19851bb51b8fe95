package e2e

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

func startFleet(ctx context.Context, t *testing.T, entries int) *Fleet {
	t.Helper()
	c := NewCluster(binaries, t.TempDir())
	t.Cleanup(c.Stop)
	f, err := NewFleet(ctx, c)
	require.NoError(t, err)
	require.NoError(t, f.Publish(rules.Version{Epoch: 1, Revision: 1}))
	require.NoError(t, f.Add(entries))
	require.NoError(t, f.Ready(ctx))
	return f
}

// Guards against a change that does not reach every instance, with the platform in reach of all, half or none.
func TestChangeReachesAllInstances(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(ctx, t, 4)
	v := rules.Version{Epoch: 1, Revision: 2}
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.Reaches(ctx, v, f.Entries...))

	require.NoError(t, f.SetFaults(standin.PlatformFaults{PartitionedReaders: []string{f.Entries[1].Peer, f.Entries[2].Peer, f.Entries[3].Peer}}))
	before, err := f.Counts()
	require.NoError(t, err)
	v.Revision++
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.Reaches(ctx, v, f.Entries...))
	after, err := f.Counts()
	require.NoError(t, err)
	for _, e := range f.Entries[1:] {
		require.Equal(t, before.ByReader[e.Peer], after.ByReader[e.Peer], "the platform answered an instance that is cut off")
	}
}

// Guards against a new instance that becomes ready with the outdated document of a stale platform.
func TestReplacementAgainstAStalePlatformEndsOnTheNewest(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(ctx, t, 3)
	v := rules.Version{Epoch: 1, Revision: 2}
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.Reaches(ctx, v, f.Entries...))
	require.NoError(t, f.SetFaults(standin.PlatformFaults{Stale: true, StaleBy: 1}))
	require.NoError(t, f.Replace(2))
	require.NoError(t, f.Ready(ctx))
	got, err := f.Version(f.Entries[2])
	require.NoError(t, err)
	require.Equal(t, v, got, "version in force when ready")
}

// Guards against an instance that never becomes ready because the platform, its peers or both do not answer.
func TestReadyWithoutAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(ctx, t, 2)
	require.NoError(t, f.SetFaults(standin.PlatformFaults{Down: true}))
	require.NoError(t, f.Replace(1))
	require.NoError(t, f.Ready(ctx), "platform down, peer answers")
	require.NoError(t, f.SetFaults(standin.PlatformFaults{}))
	require.NoError(t, f.Entries[0].Signal(syscall.SIGSTOP))
	require.NoError(t, f.Replace(1))
	require.NoError(t, WaitStatus(ctx, "http://"+f.Entries[1].Admin+"/v1/ready", http.StatusOK), "platform answers, peer paused")
	require.NoError(t, f.SetFaults(standin.PlatformFaults{Down: true}))
	require.NoError(t, f.Replace(1))
	require.NoError(t, WaitStatus(ctx, "http://"+f.Entries[1].Admin+"/v1/health", http.StatusOK))
	require.NoError(t, WaitStatus(ctx, "http://"+f.Entries[1].Admin+"/v1/ready", http.StatusServiceUnavailable), "nothing in force")
}

// Guards against reversion: no instance may ever report a lower version than before, whatever happens between
// publications. FLEET_STEPS sets the number of publications; the default suits CI.
func TestConfigurationNeverGoesBack(t *testing.T) {
	steps := 12
	if text := os.Getenv("FLEET_STEPS"); text != "" {
		var err error
		steps, err = strconv.Atoi(text)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute+time.Duration(steps)*5*time.Second)
	defer cancel()
	f := startFleet(ctx, t, 4)
	rng := rand.New(rand.NewPCG(1, 2))
	v := rules.Version{Epoch: 1, Revision: 1}
	var paused *Entry
	for step := range steps {
		v.Revision++
		if rng.IntN(8) == 0 {
			v = rules.Version{Epoch: v.Epoch + 1, Revision: 1}
		}
		require.NoError(t, f.Publish(v))
		require.NoError(t, reachesRunning(ctx, f, v, paused), "step %d", step)
		paused = disturb(ctx, t, f, rng, v, paused)
	}
	require.NoError(t, f.SetFaults(standin.PlatformFaults{}))
	if paused != nil {
		require.NoError(t, paused.Signal(syscall.SIGCONT))
	}
	v.Revision++
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.Reaches(ctx, v, f.Entries...))
	require.NoError(t, f.CheckLogs())
}

// disturb ends the earlier faults and begins others. Those of which the next publication could not reach anybody are over
// when it returns; a replacement that starts under them has to get version v from its peers.
func disturb(ctx context.Context, t *testing.T, f *Fleet, rng *rand.Rand, v rules.Version, paused *Entry) *Entry {
	t.Helper()
	if paused != nil {
		require.NoError(t, paused.Signal(syscall.SIGCONT))
	}
	victim := 1 + rng.IntN(len(f.Entries)-1)
	faults := standin.PlatformFaults{}
	switch rng.IntN(5) {
	case 0:
		require.NoError(t, f.SetFaults(standin.PlatformFaults{Stale: true, StaleBy: 1 + rng.IntN(3)}))
		require.NoError(t, f.Replace(victim))
		require.NoError(t, f.Reaches(ctx, v, f.Entries[len(f.Entries)-1]), "replacement beside a stale platform")
	case 1:
		require.NoError(t, f.SetFaults(standin.PlatformFaults{Down: true}))
		require.NoError(t, f.Replace(victim))
		require.NoError(t, f.Reaches(ctx, v, f.Entries[len(f.Entries)-1]), "replacement beside a platform that is down")
	case 2:
		require.NoError(t, f.Entries[victim].Signal(syscall.SIGSTOP))
		require.NoError(t, f.SetFaults(faults))
		return f.Entries[victim]
	case 3:
		faults.PartitionedReaders = []string{f.Entries[victim].Peer}
	case 4:
		faults.DelayMs = 50
	}
	require.NoError(t, f.SetFaults(faults))
	return nil
}

// reachesRunning waits for a version at all instances but the paused one, and checks that none went back.
func reachesRunning(ctx context.Context, f *Fleet, v rules.Version, paused *Entry) error {
	for _, e := range f.Entries {
		if e == paused {
			continue
		}
		if err := f.Reaches(ctx, v, e); err != nil {
			return eris.Wrap(err, e.Output())
		}
	}
	return nil
}
