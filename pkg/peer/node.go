package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
)

// Config configures a Node.
type Config struct {
	// Self is this instance's peer address, "ip:port". Contacts to others leave from its IP, by which they know it.
	Self string
	// Zone is the zone of this instance.
	Zone string
	// Seeds are peer addresses from the settings. Their IPs are accepted as senders.
	Seeds []string
	// CrossZoneRounds is the number of rounds for each contact to another zone; 0 means 1.
	CrossZoneRounds int
	// AcceptUnlisted accepts senders that are on no list, where the platform does not list entry instances.
	AcceptUnlisted bool
	// RoundInterval is the time between rounds of anti-entropy.
	RoundInterval time.Duration
	// CallTimeout bounds connecting and each call, as a connection deadline.
	CallTimeout time.Duration
	// IdleTimeout is the time after which an accepted connection without a complete request is closed.
	IdleTimeout time.Duration
	// MaxConnections bounds the accepted connections.
	MaxConnections int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig(self, zone string, seeds []string) Config {
	return Config{
		Self: self, Zone: zone, Seeds: seeds, RoundInterval: time.Second, CallTimeout: 2 * time.Second,
		IdleTimeout: 2 * time.Second, MaxConnections: 64,
	}
}

// DocumentStore holds the documents in force. Implementations are safe for concurrent use.
type DocumentStore interface {
	// Digest names all documents in force.
	Digest() []Entry
	// Text returns the bytes of a service's document, nil if there is none.
	Text(service string) []byte
	// Offer gets the bytes of a document that may be new.
	Offer(source, service string, text []byte)
	// Changed receives a value after documents came into force.
	Changed() <-chan struct{}
}

// Node is the part of one entry instance that talks to the others. It is safe for concurrent use.
type Node struct {
	cfg               Config
	docs              DocumentStore
	metrics           *Metrics
	log               logr.Logger
	onTargetLeaving   func(membership.Sign)
	startTime         time.Time
	startID           string
	connectionSlots   chan struct{} // accepted connections
	contactSlots      chan struct{} // contacts in progress
	firstExchange     chan struct{} // closed after the first complete exchange that this instance began
	firstExchangeOnce sync.Once

	mu            sync.Mutex
	state         *membership.State
	listedIPs     map[netip.Addr]bool // senders on the instance list
	seedIPs       map[netip.Addr]bool // senders in the settings
	lastConflicts map[string]Entry    // last conflicting entry of each service
	contacting    map[string]bool     // addresses that are being contacted
	leaving       bool
	feed          Feed // nil until SetFeed
}

// Feed gives other instances what this one knows of the platform's store. Implementations are safe for concurrent use.
type Feed interface {
	// Snapshot returns everything; discovery.ErrHistoryGone if nothing is known yet.
	Snapshot() (discovery.Snapshot, error)
	// Since returns the changes after a revision as soon as there are some, and no changes after wait or when ctx ends.
	Since(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error)
}

// SetFeed sets what other instances can follow.
func (n *Node) SetFeed(f Feed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.feed = f
}

// SetSeeds replaces the peer addresses of the settings.
func (n *Node) SetSeeds(ctx context.Context, seeds []string) {
	n.mu.Lock()
	n.seedIPs = parseIPs(seeds)
	n.mu.Unlock()
	n.dispatch(ctx, membership.SeedsReplaced{Seeds: seeds})
}

// Parent returns the instance to read from and the depth of this one; an empty address for the root.
func (n *Node) Parent() (address string, depth int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Parent(time.Since(n.startTime))
}

// RandomPeer returns a random instance in contact; an empty address if there is none.
func (n *Node) RandomPeer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RandomPeer(time.Since(n.startTime), rand.Uint64())
}

// ReportFailure notes that an instance did not answer.
func (n *Node) ReportFailure(ctx context.Context, address string) {
	n.dispatch(ctx, membership.ContactFailed{Address: address})
}

const maxConcurrentContacts = 16 // contacts at once

