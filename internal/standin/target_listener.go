package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// listener can make its open connections unresponsive while new ones work, as a broken path on one flow does.
type listener struct {
	net.Listener
	discardedReads atomic.Int64 // reads from unresponsive connections

	mu        sync.Mutex
	openConns map[*silentConn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, openConns: make(map[*silentConn]struct{})}
}

// Accept returns a connection that silence can reach.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns[c] = struct{}{}
	return c, nil
}

// silenceOpenConns makes all open connections unresponsive but the one that asks for it, which needs its answer.
func (l *listener) silenceOpenConns(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		if net.Conn(c) != except {
			c.silent.Store(true)
		}
	}
}

// connContextKey is the context key of the connection that a request came on.
type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

func connFromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	return c
}

// silentConn is a connection that neither delivers nor sends anything once it is silent. It stays open.
type silentConn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

// Read discards what arrives on a silent connection until the other side closes it.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
		c.listener.discardedReads.Add(1)
	}
}

// Write pretends success on a silent connection.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *silentConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.openConns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
