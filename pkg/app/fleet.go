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
	// askLimit is how long a new instance waits for the platform and a peer before it serves with what it has. It is
	// longer than one failed call to each.
	askLimit = 5 * time.Second
	// refreshLimit bounds the re-read after a pause.
	refreshLimit = time.Second
	// observeInterval is the time between two looks at what the gateway learned about targets.
	observeInterval = time.Second
)

// fleet connects the configuration store, the platform and the other entry instances.
type fleet struct {
	settings settings.Settings
	log      logr.Logger
	gateway  *gateway.Gateway
	store    *discovery.ConfigStore
	reader   platformReader
	node     *peer.Node
	started  time.Time
}

func newFleet(
	s settings.Settings, log logr.Logger, g *gateway.Gateway, st *discovery.ConfigStore, r platformReader, n *peer.Node,
) *fleet {
	return &fleet{settings: s, log: log, gateway: g, store: st, reader: r, node: n, started: time.Now()}
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
	mark := func(sign membership.Sign) { g.MarkTargetLeaving(core.TargetID(sign.Target), sign.Start) }
	cfg := peer.DefaultConfig(s.PeerListen, s.Zone, s.Peers)
	cfg.CrossZoneRounds = s.PeerCrossZoneRounds
	cfg.AcceptUnlisted = a.NewSource != nil // an adapter's store lists no entry instances
	return peer.NewNode(cfg, documents{store}, m, mark, log)
}

// newPlatformReader returns the reader of the adapter's store, or of the project's own protocol without one.
func newPlatformReader(
	s settings.Settings, a Adapter, store *discovery.ConfigStore, g *gateway.Gateway, n *peer.Node, m *discovery.Metrics, log logr.Logger,
) platformReader {
	if a.NewSource == nil {
		return newReader(s, store, g, n, m, log)
	}
	cfg := discovery.WatcherConfig{
		Wait: s.Watch.Wait.Std(), Timeout: s.Watch.Timeout.Std(), MaxBatchDelay: s.Watch.MaxBatchDelay.Std(),
		BackoffInitial: s.Watch.BackoffFirst.Std(), BackoffMax: s.Watch.BackoffLimit.Std(),
	}
	cfg.WaitForPeers = s.FirstStart
	cfg.PeerWait, cfg.MaxAge = s.Watch.PeerWait.Std(), s.Watch.MaxAge.Std()
	var upstream discovery.PeerSelector
	if s.Watch.Share && s.PeerListen != "" {
		upstream = &parents{node: n, timeout: cfg.Timeout}
	}
	w := discovery.NewWatcher(cfg, a.NewSource(s.Platform, cfg.Timeout), upstream, sink{store, g, n}, m, log)
	n.SetFeed(w)
	return w
}

// parents reads from the instance that the membership names.
type parents struct {
	node    *peer.Node
	timeout time.Duration

	mu      sync.Mutex
	address string
	source  *peer.Follower
	other   *peer.Follower
}

// Parent implements discovery.PeerSelector.
func (p *parents) Parent() (discovery.Source, string, int) {
	address, depth := p.node.Parent()
	p.mu.Lock()
	defer p.mu.Unlock()
	if address != p.address && p.source != nil {
		p.source.Reset()
		p.source = nil
	}
	p.address = address
	if address == "" {
		return nil, "", 0
	}
	if p.source == nil {
		p.source = p.node.NewFollower(address, p.timeout)
	}
	return p.source, address, depth
}

// RandomPeer implements discovery.PeerSelector.
func (p *parents) RandomPeer() (discovery.Source, string) {
	address := p.node.RandomPeer()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.other != nil {
		p.other.Reset()
		p.other = nil
	}
	if address == "" {
		return nil, ""
	}
	p.other = p.node.NewFollower(address, p.timeout)
	return p.other, address
}

// Joined implements discovery.PeerSelector.
func (p *parents) Joined() bool { return closed(p.node.FirstExchange()) }

// MarkFailed implements discovery.PeerSelector.
func (p *parents) MarkFailed(ctx context.Context, name string) { p.node.ReportFailure(ctx, name) }

