package discovery_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// fakeSource is a store in memory with faults.
type fakeSource struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]discovery.Item
	failing  error
	silent   bool // watches hear nothing although there are changes
	forgot   bool // the next watch finds its history gone
	lost     bool // the next watch hears nothing but sees the revision rise
	calls    int
}

func (s *fakeSource) set(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = make(map[string]discovery.Item)
	}
	for _, key := range keys {
		s.revision++
		s.items[key] = discovery.Item{Key: key, Revision: s.revision, Target: &discovery.Instance{ID: key, State: discovery.StateLive}}
	}
}

func (s *fakeSource) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *fakeSource) Read(context.Context) (discovery.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	snapshot := discovery.Snapshot{Revision: s.revision}
	for _, i := range s.items {
		snapshot.Items = append(snapshot.Items, i)
	}
	return snapshot, s.failing
}

func (s *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	deadline := time.Now().Add(wait)
	for {
		if c, done, err := s.look(after); done || time.Now().After(deadline) || ctx.Err() != nil {
			return c, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *fakeSource) look(after uint64) (c discovery.Changes, done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.failing != nil:
		return c, true, s.failing
	case s.forgot:
		s.forgot = false
		return c, true, discovery.ErrHistoryGone
	case s.lost:
		s.lost = false
		return discovery.Changes{Revision: s.revision, Lost: true}, true, nil
	case s.silent:
		return discovery.Changes{Revision: after}, false, nil
	}
	c.Revision = s.revision
	for _, i := range s.items {
		if i.Revision > after {
			c.Items = append(c.Items, i)
		}
	}
	return c, len(c.Items) > 0, nil
}

func (s *fakeSource) Reset() {}

// recorder keeps the last list of targets.
type recorder struct {
	mu   sync.Mutex
	list discovery.InstanceList
}

func (r *recorder) OfferDocument(string, string, []byte) {}

func (r *recorder) SetInstances(list discovery.InstanceList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list.Instances)
}

var watcherConfig = discovery.WatcherConfig{
	Patient: true, Wait: 20 * time.Millisecond, PeerWait: 20 * time.Millisecond, MaxAge: 200 * time.Millisecond, Timeout: 100 * time.Millisecond,
	BackoffFirst: time.Millisecond, BackoffLimit: 10 * time.Millisecond,
}

func startWatcher(t *testing.T, source discovery.Source, up discovery.Upstream) (*discovery.Watcher, *recorder) {
	r := &recorder{}
	m := discovery.NewMetrics(prometheus.NewRegistry())
	w := discovery.NewWatcher(watcherConfig, source, up, r, m, logr.Discard())
	go w.Run(t.Context())
	return w, r
}

// Guards against a change that never arrives because a watch hears nothing, its history is gone, or its answer is lost.
func TestWatcherFindsChangesDespiteFaults(t *testing.T) {
	faults := map[string]func(s *fakeSource){
		"none":                 func(*fakeSource) {},
		"history gone":         func(s *fakeSource) { s.forgot = true },
		"revision rose silent": func(s *fakeSource) { s.lost = true },
		"down for a while":     func(s *fakeSource) { s.failing = errors.New("down") },
		"silent, then gone":    func(s *fakeSource) { s.silent = true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s := &fakeSource{}
			s.set("a")
			_, r := startWatcher(t, s, nil)
			require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
			s.change(func() { fault(s) })
			s.set("b")
			time.Sleep(2 * watcherConfig.Wait)
			s.change(func() { s.failing = nil })
			if name == "silent, then gone" {
				s.change(func() { s.silent, s.forgot = false, true })
			}
			require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
		})
	}
}

// upstream is another instance to read from.
type upstream struct {
	mu     sync.Mutex
	from   discovery.Source // nil: this instance is the root
	other  discovery.Source // nil: no other instance is in contact
	failed int
}

func (u *upstream) Other() (discovery.Source, string) { return u.other, "other" }

func (u *upstream) Choose() (discovery.Source, string, int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.from, "peer", 1
}

func (u *upstream) Joined() bool { return true }

func (u *upstream) Failed(context.Context, string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failed++
	time.Sleep(time.Millisecond)
}

