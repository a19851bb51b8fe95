package httpclient

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// ErrUnusable is returned by Conn.Begin if the server has closed the connection, has sent bytes without a request, or has
// not ended its last response.
var ErrUnusable = eris.New("server closed the connection or sent unsolicited bytes before the request")

// ConnConfig configures a Conn.
type ConnConfig struct {
	// HeadBytes is the largest size of the head of a response, including its 1xx responses.
	HeadBytes int
	// OnRead, if set, is called with true before a read waits for bytes, and with false once they have arrived. No request
	// can begin between the arrival and the call.
	OnRead func(waits bool)
}

// Conn is a connection to a server that carries one request at a time, below net/http. Its methods are safe for concurrent
// use by one reader and one writer.
type Conn struct {
	net.Conn
	cfg ConnConfig
	raw syscall.RawConn

	// The fields below belong to the reader.

	deliverable []byte // received and not read by net/http yet
	readErr     error  // ends all further reads
	in          transfer
	tryReadFunc func(fd uintptr) bool // tryRead, bound once to avoid an allocation for each Read

	// The fields below belong to the writer.

	out          transfer
	tryWriteFunc func(fd uintptr) bool

	mu       sync.Mutex
	awaited  bool // a request has begun, and its response is not complete
	response response
	surplus  bool // bytes arrived that belong to no response
	ended    bool // the server closed or reset the connection
	// writeFailed is set once a write has failed. It may have taken the error of the connection, so that a read sees an end
	// instead: the end of a connection says nothing any more.
	writeFailed bool
}

// transfer is the buffer and the result of a read or write that is in progress.
type transfer struct {
	buffer []byte
	n      int
	err    error
}

// NewConn returns a Conn on a socket.
func NewConn(socket net.Conn, cfg ConnConfig) (*Conn, error) {
	s, ok := socket.(syscall.Conn)
	if !ok {
		return nil, eris.New("connection is no socket")
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "access socket")
	}
	c := &Conn{Conn: socket, cfg: cfg, raw: raw}
	c.tryReadFunc, c.tryWriteFunc = c.tryRead, c.tryWrite
	return c, nil
}

// Begin has to be called before the first byte of a request is written. The response may reserve memory; nil means no bound.
// If the connection cannot carry a request, it returns ErrUnusable. If mayBegin returns an error, it returns that.
func (c *Conn) Begin(method string, memory *memorybudget.Reservation, mayBegin func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mayBegin != nil {
		if err := mayBegin(); err != nil {
			return err
		}
	}
	if c.awaited || c.surplus || c.ended || sockets.Peek(c.raw) != sockets.Idle {
		return ErrUnusable
	}
	c.awaited = true
	c.response = response{headLimit: c.cfg.HeadBytes, toHEAD: method == http.MethodHead, memory: memory}
	return nil
}

// awaitsResponse reports whether a request has begun whose response is not complete.
func (c *Conn) awaitsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaited
}

// EndedByServer reports whether a read found that the server has closed or reset the connection.
func (c *Conn) EndedByServer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.out = transfer{buffer: b}
	err := c.raw.Write(c.tryWriteFunc)
	done := c.out
	c.out = transfer{} // an idle connection holds no body
	if done.err != nil {
		err = done.err
	}
	return done.n, err
}

// tryWrite writes without blocking and reports whether the write is done. It holds the lock, so that no read comes between
// a write that takes the error of the connection and writeFailed.
func (c *Conn) tryWrite(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.out.n < len(c.out.buffer) {
		n, err := syscall.Write(int(fd), c.out.buffer[c.out.n:])
		switch {
		case err == syscall.EAGAIN:
			return false
		case err == syscall.EINTR:
		case err != nil:
			c.writeFailed = true
			c.out.err = os.NewSyscallError("write", err)
			return true
		default:
			c.out.n += n
		}
	}
	return true
}

