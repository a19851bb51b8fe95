package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// stopFixture is a gateway whose stop is too short for requests of its test rules, except for those under /q/.
type stopFixture struct {
	*fixture
	served  chan string // paths that reached the target
	release chan struct{}
}

// newStopFixture starts a gateway with a target that begins each response at once and ends it when the test does.
func newStopFixture(t *testing.T, cfg Config) *stopFixture {
	s := &stopFixture{served: make(chan string, 100), release: make(chan struct{})}
	s.fixture = newFixture(t, logr.Discard(), cfg, newHandlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		s.served <- r.URL.Path
		if strings.HasSuffix(r.URL.Path, "/streamed") {
			_, _ = io.WriteString(w, strings.Repeat("x", maxBufferedBytes))
			_ = http.NewResponseController(w).Flush()
			select {
			case <-s.release:
			case <-t.Context().Done():
			}
		}
	}))
	return s
}

func (s *stopFixture) drain() { s.Drain(time.Now().Add(5 * time.Second)) }

func (s *stopFixture) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c io.Writer, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func (s *stopFixture) awaitActive(t *testing.T) {
	require.Eventually(t, func() bool { return s.Active() > 0 }, 10*time.Second, time.Millisecond)
}

// requireTurnedAway checks that a connection brings the refusal of a stopping instance at once, and is closed.
func requireTurnedAway(t *testing.T, c net.Conn, r *bufio.Reader) {
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, string(core.ReasonStopping), resp.Header.Get(wire.HeaderReason))
	require.Equal(t, string(wire.OutcomeNotRun), resp.Header.Get(wire.HeaderOutcome))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.True(t, resp.Close)
}

// Guards against a request that reaches a target from a stopping instance although it may outlast it, and is then cut
// without a response, and against one that waits for its refusal, on each way into the instance.
func TestStopTurnsRequestsAway(t *testing.T) {
	post := func(head string) string { return "POST /b/1 HTTP/1.1\r\nHost: registry\r\n" + head + "\r\n" }
	for name, run := range map[string]func(t *testing.T, s *stopFixture, c net.Conn){
		"open connection without a request": func(t *testing.T, s *stopFixture, c net.Conn) {
			s.drain()
			send(t, c, get("/r/1"))
		},
		"new connection": func(t *testing.T, s *stopFixture, c net.Conn) {
			s.drain()
			_ = c.Close()
			next := s.dial(t)
			send(t, next, get("/r/1"))
			requireTurnedAway(t, next, bufio.NewReader(next))
		},
		"part of the head": func(t *testing.T, s *stopFixture, c net.Conn) {
			send(t, c, get("/r/1")[:20])
			time.Sleep(20 * time.Millisecond)
			s.drain()
			send(t, c, get("/r/1")[20:])
		},
		"whole upload": func(t *testing.T, s *stopFixture, c net.Conn) {
			s.drain()
			send(t, c, post("Content-Length: 4\r\n")+"abcd")
		},
		"part of an upload": func(t *testing.T, s *stopFixture, c net.Conn) {
			send(t, c, post("Content-Length: 4\r\n")+"ab")
			s.awaitActive(t)
			s.drain()
		},
		"part of an upload in chunks": func(t *testing.T, s *stopFixture, c net.Conn) {
			send(t, c, post("Transfer-Encoding: chunked\r\n")+"2\r\nab\r\n")
			s.awaitActive(t)
			s.drain()
		},
		"upload that waits for 100 Continue": func(t *testing.T, s *stopFixture, c net.Conn) {
			s.drain()
			send(t, c, post("Content-Length: 4\r\nExpect: 100-continue\r\n"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStopFixture(t, Config{})
			c := s.dial(t)
			run(t, s, c)
			if name != "new connection" {
				requireTurnedAway(t, c, bufio.NewReader(c))
			}
			require.Empty(t, s.served)
		})
	}
}

// Guards against a request that follows a response whose head was sent before the stop, so that it could not close the
// connection.
func TestStopTurnsAwayRequestAfterStreamedResponse(t *testing.T) {
	s := newStopFixture(t, Config{})
	c := s.dial(t)
	reader := bufio.NewReader(c)
	send(t, c, get("/r/streamed"))
	first, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.False(t, first.Close)
	s.drain()
	close(s.release)
	_, err = io.Copy(io.Discard, first.Body)
	require.NoError(t, err)
	send(t, c, get("/r/2"))
	requireTurnedAway(t, c, reader)
	require.Equal(t, "/r/streamed", <-s.served)
	require.Empty(t, s.served)
}

// Guards against waiting requests that a stop sends late, or refuses late: for free slots, for a connection to the target,
// and for the first contact with another instance.
func TestStopTurnsWaitingRequestsAway(t *testing.T) {
	for name, start := range map[string]func(t *testing.T) *fixture{
		"queue": func(t *testing.T) *fixture {
			policy := core.DefaultPolicy()
			policy.SlotsPerTarget = 1
			s := newStopFixture(t, Config{Policy: policy})
			for range 20 { // more than the limit of the target
				send(t, s.dial(t), get("/r/streamed"))
			}
			require.Eventually(t, func() bool { return s.Active() == 20 }, 10*time.Second, time.Millisecond)
			return s.fixture
		},
		"connection": func(t *testing.T) *fixture {
			l, err := sockets.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { l.Close() })
			require.NoError(t, sockets.RefuseConnections(l.(syscall.Conn)))
			return newFixture(t, logr.Discard(), Config{}, l.Addr().String())
		},
		"first contact": func(t *testing.T) *fixture { return newStopFixture(t, Config{HoldUntilSynced: true}).fixture },
	} {
		t.Run(name, func(t *testing.T) {
			s := &stopFixture{fixture: start(t)}
			before := s.Active()
			c := s.dial(t)
			send(t, c, get("/r/1"))
			require.Eventually(t, func() bool { return s.Active() == before+1 }, 10*time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			s.drain()
			requireTurnedAway(t, c, bufio.NewReader(c))
		})
	}
}

// Guards against a request that a stopping instance sends a second time after its first attempt has failed.
func TestStopSendsNoRetry(t *testing.T) {
	arrived, release := make(chan string, 10), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-release
		panic(http.ErrAbortHandler)
	}
	s := &stopFixture{fixture: newFixture(t, logr.Discard(), Config{}, newHandlerTarget(t, handler), newHandlerTarget(t, handler))}
	c := s.dial(t)
	send(t, c, get("/r/1"))
	<-arrived
	s.drain()
	close(release)
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Empty(t, arrived)
}

// Guards against a stopping instance that serves a request for another instance or relays one to another, although it may
// outlast its own end.
func TestStopDoesNotRelay(t *testing.T) {
	var served atomic.Int64
	target := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	stopping, address := startRelayTest(t, target)
	stopping.Drain(time.Now().Add(time.Second))
	require.Equal(t, http.StatusServiceUnavailable, serveOnce(startCutOff(t, address), "").Code)

	_, address = startRelayTest(t, target)
	cutOff := startCutOff(t, address)
	cutOff.Drain(time.Now().Add(time.Second))
	w := serveOnce(cutOff, "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, string(core.ReasonStopping), w.Header().Get(wire.HeaderReason))
	require.Zero(t, served.Load())
}

// Guards against a stop that refuses requests which are certain to be answered before its end.
func TestStopServesShortRequests(t *testing.T) {
	s := newStopFixture(t, Config{})
	s.drain()
	resp, _, err := s.exchangeRaw(t, http.MethodPost, "POST /q/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.True(t, resp.Close)
}
