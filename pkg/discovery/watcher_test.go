package discovery_test

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// fakeSource is an in-memory Source with faults.
type fakeSource struct {
	mu          sync.Mutex
	revision    uint64
	generation  uint64
	items       map[string]discovery.Item
	callErr     error
	silent      bool // watches return no changes although there are some
	historyGone bool // the next watch returns ErrHistoryGone
	incomplete  bool // the next watch returns a higher revision without changes
	panics      bool // the next read or watch panics
	// cutAfter, if set, is the time after which watches that wait are cut.
	cutAfter time.Duration
	cutErr   error // of a watch that is cut; nil for one that says nothing
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

func (s *fakeSource) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = discovery.Item{Key: key, Revision: s.revision, Removed: true}
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
	s.panicOnce()
	snapshot := discovery.Snapshot{Revision: s.revision, Generation: s.generation}
	for _, i := range s.items {
		if !i.Removed {
			snapshot.Items = append(snapshot.Items, i)
		}
	}
	return snapshot, s.callErr
}

func (s *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	deadline, cutAt := time.Now().Add(wait), time.Time{}
	s.change(func() {
		if s.cutAfter > 0 {
			cutAt = time.Now().Add(s.cutAfter)
		}
	})
	for {
		if !cutAt.IsZero() && time.Now().After(cutAt) {
			return discovery.Changes{}, cmp.Or(s.cutErr, errors.New("cut"))
		}
		if c, done, err := s.changesSince(after); done || time.Now().After(deadline) || ctx.Err() != nil {
			return c, err
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *fakeSource) changesSince(after uint64) (c discovery.Changes, done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.panicOnce()
	c.Generation = s.generation
	switch {
	case s.callErr != nil:
		return c, true, s.callErr
	case s.historyGone:
		s.historyGone = false
		return c, true, discovery.ErrHistoryGone
	case s.incomplete:
		s.incomplete = false
		c.Revision, c.Incomplete = s.revision, true
		return c, true, nil
	case s.silent:
		c.Revision = after
		return c, false, nil
	}
	c.Revision = s.revision
	for _, i := range s.items {
		if i.Revision > after {
			c.Items = append(c.Items, i)
		}
	}
	return c, len(c.Items) > 0, nil
}

func (s *fakeSource) panicOnce() {
	if s.panics {
		s.panics = false
		panic("unexpected entry")
	}
}

func (s *fakeSource) Reset() {}

// recorder keeps the last list of targets and all offered documents.
type recorder struct {
	mu        sync.Mutex
	list      discovery.InstanceList
	zones     []string // at the time of list
	lastZones []string
	documents []string
}

func (r *recorder) OfferDocument(_, _ string, text []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.documents = append(r.documents, string(text))
}

// panickingRecorder is a recorder that panics on every document.
type panickingRecorder struct{ recorder }

func (*panickingRecorder) OfferDocument(string, string, []byte) { panic("unexpected rule") }

// Guards against a document that triggers a panic and keeps the changes of targets from taking effect.
func TestTargetsChangeDespitePanickingDocument(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	s.items["doc"] = discovery.Item{Key: "doc", Revision: s.revision, Document: []byte("text")}
	r := &panickingRecorder{}
	w := discovery.NewWatcher(watcherConfig, s, nil, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	go w.Run(t.Context())
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	s.set("b")
	require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
}

// Guards against a view that continues from a revision of before a restore of the source, which has been assigned again:
// it would miss what the source has lost and what was written before that revision.
func TestWatchDoesNotContinueAcrossRestore(t *testing.T) {
	s := &fakeSource{}
	s.set("lost")
	r := &recorder{}
	w := discovery.NewWatcher(watcherConfig, s, nil, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	go w.Run(t.Context())
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	s.change(func() {
		instance := func(key string) *discovery.Instance { return &discovery.Instance{ID: key, State: discovery.StateLive} }
		s.generation, s.revision = 1, 3
		s.items = map[string]discovery.Item{
			"again": {Key: "again", Revision: 1, Target: instance("again")}, "new": {Key: "new", Revision: 3, Target: instance("new")},
		}
	})
	keys := func() (list []string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, i := range r.list.Instances {
			list = append(list, i.ID)
		}
		return list
	}
	require.Eventually(t, func() bool { return slices.Equal(keys(), []string{"again", "new"}) }, 10*time.Second, time.Millisecond)
}

// Guards against following an instance that still has the data of before a restore.
func TestOlderGenerationIsNotFollowed(t *testing.T) {
	v := discovery.NewView()
	before := discovery.Snapshot{Revision: 9, Items: []discovery.Item{{Key: "a", Revision: 9, Document: []byte("old")}}}
	after := discovery.Snapshot{Revision: 4, Generation: 1, Items: []discovery.Item{{Key: "a", Revision: 4, Document: []byte("new")}}}
	v.ApplySnapshot(0, before)
	require.True(t, v.ApplySnapshot(0, after))
	require.False(t, v.ApplySnapshot(0, before))
	require.Equal(t, "new", string(v.Documents()[0].Document))
}

func (r *recorder) offered() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.documents)
}

func (r *recorder) SetEvacuatedZones(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastZones = zones
}

func (r *recorder) SetInstances(list discovery.InstanceList) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list, r.zones = list, r.lastZones
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.list.Instances)
}

