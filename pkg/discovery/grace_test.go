package discovery_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// Guards against a grace period, in which removed targets are used, because watches are cut late in their wait: the source was
// there all the while.
func TestWatchesThatAreCutLateAreNoOutage(t *testing.T) {
	s := &fakeSource{cutAfter: 1400 * time.Millisecond, cutErr: io.ErrUnexpectedEOF}
	s.set("stays", "leaves")
	cfg, r := watcherConfig, &recorder{}
	cfg.Wait = 1500 * time.Millisecond
	w := discovery.NewWatcher(cfg, s, nil, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	go w.Run(t.Context())
	require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	time.Sleep(2 * cfg.Wait)
	s.remove("leaves")
	require.Eventually(t, func() bool { return r.count() == 1 }, time.Second, time.Millisecond)
}

// refusedSource is a source that refuses one instance for a time.
type refusedSource struct {
	*fakeSource
	refused  atomic.Bool
	refusals atomic.Int64
}

var errRefused = errors.New("status 503")

func (s *refusedSource) Read(ctx context.Context) (discovery.Snapshot, error) {
	if s.refused.Load() {
		return discovery.Snapshot{}, errRefused
	}
	return s.fakeSource.Read(ctx)
}

func (s *refusedSource) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	if s.refused.Load() {
		s.refusals.Add(1)
		return discovery.Changes{}, errRefused
	}
	changes, err := s.fakeSource.Watch(ctx, after, wait)
	if s.refused.Load() {
		return discovery.Changes{}, errRefused
	}
	return changes, err
}

// startRootAndFollower starts two watchers, of which the second follows the first. Their sources have the same content, the
// targets "stays" and "leaves", and can be refused separately. It returns once the follower, whose results r receives, has both.
func startRootAndFollower(t *testing.T, cfg discovery.WatcherConfig) (content *fakeSource, ofRoot, ofFollower *refusedSource, r *recorder) {
	t.Helper()
	content, r = &fakeSource{}, &recorder{}
	content.set("stays", "leaves")
	ofRoot, ofFollower = &refusedSource{fakeSource: content}, &refusedSource{fakeSource: content}
	start := func(source discovery.Source, peers discovery.PeerSelector, sink *recorder) *discovery.Watcher {
		w := discovery.NewWatcher(cfg, source, peers, sink, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
		go w.Run(t.Context())
		return w
	}
	root := start(ofRoot, nil, &recorder{})
	start(ofFollower, &fakePeers{parent: peerSource{Watcher: root}}, r)
	require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	return content, ofRoot, ofFollower, r
}

// Guards against a grace period that passes from an instance which the source has refused to one that has read the source
// meanwhile, and against a grace period that does not pass after an outage for both.
func TestGraceBelongsToInstancesWithoutSource(t *testing.T) {
	for name, tc := range map[string]struct {
		follower, removed bool // refused like the root; removed at once after the outage
	}{
		"source was there": {follower: false, removed: true},
		"source was away":  {follower: true, removed: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg := watcherConfig
			cfg.MaxAge = 1400 * time.Millisecond
			content, ofRoot, ofFollower, r := startRootAndFollower(t, cfg)
			ofRoot.refused.Store(true)
			ofFollower.refused.Store(tc.follower)
			time.Sleep(2800 * time.Millisecond)
			content.remove("leaves")
			ofRoot.refused.Store(false)
			ofFollower.refused.Store(false)
			gone := func() bool { return r.count() == 1 }
			if tc.removed {
				require.Eventually(t, gone, 1500*time.Millisecond, time.Millisecond)
				return
			}
			require.Never(t, gone, 1200*time.Millisecond, 10*time.Millisecond)
			require.Eventually(t, gone, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against an instance that follows another one, and takes the time since its own last call of the source for an outage
// when a single call fails.
func TestFailedCallOfFollowerIsNoOutage(t *testing.T) {
	content, ofRoot, ofFollower, r := startRootAndFollower(t, watcherConfig)
	time.Sleep(1500 * time.Millisecond) // follows the root

	ofFollower.refused.Store(true)
	ofRoot.refused.Store(true)
	require.Eventually(t, func() bool { return ofFollower.refusals.Load() > 0 }, 10*time.Second, time.Millisecond)
	ofFollower.refused.Store(false)
	content.remove("leaves")
	require.Eventually(t, func() bool { return r.count() == 1 }, 1800*time.Millisecond, time.Millisecond)
}
