// Package gateway serves callers: it turns HTTP requests into events for the reducer of package core and performs the
// reducer's effects.
//
// Package core makes all decisions about targets, retries and refusals, except for refusals before a request reaches
// the reducer, such as for a request that matches no rule.
package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Config configures a Gateway.
type Config struct {
	// Policy applies to each service separately. Its InstanceCount is the lower limit for SetFleetSize.
	Policy core.Policy
	// Target configures the connections to targets.
	Target target.Config
	// ProbePath is the path of health probes and load probes, unless a service's rules set one. Health probes are off
	// while Policy.ProbeShare is 0.
	ProbePath string
	// Dialect encodes the headers exchanged with callers and targets; nil means wire.Native.
	Dialect wire.Dialect
	// WriteTimeout bounds each write to a caller; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// Limits bounds what a caller can send, unless a document sets its own limits; zero means httpserver.DefaultLimits.
	Limits httpserver.Limits
	// CallerConnections and RelayConnections bound the open connections of callers, and of other instances that relay
	// requests; zero means no bound.
	CallerConnections, RelayConnections int
	// PeerAddress is the address at which other instances know this one, "ip:port". Connections to them come from its IP.
	PeerAddress string
	// BodyMemory bounds the bytes of request heads, request bodies and buffered responses that are held at a time; zero
	// means no bound. BodyAllowance bytes of each request body are not counted, so that callers with large bodies cannot
	// keep the memory from others.
	BodyMemory, BodyAllowance int64
	// ResponseHeadMemory bounds the bytes of response heads that are held at a time, beyond memorybudget.HeadAllowance for
	// each; zero means no bound. A target gets no more than a quarter of it while most of it is in use.
	ResponseHeadMemory int64
	// HoldUntilSynced makes requests wait until MarkSynced, or until their deadlines. Without it, an instance that has
	// just started may send requests to targets of which only the other instances know that they are leaving.
	HoldUntilSynced bool
}

// DefaultWriteTimeout is long enough for a congested network, and short enough to free the slot of a target whose
// response is not read.
const DefaultWriteTimeout = 10 * time.Second

// Gateway is the HTTP front end for callers. It is safe for concurrent use.
type Gateway struct {
	cfg            Config
	clock          clock
	pauses         *pauseDetector
	clients        *clients
	quarantine     *Quarantine
	relays         *relays
	bodyMemory     *bodyMemory
	metrics        *Metrics
	log            logr.Logger
	ruleTable      atomic.Pointer[rules.Table]
	splits         splitSequences
	stop           *stopState
	activeRequests atomic.Int64 // requests from callers in progress
	servers        servers

	synced     chan struct{} // closed by MarkSynced
	syncedOnce sync.Once

	minFleetSize int // InstanceCount of the configured policy

	mu      sync.Mutex
	engines map[string]*engine
	warmups map[string]serviceWarmup // of the latest SetDocuments, by service
	fleet   []string                 // of the latest SetFleet, sorted
	// evacuatedZones are those of the latest SetEvacuatedZones, sorted.
	evacuatedZones []string
	hasTargetList  bool // SetTargets was called
}

