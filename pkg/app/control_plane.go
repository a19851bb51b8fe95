package app

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

const (
	// initialSyncTimeout is how long a new instance waits for the platform and a peer before it serves with what it has. It is
	// longer than one failed call to each.
	initialSyncTimeout = 5 * time.Second
	// refreshTimeout bounds the re-read after a pause.
	refreshTimeout = time.Second
	// observeInterval is the time between two looks at what the gateway learned about targets.
	observeInterval = time.Second
)

// controlPlane connects the configuration store, the platform and the other entry instances.
type controlPlane struct {
	settings settings.Settings
	log      logr.Logger
	gateway  *gateway.Gateway
	store    *discovery.ConfigStore
	reader   platformReader
	node     *peer.Node
	started  time.Time
}

func newControlPlane(
	s settings.Settings, log logr.Logger, g *gateway.Gateway, st *discovery.ConfigStore, r platformReader, n *peer.Node,
) *controlPlane {
	return &controlPlane{settings: s, log: log, gateway: g, store: st, reader: r, node: n, started: time.Now()}
}

// platformReader follows the platform's configuration and targets.
type platformReader interface {
	// Run follows the platform until ctx ends.
	Run(ctx context.Context)
	// Refresh reads everything once, for an instance that was paused.
	Refresh(ctx context.Context) error
	// Synced is closed after everything was read once.
	Synced() <-chan struct{}
}

func newStore(
	s settings.Settings, a Adapter, g *gateway.Gateway, m *discovery.Metrics, log logr.Logger,
) *discovery.ConfigStore {
	return discovery.NewConfigStore(a.ParseDocument, log, m, func(docs []*rules.Document) {
		g.SetDocuments(rules.WithLimits(docs, s.Deadline.Max.Std(), int64(s.Limits.Body)))
	})
}

func newNode(s settings.Settings, a Adapter, store *discovery.ConfigStore, g *gateway.Gateway, m *peer.Metrics, log logr.Logger) *peer.Node {
	markLeaving := func(sign membership.Sign) { g.MarkTargetLeaving(core.TargetID(sign.Target), sign.Start) }
	cfg := peer.DefaultConfig(s.PeerListen, s.Zone, s.Peers)
	cfg.CrossZoneRounds = s.PeerCrossZoneRounds
	cfg.AcceptUnlisted = a.NewSource != nil // an adapter's store lists no entry instances
	return peer.NewNode(cfg, documentStore{store}, m, markLeaving, log)
}

// newPlatformReader returns the reader of the adapter's store, or of the project's own protocol without one.
func newPlatformReader(
	s settings.Settings, a Adapter, store *discovery.ConfigStore, g *gateway.Gateway, n *peer.Node, m *discovery.Metrics, log logr.Logger,
) platformReader {
	if a.NewSource == nil {
		return newDiscoveryReader(s, store, g, n, m, log)
	}
	cfg := discovery.WatcherConfig{
		Wait: s.Watch.Wait.Std(), Timeout: s.Watch.Timeout.Std(), MaxBatchDelay: s.Watch.MaxBatchDelay.Std(),
		BackoffInitial: s.Watch.BackoffFirst.Std(), BackoffMax: s.Watch.BackoffLimit.Std(),
	}
	cfg.WaitForPeers = s.FirstStart
	cfg.PeerWait, cfg.MaxAge = s.Watch.PeerWait.Std(), s.Watch.MaxAge.Std()
	var selector discovery.PeerSelector
	if s.Watch.Share && s.PeerListen != "" {
		selector = &peerSelector{node: n, timeout: cfg.Timeout}
	}
	w := discovery.NewWatcher(cfg, a.NewSource(s.Platform, cfg.Timeout), selector, sink{store, g, n}, m, log)
	n.SetFeed(w)
	return w
}

// peerSelector reads from the instance that the membership names.
type peerSelector struct {
	node    *peer.Node
	timeout time.Duration

	mu            sync.Mutex
	parentAddress string
	parent        *peer.Follower
	randomPeer    *peer.Follower
}

// Parent implements discovery.PeerSelector.
func (p *peerSelector) Parent() (discovery.Source, string, int) {
	address, depth := p.node.Parent()
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != p.parentAddress && p.parent != nil {
		p.parent.Reset()
		p.parent = nil
	}
	p.parentAddress = address
	if address == "" {
		return nil, "", 0
	}
	if p.parent == nil {
		p.parent = p.node.NewFollower(address, p.timeout)
	}
	return p.parent, address, depth
}

// RandomPeer implements discovery.PeerSelector.
func (p *peerSelector) RandomPeer() (discovery.Source, string) {
	address := p.node.RandomPeer()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.randomPeer != nil {
		p.randomPeer.Reset()
		p.randomPeer = nil
	}
	if address == "" {
		return nil, ""
	}
	p.randomPeer = p.node.NewFollower(address, p.timeout)
	return p.randomPeer, address
}

// Joined implements discovery.PeerSelector.
func (p *peerSelector) Joined() bool { return isClosed(p.node.FirstExchange()) }

// MarkFailed implements discovery.PeerSelector.
func (p *peerSelector) MarkFailed(ctx context.Context, name string) { p.node.ReportFailure(ctx, name) }