// NewNode returns a node that calls onLeave once for each new leaving sign of a target.
func NewNode(cfg Config, docs DocumentStore, m *Metrics, onTargetLeaving func(membership.Sign), log logr.Logger) *Node {
	startID := strconv.FormatUint(rand.Uint64(), 36)
	n := &Node{
		cfg: cfg, docs: docs, metrics: m, log: log, onTargetLeaving: onTargetLeaving, startTime: time.Now(), startID: startID,
		connectionSlots: make(chan struct{}, cfg.MaxConnections), contactSlots: make(chan struct{}, maxConcurrentContacts), firstExchange: make(chan struct{}),
		state:     membership.New(membership.Config{Self: cfg.Self, Start: startID, Zone: cfg.Zone, Seeds: cfg.Seeds, CrossZoneRounds: cfg.CrossZoneRounds}),
		listedIPs: make(map[netip.Addr]bool), seedIPs: parseIPs(cfg.Seeds),
		lastConflicts: make(map[string]Entry), contacting: make(map[string]bool),
	}
	m.fleetSize.Set(float64(n.state.FleetSize()))
	return n
}

func parseIPs(addrPorts []string) map[netip.Addr]bool {
	set := make(map[netip.Addr]bool, len(addrPorts))
	for _, text := range addrPorts {
		if a, err := netip.ParseAddrPort(text); err == nil {
			set[a.Addr().Unmap()] = true
		}
	}
	return set
}

// Run serves other instances on l and contacts them until ctx ends.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	var group sync.WaitGroup
	group.Go(func() { n.acceptLoop(ctx, l) })
	n.runRounds(ctx)
	_ = l.Close()
	group.Wait()
}

// runRounds feeds ticks and changes to the membership. The jitter keeps instances that started together apart.
func (n *Node) runRounds(ctx context.Context) {
	timer := time.NewTimer(rand.N(n.cfg.RoundInterval/4 + 1))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			n.dispatch(ctx, membership.RoundStarted{})
			timer.Reset(n.cfg.RoundInterval*9/10 + rand.N(n.cfg.RoundInterval/5+1))
		case <-n.docs.Changed():
			n.dispatch(ctx, membership.LocalStateChanged{})
		case <-ctx.Done():
			return
		}
	}
}

// dispatch applies one event and performs its effects.
func (n *Node) dispatch(ctx context.Context, ev membership.Event) {
	n.mu.Lock()
	in := membership.Input{Now: time.Since(n.startTime), Rand: rand.Uint64(), Event: ev}
	effects := n.state.Reduce(in, nil)
	n.metrics.fleetSize.Set(float64(n.state.FleetSize()))
	n.mu.Unlock()
	for _, e := range effects {
		switch e.Kind {
		case membership.ContactPeer:
			n.startContact(ctx, e.Address)
		case membership.TargetLeaving:
			n.log.Info("target leaves", "target", e.Signal.Target, "start", e.Signal.Start)
			n.onTargetLeaving(e.Signal)
		case membership.PeerRestarted:
			n.log.Info("peer restarted", "peer", e.Address)
		}
	}
}

// startContact contacts an instance in the background, unless it is being contacted or too many contacts are in progress.
func (n *Node) startContact(ctx context.Context, address string) {
	n.mu.Lock()
	contacting := n.contacting[address]
	n.contacting[address] = true
	n.mu.Unlock()
	if contacting {
		return
	}
	select {
	case n.contactSlots <- struct{}{}:
	default:
		n.metrics.contacts.WithLabelValues("too-many").Inc()
		n.endContact(address)
		return
	}
	go func() {
		defer func() { <-n.contactSlots }()
		defer n.endContact(address)
		n.contactPeer(ctx, address)
	}()
}

func (n *Node) endContact(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.contacting, address)
}

// SetInstanceList takes the entry instances and targets of a new instance list.
func (n *Node) SetInstanceList(ctx context.Context, list membership.InstanceListReceived) {
	addresses := make([]string, len(list.Instances))
	for i, e := range list.Instances {
		addresses[i] = e.Address
	}
	n.mu.Lock()
	n.listedIPs = parseIPs(addresses)
	n.mu.Unlock()
	n.dispatch(ctx, list)
}