var watcherConfig = discovery.WatcherConfig{
	WaitForPeers: true, Wait: 20 * time.Millisecond, PeerWait: 20 * time.Millisecond, MaxAge: 200 * time.Millisecond, Timeout: 100 * time.Millisecond,
	BackoffInitial: time.Millisecond, BackoffMax: 10 * time.Millisecond,
}

func startWatcher(t *testing.T, source discovery.Source, peers discovery.PeerSelector) (*discovery.Watcher, *recorder) {
	return startWatcherWith(t, watcherConfig, source, peers)
}

func startWatcherWith(t *testing.T, cfg discovery.WatcherConfig, source discovery.Source, peers discovery.PeerSelector) (*discovery.Watcher, *recorder) {
	r := &recorder{}
	m := discovery.NewMetrics(prometheus.NewRegistry())
	w := discovery.NewWatcher(cfg, source, peers, r, m, logr.Discard())
	go w.Run(t.Context())
	return w, r
}

// Guards against a change that never arrives because watches return nothing or fail, the source no longer has the
// history, its revision rises without changes in the answer, or an entry triggers a panic.
func TestWatcherReceivesChangesDespiteFaults(t *testing.T) {
	faults := map[string]func(s *fakeSource){
		"none":                      func(*fakeSource) {},
		"history gone":              func(s *fakeSource) { s.historyGone = true },
		"revision without changes":  func(s *fakeSource) { s.incomplete = true },
		"temporarily down":          func(s *fakeSource) { s.callErr = errors.New("down") },
		"panic":                     func(s *fakeSource) { s.panics = true },
		"silent, then history gone": func(s *fakeSource) { s.silent = true },
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
			s.change(func() { s.callErr = nil })
			if name == "silent, then history gone" {
				s.change(func() { s.silent, s.historyGone = false, true })
			}
			require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against a target that has left and stays in use while the source cuts watches that wait, although it answers: its
// entry would count as one that has expired during an outage. The other instance has the same view.
func TestCutWatchesAreNoOutage(t *testing.T) {
	for name, hasPeers := range map[string]bool{"alone": false, "with another instance": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &fakeSource{cutAfter: 300 * time.Millisecond}
			s.set("stays", "leaves")
			cfg, r := watcherConfig, &recorder{}
			cfg.Wait = 1500 * time.Millisecond
			var peers discovery.PeerSelector
			if hasPeers {
				peers = &fakePeers{other: &fakeSource{items: maps.Clone(s.items), revision: s.revision}}
			}
			w := discovery.NewWatcher(cfg, s, peers, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
			go w.Run(t.Context())
			require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
			time.Sleep(2 * cfg.Wait)
			s.remove("leaves")
			require.Eventually(t, func() bool { return r.count() == 1 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against an instance that waits for other instances after a power failure, while its callers wait for it.
func TestRestartedInstanceReadsStoreImmediately(t *testing.T) {
	cfg := watcherConfig
	cfg.WaitForPeers = false
	s := &fakeSource{}
	s.set("a")
	peers := &fakePeers{parent: peerSource{err: errors.New("still starting")}}
	w := discovery.NewWatcher(cfg, s, peers, &recorder{}, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	go w.Run(t.Context())
	select {
	case <-w.Synced():
	case <-time.After(500 * time.Millisecond): // half of the time that WaitForPeers would add
		t.Fatal("the store was not read immediately")
	}
}

// Guards against a restarted fleet whose instances all call the store a second time, because they have not heard from
// another instance yet although their views are recent.
func TestUnjoinedInstanceReliesOnRecentView(t *testing.T) {
	cfg := watcherConfig
	cfg.WaitForPeers, cfg.MaxAge = false, 1500*time.Millisecond
	s := &fakeSource{}
	s.set("a")
	w := discovery.NewWatcher(cfg, s, &fakePeers{notJoined: true}, &recorder{}, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	started := time.Now()
	go w.Run(t.Context())
	calls := func() (n int) { s.change(func() { n = s.calls }); return n }
	require.Eventually(t, func() bool { return calls() > 1 }, 10*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), cfg.MaxAge)
}

// Guards against a fleet in which every instance calls the store, and against an instance that relies on a parent that
// fails or has no recent data.
func TestInstancesReadFromPeers(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		s := &fakeSource{}
		s.set("a")
		root, _ := startWatcher(t, s, nil)
		ownSource := &fakeSource{}
		_, r := startWatcher(t, ownSource, &fakePeers{parent: peerSource{Watcher: root}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
		s.set("b")
		require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
		time.Sleep(2 * watcherConfig.MaxAge)
		ownSource.change(func() { require.Zero(t, ownSource.calls) })
	})
	t.Run("broken", func(t *testing.T) {
		s := &fakeSource{}
		s.set("a")
		_, r := startWatcher(t, s, &fakePeers{parent: peerSource{err: errors.New("reset")}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	})
	t.Run("store down for all", func(t *testing.T) {
		rootSource := &fakeSource{}
		rootSource.set("a")
		root, _ := startWatcher(t, rootSource, nil)
		s := &fakeSource{}
		s.set("a")
		_, r := startWatcher(t, s, &fakePeers{parent: peerSource{Watcher: root}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
		rootSource.change(func() { rootSource.callErr = errors.New("away") })
		s.change(func() { s.callErr = errors.New("away") })
		time.Sleep(1500 * time.Millisecond)
		s.change(func() { require.LessOrEqual(t, s.calls, 3, "an instance that is not the root rarely calls the store") })
		rootSource.set("b")
		rootSource.change(func() { rootSource.callErr = nil })
		require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	})
	t.Run("parent cut off from the store", func(t *testing.T) {
		cutOffSource := &fakeSource{}
		cutOffSource.set("a")
		root, _ := startWatcher(t, cutOffSource, nil)
		s := &fakeSource{}
		s.set("a")
		_, r := startWatcher(t, s, &fakePeers{parent: peerSource{Watcher: root}})
		require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
		cutOffSource.change(func() { cutOffSource.callErr = errors.New("cut") })
		s.set("b")
		require.Eventually(t, func() bool { return r.count() == 2 }, 10*time.Second, time.Millisecond)
	})
}

// Guards against an instance that starts while the store rejects its calls, and that serves callers without any target
// although other instances know the targets.
func TestRestartedInstanceReadsFromPeersWhileStoreRefuses(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	other, _ := startWatcher(t, s, nil)
	refusing := &fakeSource{callErr: errors.New("status 503")}
	for name, parent := range map[string]discovery.Source{"root": nil, "child": peerSource{err: errors.New("reset")}} {
		t.Run(name, func(t *testing.T) {
			cfg := watcherConfig
			cfg.WaitForPeers = false
			r := &recorder{}
			peers := &fakePeers{parent: parent, other: peerSource{Watcher: other}}
			w := discovery.NewWatcher(cfg, refusing, peers, r, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
			go w.Run(t.Context())
			require.Eventually(t, func() bool { return r.count() == 1 }, time.Second, time.Millisecond)
		})
	}
}

// Guards against a root whose calls the store rejects, and which therefore misses changes that the others know.
func TestRefusedRootReceivesChangesFromPeers(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	other, _ := startWatcher(t, s, nil)
	ownSource := &fakeSource{}
	ownSource.set("a")
	_, r := startWatcher(t, ownSource, &fakePeers{other: peerSource{Watcher: other}})
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	ownSource.change(func() { ownSource.callErr = errors.New("status 429") })
	s.set("b")
	require.Eventually(t, func() bool { return r.count() == 2 }, 2*time.Second, time.Millisecond)
}

// Guards against an instance that keeps the targets of an outdated parent, because the store refuses its own calls, while
// other instances know the change.
func TestRefusedChildReceivesChangesFromPeers(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	other, _ := startWatcher(t, s, nil)
	cutOffSource := &fakeSource{}
	cutOffSource.set("a")
	parent, _ := startWatcher(t, cutOffSource, nil)
	ownSource := &fakeSource{callErr: errors.New("status 503")}
	_, r := startWatcher(t, ownSource, &fakePeers{parent: peerSource{Watcher: parent}, other: peerSource{Watcher: other}})
	require.Eventually(t, func() bool { return r.count() == 1 }, 10*time.Second, time.Millisecond)
	cutOffSource.change(func() { cutOffSource.callErr = errors.New("status 503") })
	s.set("b")
	require.Eventually(t, func() bool { return r.count() == 2 }, 2*time.Second, time.Millisecond)
}

// Guards against an instance that checks an unchanged document again with each change of a target: with a thousand
// routes and targets that come and go, that occupies a small machine.
func TestDocumentIsOfferedOncePerChange(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	setDocument := func(text string) {
		s.change(func() {
			s.revision++
			s.items["doc"] = discovery.Item{Key: "doc", Revision: s.revision, Document: []byte(text)}
		})
	}
	setDocument("first")
	_, r := startWatcher(t, s, nil)
	for n, key := range []string{"b", "c", "d"} {
		s.set(key)
		require.Eventually(t, func() bool { return r.count() == n+2 }, 10*time.Second, time.Millisecond)
	}
	s.change(func() { s.historyGone = true }) // the view is read again as a whole
	setDocument("second")
	require.Eventually(t, func() bool { return len(r.offered()) > 1 }, 10*time.Second, time.Millisecond)
	s.set("e")
	require.Eventually(t, func() bool { return r.count() == 5 }, 10*time.Second, time.Millisecond)
	require.Equal(t, []string{"first", "second"}, r.offered())
}
