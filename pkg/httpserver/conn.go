package httpserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// phase is what a connection waits for.
type phase uint8

const (
	phaseNew     phase = iota // the first byte of a first request
	phaseIdle                 // the first byte of a further request
	phaseHead                 // the rest of a head
	phaseBody                 // the body, for which the handler waits
	phaseServing              // the handler
	phaseRefused              // the client, which may still send before it reads the refusal
)

const (
	// refusalTimeout bounds the time in which a client takes a refusal, and in which what it still sends is discarded.
	// Closing a connection with unread bytes resets it, and the client would not see the refusal.
	refusalTimeout = time.Second
)

// Conn is a connection of a client. http.Server reads from it; the bytes of a head reach http.Server only once the head
// is complete, because a head takes several times its size once it is parsed. Until then the connection keeps it in a buffer.
type Conn struct {
	net.Conn
	server *Server
	raw    syscall.RawConn // nil if the connection is no socket

	// scanner measures the head that is being read, received holds what http.Server has not read yet. Both belong to the
	// goroutine that reads.
	scanner  headScanner
	received []byte

	mu          sync.Mutex
	phase       phase
	since       time.Time // when the phase began
	served      bool      // a request was read
	unread      bool      // received holds bytes of a further request
	ended       bool      // a stop closes the connection; what is read from now on is dropped
	evicted     bool      // the connection is replaced by a new one; reads fail
	reservation *memorybudget.Reservation
	reserved    int64 // bytes, HeadAllowance included
}

func newConn(c net.Conn, s *Server) *Conn {
	conn := &Conn{Conn: c, server: s, since: time.Now()}
	if socket, ok := c.(syscall.Conn); ok {
		conn.raw, _ = socket.SyscallConn()
	}
	return conn
}

// setState follows the states of http.Server, which counts a request once it has read its head.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.enter(phaseServing)
	case http.StateIdle:
		c.releaseHead()
		c.mu.Lock()
		c.unread = len(c.received) > 0
		c.mu.Unlock()
		c.enter(phaseIdle)
	case http.StateClosed:
		c.releaseHead()
		c.server.remove(c)
	}
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterLocked(p)
}

func (c *Conn) enterLocked(p phase) {
	if c.phase == p {
		return
	}
	c.phase, c.since = p, time.Now()
	c.served = c.served || p == phaseServing
	c.setDeadline()
}

// setDeadline sets the read deadline of a phase that waits for a head, and clears it when the handler takes over. In all
// other phases, the deadline belongs to the handler. The caller holds the lock.
func (c *Conn) setDeadline() {
	limits := c.server.currentLimits()
	switch {
	case c.evicted:
	case c.phase == phaseNew || c.phase == phaseHead:
		_ = c.Conn.SetReadDeadline(c.since.Add(limits.HeadTimeout))
	case c.phase == phaseIdle:
		_ = c.Conn.SetReadDeadline(c.since.Add(limits.IdleTimeout))
	case c.phase == phaseServing:
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// limitsChanged applies new limits to a wait in progress.
func (c *Conn) limitsChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitsHead() {
		c.setDeadline()
	}
}

func (c *Conn) awaitsHead() bool { return c.phase <= phaseHead }

// SetReadDeadline implements net.Conn. The handler sets deadlines while it serves a request; an evicted connection keeps
// its own.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.awaitsHead() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn. It drops what arrives while a stop closes the connection: a request that is served without a
// connection would run on a target, and its caller would not learn of it.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	awaitsHead := c.awaitsHead()
	c.mu.Unlock()
	if awaitsHead && !c.scanner.complete {
		return c.readHead(b)
	}
	n, err := c.next(b)
	if n > 0 && c.isEnded() {
		return 0, net.ErrClosed
	}
	return n, err
}

// next reads what was received before, or from the socket.
func (c *Conn) next(b []byte) (int, error) {
	if len(c.received) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.received)
	c.received = c.received[n:]
	if len(c.received) == 0 {
		c.received = nil
	}
	return n, nil
}

