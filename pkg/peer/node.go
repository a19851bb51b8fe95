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
	// CrossEvery is the number of rounds for each contact to another zone; 0 means 1.
	CrossEvery int
	// Open accepts senders that are on no list, where the platform does not list entry instances.
	Open bool
	// Round is the time between rounds of anti-entropy.
	Round time.Duration
	// CallTimeout bounds connecting and each call, as a connection deadline.
	CallTimeout time.Duration
	// IdleTimeout is the time after which an accepted connection without a complete request is closed.
	IdleTimeout time.Duration
	// Connections bounds the accepted connections.
	Connections int
}

// DefaultConfig returns the documented defaults.
func DefaultConfig(self, zone string, seeds []string) Config {
	return Config{
		Self: self, Zone: zone, Seeds: seeds, Round: time.Second, CallTimeout: 2 * time.Second,
		IdleTimeout: 2 * time.Second, Connections: 64,
	}
}

// Documents holds the documents in force. Implementations are safe for concurrent use.
type Documents interface {
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
	cfg      Config
	docs     Documents
	metrics  *Metrics
	log      logr.Logger
	onLeave  func(membership.Sign)
	epoch    time.Time
	start    string
	slots    chan struct{} // accepted connections
	contacts chan struct{} // contacts in progress
	asked    chan struct{} // closed after the first complete exchange that this instance began
	once     sync.Once

	mu        sync.Mutex
	state     *membership.State
	allowed   map[netip.Addr]bool // senders on the instance list
	seeds     map[netip.Addr]bool // senders in the settings
	conflicts map[string]Entry    // last conflicting entry of each service
	busy      map[string]bool     // addresses that are being contacted
	stopping  bool
	feed      Feed // nil until SetFeed
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
	n.seeds = addrs(seeds)
	n.mu.Unlock()
	n.dispatch(ctx, membership.Reseeded{Seeds: seeds})
}

// Parent returns the instance to read from and the depth of this one; an empty address for the root.
func (n *Node) Parent() (address string, depth int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Parent(time.Since(n.epoch))
}

// Contact returns a random instance in contact; an empty address if there is none.
func (n *Node) Contact() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Contact(time.Since(n.epoch), rand.Uint64())
}

// Failed notes that an instance did not answer.
func (n *Node) Failed(ctx context.Context, address string) {
	n.dispatch(ctx, membership.Failed{Address: address})
}

const maxContacts = 16 // contacts at once

// NewNode returns a node that calls onLeave once for each new leaving sign of a target.
func NewNode(cfg Config, docs Documents, m *Metrics, onLeave func(membership.Sign), log logr.Logger) *Node {
	start := strconv.FormatUint(rand.Uint64(), 36)
	n := &Node{
		cfg: cfg, docs: docs, metrics: m, log: log, onLeave: onLeave, epoch: time.Now(), start: start,
		slots: make(chan struct{}, cfg.Connections), contacts: make(chan struct{}, maxContacts), asked: make(chan struct{}),
		state:   membership.New(membership.Config{Self: cfg.Self, Start: start, Zone: cfg.Zone, Seeds: cfg.Seeds, CrossEvery: cfg.CrossEvery}),
		allowed: make(map[netip.Addr]bool), seeds: addrs(cfg.Seeds),
		conflicts: make(map[string]Entry), busy: make(map[string]bool),
	}
	m.fleet.Set(float64(n.state.FleetSize()))
	return n
}

func addrs(list []string) map[netip.Addr]bool {
	set := make(map[netip.Addr]bool, len(list))
	for _, text := range list {
		if a, err := netip.ParseAddrPort(text); err == nil {
			set[a.Addr().Unmap()] = true
		}
	}
	return set
}

// Run serves other instances on l and contacts them until ctx ends.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	var group sync.WaitGroup
	group.Go(func() { n.accept(ctx, l) })
	n.rounds(ctx)
	_ = l.Close()
	group.Wait()
}

// rounds feeds ticks and changes to the membership. The jitter keeps instances that started together apart.
func (n *Node) rounds(ctx context.Context) {
	timer := time.NewTimer(rand.N(n.cfg.Round/4 + 1))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			n.dispatch(ctx, membership.Ticked{})
			timer.Reset(n.cfg.Round*9/10 + rand.N(n.cfg.Round/5+1))
		case <-n.docs.Changed():
			n.dispatch(ctx, membership.Changed{})
		case <-ctx.Done():
			return
		}
	}
}

// dispatch applies one event and performs its effects.
func (n *Node) dispatch(ctx context.Context, ev membership.Event) {
	n.mu.Lock()
	in := membership.Input{Now: time.Since(n.epoch), Rand: rand.Uint64(), Event: ev}
	effects := n.state.Reduce(in, nil)
	n.metrics.fleet.Set(float64(n.state.FleetSize()))
	n.mu.Unlock()
	for _, e := range effects {
		switch e.Kind {
		case membership.Contact:
			n.begin(ctx, e.Address)
		case membership.TargetLeaves:
			n.log.Info("target leaves", "target", e.Sign.Target, "start", e.Sign.Start)
			n.onLeave(e.Sign)
		case membership.Restarted:
			n.log.Info("peer restarted", "peer", e.Address)
		}
	}
}

