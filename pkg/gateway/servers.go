package gateway

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Names of the listeners.
const (
	ListenerCallers = "callers"
	ListenerRelays  = "relays"
)

// relayHeaderBytes is more than the headers of a relay take.
const relayHeaderBytes = 1 << 10

// servers holds the servers for requests of callers, whose limits follow the documents. It is safe for concurrent use.
type servers struct {
	mu     sync.Mutex
	limits httpserver.Limits
	list   []limitedServer
}

// limitedServer is a server with what its limits differ in from those of callers.
type limitedServer struct {
	*httpserver.Server
	// extraHeadBytes is the size of the headers that other instances add to the heads of callers.
	extraHeadBytes int
	// idleTimeout replaces that of callers unless it is 0.
	idleTimeout time.Duration
}

func (s limitedServer) setLimits(l httpserver.Limits) {
	l.HeadBytes += s.extraHeadBytes
	l.IdleTimeout = cmp.Or(s.idleTimeout, l.IdleTimeout)
	s.SetLimits(l)
}

func (s *servers) add(server limitedServer) *httpserver.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	server.setLimits(s.limits)
	s.list = append(s.list, server)
	return server.Server
}

func (s *servers) setLimits(l httpserver.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	for _, server := range s.list {
		server.setLimits(l)
	}
}

// limitsOf returns the limits on callers that documents set. What none of them sets is that of defaults. Where several
// set a limit, the largest holds, since the rule of a request is not known before its head was read.
func limitsOf(docs []*rules.Document, defaults httpserver.Limits) httpserver.Limits {
	var l rules.CallerLimits
	for _, d := range docs {
		l.HeadBytes = max(l.HeadBytes, d.CallerLimits.HeadBytes)
		l.HeadTimeout = max(l.HeadTimeout, d.CallerLimits.HeadTimeout)
		l.IdleTimeout = max(l.IdleTimeout, d.CallerLimits.IdleTimeout)
	}
	if l.HeadBytes > 0 {
		defaults.HeadBytes = l.HeadBytes
	}
	if l.HeadTimeout > 0 {
		defaults.HeadTimeout = l.HeadTimeout
	}
	if l.IdleTimeout > 0 {
		defaults.IdleTimeout = l.IdleTimeout
	}
	return defaults
}

// NewServer returns a server for callers that limits slow and oversized requests.
func (g *Gateway) NewServer() *httpserver.Server {
	cfg := g.ServerConfig(ListenerCallers, g.cfg.CallerConnections)
	return g.servers.add(limitedServer{Server: httpserver.New(g.Handler(), cfg)})
}

// NewRelayServer returns a server for requests that other instances relay to this one.
func (g *Gateway) NewRelayServer() *httpserver.Server {
	cfg := g.ServerConfig(ListenerRelays, g.cfg.RelayConnections)
	return g.servers.add(limitedServer{
		Server: httpserver.New(http.HandlerFunc(g.serveRelayed), cfg), extraHeadBytes: relayHeaderBytes, idleTimeout: g.cfg.Limits.IdleTimeout,
	})
}

// ServerConfig returns the configuration of a server of this instance, whose heads share the memory for callers.
func (g *Gateway) ServerConfig(listener string, maxConnections int) httpserver.Config {
	return httpserver.Config{
		Listener: listener, Limits: g.cfg.Limits, MaxConnections: maxConnections, Memory: g.bodyMemory.budget, Now: g.clock.now,
		SetRefusalHeaders: g.setUnreadRefusalHeaders, Metrics: g.metrics.servers, Log: g.log,
	}
}

// setUnreadRefusalHeaders sets the headers of a refusal before the request was read, when its ID is not known.
func (g *Gateway) setUnreadRefusalHeaders(h http.Header, reason httpserver.Reason, retryAfter time.Duration) {
	g.cfg.Dialect.SetRefusalHeaders(h, wire.Refusal{Outcome: wire.OutcomeNotRun, Reason: string(reason), RetryAfter: retryAfter})
	for name, values := range h {
		if len(values) == 1 && values[0] == "" {
			h.Del(name)
		}
	}
}
