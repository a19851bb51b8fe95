// Package gateway is the caller side of an entry instance: it turns HTTP requests into events for the reducer and
// performs the reducer's effects.
//
// It decides nothing about targets, retries or refusals; those decisions are made in package core.
package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Config configures the caller side.
type Config struct {
	// Policy applies to each service.
	Policy core.Policy
	// Target configures the connections to targets.
	Target target.Config
	// ProbePath is the path of probes on targets; probes are off while Policy.ProbeShare is 0.
	ProbePath string
	// Dialect encodes the headers exchanged with callers and targets; nil means wire.Native.
	Dialect wire.Dialect
	// WriteTimeout bounds each write to a caller; zero means DefaultWriteStall.
	WriteTimeout time.Duration
	// HeaderLimits bounds the heads of requests; zero means DefaultHeadLimits.
	HeaderLimits HeaderLimits
}

// HeaderLimits bounds the heads of requests to a server.
type HeaderLimits struct {
	// Timeout is the time for a caller to send a head.
	Timeout time.Duration
	// MaxBytes is the size of a head; a longer one is answered with status 431.
	MaxBytes int
}

// DefaultHeaderLimits is long enough for a slow caller on a congested network, and large enough for the cookies and tokens
// that common gateways let through.
var DefaultHeaderLimits = HeaderLimits{Timeout: 10 * time.Second, MaxBytes: 64 << 10}

// Apply sets the limits of a server.
func (l HeaderLimits) Apply(s *http.Server) {
	s.ReadHeaderTimeout, s.MaxHeaderBytes = l.Timeout, l.MaxBytes
}

// DefaultWriteTimeout is long enough for a congested network and short enough to free the slot of a target whose answer
// nobody reads.
const DefaultWriteTimeout = 10 * time.Second

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	cfg            Config
	clock          clock
	pauses         *pauseDetector
	clients        *clients
	metrics        *Metrics
	log            logr.Logger
	ruleTable      atomic.Pointer[rules.Table]
	draining       atomic.Bool
	activeRequests atomic.Int64 // requests of callers

	minFleetSize int // entry instances by the settings

	mu      sync.Mutex
	engines map[string]*engine
}

// New returns a gateway without rules and targets.
func New(cfg Config, m *Metrics, log logr.Logger) *Gateway {
	if cfg.Dialect == nil {
		cfg.Dialect = wire.Native{}
	}
	cfg.Target.Dialect = cfg.Dialect
	if cfg.HeaderLimits == (HeaderLimits{}) {
		cfg.HeaderLimits = DefaultHeaderLimits
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	ck := newClock()
	g := &Gateway{
		cfg: cfg, clock: ck, pauses: &pauseDetector{clock: ck}, clients: newClients(cfg.Target), metrics: m, log: log,
		minFleetSize: cfg.Policy.InstanceCount, engines: make(map[string]*engine),
	}
	g.ruleTable.Store(rules.NewTable(nil))
	return g
}

// SetDocuments puts new rules in force for requests that arrive from now on.
func (g *Gateway) SetDocuments(docs []*rules.Document) {
	g.ruleTable.Store(rules.NewTable(docs))
	for _, d := range docs {
		for _, s := range d.Services {
			if s.ProbePath != "" {
				g.engine(s.Name).probePath.Store(s.ProbePath)
			}
		}
	}
}

// SetTargets replaces the targets of each service.
func (g *Gateway) SetTargets(list discovery.InstanceList) {
	byService := make(map[string][]core.Target)
	endpoints := make(map[core.TargetID]endpoint)
	for _, i := range list.Instances {
		if i.Service == discovery.LoadBalancerService {
			continue
		}
		t := core.Target{
			ID: core.TargetID(i.Identity()), Zone: core.Zone(i.Zone), Start: i.Start,
			Leaving: i.State == discovery.StateLeaving, Warmup: i.Warmup,
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
}

// SetFleetSize tells how many entry instances share the targets; it is never taken as smaller than configured.
func (g *Gateway) SetFleetSize(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n = max(n, g.minFleetSize)
	if n == g.cfg.Policy.InstanceCount {
		return
	}
	g.cfg.Policy.InstanceCount = n
	for _, e := range g.engines {
		e.dispatch(core.PolicyChanged{Policy: g.cfg.Policy})
	}
}

func (g *Gateway) engine(name string) *engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engineLocked(name)
}

func (g *Gateway) engineLocked(name string) *engine {
	e := g.engines[name]
	if e == nil {
		e = newEngine(name, g.cfg, g.pauses, g.clients, g.metrics, g.log)
		g.engines[name] = e
	}
	return e
}

// Drain begins the graceful stop: each answer from now on closes its connection, and the reducers are told. Requests
// are still served.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.broadcast(core.StopRequested{})
}

// Active returns the number of requests of callers that are being served.
func (g *Gateway) Active() int { return int(g.activeRequests.Load()) }

// CountAborted counts the requests that are cut because the graceful stop reached its limit.
func (g *Gateway) CountAborted(n int) { g.metrics.aborted.Add(float64(n)) }

// broadcast sends an event to every service.
func (g *Gateway) broadcast(ev core.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.dispatch(ev)
	}
}