// readHead reads a head and then returns its first bytes. A head that arrives at once is read into b directly.
func (c *Conn) readHead(b []byte) (int, error) {
	buffer, n := b, 0
	for {
		if n == len(buffer) {
			larger, retryAfter := c.growHead(buffer, b)
			if larger == nil {
				return 0, c.refuse(ReasonHeadMemory, retryAfter)
			}
			buffer = larger
		}
		read, err := c.next(buffer[n:])
		if read > 0 && !c.beginHead() {
			return 0, net.ErrClosed
		}
		c.scanner.scan(buffer[n : n+read])
		n += read
		switch {
		case c.scanner.exceeds(c.server.currentLimits().HeadBytes):
			return 0, c.refuse(ReasonHeadTooLarge, retryAfterLong)
		case c.scanner.complete:
			if retryAfter := c.completeHead(&buffer[0] != &b[0], len(buffer)); retryAfter > 0 {
				return 0, c.refuse(ReasonHeadMemory, retryAfter)
			}
			return c.handOver(b, buffer[:n]), nil
		case err != nil:
			return c.handOver(b, buffer[:n]), c.headError(err)
		case !c.scanner.begun():
			return c.handOver(b, buffer[:n]), nil // http.Server rejects empty lines
		}
	}
}

// beginHead notes that bytes have arrived. It returns false if they must be dropped.
func (c *Conn) beginHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.unread = false
	c.enterLocked(phaseHead)
	return true
}

// growHead returns a larger buffer with the same content, or the time after which there may be memory for one. The first
// one replaces the buffer of http.Server, b.
func (c *Conn) growHead(buffer, b []byte) (larger []byte, retryAfter time.Duration) {
	larger = memorybudget.GrowHead(buffer, &buffer[0] == &b[0], func(n int64) bool {
		retryAfter = c.reserveHead(n)
		return retryAfter == 0
	})
	return larger, retryAfter
}

// completeHead reserves the memory for the parsed head, in addition to its buffer if there is one. It returns the time after
// which there may be memory if there is none, else 0.
func (c *Conn) completeHead(buffered bool, size int) (retryAfter time.Duration) {
	need := c.scanner.parsedBytes()
	if buffered {
		need += int64(size)
	}
	if retryAfter := c.reserveHead(need); retryAfter > 0 {
		return retryAfter
	}
	c.enter(phaseServing)
	return 0
}

// handOver returns the first bytes to http.Server in b, and keeps the rest.
func (c *Conn) handOver(b, buffer []byte) int {
	if len(buffer) == 0 || &buffer[0] == &b[0] {
		return len(buffer)
	}
	n := copy(b, buffer)
	c.received = append(buffer[n:], c.received...)
	return n
}

// reserveHead makes sure that n bytes are reserved for the head. It returns the time after which there may be memory if
// there is none, else 0.
func (c *Conn) reserveHead(n int64) (retryAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.server.cfg.Memory
	missing := memorybudget.MissingForHead(n, c.reserved)
	if m == nil || missing == 0 {
		c.reserved = max(c.reserved, n)
		return 0
	}
	caller := sockets.RemoteIP(c.RemoteAddr().String())
	if c.reservation == nil {
		c.reservation, _ = m.Reserve(caller, 0)
	}
	if reason := c.reservation.Grow(missing); reason != memorybudget.Granted {
		return m.RetryAfter(c.server.cfg.Now(), caller, missing, reason)
	}
	c.reserved = n
	return 0
}

// releaseHead releases the memory of a head after its request.
func (c *Conn) releaseHead() {
	c.scanner = headScanner{}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reservation != nil {
		c.reservation.Release(c.server.cfg.Now())
	}
	c.reservation, c.reserved = nil, 0
}

// RetainedHead is the memory of a head beyond its request. A nil RetainedHead holds nothing.
type RetainedHead struct {
	reservation *memorybudget.Reservation
	now         func() time.Duration
}

// RetainHead keeps the memory of the current head reserved until Release, also if the request ends before.
func (c *Conn) RetainHead() *RetainedHead {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reservation == nil {
		return nil
	}
	c.reservation.Retain()
	return &RetainedHead{reservation: c.reservation, now: c.server.cfg.Now}
}

// Release ends the hold on the memory. It must be called once.
func (h *RetainedHead) Release() {
	if h != nil {
		h.reservation.Release(h.now())
	}
}

