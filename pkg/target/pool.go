package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// errClosed is returned for attempts on a closed pool.
var errClosed = eris.New("target client is closed")

// pool holds the connections to one target.
type pool struct {
	addr  string
	cfg   Config
	slots chan struct{} // one token per open connection

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
}

// conn is one HTTP/1.1 connection with counters on the underlying net.Conn.
type conn struct {
	http *http.ClientConn
	*countedConn
	idleSince time.Time
}

func (c *conn) close() { _ = c.http.Close() }

func newPool(addr string, cfg Config) *pool {
	return &pool{addr: addr, cfg: cfg, slots: make(chan struct{}, cfg.MaxConnections)}
}

// get returns an idle connection or dials a new one. With fresh set, idle connections that did not receive a byte
// within Config.FreshWithin are passed over.
func (p *pool) get(ctx context.Context, fresh bool) (*conn, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := p.takeIdle(fresh)
	if err != nil {
		p.release()
		return nil, err
	}
	if c != nil {
		return c, nil
	}
	c, err = p.dial(ctx)
	if err != nil {
		p.release()
	}
	return c, err
}

func (p *pool) takeIdle(fresh bool) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		age := time.Since(c.lastRead())
		stale := time.Since(c.idleSince) > p.cfg.IdleTimeout || (fresh && age > p.cfg.FreshWithin)
		if !stale && c.http.Err() == nil {
			return c, nil
		}
		c.close()
	}
	return nil, nil
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	var counted *countedConn
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			counted = newCountedConn(raw)
			return counted, nil
		},
	}
	cc, err := transport.NewClientConn(ctx, "http", p.addr)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", p.addr)
	}
	return &conn{http: cc, countedConn: counted}, nil
}

// put returns a connection after a whole answer.
func (p *pool) put(c *conn) {
	defer p.release()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.http.Err() != nil {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// release frees the slot of a connection that is closed or back in the pool.
func (p *pool) release() { <-p.slots }

// distrust closes the idle connections that received nothing since the given time.
func (p *pool) distrust(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.lastRead().After(since) {
			kept = append(kept, c)
			continue
		}
		c.close()
	}
	p.idle = kept
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
}

// countedConn counts written bytes and records when a byte was last received.
type countedConn struct {
	net.Conn
	written atomic.Int64
	read    atomic.Int64 // time of the last byte received, Unix nanoseconds
}

func newCountedConn(raw net.Conn) *countedConn {
	c := &countedConn{Conn: raw}
	c.read.Store(time.Now().UnixNano())
	return c
}

// Write counts before the write, so that bytes which may be on the wire are never missed.
func (c *countedConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Read records the time of the last byte received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *countedConn) lastRead() time.Time { return time.Unix(0, c.read.Load()) }