// ObserveTargets passes on what this instance saw of targets itself: their start ids, and whether they leave.
func (n *Node) ObserveTargets(ctx context.Context, targets []membership.Process) {
	n.dispatch(ctx, membership.TargetsObserved{Targets: targets})
}

// LeavingSignals returns the leaving signs that hold.
func (n *Node) LeavingSignals() []membership.Sign {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.LeavingSignals()
}

// AnnounceLeaving tells others that this instance leaves. Run must still be active.
func (n *Node) AnnounceLeaving(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.dispatch(ctx, membership.LocalStateChanged{})
}

// FirstExchange is closed after this instance completed its first exchange with another.
func (n *Node) FirstExchange() <-chan struct{} { return n.firstExchange }

// PeerCount returns the number of other instances known.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.PeerCount()
}

// FleetSize returns the largest number of instances seen in ten minutes, this one included.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.FleetSize()
}

// Members returns a view of the other instances.
func (n *Node) Members() []membership.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Members(time.Since(n.startTime))
}

// StartID returns the random id of this start.
func (n *Node) StartID() string { return n.startID }

// localState returns the message that describes this instance.
func (n *Node) localState() Exchange {
	x := Exchange{Self: n.cfg.Self, Start: n.startID, Zone: n.cfg.Zone, Digest: n.docs.Digest()}
	n.mu.Lock()
	defer n.mu.Unlock()
	x.Leaving = n.state.LeavingSignals()
	x.Fingerprint = n.state.Fingerprint(time.Since(n.startTime))
	if n.leaving {
		x.Leaving = append(x.Leaving, membership.Sign{Target: n.cfg.Self, Start: n.startID})
	}
	return x
}

// applyExchange takes a message from another instance.
func (n *Node) applyExchange(ctx context.Context, x *Exchange) {
	n.dispatch(ctx, membership.ExchangeCompleted{
		Address: x.Self, Start: x.Start, Zone: x.Zone, Leaving: x.Leaving, Known: x.Known,
	})
}

// knownInstances returns the instances that this one knows.
func (n *Node) knownInstances() []membership.Known {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Known(time.Since(n.startTime))
}

// newerEntries returns the entries of a digest that are newerEntries than ours.
func (n *Node) newerEntries(remote []Entry) []Entry {
	return n.filterEntries(remote, func(e, held Entry, ok bool) bool { return !ok || e.isNewerThan(held) })
}

// conflictingEntries returns the entries of our versions with other content. Their documents are pulled once, so that the
// store refuses and reports them.
func (n *Node) conflictingEntries(remote []Entry) []Entry {
	return n.filterEntries(remote, func(e, held Entry, ok bool) bool {
		return ok && !e.isNewerThan(held) && !held.isNewerThan(e) && e.Hash != held.Hash && n.recordConflict(e)
	})
}

func (n *Node) filterEntries(remote []Entry, accept func(e, held Entry, ok bool) bool) []Entry {
	local := make(map[string]Entry)
	for _, e := range n.docs.Digest() {
		local[e.Service] = e
	}
	var list []Entry
	for _, e := range remote {
		held, ok := local[e.Service]
		if accept(e, held, ok) {
			list = append(list, e)
		}
	}
	return list
}

func (n *Node) recordConflict(e Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastConflicts[e.Service] == e {
		return false
	}
	n.lastConflicts[e.Service] = e
	return true
}

// isAllowed reports whether an address may talk to this instance.
func (n *Node) isAllowed(a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	if n.cfg.AcceptUnlisted {
		return true
	}
	ip := tcp.AddrPort().Addr().Unmap()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listedIPs[ip] || n.seedIPs[ip]
}

var errAddressMismatch = eris.New("the message names an address of another machine")

// checkSenderIP checks that the sender's own address is the one that it speaks from, so that nobody can send others to a
// third party.
func checkSenderIP(self string, remote net.Addr) error {
	a, err := netip.ParseAddrPort(self)
	if err != nil {
		return err
	}
	tcp, ok := remote.(*net.TCPAddr)
	if !ok || tcp.AddrPort().Addr().Unmap() != a.Addr().Unmap() {
		return errAddressMismatch
	}
	return nil
}
