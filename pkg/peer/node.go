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
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine/distribution"
)

// Config configures a Node.
type Config struct {
	// Self is the peer address of this instance, "ip:port". Connections to other instances use its IP as the source
	// address, by which they identify this instance.
	Self string
	// Zone is the availability zone of this instance.
	Zone string
	// Seeds are peer addresses from the settings. Connections from their IPs are accepted.
	Seeds []string
	// CrossZoneRounds is that of membership.Config.
	CrossZoneRounds int
	// AcceptUnlisted accepts connections from any address, for platforms that do not list instances.
	AcceptUnlisted bool
	// RoundInterval is the time between anti-entropy rounds, before jitter.
	RoundInterval time.Duration
	// CallTimeout limits connecting and each call; it is set as the connection deadline.
	CallTimeout time.Duration
	// IdleTimeout is the time after which an accepted connection without a complete request is closed. maxFollowWait is
	// added to it, because the deadline also covers the reply.
	IdleTimeout time.Duration
	// MaxConnections is the maximum number of accepted connections. A further one replaces one without a request, or is
	// closed.
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
	// Digest lists all documents in force.
	Digest() []Entry
	// Text returns the bytes of a service's document, nil if there is none.
	Text(service string) []byte
	// Offer passes on the bytes of a document that may be newer than the one in force; source names their origin.
	Offer(source, service string, text []byte)
	// Changed returns a channel that receives a value after documents came into force.
	Changed() <-chan struct{}
}

// CrashRecords holds what is known of requests that crash targets. Implementations are safe for concurrent use.
type CrashRecords interface {
	// VerdictDigest is a hash of the records of quarantined requests, RecentVerdicts returns those of them that changed
	// within the last seconds, and VerdictRecords returns all of them and those of released requests.
	VerdictDigest() uint64
	VerdictRecords() []quarantine.Record
	RecentVerdicts() []quarantine.Record
	// RecordsOf returns the records of contents, MissingFrom those that differ from other records.
	RecordsOf(contents []uint64) []quarantine.Record
	MissingFrom(others []quarantine.Record) []quarantine.Record
	// Merge adds records of another instance.
	Merge(records []quarantine.Record)
	// Changed returns a channel that receives a value after TakeChanges got something to return.
	Changed() <-chan struct{}
	// TakeChanges returns the effects SuspicionDue and VerdictChanged since the last call.
	TakeChanges() []quarantine.Effect
}

// Node exchanges documents, membership and leaving signals with the other instances. It is safe for concurrent use.
type Node struct {
	cfg               Config
	docs              DocumentStore
	crashes           CrashRecords
	metrics           *Metrics
	log               logr.Logger
	onTargetLeaving   func(membership.Sign)
	startTime         time.Time
	startID           string
	connections       *connections  // accepted ones
	contactSlots      chan struct{} // limits concurrent contacts
	firstExchange     chan struct{} // closed after the first complete exchange that this instance started
	firstExchangeOnce sync.Once
	compressor        documentCompressor
	relays            *relayListener // nil until RelayListener
	reports           *crashReports

	mu            sync.Mutex
	state         *membership.State
	listedIPs     map[netip.Addr]bool // accepted senders from the instance list
	seedIPs       map[netip.Addr]bool // accepted senders from the settings
	lastConflicts map[string]Entry    // last conflicting entry by service
	contacting    map[string]bool     // addresses with a contact in progress
	leaving       bool
	feed          Feed // nil until SetFeed
}

// Feed provides other instances with what this one knows of the platform's store. Implementations are safe for
// concurrent use.
type Feed interface {
	// Snapshot returns all items, or discovery.ErrHistoryGone if nothing is known yet.
	Snapshot() (discovery.Snapshot, error)
	// Since returns the changes after a revision as soon as there are any, and no changes once the data is confirmed
	// again, wait has passed or ctx has ended. It returns discovery.ErrHistoryGone if it does not have all the changes.
	Since(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error)
	// EndedOrders returns those of the given orders to evacuate a zone that have ended as far as the feed knows.
	EndedOrders(orders []discovery.OrderVersion) []discovery.OrderVersion
}

// SetFeed sets the feed that other instances can follow. Until then, their calls are answered as if nothing were known.
func (n *Node) SetFeed(f Feed) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.feed = f
}

