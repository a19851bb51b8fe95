package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/relay"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

const (
	// maxRelayedRequests bounds the requests that an instance serves for others at a time.
	maxRelayedRequests = 64
	// relayDialTimeout bounds a new connection to another instance. It is several times a round trip, and short enough
	// to try a further one.
	relayDialTimeout = 100 * time.Millisecond
	// relayWaitLimit bounds the wait for a connection to an instance while all are in use.
	relayWaitLimit = 20 * time.Millisecond
)

// relays sends requests to other instances. It is safe for concurrent use.
type relays struct {
	clock    clock
	cfg      target.Config
	zone     string       // of this instance
	incoming atomic.Int64 // requests that are served for other instances

	mu       sync.Mutex
	selector *relay.Selector
	clients  map[string]*target.Client // by address
}

// newRelays returns relays whose connections come from the IP of the address at which other instances know this one.
func newRelays(ck clock, cfg Config) *relays {
	c := target.Config{
		DialTimeout: relayDialTimeout, WaitLimit: relayWaitLimit, MaxConnections: maxRelayedRequests,
		FreshWithin: cfg.Target.FreshWithin, IdleTimeout: cfg.Target.IdleTimeout, Dialect: wire.RelayDialect{Base: cfg.Dialect},
	}
	if self, err := netip.ParseAddrPort(cfg.PeerAddress); err == nil {
		c.LocalIP = self.Addr()
	}
	zone := string(cfg.Policy.Zone)
	return &relays{clock: ck, cfg: c, zone: zone, selector: relay.NewSelector(zone), clients: make(map[string]*target.Client)}
}

// SetPeers replaces the other instances, to which requests are relayed while no target can be reached.
func (g *Gateway) SetPeers(peers []relay.Peer) { g.relays.setPeers(peers) }