// begin contacts an instance in the background, unless it is being contacted or too many contacts are in progress.
func (n *Node) begin(ctx context.Context, address string) {
	n.mu.Lock()
	busy := n.busy[address]
	n.busy[address] = true
	n.mu.Unlock()
	if busy {
		return
	}
	select {
	case n.contacts <- struct{}{}:
	default:
		n.metrics.contacts.WithLabelValues("too-many").Inc()
		n.release(address)
		return
	}
	go func() {
		defer func() { <-n.contacts }()
		defer n.release(address)
		n.contact(ctx, address)
	}()
}

func (n *Node) release(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.busy, address)
}

// SetMembers takes the entry instances and targets of a new instance list.
func (n *Node) SetMembers(ctx context.Context, list membership.Listed) {
	addresses := make([]string, len(list.Entries))
	for i, e := range list.Entries {
		addresses[i] = e.Address
	}
	n.mu.Lock()
	n.allowed = addrs(addresses)
	n.mu.Unlock()
	n.dispatch(ctx, list)
}

// Observe passes on what this instance saw of targets itself: their start ids, and whether they leave.
func (n *Node) Observe(ctx context.Context, targets []membership.Listing) {
	n.dispatch(ctx, membership.Observed{Targets: targets})
}

// Leaving returns the leaving signs that hold.
func (n *Node) Leaving() []membership.Sign {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Leaving()
}

// Leave tells others that this instance leaves. Run must still be active.
func (n *Node) Leave(ctx context.Context) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.dispatch(ctx, membership.Changed{})
}

// Asked is closed after this instance completed its first exchange with another.
func (n *Node) Asked() <-chan struct{} { return n.asked }

// Partners returns the number of other instances known.
func (n *Node) Partners() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Partners()
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
	return n.state.Members(time.Since(n.epoch))
}

// Start returns the random id of this start.
func (n *Node) Start() string { return n.start }

// ours returns the message that describes this instance.
func (n *Node) ours() Exchange {
	x := Exchange{Self: n.cfg.Self, Start: n.start, Zone: n.cfg.Zone, Digest: n.docs.Digest()}
	n.mu.Lock()
	defer n.mu.Unlock()
	x.Leaving = n.state.Leaving()
	x.Fingerprint = n.state.Fingerprint(time.Since(n.epoch))
	if n.stopping {
		x.Leaving = append(x.Leaving, membership.Sign{Target: n.cfg.Self, Start: n.start})
	}
	return x
}

// learn takes a message from another instance.
func (n *Node) learn(ctx context.Context, x *Exchange) {
	n.dispatch(ctx, membership.Exchanged{
		Address: x.Self, Start: x.Start, Zone: x.Zone, Leaving: x.Leaving, Known: x.Known,
	})
}

// known returns the instances that this one knows.
func (n *Node) known() []membership.Known {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Known(time.Since(n.epoch))
}

// newer returns the entries of a digest that are newer than ours.
func (n *Node) newer(theirs []Entry) []Entry {
	return n.differing(theirs, func(e, held Entry, ok bool) bool { return !ok || e.newer(held) })
}

// conflicting returns the entries of our versions with other content. Their documents are pulled once, so that the
// store refuses and reports them.
func (n *Node) conflicting(theirs []Entry) []Entry {
	return n.differing(theirs, func(e, held Entry, ok bool) bool {
		return ok && !e.newer(held) && !held.newer(e) && e.Hash != held.Hash && n.isNewConflict(e)
	})
}

func (n *Node) differing(theirs []Entry, accept func(e, held Entry, ok bool) bool) []Entry {
	ours := make(map[string]Entry)
	for _, e := range n.docs.Digest() {
		ours[e.Service] = e
	}
	var list []Entry
	for _, e := range theirs {
		held, ok := ours[e.Service]
		if accept(e, held, ok) {
			list = append(list, e)
		}
	}
	return list
}

func (n *Node) isNewConflict(e Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conflicts[e.Service] == e {
		return false
	}
	n.conflicts[e.Service] = e
	return true
}

// allows reports whether an address may talk to this instance.
func (n *Node) allows(a net.Addr) bool {
	tcp, ok := a.(*net.TCPAddr)
	if !ok {
		return false
	}
	if n.cfg.Open {
		return true
	}
	ip := tcp.AddrPort().Addr().Unmap()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.allowed[ip] || n.seeds[ip]
}

var errForeignAddress = eris.New("the message names an address of another machine")

// sameIP checks that the sender's own address is the one that it speaks from, so that nobody can send others to a
// third party.
func sameIP(self string, remote net.Addr) error {
	a, err := netip.ParseAddrPort(self)
	if err != nil {
		return err
	}
	tcp, ok := remote.(*net.TCPAddr)
	if !ok || tcp.AddrPort().Addr().Unmap() != a.Addr().Unmap() {
		return errForeignAddress
	}
	return nil
}
