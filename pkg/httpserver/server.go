// Package httpserver serves HTTP to clients that may send too much, too slowly or nothing at all, and stops without
// dropping requests.
//
// A Server owns what its clients make the process hold: it bounds the open connections, the memory of request heads over
// all connections together, and the time that each connection may wait for its client. What does not fit is refused or
// closed at once.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

const (
	// handshakeTime is how long a stopping server keeps accepting after it has begun to refuse connections: several
	// round trips to a caller within a region.
	handshakeTime = 100 * time.Millisecond
	// firstRequestTime is how long a stopping server waits for the first request on a new connection.
	firstRequestTime = time.Second
	// acceptPollInterval is the interval at which a stopping server looks whether connections still wait to be accepted.
	acceptPollInterval = time.Millisecond
	// stopPollInterval is the interval at which a stopping server looks for connections that it can close.
	stopPollInterval = 5 * time.Millisecond
)

// Server is an HTTP server with limits on its clients, whose Shutdown answers every request that has reached the machine.
// http.Server.Shutdown drops requests that it reads after its call, and resets connections that wait to be accepted.
type Server struct {
	http.Server
	cfg      Config
	log      logr.Logger
	limits   atomic.Pointer[Limits]
	listener net.Listener
	served   chan struct{} // closed once no connection of listener is being accepted any more
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*Conn]struct{} // until http.Server is done with them
	evicted  int                // connections in conns that have been replaced by new ones
	// limitReached is when the log last said that new connections replace others.
	limitReached time.Time
}

// New returns a server that passes requests to handler.
func New(handler http.Handler, cfg Config) *Server {
	if cfg.Limits == (Limits{}) {
		cfg.Limits = DefaultLimits
	}
	s := &Server{cfg: cfg, log: cfg.Log.WithValues("listener", cfg.Listener), conns: make(map[*Conn]struct{})}
	s.limits.Store(&cfg.Limits)
	s.Handler, s.DisableGeneralOptionsHandler = s.checkRequest(handler), true
	s.MaxHeaderBytes = unlimitedHeaderBytes
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.setState(state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return s
}

// unlimitedHeaderBytes keeps http.Server from applying a limit of its own, which could not change while it runs.
const unlimitedHeaderBytes = 1 << 30

// SetLimits replaces the limits, also for connections that wait for their clients.
func (s *Server) SetLimits(l Limits) {
	if s.currentLimits() == l {
		return
	}
	s.limits.Store(&l)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.limitsChanged()
	}
}

func (s *Server) currentLimits() Limits { return *s.limits.Load() }

// Serve accepts connections from l until Shutdown or Close. It always returns an error, http.ErrServerClosed after
// these.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	defer close(served)
	s.mu.Lock()
	s.listener, s.served = l, served
	s.mu.Unlock()
	err := s.Server.Serve(&limitedListener{Listener: l, server: s})
	if s.stopping.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Shutdown refuses new connections, accepts those whose handshake has begun, and waits until all requests have been
// answered. It closes connections without a request. If the context ends first, it returns its error and leaves the
// remaining connections open. The handler has to set "Connection: close" on its responses, or callers that keep sending
// requests delay the end.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	listener, served := s.listener, s.served
	s.mu.Unlock()
	if listener != nil {
		s.drainListener(ctx, listener)
		select {
		case <-served:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for began := time.Now(); !s.closeUnused(time.Since(began) > firstRequestTime); {
		select {
		case <-time.After(stopPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	_ = s.Server.Close() // nothing is open but the listener that was closed before
	return nil
}

// drainListener closes the listener in a moment at which no connection waits to be accepted. Without the filter, connections
// keep arriving until then.
func (s *Server) drainListener(ctx context.Context, listener net.Listener) {
	defer listener.Close()
	log := s.log.V(1).WithValues("address", listener.Addr().String())
	socket, isSocket := listener.(syscall.Conn)
	if isSocket {
		if err := sockets.RefuseConnections(socket); err != nil {
			log.Info("cannot refuse connections before the listener is closed", "error", err.Error())
		}
	}
	for wait := handshakeTime; ; wait = acceptPollInterval {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if !isSocket {
			return
		}
		waiting, err := sockets.WaitingConnections(socket)
		if err != nil {
			log.Info("cannot see whether connections wait to be accepted, closing the listener", "error", err.Error())
		}
		if err != nil || waiting == 0 {
			return
		}
	}
}

// closeUnused closes the connections on which no request is in progress or has begun to arrive, and reports whether no
// connection is left. It closes connections without a first request only if closeNew is set.
func (s *Server) closeUnused(closeNew bool) bool {
	s.mu.Lock()
	var unused []*Conn
	for c := range s.conns {
		if c.endIfUnused(closeNew) {
			unused = append(unused, c)
		}
	}
	s.mu.Unlock()
	for _, c := range unused {
		_ = c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) == 0
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	err := s.Server.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Conn.Close()
	}
	return err
}

// checkRequest drops a request that http.Server had read before its connection was ended; see endIfUnused. It refuses one
// whose head http.Server had received together with an earlier request, if there is no memory for it.
func (s *Server) checkRequest(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c != nil && c.isEnded() {
			panic(http.ErrAbortHandler)
		}
		var retryAfter time.Duration
		if c != nil {
			retryAfter = c.reserveHead(memorybudget.HeaderParsedBytes(r.Header))
		}
		if retryAfter == 0 {
			handler.ServeHTTP(w, r)
			return
		}
		s.count(ReasonHeadMemory)
		if s.cfg.SetRefusalHeaders != nil {
			s.cfg.SetRefusalHeaders(w.Header(), ReasonHeadMemory, retryAfter)
		}
		w.Header().Set("Connection", "close")
		w.WriteHeader(refusalStatus[ReasonHeadMemory])
	})
}
