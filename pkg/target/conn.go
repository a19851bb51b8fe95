package target

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
)

// Errors of a connection, returned to the HTTP client that reads and writes on it.
var (
	errExpired     = eris.New("deadline passed before the first byte was written")
	errOutdated    = eris.New("target was chosen on an outdated view")
	errDead        = eris.New("connection was closed by the target before the first byte was written")
	errSealed      = eris.New("attempt has ended")
	errUnsolicited = eris.New("target sent bytes without a request")
)

// conn is one HTTP/1.1 connection. It counts the bytes written for the current attempt, which is the only evidence for
// core.OutcomeNotSent. It carries one attempt at a time.
type conn struct {
	net.Conn
	http *http.ClientConn
	pool *pool

	sending  atomic.Pointer[sending] // the attempt that may write; nil while idle
	lastByte atomic.Int64            // time of the last byte received, in nanoseconds since processStart
	raw      syscall.RawConn
	receive  func(fd uintptr) bool // tryReceive, bound once
	received received

	mu    sync.Mutex // locked before pool.mu
	stray bool       // bytes arrived that no request asked for; guarded by mu

	// The fields below are guarded by pool.mu.

	leased  bool // holds a token of pool.slots
	reading bool // a Read is waiting, so the HTTP client holds no unread bytes
	ended   bool // the last attempt ended with a whole answer
	closed  bool
	reused  bool
	timer   *time.Timer // closes the connection after Config.IdleTimeout
}

// sending is the write side of one attempt.
type sending struct {
	deadline time.Time
	current  func() bool // Attempt.Current; may be nil
	began    time.Time
	written  atomic.Int64
	sealed   atomic.Bool
	refused  atomic.Pointer[error] // why the first write was not made
}

// seal prevents further writes and reports whether a byte may have been written. Write counts before it looks at
// sealed, so either the write is counted here or it is not made.
func (s *sending) seal() (written bool) {
	s.sealed.Store(true)
	return s.written.Load() > 0
}

func (c *conn) begin(deadline time.Time, current func() bool) *sending {
	s := &sending{deadline: deadline, current: current, began: time.Now()}
	c.sending.Store(s)
	return s
}

// finish ends the attempt: bytes received from now on belong to no request.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending.Store(nil)
}

// Write counts and writes bytes of the current attempt. Before the first byte it checks the deadline on both clocks,
// that the target was not chosen on an outdated view, and that it has not closed the connection.
func (c *conn) Write(b []byte) (int, error) {
	s := c.sending.Load()
	if s == nil {
		return 0, errSealed
	}
	if err := c.count(s, len(b)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	s.written.Add(int64(n - len(b)))
	return n, err
}

// count accounts for bytes that are about to be written, unless they must not be.
func (c *conn) count(s *sending, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.written.Load() == 0 {
		if err := c.checkFirst(s); err != nil {
			s.refused.Store(&err)
			return err
		}
	}
	s.written.Add(int64(n))
	if s.sealed.Load() {
		s.written.Add(-int64(n))
		return errSealed
	}
	return nil
}

func (c *conn) checkFirst(s *sending) error {
	if expired(s.deadline) {
		return errExpired
	}
	if s.current != nil && !s.current() {
		return errOutdated
	}
	if c.stray || sockets.Peek(c.raw) != sockets.Quiet {
		return errDead
	}
	return nil
}

// Read records the time of the last byte received. Bytes that arrive before a request was written cannot be the answer
// to it: they break the connection, so that no attempt takes them for its answer. A second answer that arrives after the
// next request was written cannot be told from the answer to it; HTTP/1.1 has no means for that.
func (c *conn) Read(b []byte) (int, error) {
	c.pool.setReading(c, true)
	c.received = received{into: b}
	if err := c.raw.Read(c.receive); err != nil {
		return 0, err
	}
	if c.received.err != nil {
		return 0, c.received.err
	}
	return c.received.n, nil
}

// received is the result of one receive. Reads on a connection do not overlap.
type received struct {
	into []byte
	n    int
	err  error
}

// tryReceive reads without blocking and reports whether the read is done. The lock makes the receipt of bytes and the
// check of what was written one step: between the two, an attempt could be written and take the bytes for its answer.
func (c *conn) tryReceive(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := unix.Read(int(fd), c.received.into)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.received.err = os.NewSyscallError("read", err)
		return true
	case n == 0:
		c.received.err = io.EOF
		return true
	}
	c.received.n = n
	c.noteByte()
	if s := c.sending.Load(); s == nil || s.written.Load() == 0 {
		c.stray = true
		c.received.err = errUnsolicited
		return true
	}
	c.pool.setReading(c, false)
	return true
}

// Close closes the connection and frees its place in the pool. The HTTP client calls it for every broken connection.
func (c *conn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}

// processStart is the origin of times that are kept as numbers. It carries the monotonic clock, which a step of the time of
// day does not move.
var processStart = time.Now()

// noteByte notes that a byte was received, or that the connection is new.
func (c *conn) noteByte() { c.lastByte.Store(int64(time.Since(processStart))) }

// lastRead returns the time of the last byte received.
func (c *conn) lastRead() time.Time { return processStart.Add(time.Duration(c.lastByte.Load())) }

// expired compares both clocks: a suspended machine stops the monotonic clock, a stepped clock misleads the wall clock.
func expired(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
