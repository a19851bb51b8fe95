package target

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// Errors that a conn returns to the HTTP client that writes to it.
var (
	errDeadlinePassed = eris.New("deadline passed before the first byte was written")
	errOutdated       = eris.New("the decision to send is out of date")
	errAttemptEnded   = eris.New("write after the attempt has ended")
)

// conn is an HTTP/1.1 connection that carries one attempt at a time. It counts the bytes written for the attempt. Only
// a count of zero proves core.OutcomeNotSent.
type conn struct {
	*httpclient.Conn
	http *http.ClientConn
	pool *pool

	write         atomic.Pointer[writeState] // of the attempt in progress; nil while idle
	lastReadNanos atomic.Int64               // time since processStart of the last byte received

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
	method        string
	memory        *memorybudget.Reservation // Attempt.Memory
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

// newConn returns the connection of a pool on a socket.
func newConn(p *pool, socket net.Conn) (*conn, error) {
	c := &conn{pool: p, leased: true}
	responses, err := httpclient.NewConn(socket, httpclient.ConnConfig{HeadBytes: maxResponseHeadBytes, OnRead: c.onRead})
	if err != nil {
		return nil, err
	}
	c.Conn = responses
	c.recordRead()
	return c, nil
}

// onRead records when bytes arrive.
func (c *conn) onRead(waits bool) {
	if !waits {
		c.recordRead()
	}
	c.pool.setReading(c, waits)
}

func (c *conn) beginAttempt(a Attempt) *writeState {
	s := &writeState{method: a.Method, memory: a.Memory, deadline: a.Deadline, isCurrent: a.IsCurrent, attemptStart: time.Now()}
	c.write.Store(s)
	return s
}

// endAttempt ends the attempt in progress. Nothing more of it is written.
func (c *conn) endAttempt() { c.write.Store(nil) }

// Write writes bytes of the attempt in progress and counts them. Before the first byte it checks that the deadline has
// not passed on either clock, that the target was not selected from an outdated view, and that the connection can carry a
// request.
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
	if s.bytesWritten.Load() == 0 {
		if err := c.Begin(s.method, s.memory, s.mayBegin); err != nil {
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

func (s *writeState) mayBegin() error {
	if deadlinePassed(s.deadline) {
		return errDeadlinePassed
	}
	if s.isCurrent != nil && !s.isCurrent() {
		return errOutdated
	}
	return nil
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