// SetSeeds replaces the peer addresses from the settings, also as accepted senders.
func (n *Node) SetSeeds(ctx context.Context, seeds []string) {
	n.mu.Lock()
	n.seedIPs = parseIPs(seeds)
	n.mu.Unlock()
	n.dispatch(ctx, membership.SeedsReplaced{Seeds: seeds})
}

// Parent returns the address of the instance to read from and the depth of this one in the tree. The address is empty
// for the root.
func (n *Node) Parent() (address string, depth int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Parent(time.Since(n.startTime))
}

// RandomPeer returns the address of a random reachable instance, or an empty string if there is none.
func (n *Node) RandomPeer() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.RandomPeer(time.Since(n.startTime), rand.Uint64())
}

// ReportFailure records that the instance at address did not answer.
func (n *Node) ReportFailure(ctx context.Context, address string) {
	n.dispatch(ctx, membership.ContactFailed{Address: address})
}

// ReportStale records that the instance at address had no recent data of the platform although the platform answers.
func (n *Node) ReportStale(ctx context.Context, address string) {
	n.dispatch(ctx, membership.SourceStale{Address: address})
}

const maxConcurrentContacts = 16

// NewNode returns a node that calls onTargetLeaving once for each new leaving signal of a target.
func NewNode(cfg Config, docs DocumentStore, crashes CrashRecords, m *Metrics, onTargetLeaving func(membership.Sign), log logr.Logger) *Node {
	startID := strconv.FormatUint(rand.Uint64(), 36)
	n := &Node{
		cfg: cfg, docs: docs, crashes: crashes, metrics: m, log: log, onTargetLeaving: onTargetLeaving,
		startTime: time.Now(), startID: startID,
		connections:  newConnections(cfg.MaxConnections, requestWait),
		contactSlots: make(chan struct{}, maxConcurrentContacts), firstExchange: make(chan struct{}),
		state: membership.New(membership.Config{
			Self: cfg.Self, Start: startID, Zone: cfg.Zone, Seeds: cfg.Seeds, CrossZoneRounds: cfg.CrossZoneRounds,
		}),
		listedIPs: make(map[netip.Addr]bool), seedIPs: parseIPs(cfg.Seeds),
		lastConflicts: make(map[string]Entry), contacting: make(map[string]bool), reports: newCrashReports(cfg),
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

// Run serves other instances on l and contacts them until ctx ends. It closes l.
func (n *Node) Run(ctx context.Context, l net.Listener) {
	var group sync.WaitGroup
	group.Go(func() { n.acceptLoop(ctx, l) })
	n.runRounds(ctx)
	_ = l.Close()
	group.Wait()
}

// runRounds passes rounds and changes of documents to the membership, and those of crash records to their distribution. The jitter keeps the rounds of
// instances that started together from coinciding.
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
		case <-n.crashes.Changed():
			n.distributeChanges(ctx)
		case <-n.reports.timer.C:
			n.distribute(ctx, distribution.TimerFired{})
		case <-ctx.Done():
			return
		}
	}
}

// dispatch applies one event to the membership and performs the resulting effects.
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
			n.log.Info("leaving signal recorded", "target", e.Signal.Target, "start", e.Signal.Start)
			n.onTargetLeaving(e.Signal)
		case membership.PeerRestarted:
			n.log.Info("peer restarted", "peer", e.Address)
		}
	}
}

// startContact contacts an instance in the background, unless a contact to it or too many contacts are in progress.
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
		defer n.recoverPanic("contact peer", address)
		n.contactPeer(ctx, address)
	}()
}

func (n *Node) endContact(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.contacting, address)
}

// SetInstanceList applies a new instance list. Connections from the listed instances are accepted.
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

// ObserveTargets reports what this instance observed of targets itself: their start IDs, and whether they are leaving.
func (n *Node) ObserveTargets(ctx context.Context, targets []membership.Process) {
	n.dispatch(ctx, membership.TargetsObserved{Targets: targets})
}

// LeavingSignals returns the leaving signals in effect, in no particular order.
func (n *Node) LeavingSignals() []membership.Sign {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.LeavingSignals()
}

// AnnounceLeaving tells other instances that this one is leaving. Run must still be active.
func (n *Node) AnnounceLeaving(ctx context.Context) {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	n.dispatch(ctx, membership.LocalStateChanged{})
}

