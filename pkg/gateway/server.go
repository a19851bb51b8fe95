package gateway

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

// Server is an HTTP server whose Shutdown answers every request that has reached the machine. http.Server.Shutdown
// drops requests that it reads after its call, and resets connections that wait to be accepted.
type Server struct {
	http.Server
	log      logr.Logger
	listener net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*callerConn]struct{} // open connections
}

func newServer(handler http.Handler, limits HeaderLimits, log logr.Logger) *Server {
	s := &Server{log: log, conns: make(map[*callerConn]struct{})}
	s.Handler, s.IdleTimeout, s.DisableGeneralOptionsHandler = skipEnded(handler), callerIdleTimeout, true
	s.ConnState = setConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	limits.Apply(&s.Server)
	return s
}

// Serve accepts connections from l until Shutdown or Close. It always returns an error, http.ErrServerClosed after
// these.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	err := s.Server.Serve(&callerListener{Listener: l, server: s})
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
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		s.drainListener(ctx, listener)
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
	log := s.log.V(1).WithValues("listener", listener.Addr().String())
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
	var unused []*callerConn
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

func (s *Server) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// callerListener wraps the connections that it accepts.
type callerListener struct {
	net.Listener
	server *Server
}

func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: c, server: l.server}
	if socket, ok := c.(syscall.Conn); ok {
		conn.raw, _ = socket.SyscallConn()
	}
	l.server.add(conn)
	return conn, nil
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	server *Server
	raw    syscall.RawConn // nil if the connection is no socket

	mu    sync.Mutex
	isNew bool // no request has been read yet
	// idle is set between requests. http.Server counts a request only once it has read the whole head.
	idle     bool
	received bool // bytes were read since idle was set
	ended    bool // a stop closes the connection; what is read from now on is dropped
}

func setConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.isNew = state == http.StateNew
	conn.idle = state == http.StateNew || state == http.StateIdle
	if conn.idle {
		conn.received = false
	}
}

// skipEnded drops a request that http.Server had read before its connection was ended. See endIfUnused.
func skipEnded(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok && c.isEnded() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}

func (c *callerConn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// endIfUnused ends the connection, so that nothing more is read from it, if no request is in progress and none has begun
// to arrive. It ends a connection without a first request only if endNew is set. It reports whether it has ended it.
func (c *callerConn) endIfUnused(endNew bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.received || c.isNew && !endNew || c.raw != nil && sockets.Peek(c.raw) == sockets.Readable {
		return false
	}
	c.ended = true
	return true
}

// Read implements net.Conn. It drops what arrives while a stop closes the connection: a request that is served without a
// connection would run on a target, and its caller would not learn of it.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, net.ErrClosed
	}
	c.received = true
	return n, err
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.server.remove(c)
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side. http.Server uses it after an error response, so that the caller can read the
// response before unread bytes reset the connection.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// callerConnKey is the context key of the callerConn of a request.
type callerConnKey struct{}

// resetConnection makes the kernel reset the connection of a request when it is closed, instead of ending it cleanly.
func resetConnection(ctx context.Context) {
	c, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
