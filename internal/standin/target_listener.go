package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// listener tracks its open connections and can silence them while new ones work, like a network path that fails for
// single flows only.
type listener struct {
	net.Listener
	discardedReads atomic.Int64 // reads from silent connections

	mu        sync.Mutex
	openConns map[*trackedConn]struct{}
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, openConns: make(map[*trackedConn]struct{})}
}

// Accept returns a connection that silenceOpenConns can silence.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openConns[c] = struct{}{}
	return c, nil
}

// silenceOpenConns silences all open connections except the one that the control request arrived on, which still has to
// carry the response.
func (l *listener) silenceOpenConns(except net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.openConns {
		if net.Conn(c) != except {
			c.silent.Store(true)
		}
	}
}

// connContextKey is the context key of the connection that a request arrived on.
type connContextKey struct{}

func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

func connFromContext(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	return c
}

// trackedConn is an open connection of a listener. Once silent is set, it neither delivers nor sends data, but stays
// open.
type trackedConn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
}

// Read discards the data that arrives on a silent connection until the peer closes it.
func (c *trackedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || err != nil {
			return n, err
		}
		c.listener.discardedReads.Add(1)
	}
}

// Write reports success without sending anything on a silent connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the listener.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.openConns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
