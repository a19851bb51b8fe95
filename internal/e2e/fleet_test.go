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

func startFleet(ctx context.Context, t *testing.T, instances int) *Fleet {
	t.Helper()
	c := NewCluster(testBinaryDir, t.TempDir())
	t.Cleanup(c.Stop)
	f, err := NewFleet(ctx, c)
	require.NoError(t, err)
	require.NoError(t, f.Publish(rules.Version{Epoch: 1, Revision: 1}))
	require.NoError(t, f.AddInstances(instances))
	require.NoError(t, f.WaitReady(ctx))
	return f
}

// Guards against a change that does not reach every instance, first while all can reach the platform and then while
// only one can, so that the others have to get it through their peers.
func TestChangeReachesAllInstances(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(ctx, t, 4)
	v := rules.Version{Epoch: 1, Revision: 2}
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.WaitForVersion(ctx, v, f.Instances...))

	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{PartitionedReaders: []string{
		f.Instances[1].PeerAddress, f.Instances[2].PeerAddress, f.Instances[3].PeerAddress,
	}}))
	before, err := f.PlatformCounts()
	require.NoError(t, err)
	v.Revision++
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.WaitForVersion(ctx, v, f.Instances...))
	after, err := f.PlatformCounts()
	require.NoError(t, err)
	for _, inst := range f.Instances[1:] {
		require.Equal(t, before.ByReader[inst.PeerAddress], after.ByReader[inst.PeerAddress], "platform reads of a partitioned instance")
	}
}

// Guards against a new instance that becomes ready with an outdated document because the platform serves stale data.
func TestReplacementWithStalePlatformGetsNewestVersion(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(ctx, t, 3)
	v := rules.Version{Epoch: 1, Revision: 2}
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.WaitForVersion(ctx, v, f.Instances...))
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Stale: true, StaleBy: 1}))
	require.NoError(t, f.Replace(2))
	require.NoError(t, f.WaitReady(ctx))
	got, err := f.Version(f.Instances[2])
	require.NoError(t, err)
	require.Equal(t, v, got, "version in force when ready")
}

// Guards against an instance that never becomes ready because the platform or its peer does not respond, and against
// one that becomes ready without a configuration because neither responds.
func TestReadinessWithUnresponsivePlatformOrPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := startFleet(ctx, t, 2)
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Down: true}))
	require.NoError(t, f.Replace(1))
	require.NoError(t, f.WaitReady(ctx), "platform down, peer responds")
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{}))
	require.NoError(t, f.Instances[0].Signal(syscall.SIGSTOP))
	require.NoError(t, f.Replace(1))
	require.NoError(t, WaitStatus(ctx, "http://"+f.Instances[1].AdminAddress+"/v1/ready", http.StatusOK), "platform responds, peer paused")
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Down: true}))
	require.NoError(t, f.Replace(1))
	require.NoError(t, WaitStatus(ctx, "http://"+f.Instances[1].AdminAddress+"/v1/health", http.StatusOK))
	require.NoError(t, WaitStatus(ctx, "http://"+f.Instances[1].AdminAddress+"/v1/ready", http.StatusServiceUnavailable), "no configuration in force")
}

// Guards against an instance that replaces its configuration by an earlier version, under random faults between
// publications. FLEET_STEPS sets the number of publications; the default is small enough for CI.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
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
	var paused *Instance
	for step := range steps {
		v.Revision++
		if rng.IntN(8) == 0 {
			v = rules.Version{Epoch: v.Epoch + 1, Revision: 1}
		}
		require.NoError(t, f.Publish(v))
		require.NoError(t, waitForVersionExceptPaused(ctx, f, v, paused), "step %d", step)
		paused = injectRandomFault(ctx, t, f, rng, v, paused)
	}
	require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{}))
	if paused != nil {
		require.NoError(t, paused.Signal(syscall.SIGCONT))
	}
	v.Revision++
	require.NoError(t, f.Publish(v))
	require.NoError(t, f.WaitForVersion(ctx, v, f.Instances...))
	require.NoError(t, f.CheckLogsForReversion())
}

// injectRandomFault clears the earlier faults, injects another and returns the instance that it paused, if any. No
// instance could read the next publication from a platform that is stale or down, so these two faults end before the
// function returns. They last until a replacement instance has version v, which it has to get from its peers.
func injectRandomFault(ctx context.Context, t *testing.T, f *Fleet, rng *rand.Rand, v rules.Version, paused *Instance) *Instance {
	t.Helper()
	if paused != nil {
		require.NoError(t, paused.Signal(syscall.SIGCONT))
	}
	affected := 1 + rng.IntN(len(f.Instances)-1)
	faults := standin.PlatformFaults{}
	switch rng.IntN(5) {
	case 0:
		require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Stale: true, StaleBy: 1 + rng.IntN(3)}))
		require.NoError(t, f.Replace(affected))
		require.NoError(t, f.WaitForVersion(ctx, v, f.Instances[len(f.Instances)-1]), "replacement with a stale platform")
	case 1:
		require.NoError(t, f.SetPlatformFaults(standin.PlatformFaults{Down: true}))
		require.NoError(t, f.Replace(affected))
		require.NoError(t, f.WaitForVersion(ctx, v, f.Instances[len(f.Instances)-1]), "replacement with the platform down")
	case 2:
		require.NoError(t, f.Instances[affected].Signal(syscall.SIGSTOP))
		require.NoError(t, f.SetPlatformFaults(faults))
		return f.Instances[affected]
	case 3:
		faults.PartitionedReaders = []string{f.Instances[affected].PeerAddress}
	case 4:
		faults.DelayMs = 50
	}
	require.NoError(t, f.SetPlatformFaults(faults))
	return nil
}

// waitForVersionExceptPaused waits until a version is in force at all instances but the paused one. It fails if one of
// them reports a lower version than before.
func waitForVersionExceptPaused(ctx context.Context, f *Fleet, v rules.Version, paused *Instance) error {
	for _, inst := range f.Instances {
		if inst == paused {
			continue
		}
		if err := f.WaitForVersion(ctx, v, inst); err != nil {
			return eris.Wrap(err, inst.Output())
		}
	}
	return nil
}
