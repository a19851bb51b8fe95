package discovery_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

func (r *recorder) evacuatedZones() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.zones
}

// stalePeers is a PeerSelector whose parent is of an older build until it is marked as stale.
type stalePeers struct {
	fakePeers
	next  discovery.Source // parent after that; nil: this instance is the root
	stale []string
}

func (p *stalePeers) MarkStale(_ context.Context, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale, p.parent = append(p.stale, name), p.next
}

// Guards against a target that gets requests between its listing and the order to evacuate its zone, against an
// instance that counts as ready before it has the orders, and against orders that do not reach the followers.
func TestEvacuatedZonesPrecedeTargets(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	s.items["order"] = discovery.Item{Key: "order", Revision: s.revision, EvacuatedZone: "z"}
	root, r := startWatcher(t, s, nil)
	<-root.Synced()
	require.Equal(t, 1, r.count())
	require.Equal(t, []string{"z"}, r.evacuatedZones())
	child, childRecorder := startWatcher(t, &fakeSource{}, &fakePeers{parent: peerSource{Watcher: root}})
	<-child.Synced()
	require.Equal(t, []string{"z"}, childRecorder.evacuatedZones())
	s.change(func() {
		s.revision++
		s.items["order"] = discovery.Item{Key: "order", Revision: s.revision, Removed: true, EvacuatedZone: "z"}
	})
	for _, each := range []*recorder{r, childRecorder} {
		require.Eventually(t, func() bool { return len(each.evacuatedZones()) == 0 }, 10*time.Second, time.Millisecond)
	}
}

// Guards against an instance that loses orders because it reads from an instance of an older build, which drops them.
func TestInstanceOfOlderBuildIsNotFollowed(t *testing.T) {
	s := &fakeSource{}
	s.set("a")
	s.items["order"] = discovery.Item{Key: "order", Revision: s.revision, EvacuatedZone: "z"}
	newer, _ := startWatcher(t, s, nil)
	outdated := peerSource{err: discovery.ErrOutdatedFeed}
	for name, c := range map[string]struct {
		next     discovery.Source
		ownCalls bool
	}{
		"another instance is of the own build": {peerSource{Watcher: newer}, false},
		"all others are older":                 {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			own := &fakeSource{}
			own.change(func() { own.revision, own.items = s.revision, s.items })
			peers := &stalePeers{fakePeers: fakePeers{parent: outdated}, next: c.next}
			started := time.Now()
			w, r := startWatcher(t, own, peers)
			<-w.Synced()
			require.Less(t, time.Since(started), time.Second)
			require.Equal(t, []string{"z"}, r.evacuatedZones())
			peers.mu.Lock()
			require.Equal(t, []string{"peer"}, peers.stale)
			peers.mu.Unlock()
			own.change(func() { require.Equal(t, c.ownCalls, own.calls > 0) })
		})
	}
}

// Guards against an instance that obeys an order for ever because it missed its end before the store was restored, although
// another instance has seen it. If the other zones are evacuated too, it refuses every request.
func TestOrderEndsThatAnotherInstanceSawEnding(t *testing.T) {
	newSource := func() *fakeSource {
		s := &fakeSource{}
		s.set("a")
		s.items["order"] = discovery.Item{Key: "order", Revision: s.revision, EvacuatedZone: "z"}
		return s
	}
	witnessSource, source := newSource(), newSource()
	witness, witnessRecorder := startWatcher(t, witnessSource, nil)
	cfg := watcherConfig
	cfg.AskEndedOrders = func(_ context.Context, orders []discovery.OrderVersion) ([]discovery.OrderVersion, string, error) {
		return witness.EndedOrders(orders), "witness", nil
	}
	w, r := startWatcherWith(t, cfg, source, nil)
	<-witness.Synced()
	<-w.Synced()
	require.Equal(t, []string{"z"}, r.evacuatedZones())
	source.change(func() {
		source.generation++
		delete(source.items, "order")
	})
	time.Sleep(time.Second)
	require.Equal(t, []string{"z"}, r.evacuatedZones(), "the copy may be older than the order")
	witnessSource.change(func() {
		witnessSource.revision++
		witnessSource.items["order"] = discovery.Item{Key: "order", Revision: witnessSource.revision, Removed: true, EvacuatedZone: "z"}
	})
	for _, each := range []*recorder{witnessRecorder, r} {
		require.Eventually(t, func() bool { return len(each.evacuatedZones()) == 0 }, 10*time.Second, time.Millisecond)
	}
}