func newReader(
	s settings.Settings, store *discovery.ConfigStore, g *gateway.Gateway, n *peer.Node, m *discovery.Metrics, log logr.Logger,
) *discovery.Reader {
	id := s.PeerListen
	if id == "" {
		id = s.Listen
	}
	return discovery.NewReader(discovery.DefaultReaderConfig(s.Platform, id), sink{store, g, n}, m, log)
}

// documents gives the peer exchange its view of the store.
type documents struct{ store *discovery.ConfigStore }

// Digest implements peer.DocumentStore.
func (d documents) Digest() []peer.Entry {
	docs := d.store.Documents()
	list := make([]peer.Entry, len(docs))
	for i, doc := range docs {
		hash, _ := strconv.ParseUint(doc.Hash, 16, 64)
		list[i] = peer.Entry{Service: doc.Service, Epoch: doc.Epoch, Revision: doc.Revision, Hash: hash}
	}
	return list
}

// Text implements peer.DocumentStore.
func (d documents) Text(service string) []byte {
	doc, _ := d.store.Get(service)
	return doc.Text
}

// Offer implements peer.DocumentStore.
func (d documents) Offer(source, service string, text []byte) { d.store.Offer(source, service, text) }

// Changed implements peer.DocumentStore.
func (d documents) Changed() <-chan struct{} { return d.store.Changed() }

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
	var l membership.InstanceListReceived
	for _, i := range list.Instances {
		listing := membership.Process{
			Address: i.Identity(), Zone: i.Zone, Start: i.Start, Leaving: i.State == discovery.StateLeaving,
		}
		if i.Service == discovery.LoadBalancerService {
			l.Instances = append(l.Instances, listing)
		} else {
			l.Targets = append(l.Targets, listing)
		}
	}
	s.node.SetInstanceList(context.Background(), l)
	for _, sign := range s.node.LeavingSignals() {
		s.gateway.MarkTargetLeaving(core.TargetID(sign.Target), sign.Start)
	}
}

// listen opens the listener for other instances; nil if the settings name none.
func (f *fleet) listen() (net.Listener, error) {
	if f.settings.PeerListen == "" {
		return nil, nil
	}
	if _, err := netip.ParseAddrPort(f.settings.PeerListen); err != nil {
		return nil, eris.Wrap(err, "peer_listen must be ip:port")
	}
	l, err := net.Listen("tcp", f.settings.PeerListen)
	return l, eris.Wrap(err, "listen for peers")
}

// run reads the platform and talks to other instances until ctx ends.
func (f *fleet) run(ctx context.Context, peers net.Listener) {
	go f.gateway.WatchPauses(ctx, func() { f.refresh(ctx) })
	go f.reader.Run(ctx)
	if peers != nil {
		go f.node.Run(ctx, peers)
	}
	f.watch(ctx)
}

// watch passes on what the gateway sees of targets.
func (f *fleet) watch(ctx context.Context) {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.node.ObserveTargets(ctx, f.targets())
			f.gateway.SetFleetSize(f.node.FleetSize())
		case <-ctx.Done():
			return
		}
	}
}

// refresh reads the platform again after a pause of the process. Callers wait for it, so it is bounded.
func (f *fleet) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshLimit)
	defer cancel()
	if err := f.reader.Refresh(ctx); err != nil {
		f.log.Info("re-read after a pause failed", "error", err.Error())
	}
}

// targets returns what the gateway knows of the start ids and leaving signs of targets.
func (f *fleet) targets() []membership.Process {
	var list []membership.Process
	for _, view := range f.gateway.Status() {
		for _, t := range view.Targets {
			leaving := t.Status == core.TargetStatusLeaving
			list = append(list, membership.Process{Address: string(t.ID), Start: t.Start, Leaving: leaving})
		}
	}
	return list
}

// ready reports why the configuration does not allow serving yet, or nil.
func (f *fleet) ready() error {
	if len(f.store.Documents()) == 0 {
		return eris.New("no configuration in force")
	}
	if time.Since(f.started) > askLimit {
		return nil
	}
	if !closed(f.reader.Synced()) {
		return eris.New("configuration service not asked yet")
	}
	// The answer of an adapter's store is the newest there is; the project's own service may lag behind the instances.
	if f.settings.Adapter == "" && f.settings.PeerListen != "" && f.node.PeerCount() > 0 && !closed(f.node.FirstExchange()) {
		return eris.New("no other instance asked yet")
	}
	return nil
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