func newDiscoveryReader(
	s settings.Settings, store *discovery.ConfigStore, g *gateway.Gateway, n *peer.Node, m *discovery.Metrics, log logr.Logger,
) *discovery.Reader {
	id := s.PeerListen
	if id == "" {
		id = s.Listen
	}
	return discovery.NewReader(discovery.DefaultReaderConfig(s.Platform, id), sink{store, g, n}, m, log)
}

// documentStore gives the peer exchange its view of the store.
type documentStore struct{ store *discovery.ConfigStore }

// Digest implements peer.DocumentStore.
func (d documentStore) Digest() []peer.Entry {
	docs := d.store.Documents()
	list := make([]peer.Entry, len(docs))
	for i, doc := range docs {
		hash, _ := strconv.ParseUint(doc.Hash, 16, 64)
		list[i] = peer.Entry{Service: doc.Service, Epoch: doc.Epoch, Revision: doc.Revision, Hash: hash}
	}
	return list
}

// Text implements peer.DocumentStore.
func (d documentStore) Text(service string) []byte {
	doc, _ := d.store.Get(service)
	return doc.Text
}

// Offer implements peer.DocumentStore.
func (d documentStore) Offer(source, service string, text []byte) {
	d.store.Offer(source, service, text)
}

// Changed implements peer.DocumentStore.
func (d documentStore) Changed() <-chan struct{} { return d.store.Changed() }

// sink passes what the platform reader learns to its consumers.
type sink struct {
	store   *discovery.ConfigStore
	gateway *gateway.Gateway
	node    *peer.Node
}

// OfferDocument implements discovery.Sink.
func (s sink) OfferDocument(source, service string, text []byte) {
	s.store.Offer(source, service, text)
}

// HasDocument implements discovery.Sink.
func (s sink) HasDocument(e discovery.IndexEntry) bool { return s.store.Has(e) }

// SetInstances implements discovery.Sink. Signs that hold are passed on again, because the list may bring targets that
// the gateway did not know when the sign arrived.
func (s sink) SetInstances(list discovery.InstanceList) {
	s.gateway.SetTargets(list)
	var received membership.InstanceListReceived
	for _, inst := range list.Instances {
		process := membership.Process{
			Address: inst.Identity(), Zone: inst.Zone, Start: inst.Start, Leaving: inst.State == discovery.StateLeaving,
		}
		if inst.Service == discovery.LoadBalancerService {
			received.Instances = append(received.Instances, process)
		} else {
			received.Targets = append(received.Targets, process)
		}
	}
	s.node.SetInstanceList(context.Background(), received)
	for _, sign := range s.node.LeavingSignals() {
		s.gateway.MarkTargetLeaving(core.TargetID(sign.Target), sign.Start)
	}
}

// listenPeers opens the listener for other instances; nil if the settings name none.
func (c *controlPlane) listenPeers() (net.Listener, error) {
	if c.settings.PeerListen == "" {
		return nil, nil
	}
	if _, err := netip.ParseAddrPort(c.settings.PeerListen); err != nil {
		return nil, eris.Wrap(err, "peer_listen must be ip:port")
	}
	l, err := net.Listen("tcp", c.settings.PeerListen)
	return l, eris.Wrap(err, "listen for peers")
}

// run reads the platform and talks to other instances until ctx ends.
func (c *controlPlane) run(ctx context.Context, peerListener net.Listener) {
	go c.gateway.WatchPauses(ctx, func() { c.refresh(ctx) })
	go c.reader.Run(ctx)
	if peerListener != nil {
		go c.node.Run(ctx, peerListener)
	}
	c.observeTargets(ctx)
}

// observeTargets passes on what the gateway sees of targets.
func (c *controlPlane) observeTargets(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.node.ObserveTargets(ctx, c.targetProcesses())
			c.gateway.SetFleetSize(c.node.FleetSize())
		case <-ctx.Done():
			return
		}
	}
}

// refresh reads the platform again after a pause of the process. Callers wait for it, so it is bounded.
func (c *controlPlane) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := c.reader.Refresh(ctx); err != nil {
		c.log.Info("re-read after a pause failed", "error", err.Error())
	}
}

// targetProcesses returns what the gateway knows of the start ids and leaving signs of targets.
func (c *controlPlane) targetProcesses() []membership.Process {
	var list []membership.Process
	for _, view := range c.gateway.Status() {
		for _, t := range view.Targets {
			leaving := t.Status == core.TargetStatusLeaving
			list = append(list, membership.Process{Address: string(t.ID), Start: t.Start, Leaving: leaving})
		}
	}
	return list
}

// ready reports why the configuration does not allow serving yet, or nil.
func (c *controlPlane) ready() error {
	if len(c.store.Documents()) == 0 {
		return eris.New("no configuration in force")
	}
	if time.Since(c.started) > initialSyncTimeout {
		return nil
	}
	if !isClosed(c.reader.Synced()) {
		return eris.New("configuration service not asked yet")
	}
	// The answer of an adapter's store is the newest there is; the project's own service may lag behind the instances.
	if c.settings.Adapter == "" && c.settings.PeerListen != "" && c.node.PeerCount() > 0 && !isClosed(c.node.FirstExchange()) {
		return eris.New("no other instance asked yet")
	}
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