// FirstExchange returns a channel that is closed after this instance completed the first exchange that it started.
func (n *Node) FirstExchange() <-chan struct{} { return n.firstExchange }

// PeerCount returns the number of other known instances, reachable or not.
func (n *Node) PeerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.PeerCount()
}

// FleetSize returns the largest number of instances seen in the last ten minutes, including this one.
func (n *Node) FleetSize() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.FleetSize()
}

// ActiveInstances returns the addresses of the instances that serve, including this one.
func (n *Node) ActiveInstances() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	active := []string{n.cfg.Self}
	for _, k := range n.state.Known(time.Since(n.startTime)) {
		active = append(active, k.Address)
	}
	return active
}

// Members describes the other known instances.
func (n *Node) Members() []membership.MemberStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Members(time.Since(n.startTime))
}

// StartID returns the random ID of this process start.
func (n *Node) StartID() string { return n.startID }

// localState returns the message that describes this instance.
func (n *Node) localState() Exchange {
	x := Exchange{
		Self: n.cfg.Self, Start: n.startID, Zone: n.cfg.Zone, Digest: n.docs.Digest(), CrashDigest: n.crashes.VerdictDigest(),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	x.Leaving = n.state.LeavingSignals()
	x.Fingerprint = n.state.Fingerprint(time.Since(n.startTime))
	if n.leaving {
		x.Leaving = append(x.Leaving, membership.Sign{Target: n.cfg.Self, Start: n.startID})
	}
	return x
}

// applyExchange applies a message from another instance to the membership and the crash records.
func (n *Node) applyExchange(ctx context.Context, x *Exchange) {
	if len(x.Crashes) > 0 {
		n.crashes.Merge(x.Crashes)
	}
	n.reports.forgetOldBuild(x.Self, x.Start)
	n.dispatch(ctx, membership.ExchangeCompleted{
		Address: x.Self, Start: x.Start, Zone: x.Zone, Leaving: x.Leaving, Known: x.Known,
	})
	if len(x.Ages) > 0 {
		n.dispatch(ctx, membership.AgesReceived{Ages: x.Ages, Fingerprint: x.Fingerprint})
	}
}

// knownFor returns the known instances for the reply to a peer that knows others.
func (n *Node) knownFor(remote *Exchange) []membership.Known {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.KnownFor(time.Since(n.startTime), remote.KnownCount, rand.Uint64())
}

func (n *Node) ages() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Ages(time.Since(n.startTime))
}

// contactSummary returns the number of known instances and whether newer contacts with them are needed.
func (n *Node) contactSummary() (known int, needsAges bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Since(n.startTime)
	return n.state.KnownCount(now), n.state.NeedsAges(now)
}

// newerEntries returns the remote entries that are newer than the local ones.
func (n *Node) newerEntries(remote []Entry) []Entry {
	return n.filterEntries(remote, func(e, local Entry, ok bool) bool { return !ok || e.isNewerThan(local) })
}

// conflictingEntries returns the remote entries of the same version as the local ones but with another hash. Each is
// returned once, so that its document is pulled once and the store rejects and reports it.
func (n *Node) conflictingEntries(remote []Entry) []Entry {
	return n.filterEntries(remote, func(e, local Entry, ok bool) bool {
		return ok && !e.isNewerThan(local) && !local.isNewerThan(e) && e.Hash != local.Hash && n.recordConflict(e)
	})
}

func (n *Node) filterEntries(remote []Entry, accept func(e, local Entry, ok bool) bool) []Entry {
	localByService := make(map[string]Entry)
	for _, e := range n.docs.Digest() {
		localByService[e.Service] = e
	}
	var list []Entry
	for _, e := range remote {
		local, ok := localByService[e.Service]
		if accept(e, local, ok) {
			list = append(list, e)
		}
	}
	return list
}

// recordConflict stores e as the last conflict of its service and reports whether it is a new one.
func (n *Node) recordConflict(e Entry) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastConflicts[e.Service] == e {
		return false
	}
	n.lastConflicts[e.Service] = e
	return true
}

// isAllowed reports whether connections from an address are accepted.
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

var errAddressMismatch = eris.New("sender address does not match the remote address of the connection")

// checkSenderIP checks that the address in a message has the IP of its connection, so that no sender can direct other
// instances to a third party.
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