// New returns a gateway without rules and targets. It refuses every request until SetDocuments is called.
func New(cfg Config, m *Metrics, log logr.Logger) *Gateway {
	if cfg.Dialect == nil {
		cfg.Dialect = wire.Native{}
	}
	cfg.Target.Dialect = cfg.Dialect
	if cfg.Limits == (httpserver.Limits{}) {
		cfg.Limits = httpserver.DefaultLimits
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	ck := newClock()
	g := &Gateway{
		cfg: cfg, clock: ck, pauses: &pauseDetector{clock: ck}, clients: newClients(cfg.Target), metrics: m, log: log,
		minFleetSize: cfg.Policy.InstanceCount, engines: make(map[string]*engine), stop: newStopState(), synced: make(chan struct{}),
	}
	g.relays = newRelays(ck, cfg)
	g.bodyMemory = newBodyMemory(ck, cfg, m)
	g.servers.limits = cfg.Limits
	g.quarantine = newQuarantine(ck, m, log, g.refuseQuarantined)
	if !cfg.HoldUntilSynced {
		g.MarkSynced()
	}
	g.ruleTable.Store(rules.NewTable(nil))
	return g
}

// SetDocuments replaces the rules for requests that arrive from now on, and sets the probe paths and warm-ups of their
// services.
func (g *Gateway) SetDocuments(docs []*rules.Document) {
	g.splits.setRules(docs)
	g.ruleTable.Store(rules.NewTable(docs))
	g.setWarmups(docs)
	g.servers.setLimits(limitsOf(docs, g.cfg.Limits))
	for _, d := range docs {
		for _, s := range d.Services {
			if s.ProbePath != "" {
				g.engine(s.Name).probePath.Store(s.ProbePath)
			}
		}
	}
}

// SetTargets replaces the targets of every service. It ignores the load balancer's own instances in the list.
func (g *Gateway) SetTargets(list discovery.InstanceList) {
	byService := make(map[string][]core.Target)
	endpoints := make(map[core.TargetID]endpoint)
	for _, i := range list.Instances {
		if i.Service == discovery.LoadBalancerService {
			continue
		}
		t := core.Target{
			ID: core.TargetID(i.Identity()), Zone: core.Zone(i.Zone), Start: i.Start,
			Leaving: i.State == discovery.StateLeaving, Warmup: i.Warmup, Revision: i.Revision,
		}
		byService[i.Service] = append(byService[i.Service], t)
		endpoints[t.ID] = endpoint{address: i.Address, identity: i.ID}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clients.setEndpoints(endpoints)
	for name := range byService {
		g.engineLocked(name)
	}
	for name, e := range g.engines {
		e.dispatch(core.TargetsChanged{Targets: byService[name]})
	}
	if !g.hasTargetList {
		g.hasTargetList = true
		g.logEvacuations("availability zone is evacuated", g.evacuatedZones)
	}
}

// SetFleetSize sets the number of instances that share the targets. A number below the InstanceCount of the policy that
// was passed to New is raised to it.
func (g *Gateway) SetFleetSize(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n = max(n, g.minFleetSize)
	if n == g.cfg.Policy.InstanceCount {
		return
	}
	g.cfg.Policy.InstanceCount = n
	for name, e := range g.engines {
		e.dispatch(core.PolicyChanged{Policy: g.policyLocked(name)})
	}
}

// SetFleet sets the IDs of the instances that share the targets, this one included. They compare with the InstanceID of
// the policy that was passed to New.
func (g *Gateway) SetFleet(instances []string) {
	instances = slices.Sorted(slices.Values(instances))
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(instances, g.fleet) {
		return
	}
	g.fleet = instances
	for _, e := range g.engines {
		e.dispatch(core.FleetChanged{Instances: instances})
	}
}

// MarkSynced ends the wait of Config.HoldUntilSynced. Calls after the first have no effect.
func (g *Gateway) MarkSynced() { g.syncedOnce.Do(func() { close(g.synced) }) }

// engine returns the engine of a service and creates it if necessary.
func (g *Gateway) engine(name string) *engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engineLocked(name)
}

func (g *Gateway) engineLocked(name string) *engine {
	e := g.engines[name]
	if e == nil {
		e = g.newEngine(name)
		e.dispatch(core.FleetChanged{Instances: g.fleet})
		e.dispatch(evacuationChanged(g.evacuatedZones))
		if g.stop.requested() {
			e.stopRequested()
		}
		g.engines[name] = e
	}
	return e
}

// Active returns the number of requests from callers in progress.
func (g *Gateway) Active() int { return int(g.activeRequests.Load()) }

// CountAborted counts requests that were aborted because the graceful stop reached its time limit.
func (g *Gateway) CountAborted(n int) { g.metrics.aborted.Add(float64(n)) }

// broadcast dispatches an event to the engine of every service.
func (g *Gateway) broadcast(ev core.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.dispatch(ev)
	}
}
