package discovery_test

import (
	"context"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// fakePeers is a PeerSelector with a fixed parent and a fixed other instance.
type fakePeers struct {
	mu        sync.Mutex
	parent    discovery.Source // nil: this instance is the root
	other     discovery.Source // nil: no other instance is in contact
	notJoined bool
	failures  int
}

func (p *fakePeers) RandomPeer() (discovery.Source, string) { return p.other, "other" }

func (p *fakePeers) Parent() (discovery.Source, string, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.parent, "peer", 1
}

func (p *fakePeers) Joined() bool { return !p.notJoined }

func (p *fakePeers) MarkFailed(context.Context, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures++
	time.Sleep(time.Millisecond) // keeps Run from spinning, because Parent returns the same instance again
}

func (p *fakePeers) MarkStale(ctx context.Context, name string) { p.MarkFailed(ctx, name) }

// peerSource is a watcher as other instances read it, or one that fails with err.
type peerSource struct {
	*discovery.Watcher
	err error
}

func (p peerSource) Read(context.Context) (discovery.Snapshot, error) {
	if p.err != nil {
		return discovery.Snapshot{}, p.err
	}
	return p.Snapshot()
}

func (p peerSource) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	if p.err != nil {
		return discovery.Changes{}, p.err
	}
	return p.Since(ctx, after, wait)
}

func (p peerSource) Reset() {}
