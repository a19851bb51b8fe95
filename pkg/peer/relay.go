package peer

import (
	"net"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
)

// Other instances relay requests over HTTP, at the same address. The first byte tells the two protocols apart: it is the
// high byte of a frame's length, which is zero, or the first letter of an HTTP method.

// relayListener is the listener of the connections on which other instances relay requests.
type relayListener struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func newRelayListener(address net.Addr) *relayListener {
	return &relayListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *relayListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *relayListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *relayListener) Addr() net.Addr { return l.address }

// pass hands a connection to Accept, or closes it if the listener is closed.
func (l *relayListener) pass(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// RelayListener returns the listener of the connections on which other instances relay requests. Until it is called,
// such connections are closed. It must be called before Run.
func (n *Node) RelayListener(address net.Addr) net.Listener {
	n.relays = newRelayListener(address)
	return n.relays
}

// isRelay waits for the first byte of a connection and reports whether it begins an HTTP request.
func (n *Node) isRelay(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(n.cfg.IdleTimeout)); err != nil {
		return false
	}
	first, err := sockets.PeekByte(conn)
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	return first >= 'A' && first <= 'Z'
}