// Read implements net.Conn. It returns the bytes of a head once the head is complete, and an *Error for anything that is no
// whole response.
func (c *Conn) Read(b []byte) (int, error) {
	if len(c.deliverable) > 0 {
		return c.deliver(b, c.deliverable), nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.readResponse(b)
	c.readErr = err
	return n, err
}

// readResponse reads into b until something can be delivered. An unfinished head that does not fit is read into a buffer.
func (c *Conn) readResponse(b []byte) (int, error) {
	buffer, n := b, 0
	for {
		if n == len(buffer) {
			larger, err := c.grow(buffer, b)
			if err != nil {
				return 0, err
			}
			buffer = larger
		}
		read, err := c.receive(buffer[n:])
		if err != nil {
			return 0, err
		}
		n += read
		bufferBytes := 0
		if &buffer[0] != &b[0] {
			bufferBytes = len(buffer)
		}
		deliverable, err := c.accept(buffer[:n], bufferBytes)
		if err != nil {
			return 0, err
		}
		if deliverable > 0 {
			return c.deliver(b, buffer[:deliverable]), nil
		}
	}
}

// deliver returns the first bytes to net/http in b, and keeps the rest.
func (c *Conn) deliver(b, text []byte) int {
	n := copy(b, text)
	c.deliverable = text[n:]
	if len(c.deliverable) == 0 {
		c.deliverable = nil
	}
	return n
}

// grow returns a larger buffer with the same content. The first one replaces the buffer of net/http, b.
func (c *Conn) grow(buffer, b []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var err error
	larger := memorybudget.GrowHead(buffer, &buffer[0] == &b[0], func(n int64) bool {
		err = c.response.reserve(n)
		return err == nil
	})
	return larger, err
}

// accept passes received bytes to the response, and returns how many of them may be delivered.
func (c *Conn) accept(received []byte, bufferBytes int) (deliverable int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deliverable, err = c.response.receive(received, bufferBytes)
	if err == nil && c.response.complete() {
		c.awaited = false
		c.surplus = deliverable < len(received)
	}
	return deliverable, err
}

// receive waits for bytes and reads them into b.
func (c *Conn) receive(b []byte) (int, error) {
	if err := c.surplusError(); err != nil {
		return 0, err
	}
	if c.cfg.OnRead != nil {
		c.cfg.OnRead(true)
	}
	c.in = transfer{buffer: b}
	err := c.raw.Read(c.tryReadFunc)
	done := c.in
	c.in = transfer{}
	if err != nil {
		return 0, err
	}
	return done.n, done.err
}

func (c *Conn) surplusError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.surplus {
		return &Error{CauseUnsolicited, "bytes after the response"}
	}
	return nil
}

// tryRead reads without blocking and reports whether the read is done. It holds the lock from the read to the check of
// awaited: a request that began in between would take unsolicited bytes as its response. Those that arrive after a request
// has begun cannot be told from its response, because HTTP/1.1 has no request IDs.
func (c *Conn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Read(int(fd), c.in.buffer)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return false
	case err != nil:
		c.in.err = c.endLocked(os.NewSyscallError("read", err))
		return true
	case n == 0:
		c.in.err = c.endLocked(io.EOF)
		return true
	}
	if !c.awaited {
		c.surplus = true
		c.in.err = &Error{CauseUnsolicited, "bytes without a request"}
		return true
	}
	c.in.n = n
	if c.cfg.OnRead != nil {
		c.cfg.OnRead(false)
	}
	return true
}

// endLocked notes the end of the connection and returns the error for the reader. Only a response that ends with its
// connection is whole then, and only if nothing has failed. The caller holds the lock.
func (c *Conn) endLocked(err error) error {
	c.ended = true
	if !c.awaited || !c.response.begun {
		return err
	}
	if err == io.EOF && c.response.endsCleanly() && !c.writeFailed {
		c.awaited = false
		return io.EOF
	}
	return &Error{CauseTruncated, err.Error()}
}