// relayed is a watcher as other instances see it.
type relayed struct {
	*discovery.Watcher
	broken error
}

func (r relayed) Read(context.Context) (discovery.Snapshot, error) {
	if r.broken != nil {
		return discovery.Snapshot{}, r.broken
	}
	return r.Snapshot()
}

func (r relayed) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	if r.broken != nil {
		return discovery.Changes{}, r.broken
	}
	return r.Since(ctx, after, wait)
}

func (r relayed) Reset() {}

// Guards against an instance that waits for others after a loss of power, while its callers wait for it.
func TestRestartedInstanceReadsTheStoreAtOnce(t *testing.T) {
	cfg := watcherConfig
	cfg.Patient = false
	s := &fakeSource{}
	s.set("a")
	up := &upstream{from: relayed{broken: errors.New("starts too")}}
	w := discovery.NewWatcher(cfg, s, up, &recorder{}, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	go w.Run(t.Context())
	select {
	case <-w.Asked():
	case <-time.After(500 * time.Millisecond): // half of the time for which a patient instance waits
		t.Fatal("the store was not read at once")
	}
}

// Guards against a fleet in which every instance calls the store, and against an instance that trusts another one that
// is broken, or that has heard nothing itself.
func TestInstancesReadThroughEachOther(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		s := &fakeSource{}
		s.set("a")
		root, _ := startWatcher(t, s, nil)
		own := &fakeSource{}
		_, r := startWatcher(t, own, &upstream{from: relayed{Watcher: root}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
		s.set("b")
		require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
		time.Sleep(2 * watcherConfig.MaxAge)
		own.change(func() { require.Zero(t, own.calls) })
	})
	t.Run("broken", func(t *testing.T) {
		s := &fakeSource{}
		s.set("a")
		_, r := startWatcher(t, s, &upstream{from: relayed{broken: errors.New("reset")}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	})
	t.Run("store away for all", func(t *testing.T) {
		away := &fakeSource{}
		away.set("a")
		root, _ := startWatcher(t, away, nil)
		s := &fakeSource{}
		s.set("a")
		_, r := startWatcher(t, s, &upstream{from: relayed{Watcher: root}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
		away.change(func() { away.failing = errors.New("away") })
		s.change(func() { s.failing = errors.New("away") })
		time.Sleep(1500 * time.Millisecond)
		s.change(func() { require.LessOrEqual(t, s.calls, 3, "an instance that is not the root calls seldom") })
		away.set("b")
		away.change(func() { away.failing = nil })
		require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	})
	t.Run("heard nothing", func(t *testing.T) {
		cut := &fakeSource{}
		cut.set("a")
		root, _ := startWatcher(t, cut, nil)
		s := &fakeSource{}
		s.set("a")
		_, r := startWatcher(t, s, &upstream{from: relayed{Watcher: root}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
		cut.change(func() { cut.failing = errors.New("cut") })
		s.set("b")
		require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	})
}

// Guards against an instance that starts while the store turns it away and serves callers without any target, although
// other instances know them.
func TestRestartedInstanceReadsOthersWhileTheStoreRefuses(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	other, _ := startWatcher(t, s, nil)
	refusing := &fakeSource{failing: errors.New("status 503")}
	for name, from := range map[string]discovery.Source{"root": nil, "child": relayed{broken: errors.New("reset")}} {
		t.Run(name, func(t *testing.T) {
			cfg := watcherConfig
			cfg.Patient = false
			r := &recorder{}
			up := &upstream{from: from, other: relayed{Watcher: other}}
			w := discovery.NewWatcher(cfg, refusing, up, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
			go w.Run(t.Context())
			require.Eventually(t, func() bool { return r.count() == 1 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against a root that the store turns away, and which therefore stays behind what the others know.
func TestRefusedRootHearsChangesFromOthers(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	other, _ := startWatcher(t, s, nil)
	own := &fakeSource{}
	own.set("a")
	_, r := startWatcher(t, own, &upstream{other: relayed{Watcher: other}})
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	own.change(func() { own.failing = errors.New("status 429") })
	s.set("b")
	require.Eventually(t, func() bool { return r.count() == 2 }, 2*time.Second, time.Millisecond)
}
