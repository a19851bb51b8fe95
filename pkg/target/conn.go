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
	errDeadlinePassed = eris.New("deadline passed before the first byte was written")
	errStaleView      = eris.New("target was chosen on an outdated view")
	errConnUnusable   = eris.New("connection was closed by the target before the first byte was written")
	errAttemptEnded   = eris.New("attempt has ended")
	errUnsolicited    = eris.New("target sent bytes without a request")
)

// conn is one HTTP/1.1 connection. It counts the bytes written for the current attempt, which is the only evidence for
// core.OutcomeNotSent. It carries one attempt at a time.
type conn struct {
	net.Conn
	http *http.ClientConn
	pool *pool

	write         atomic.Pointer[writeState] // the attempt that may write; nil while idle
	lastReadNanos atomic.Int64               // time of the last byte received, in nanoseconds since processStart
	raw           syscall.RawConn
	tryReadFunc   func(fd uintptr) bool // tryReceive, bound once
	result        readResult

	mu          sync.Mutex // locked before pool.mu
	unsolicited bool       // bytes arrived that no request asked for; guarded by mu

	// The fields below are guarded by pool.mu.

	leased           bool // holds a token of pool.slots
	reading          bool // a Read is waiting, so the HTTP client holds no unread bytes
	responseComplete bool // the last attempt ended with a whole answer
	closed           bool
	reused           bool
	idleTimer        *time.Timer // closes the connection after Config.IdleTimeout
}

// writeState is the write side of one attempt.
type writeState struct {
	deadline      time.Time
	isCurrent     func() bool // Attempt.Current; may be nil
	start         time.Time
	bytesWritten  atomic.Int64
	stopped       atomic.Bool
	firstWriteErr atomic.Pointer[error] // why the first write was not made
}

// stop prevents further writes and reports whether a byte may have been written. Write counts before it looks at
// sealed, so either the write is counted here or it is not made.
func (s *writeState) stop() (written bool) {
	s.stopped.Store(true)
	return s.bytesWritten.Load() > 0
}

func (c *conn) beginAttempt(deadline time.Time, isCurrent func() bool) *writeState {
	s := &writeState{deadline: deadline, isCurrent: isCurrent, start: time.Now()}
	c.write.Store(s)
	return s
}

// endAttempt ends the attempt: bytes received from now on belong to no request.
func (c *conn) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write.Store(nil)
}

// Write counts and writes bytes of the current attempt. Before the first byte it checks the deadline on both clocks,
// that the target was not chosen on an outdated view, and that it has not closed the connection.
func (c *conn) Write(b []byte) (int, error) {
	s := c.write.Load()
	if s == nil {
		return 0, errAttemptEnded
	}
	if err := c.countWrite(s, len(b)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	s.bytesWritten.Add(int64(n - len(b)))
	return n, err
}

// countWrite accounts for bytes that are about to be written, unless they must not be.
func (c *conn) countWrite(s *writeState, n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.bytesWritten.Load() == 0 {
		if err := c.checkFirstWrite(s); err != nil {
			s.firstWriteErr.Store(&err)
			return err
		}
	}
	s.bytesWritten.Add(int64(n))
	if s.stopped.Load() {
		s.bytesWritten.Add(-int64(n))
		return errAttemptEnded
	}
	return nil
}

func (c *conn) checkFirstWrite(s *writeState) error {
	if deadlinePassed(s.deadline) {
		return errDeadlinePassed
	}
	if s.isCurrent != nil && !s.isCurrent() {
		return errStaleView
	}
	if c.unsolicited || sockets.Peek(c.raw) != sockets.Quiet {
		return errConnUnusable
	}
	return nil
}

// Read records the time of the last byte received. Bytes that arrive before a request was written cannot be the answer
// to it: they break the connection, so that no attempt takes them for its answer. A second answer that arrives after the
// next request was written cannot be told from the answer to it; HTTP/1.1 has no means for that.
func (c *conn) Read(b []byte) (int, error) {
	c.pool.setReading(c, true)
	c.result = readResult{into: b}
	if err := c.raw.Read(c.tryReadFunc); err != nil {
		return 0, err
	}
	if c.result.err != nil {
		return 0, c.result.err
	}
	return c.result.n, nil
}

// readResult is the result of one receive. Reads on a connection do not overlap.
type readResult struct {
	into []byte
	n    int
	err  error
}

// tryRead reads without blocking and reports whether the read is done. The lock makes the receipt of bytes and the
// check of what was written one step: between the two, an attempt could be written and take the bytes for its answer.
func (c *conn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := unix.Read(int(fd), c.result.into)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.result.err = os.NewSyscallError("read", err)
		return true
	case n == 0:
		c.result.err = io.EOF
		return true
	}
	c.result.n = n
	c.recordRead()
	if s := c.write.Load(); s == nil || s.bytesWritten.Load() == 0 {
		c.unsolicited = true
		c.result.err = errUnsolicited
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

// recordRead notes that a byte was received, or that the connection is new.
func (c *conn) recordRead() { c.lastReadNanos.Store(int64(time.Since(processStart))) }

// lastReadTime returns the time of the last byte received.
func (c *conn) lastReadTime() time.Time {
	return processStart.Add(time.Duration(c.lastReadNanos.Load()))
}

// deadlinePassed compares both clocks: a suspended machine stops the monotonic clock, a stepped clock misleads the wall clock.
func deadlinePassed(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