// errRefused ends the read of a request that was refused. http.Server closes the connection without a response after it.
var errRefused error = &net.OpError{Op: "read", Err: errors.New("request was refused")}

// headError returns the error for a head that is not complete, and responds if the client took too long.
func (c *Conn) headError(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.mu.Lock()
	evicted, begun := c.evicted, c.phase == phaseHead
	c.mu.Unlock()
	switch {
	case evicted && begun:
		return c.refuse(ReasonConnectionLimit, retryAfterShort)
	case evicted:
		c.server.count(ReasonConnectionLimit)
	case begun:
		return c.refuse(ReasonHeadSlow, retryAfterShort)
	default:
		c.server.count(ReasonIdle)
	}
	return err
}

// refusalStatus holds the status of the responses to requests that are refused before they are read whole.
var refusalStatus = map[Reason]int{
	ReasonHeadTooLarge: http.StatusRequestHeaderFieldsTooLarge, ReasonHeadSlow: http.StatusRequestTimeout,
	ReasonHeadMemory: http.StatusServiceUnavailable, ReasonConnectionLimit: http.StatusServiceUnavailable,
}

// refuse responds to a request whose head was not read whole, and discards what the client still sends. It returns
// errRefused.
func (c *Conn) refuse(reason Reason, retryAfter time.Duration) error {
	c.server.count(reason)
	c.enter(phaseRefused)
	c.received = nil
	end := time.Now().Add(refusalTimeout)
	_ = c.Conn.SetWriteDeadline(end)
	if _, err := c.Conn.Write(c.server.refusal(reason, retryAfter)); err != nil || c.CloseWrite() != nil {
		return errRefused
	}
	_ = c.SetReadDeadline(end) // unless the connection is evicted
	_, _ = io.Copy(io.Discard, c.Conn)
	return errRefused
}

// refusal returns the response for a reason.
func (s *Server) refusal(reason Reason, retryAfter time.Duration) []byte {
	status := refusalStatus[reason]
	header := make(http.Header)
	if s.cfg.SetRefusalHeaders != nil {
		s.cfg.SetRefusalHeaders(header, reason, retryAfter)
	}
	header.Set("Content-Length", "0")
	header.Set("Connection", "close")
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&text)
	text.WriteString("\r\n")
	return text.Bytes()
}

// evict ends the wait of the connection for its client. It returns false if something has arrived meanwhile, or the
// connection does not wait for its client.
func (c *Conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.phase == phaseServing || (c.phase <= phaseIdle && (c.unread || c.hasArrived())) {
		return false
	}
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

func (c *Conn) hasArrived() bool { return c.raw != nil && sockets.Peek(c.raw) == sockets.Readable }

func (c *Conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// endIfUnused ends the connection, so that nothing more is read from it, if no request is in progress and none has begun
// to arrive. It ends a connection without a first request only if endNew is set. It reports whether it has ended it.
func (c *Conn) endIfUnused(endNew bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase > phaseIdle || c.unread || c.phase == phaseNew && !endNew || c.hasArrived() {
		return false
	}
	c.ended = true
	return true
}

// CloseWrite shuts down the writing side. http.Server uses it after an error response, so that the caller can read the
// response before unread bytes reset the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connKey is the context key of the Conn of a request.
type connKey struct{}

// FromContext returns the connection of a request that a Server serves, or nil. The methods of Conn for handlers (AwaitBody,
// DiscardBody, Evicted, Reset and RetainHead) accept nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// AwaitBody notes that the handler waits for the client's body, until the returned function is called. Meanwhile the
// connection may be replaced by a new one: reads then fail with os.ErrDeadlineExceeded, and Evicted holds.
func (c *Conn) AwaitBody() (end func()) {
	if c == nil {
		return func() {}
	}
	c.enter(phaseBody)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.evicted {
			c.phase = phaseServing // and leaves the deadline to the handler
		}
	}
}

// DiscardBody notes that the request was refused, and that only the rest of its body is read.
func (c *Conn) DiscardBody() {
	if c != nil {
		c.enter(phaseRefused)
	}
}

// Evicted reports whether the connection is replaced by a new one, so that its request must be refused.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Reset makes the kernel reset the connection when it is closed, instead of ending it cleanly.
func (c *Conn) Reset() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
