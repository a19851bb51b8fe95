package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
)

// startServer serves handler on a loopback address until the test ends.
func startServer(t *testing.T, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := sockets.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(handler, Config{Log: logr.Discard()})
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

// Guards against a planned stop under load that resets connections which the kernel has accepted: their callers have
// sent a request and get no response. Once the server stops, a caller is either refused a connection or answered.
func TestShutdownAnswersAcceptedConnections(t *testing.T) {
	const callers, stops = 16, 5
	for range stops {
		var stopping atomic.Bool
		s, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			if stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, "ok")
		})
		aborted := make(chan error, callers)
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for {
					c, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
					if err != nil {
						return // refused
					}
					if err := exchange(c); err != nil {
						aborted <- err
						return
					}
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		stopping.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		require.NoError(t, s.Shutdown(ctx))
		cancel()
		group.Wait()
		select {
		case err := <-aborted:
			require.NoError(t, err, "request aborted by the stop")
		default:
		}
	}
}

// exchange sends a request on c, reads the response and closes c.
func exchange(c net.Conn) error {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, get("/")); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against a stop that closes a kept connection as idle although its next request has arrived, wholly or in part:
// the caller cannot know whether the request ran.
func TestShutdownAnswersRequestsOnKeptConnections(t *testing.T) {
	for name, sentBeforeStop := range map[string]int{"whole request": len(get("/")), "part of the head": 10} {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer c.Close()
			reader := bufio.NewReader(c)
			request := get("/")
			_, err = io.WriteString(c, request)
			require.NoError(t, err)
			first, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return s.idleConns() == 1 }, 10*time.Second, time.Millisecond)

			_, err = io.WriteString(c, request[:sentBeforeStop])
			require.NoError(t, err)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			time.Sleep(2 * handshakeTime)
			_, err = io.WriteString(c, request[sentBeforeStop:])
			require.NoError(t, err)
			second, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, second.StatusCode)
			c.Close()
			require.NoError(t, <-stopped)
		})
	}
}

func (s *Server) idleConns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		idle := c.phase <= phaseIdle
		c.mu.Unlock()
		if idle {
			n++
		}
	}
	return n
}

// Guards against connections that a stop leaves open for ever, because a caller sent bytes that are no request.
func TestShutdownEndsWithMalformedRequests(t *testing.T) {
	for name, text := range map[string]string{"malformed": "\x00\x01\x02\x03\r\n\r\n", "two bytes": "GE"} {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t, func(http.ResponseWriter, *http.Request) {})
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			_, err = io.WriteString(c, text)
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, c)
			c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			require.NoError(t, s.Shutdown(ctx))
		})
	}
}

// Guards against a request that runs on a target although a stop has closed its connection: it arrives between the check
// that nothing has arrived and the close, or http.Server had read it before the check; and against a stop that closes a
// connection on which something has arrived.
func TestRequestThatCrossesCloseIsDropped(t *testing.T) {
	caller, accepted := net.Pipe()
	defer caller.Close()
	s := New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request is served") }), Config{Log: logr.Discard()})
	c := &Conn{Conn: accepted, server: s, phase: phaseIdle}
	require.True(t, c.endIfUnused(true))
	go caller.Write([]byte("GET"))
	n, err := c.Read(make([]byte, 10))
	require.Zero(t, n)
	require.ErrorIs(t, err, net.ErrClosed)

	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request = request.WithContext(context.WithValue(request.Context(), connKey{}, c))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { s.Handler.ServeHTTP(httptest.NewRecorder(), request) })

	for _, c := range []*Conn{{Conn: accepted, server: s, phase: phaseHead}, {Conn: accepted, server: s, phase: phaseIdle, unread: true}} {
		require.False(t, c.endIfUnused(true))
	}
}

// slowListener accepts connections slowly, as a process does that rarely gets processor time.
type slowListener struct{ *net.TCPListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(20 * time.Millisecond)
	return l.TCPListener.Accept()
}

// Guards against a stop that resets connections which wait to be accepted, because the process accepts slowly, with the filter
// that refuses new connections and where the kernel does not permit it.
func TestShutdownAcceptsWaitingConnections(t *testing.T) {
	for name, permitted := range map[string]bool{"filter": true, "no filter": false} {
		t.Run(name, func(t *testing.T) {
			l, err := sockets.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			if !permitted {
				lockFilter(t, l.(syscall.Conn))
			}
			s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") }), Config{Log: logr.Discard()})
			defer s.Close()
			const waiting = 20 // take longer than handshakeTime
			var conns []net.Conn
			for range waiting {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				conns = append(conns, c)
				_, err = io.WriteString(c, get("/"))
				require.NoError(t, err)
			}
			go s.Serve(slowListener{l.(*net.TCPListener)})
			require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.listener != nil }, 10*time.Second, time.Millisecond)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			for _, c := range conns {
				_, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				c.Close()
			}
			require.NoError(t, <-stopped)
		})
	}
}

// lateListener returns each connection some time after the kernel has handed it over.
type lateListener struct{ *net.TCPListener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		time.Sleep(2 * handshakeTime)
	}
	return c, err
}

// Guards against a stop that ends while a connection is being accepted: it waits in no queue any more, and is not known yet.
func TestShutdownAwaitsConnectionThatIsBeingAccepted(t *testing.T) {
	l, err := sockets.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var answered atomic.Bool
	s := New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		answered.Store(true)
	}), Config{Log: logr.Discard()})
	defer s.Close()
	go s.Serve(lateListener{l.(*net.TCPListener)})
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.listener != nil }, 10*time.Second, time.Millisecond)
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, get("/"))
	require.NoError(t, err)
	require.NoError(t, s.Shutdown(t.Context()))
	require.True(t, answered.Load(), "the stop has ended before the request was served")
}

// lockFilter makes the kernel refuse a filter for a listener with "operation not permitted".
func lockFilter(t *testing.T, listener syscall.Conn) {
	raw, err := listener.SyscallConn()
	require.NoError(t, err)
	var optErr error
	require.NoError(t, raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_LOCK_FILTER, 1) }))
	require.NoError(t, optErr)
	require.ErrorIs(t, sockets.RefuseConnections(listener), unix.EPERM)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }
