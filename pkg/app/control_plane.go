package app

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/gateway"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
	"github.com/burdockpitch/burdockpitch/pkg/peer"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
	"github.com/burdockpitch/burdockpitch/pkg/relay"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/settings"
)

const (
	// initialSyncTimeout is how long a new instance waits for the platform and a peer before it becomes ready with the
	// configuration it has. It is longer than a failed call to either of them takes.
	initialSyncTimeout = 5 * time.Second
	// refreshTimeout bounds the read of the platform after a pause of the process. Requests wait for this read.
	refreshTimeout = time.Second
	// observeInterval is the interval at which the state of targets seen by the gateway is passed to the membership.
	observeInterval = time.Second
)

// controlPlane keeps the gateway's configuration and targets up to date from the platform and from the other instances.
type controlPlane struct {
	settings    settings.Settings
	log         logr.Logger
	gateway     *gateway.Gateway
	configStore *discovery.ConfigStore
	reader      platformReader
	node        *peer.Node
	started     time.Time
}

func newControlPlane(
	s settings.Settings, log logr.Logger, g *gateway.Gateway, configStore *discovery.ConfigStore, r platformReader, n *peer.Node,
) *controlPlane {
	return &controlPlane{settings: s, log: log, gateway: g, configStore: configStore, reader: r, node: n, started: time.Now()}
}

// platformReader reads the platform's configuration and targets. It is implemented by discovery.Reader and
// discovery.Watcher.
type platformReader interface {
	// Run follows the platform until ctx ends.
	Run(ctx context.Context)
	// Refresh reads everything once. It is called after a pause of the process, in which changes may have been missed.
	Refresh(ctx context.Context) error
	// Synced returns a channel that is closed after the first complete read.
	Synced() <-chan struct{}
}

func newConfigStore(
	s settings.Settings, a Adapter, capacity capacityShares, g *gateway.Gateway, m *discovery.Metrics, log logr.Logger,
) *discovery.ConfigStore {
	maxBody := min(s.MaxBody(), memorybudget.MaxBody(capacity.memory))
	return discovery.NewConfigStore(a.ParseDocument, log, m, func(docs []*rules.Document) {
		g.SetDocuments(rules.WithLimits(docs, s.Deadline.Max.Std(), maxBody))
	})
}

func newNode(s settings.Settings, a Adapter, configStore *discovery.ConfigStore, g *gateway.Gateway, m *peer.Metrics, log logr.Logger) *peer.Node {
	markLeaving := func(sign membership.Sign) { g.MarkTargetLeaving(core.TargetID(sign.Target), sign.Start) }
	cfg := peer.DefaultConfig(s.PeerListen, s.Zone, s.Peers)
	cfg.CrossZoneRounds = s.PeerCrossZoneRounds
	cfg.AcceptUnlisted = a.NewSource != nil // the store of an adapter has no list of the load balancer's instances
	return peer.NewNode(cfg, documentStore{configStore}, g.Quarantine(), m, markLeaving, log)
}

// newPlatformReader returns a watcher of the adapter's store, or a reader of the project's own protocol if the adapter
// has no store. Other instances can read from the watcher, so that not every instance reads the store.
func newPlatformReader(
	s settings.Settings, a Adapter, configStore *discovery.ConfigStore, g *gateway.Gateway, n *peer.Node, m *discovery.Metrics, log logr.Logger,
) platformReader {
	if a.NewSource == nil {
		return newDiscoveryReader(s, configStore, g, n, m, log)
	}
	cfg := discovery.WatcherConfig{
		Wait: s.Watch.Wait.Std(), Timeout: s.Watch.Timeout.Std(), MaxBatchDelay: s.Watch.MaxBatchDelay.Std(),
		BackoffInitial: s.Watch.BackoffInitial.Std(), BackoffMax: s.Watch.BackoffMax.Std(),
	}
	cfg.WaitForPeers = s.FirstStart
	cfg.PeerWait, cfg.MaxAge = s.Watch.PeerWait.Std(), s.Watch.MaxAge.Std()
	if s.PeerListen != "" {
		cfg.AskEndedOrders = func(ctx context.Context, orders []discovery.OrderVersion) ([]discovery.OrderVersion, string, error) {
			return askEndedOrders(ctx, n, cfg.Timeout, orders)
		}
	}
	var selector discovery.PeerSelector
	if s.Watch.Share && s.PeerListen != "" {
		selector = &peerSelector{node: n, timeout: cfg.Timeout}
	}
	w := discovery.NewWatcher(cfg, a.NewSource(s.Platform, cfg.Timeout), selector, sink{configStore, g, n}, m, log)
	n.SetFeed(w)
	return w
}

// askEndedOrders asks a random instance which of the given orders to evacuate a zone have ended, and returns its address.
func askEndedOrders(ctx context.Context, n *peer.Node, timeout time.Duration, orders []discovery.OrderVersion) ([]discovery.OrderVersion, string, error) {
	address := n.RandomPeer()
	if address == "" {
		return nil, "", nil
	}
	follower := n.NewFollower(address, timeout)
	defer follower.Reset()
	ended, err := follower.EndedOrders(ctx, orders)
	return ended, address, err
}

// peerSelector selects peers by the membership of the node. It keeps the connection to the current parent and to the
// last random peer, and closes it when another one is selected.
type peerSelector struct {
	node    *peer.Node
	timeout time.Duration // of calls to a peer

	mu            sync.Mutex
	parentAddress string // address of parent; empty for none
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

// MarkStale implements discovery.PeerSelector.
func (p *peerSelector) MarkStale(ctx context.Context, name string) { p.node.ReportStale(ctx, name) }

func newDiscoveryReader(
	s settings.Settings, configStore *discovery.ConfigStore, g *gateway.Gateway, n *peer.Node, m *discovery.Metrics, log logr.Logger,
) *discovery.Reader {
	id := s.PeerListen
	if id == "" {
		id = s.Listen
	}
	return discovery.NewReader(discovery.DefaultReaderConfig(s.Platform, id), sink{configStore, g, n}, m, log)
}

// documentStore adapts the configuration store to peer.DocumentStore.
type documentStore struct{ configStore *discovery.ConfigStore }

// Digest implements peer.DocumentStore.
func (d documentStore) Digest() []peer.Entry {
	docs := d.configStore.Documents()
	list := make([]peer.Entry, len(docs))
	for i, doc := range docs {
		hash, _ := strconv.ParseUint(doc.Hash, 16, 64)
		list[i] = peer.Entry{Service: doc.Service, Epoch: doc.Epoch, Revision: doc.Revision, Hash: hash}
	}
	return list
}

// Text implements peer.DocumentStore.
func (d documentStore) Text(service string) []byte {
	doc, _ := d.configStore.Get(service)
	return doc.Text
}

// Offer implements peer.DocumentStore.
func (d documentStore) Offer(source, service string, text []byte) {
	d.configStore.Offer(source, service, text)
}

// Changed implements peer.DocumentStore.
func (d documentStore) Changed() <-chan struct{} { return d.configStore.Changed() }

// sink passes the results of the platform reader to the configuration store, the gateway and the membership.
type sink struct {
	configStore *discovery.ConfigStore
	gateway     *gateway.Gateway
	node        *peer.Node
}

// OfferDocument implements discovery.Sink.
func (s sink) OfferDocument(source, service string, text []byte) {
	s.configStore.Offer(source, service, text)
}

// HasDocument implements discovery.Sink.
func (s sink) HasDocument(e discovery.IndexEntry) bool { return s.configStore.Has(e) }

// SetEvacuatedZones implements discovery.WatcherSink.
func (s sink) SetEvacuatedZones(zones []string) { s.gateway.SetEvacuatedZones(zones) }

// SetInstances implements discovery.Sink. The list may be outdated, so targets with a leaving signal in effect count as
// leaving from the start.
func (s sink) SetInstances(list discovery.InstanceList) {
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
	s.gateway.SetTargets(markLeaving(list, s.node.LeavingSignals()))
	s.node.SetInstanceList(context.Background(), received)
	for _, sign := range s.node.LeavingSignals() { // signals that arrived in between, and those of unlisted targets
		s.gateway.MarkTargetLeaving(core.TargetID(sign.Target), sign.Start)
	}
}

// markLeaving returns a copy of a list in which the targets with a leaving signal for their start are leaving.
func markLeaving(list discovery.InstanceList, signals []membership.Sign) discovery.InstanceList {
	leaving := make(map[membership.Sign]bool, len(signals))
	for _, sign := range signals {
		leaving[sign] = true
	}
	list.Instances = slices.Clone(list.Instances)
	for i := range list.Instances {
		inst := &list.Instances[i]
		if leaving[membership.Sign{Target: inst.Identity(), Start: inst.Start}] {
			inst.State = discovery.StateLeaving
		}
	}
	return list
}

// listenPeers opens the listener for other instances. It returns nil if the settings have no peer_listen.
func (c *controlPlane) listenPeers(ctx context.Context) (net.Listener, error) {
	if c.settings.PeerListen == "" {
		return nil, nil
	}
	if _, err := netip.ParseAddrPort(c.settings.PeerListen); err != nil {
		return nil, eris.Wrap(err, "peer_listen must be ip:port")
	}
	l, err := sockets.ListenConfig().Listen(ctx, "tcp", c.settings.PeerListen)
	return l, eris.Wrap(err, "listen for peers")
}

// run follows the platform and exchanges state with other instances until ctx ends.
func (c *controlPlane) run(ctx context.Context, peerListener net.Listener) {
	go c.gateway.WatchPauses(ctx, func() { c.refresh(ctx) })
	go c.reader.Run(ctx)
	if peerListener != nil {
		go c.node.Run(ctx, peerListener)
	}
	go c.markSynced(ctx)
	c.observeTargets(ctx)
}

// syncPollInterval is the interval at which a starting instance checks whether it is ready.
const syncPollInterval = 5 * time.Millisecond

// markSynced lets the gateway send requests once the instance is ready.
func (c *controlPlane) markSynced(ctx context.Context) {
	ticker := time.NewTicker(syncPollInterval)
	defer ticker.Stop()
	for c.ready() != nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	c.gateway.MarkSynced()
}

// observeTargets passes the state of targets seen by the gateway to the membership, and the instances and their number
// from the membership to the gateway, until ctx ends.
func (c *controlPlane) observeTargets(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.node.ObserveTargets(ctx, c.targetProcesses())
			c.gateway.SetFleetSize(c.node.FleetSize())
			c.gateway.SetFleet(c.node.ActiveInstances())
			c.gateway.SetPeers(c.peers())
		case <-ctx.Done():
			return
		}
	}
}

// peers returns the other instances to which requests may be relayed.
func (c *controlPlane) peers() []relay.Peer {
	var list []relay.Peer
	for _, member := range c.node.Members() {
		if member.Reachable {
			list = append(list, relay.Peer{Address: member.Address, Zone: member.Zone})
		}
	}
	return list
}

// refresh reads the platform again after a pause of the process. Requests wait for it, so its time is bounded.
func (c *controlPlane) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := c.reader.Refresh(ctx); err != nil {
		c.log.Info("platform read after a pause of the process failed", "error", err.Error())
	}
}

// targetProcesses returns the targets known to the gateway with their start IDs, and whether they are leaving.
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

// ready returns nil if the instance has a configuration that is recent enough to serve requests, else an error with the
// reason. After initialSyncTimeout any configuration is good enough.
func (c *controlPlane) ready() error {
	if len(c.configStore.Documents()) == 0 {
		return eris.New("no configuration in force")
	}
	if time.Since(c.started) > initialSyncTimeout {
		return nil
	}
	if !isClosed(c.reader.Synced()) {
		return eris.New("configuration service not asked yet")
	}
	// The store of an adapter always has the newest configuration. The project's own configuration service may be behind
	// the other instances, so an exchange with one of them must have completed too.
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
