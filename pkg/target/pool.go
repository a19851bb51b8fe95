package target

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
)

// Errors of the pool. Each ends an attempt before it is sent.
var (
	errClientClosed = eris.New("target client is closed")
	errNoConnection = eris.New("no connection became free within the wait limit")
)

// maxResponseHeadBytes bounds the status line and headers of a response, including preceding 1xx responses.
const maxResponseHeadBytes = 1 << 20

// pool holds the connections to one target. Each connection is leased to one attempt, idle or closed.
type pool struct {
	addr   string
	cfg    Config
	leases chan struct{} // one token per leased connection

	mu     sync.Mutex
	idle   []*conn // most recently used last
	open   int     // leased, idle and being dialed
	closed bool
}

func newPool(addr string, cfg Config) *pool {
	return &pool{addr: addr, cfg: cfg, leases: make(chan struct{}, cfg.MaxConnections)}
}

// maxRefusedIDs bounds conn.refusedIDs. A connection that reaches it is closed.
const maxRefusedIDs = 64

// requestKey is the hash of a request ID, which itself can be as long as a request head.
type requestKey uint64

var requestKeySeed = maphash.MakeSeed()

func newRequestKey(id string) requestKey { return requestKey(maphash.String(requestKeySeed, id)) }

// lease returns an idle connection or dials a new one. If fresh is set, it reuses only an idle connection that received
// a byte within Config.FreshWithin. It reuses none on which the target has refused the request with the given ID.
func (p *pool) lease(ctx context.Context, fresh bool, requestID string) (*conn, error) {
	if err := p.acquire(ctx); err != nil {
		return nil, err
	}
	c, evicted, err := p.takeIdleOrReserve(fresh, requestID)
	if evicted != nil {
		_ = evicted.http.Close()
	}
	if err != nil {
		p.release()
		return nil, err
	}
	if c != nil {
		return c, nil
	}
	return p.dial(ctx)
}

// leaseNew dials a new connection, unless the limit of connections is reached.
func (p *pool) leaseNew(ctx context.Context) (*conn, error) {
	select {
	case p.leases <- struct{}{}:
	default:
		return nil, errNoConnection
	}
	if err := p.reserve(); err != nil {
		p.release()
		return nil, err
	}
	return p.dial(ctx)
}

// reserve reserves a new connection.
func (p *pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return errClientClosed
	case p.open >= p.cfg.MaxConnections:
		return errNoConnection
	}
	p.open++
	return nil
}

// acquire takes a lease token. If none is free, it waits for one up to Config.WaitLimit.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.leases <- struct{}{}:
		return nil
	default:
	}
	ctx, cancel := context.WithTimeoutCause(ctx, p.cfg.WaitLimit, errNoConnection)
	defer cancel()
	select {
	case p.leases <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (p *pool) release() { <-p.leases }

// takeIdleOrReserve leases the most recently used idle connection on which the request was not refused. If there is none or
// it is not fresh enough, it reserves a new connection and returns nil. At the limit of open connections it then also
// removes the least recently used idle one, which the caller must close.
func (p *pool) takeIdleOrReserve(fresh bool, requestID string) (leased, evicted *conn, err error) {
	key := newRequestKey(requestID)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, errClientClosed
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if slices.Contains(c.refusedIDs, key) {
			continue
		}
		if fresh && time.Since(c.lastReadTime()) > p.cfg.FreshWithin {
			break
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		c.idleTimer.Stop()
		c.leased, c.responseComplete, c.reused = true, false, true
		return c, nil, nil
	}
	if len(p.idle) > 0 && p.open >= p.cfg.MaxConnections {
		evicted = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.open++
	return nil, evicted, nil
}

// dial opens a reserved connection, or cancels the reservation if it fails.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	var c *conn
	transport := &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: httpclient.TransportHeadBytes(maxResponseHeadBytes),
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialer := sockets.Dialer()
			if p.cfg.LocalIP.IsValid() {
				dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.cfg.LocalIP, 0))
			}
			nc, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			if c, err = newConn(p, nc); err != nil {
				_ = nc.Close()
			}
			return c, err
		},
	}
	cc, err := transport.NewClientConn(ctx, "http", p.addr)
	if err == nil {
		c.http = cc
		return c, nil
	}
	if c != nil {
		_ = c.Close()
	} else {
		p.cancelReservation()
	}
	return nil, eris.Wrapf(err, "connect to %s", p.addr)
}

// recordRefusal records that the target has declared on a connection that it did not run a request. It returns false if the
// connection must not be used again. Probes have no ID; a copy of a response to one is only taken for that to another.
func (p *pool) recordRefusal(c *conn, requestID string) bool {
	if requestID == "" {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.refusedIDs = append(c.refusedIDs, newRequestKey(requestID))
	return len(c.refusedIDs) < maxRefusedIDs
}

func (p *pool) cancelReservation() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	p.release()
}

// put ends the attempt on a connection. The connection becomes idle only once the HTTP client's next Read is waiting:
// until then the client may hold unsolicited bytes after the last response, which the next attempt would read as its
// response.
func (p *pool) put(c *conn) {
	c.endAttempt()
	p.mu.Lock()
	c.responseComplete = true
	mustClose := p.makeIdle(c)
	p.mu.Unlock()
	if mustClose {
		_ = c.http.Close()
	}
}

// setReading records whether a Read is waiting on the connection.
func (p *pool) setReading(c *conn, reading bool) {
	p.mu.Lock()
	c.reading = reading
	mustClose := reading && p.makeIdle(c)
	p.mu.Unlock()
	if mustClose {
		_ = c.Conn.Close() // the waiting Read fails, and the HTTP client then closes the connection
	}
}

// makeIdle makes a leased connection idle if it is ready for another attempt. It reports whether the connection must be
// closed instead, because the pool is closed.
func (p *pool) makeIdle(c *conn) (mustClose bool) {
	if !c.leased || !c.responseComplete || !c.reading || c.closed {
		return false
	}
	if p.closed {
		return true
	}
	c.leased = false
	p.release()
	p.idle = append(p.idle, c)
	if c.idleTimer == nil {
		c.idleTimer = time.AfterFunc(p.cfg.IdleTimeout, func() { p.closeIfIdle(c) })
	} else {
		c.idleTimer.Reset(p.cfg.IdleTimeout)
	}
	return false
}

// closeIfIdle closes a connection whose idle timer fired, unless an attempt has leased it in the meantime.
func (p *pool) closeIfIdle(c *conn) {
	p.mu.Lock()
	idle := p.removeIdle(c)
	p.mu.Unlock()
	if idle {
		_ = c.http.Close()
	}
}

// removeIdle removes a connection from the idle list and reports whether it was there. The caller holds the lock.
func (p *pool) removeIdle(c *conn) bool {
	for i, other := range p.idle {
		if other == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return true
		}
	}
	return false
}

// remove removes a closed connection from the pool. Calls after the first have no effect.
func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	p.removeIdle(c)
	if c.leased {
		c.leased = false
		p.release()
	}
}

// closeIdleSilentSince closes the idle connections that have received nothing since the given time, because they may be
// unresponsive.
func (p *pool) closeIdleSilentSince(since time.Time) {
	p.mu.Lock()
	kept := p.idle[:0:0]
	var silent []*conn
	for _, c := range p.idle {
		if c.lastReadTime().After(since) {
			kept = append(kept, c)
		} else {
			silent = append(silent, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range silent {
		_ = c.http.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.http.Close()
	}
}