func (r *relays) setPeers(peers []relay.Peer) {
	known := make(map[string]bool, len(peers))
	for _, p := range peers {
		known[p.Address] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.SetPeers(r.clock.now(), peers)
	for address, client := range r.clients {
		if !known[address] {
			client.Close()
			delete(r.clients, address)
		}
	}
}

// choose returns the instance to relay a request to that a number of instances have declined, and false if none may
// serve it.
func (r *relays) choose(service string, declined int) (peer relay.Peer, client *target.Client, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer, ok = r.selector.Choose(r.clock.now(), service, declined, rand.New(rand.NewPCG(rand.Uint64(), 0)))
	if !ok {
		return peer, nil, false
	}
	client = r.clients[peer.Address]
	if client == nil {
		client = target.NewClient(peer.Address, r.cfg)
		r.clients[peer.Address] = client
	}
	return peer, client, true
}

func (r *relays) ended(peer relay.Peer, service string, result relay.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.Ended(r.clock.now(), peer.Address, service, result)
}

// startRelay sends a request to another instance in the background.
func (e *engine) startRelay(effect core.Effect) {
	ctx, p, state, a := e.newAttempt(effect)
	a.Header = a.Header.Clone()
	wire.SetRelayHeaders(a.Header, wire.RelayedRequest{
		CallerIP: p.fingerprint.callerIP, Service: e.name, Attempts: effect.MaxAttempts,
	})
	a.IsCurrent = func() bool { return e.mayBeSent(p) }
	state.started = true
	go e.runRelay(ctx, p, effect, state, a)
}

func (e *engine) runRelay(ctx context.Context, p *pendingRequest, effect core.Effect, state *attemptState, a target.Attempt) {
	id := effect.Attempt
	defer e.recoverAttempt(p, id)
	peer, client, ok := e.relays.choose(e.name, effect.Declined)
	if !ok {
		e.endAttempt(p, id, core.AttemptEnded{Request: p.id, Attempt: id, Outcome: core.OutcomeNotSent, Reason: core.ReasonNoInstance})
		return
	}
	response, err := client.Send(ctx, a)
	if err != nil {
		e.countBrokenResponse(err)
		e.endRelay(p, id, peer, resultOfFailure(err), newRelayFailedEvent(p.id, id, err))
		return
	}
	relayed := wire.TakeRelayedResponse(response.Header)
	reason := core.Reason(relayed.Reason)
	if result, declined := declinedRelays[reason]; declined && relayed.Outcome == wire.OutcomeNotRun {
		_ = response.Body.Close()
		e.endRelay(p, id, peer, result, core.AttemptEnded{Request: p.id, Attempt: id, Outcome: core.OutcomeRefused, Reason: reason})
		return
	}
	if relayed.LeavingTarget != "" {
		e.dispatch(core.TargetLeaving{Target: core.TargetID(relayed.LeavingTarget), Start: relayed.Start})
	}
	buffered := e.bufferResponse(response, state)
	if buffered.err != nil {
		buffered.close()
		e.countBrokenResponse(buffered.err)
		e.endRelay(p, id, peer, resultOfFailure(buffered.err), newRelayFailedEvent(p.id, id, buffered.err))
		return
	}
	buffered.relayedOutcome = relayed.Outcome
	e.recordRelay(p, peer, relay.Served, relayed.Outcome, relayed.Reason)
	e.offerResponse(p, id, state, buffered)
}

// declinedRelays holds the reasons for which another instance did not run a request that a further one may serve.
var declinedRelays = map[core.Reason]relay.Result{
	core.ReasonUnreachable: relay.Unreachable,
	core.ReasonNoTarget:    relay.Unreachable,
	core.ReasonStopping:    relay.Unreachable,
	core.ReasonEvacuated:   relay.Unreachable, // it may have missed the end of an order
	ReasonNoConfiguration:  relay.Unreachable,
	ReasonNoRule:           relay.Unreachable,
	ReasonRelayLimit:       relay.Busy,
	ReasonBodyMemory:       relay.Busy,
}

// resultOfFailure returns what a relay without a response says about the other instance.
func resultOfFailure(err error) relay.Result {
	var failure *target.Error
	switch {
	case !errors.As(err, &failure):
		return relay.Failed
	case failure.Reason == target.ReasonNoConnection:
		return relay.Busy
	case failure.Reason == target.ReasonCancelled, failure.Reason == target.ReasonOutdated, failure.Reason == core.ReasonDeadline, failure.Reason == core.ReasonSlow:
		return relay.Abandoned
	}
	return relay.Failed
}

// newRelayFailedEvent returns the event for a relay without a response. It says nothing about targets.
func newRelayFailedEvent(request core.RequestID, id core.AttemptID, err error) core.AttemptEnded {
	ev := newFailedEvent(request, id, err)
	ev.Unreachable = false
	return ev
}

func (e *engine) endRelay(p *pendingRequest, id core.AttemptID, peer relay.Peer, result relay.Result, ev core.AttemptEnded) {
	e.recordRelay(p, peer, result, wire.OutcomeUnknown, string(ev.Reason))
	e.endAttempt(p, id, ev)
}

var relayResultNames = map[relay.Result]string{
	relay.Served: "served", relay.Unreachable: "declined", relay.Busy: "busy", relay.Failed: "failed",
	relay.Abandoned: "abandoned",
}

// recordRelay records what became of a relay for the choice of further instances, metrics and the log.
func (e *engine) recordRelay(p *pendingRequest, peer relay.Peer, result relay.Result, outcome wire.Outcome, reason string) {
	e.relays.ended(peer, e.name, result)
	name, zone := relayResultNames[result], "own"
	if peer.Zone != e.relays.zone {
		zone = "other"
	}
	e.metrics.relays.WithLabelValues(e.name, zone, name).Inc()
	if log := e.log.V(2); log.Enabled() {
		log.Info("request relayed", "request", p.attemptTemplate.RequestID, "instance", peer.Address, "zone", peer.Zone, "result", name, "outcome", outcome, "reason", reason)
	}
}

// serveRelayed serves a request of another instance's caller.
func (g *Gateway) serveRelayed(w http.ResponseWriter, r *http.Request) {
	relayed, ok := wire.TakeRelayHeaders(r.Header)
	if !ok {
		http.Error(w, "relay headers are missing or malformed", http.StatusBadRequest)
		return
	}
	defer g.relays.incoming.Add(-1)
	hasRoom := g.relays.incoming.Add(1) <= maxRelayedRequests
	c := g.newCall(w, r)
	c.relayed = &relayed
	if !hasRoom {
		g.reject(c, rejectRelayLimit)
		return
	}
	g.serveCall(c)
}
