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

// Errors that a conn returns to the HTTP client that reads from it and writes to it.
var (
	errDeadlinePassed = eris.New("deadline passed before the first byte was written")
	errOutdated       = eris.New("the decision to send is out of date")
	errConnUnusable   = eris.New("target closed the connection or sent unsolicited bytes before the first byte was written")
	errAttemptEnded   = eris.New("write after the attempt has ended")
	errUnsolicited    = eris.New("target sent bytes without a request")
)

// conn is an HTTP/1.1 connection that carries one attempt at a time. It counts the bytes written for the attempt. Only
// a count of zero proves core.OutcomeNotSent.
type conn struct {
	net.Conn
	http *http.ClientConn
	pool *pool

	write         atomic.Pointer[writeState] // of the attempt in progress; nil while idle
	lastReadNanos atomic.Int64               // time since processStart of the last byte received
	raw           syscall.RawConn
	tryReadFunc   func(fd uintptr) bool // tryRead, bound once to avoid an allocation for each Read
	result        readResult

	mu          sync.Mutex // acquired before pool.mu
	unsolicited bool       // bytes arrived without a request; guarded by mu
	ended       bool       // the target closed or reset the connection; guarded by mu

	// The fields below are guarded by pool.mu.

	leased           bool // holds a token of pool.leases
	reading          bool // a Read is waiting, so the HTTP client has no buffered bytes
	responseComplete bool // the last attempt ended with a complete response
	closed           bool
	reused           bool        // leased again after an earlier attempt
	idleTimer        *time.Timer // closes the connection after Config.IdleTimeout
	// refusedIDs holds hashes of the IDs of the requests that the target has declared not to have run on this connection. A
	// faulty target may send such a response once more, so that none of these requests may be sent on the connection again.
	refusedIDs []requestKey
}

// writeState holds the checks before the first write of an attempt and counts its bytes.
type writeState struct {
	deadline      time.Time
	isCurrent     func() bool // Attempt.IsCurrent; may be nil
	attemptStart  time.Time
	bytesWritten  atomic.Int64
	stopped       atomic.Bool
	firstWriteErr atomic.Pointer[error] // set if a check prevented the first write
}

// stop prevents further writes and reports whether any byte may have been written. countWrite adds to bytesWritten
// before it checks stopped, so a concurrent write is either counted here or not made.
func (s *writeState) stop() (written bool) {
	s.stopped.Store(true)
	return s.bytesWritten.Load() > 0
}

func (c *conn) beginAttempt(deadline time.Time, isCurrent func() bool) *writeState {
	s := &writeState{deadline: deadline, isCurrent: isCurrent, attemptStart: time.Now()}
	c.write.Store(s)
	return s
}

// endAttempt ends the attempt in progress. Bytes received from now on are unsolicited.
func (c *conn) endAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write.Store(nil)
}

// Write writes bytes of the attempt in progress and counts them. Before the first byte it checks that the deadline has
// not passed on either clock, that the target was not selected from an outdated view, and that the target has neither
// closed the connection nor sent unsolicited bytes.
func (c *conn) Write(b []byte) (int, error) {
	s := c.write.Load()
	if s == nil {
		return 0, errAttemptEnded
	}
	if err := c.countWrite(s, len(b)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	s.bytesWritten.Add(int64(n - len(b))) // subtracts the bytes that were not written
	return n, err
}

// countWrite counts n bytes that are about to be written. An error means that they must not be written.
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
		return errOutdated
	}
	if c.unsolicited || sockets.Peek(c.raw) != sockets.Idle {
		return errConnUnusable
	}
	return nil
}

// Read records when bytes arrive. Bytes that arrive before a request is written cannot be its response, so Read returns
// an error for them, and the connection is not used again. An unsolicited response that arrives after the next request
// was written cannot be distinguished from the response to that request, because HTTP/1.1 has no request IDs.
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

// readResult holds the buffer and result of a tryRead. One per connection is enough, because its Reads do not overlap.
type readResult struct {
	into []byte
	n    int
	err  error
}

// tryRead reads without blocking and reports whether the read is done. It holds the lock from the read to the check of
// bytesWritten: an attempt that started writing in between would read unsolicited bytes as its response.
func (c *conn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := unix.Read(int(fd), c.result.into)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.ended = true
		c.result.err = os.NewSyscallError("read", err)
		return true
	case n == 0:
		c.ended = true
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

// endedByTarget reports whether a read found that the target has closed or reset the connection.
func (c *conn) endedByTarget() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Close closes the connection and removes it from the pool. The HTTP client calls it for every broken connection.
func (c *conn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}

// processStart is the origin of lastReadNanos. It has a monotonic clock reading, so steps of the wall clock have no
// effect.
var processStart = time.Now()

// recordRead records that a byte was received or that the connection was opened.
func (c *conn) recordRead() { c.lastReadNanos.Store(int64(time.Since(processStart))) }

// lastReadTime returns when the last byte was received, or when the connection was opened.
func (c *conn) lastReadTime() time.Time {
	return processStart.Add(time.Duration(c.lastReadNanos.Load()))
}

// deadlinePassed reports whether the deadline has passed on the monotonic or the wall clock. Neither is enough alone:
// the monotonic clock stops while the machine is suspended, and the wall clock may be stepped.
func deadlinePassed(deadline time.Time) bool {
	now := time.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}
