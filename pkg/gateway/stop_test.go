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
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// stopFixture is a gateway whose stop is too short for requests of its test rules, except for those under /q/.
type stopFixture struct {
	*fixture
	served  chan string // paths that reached the target
	release chan struct{}
}

// newStopFixture starts a gateway with a target that responds at once, but begins a response to a path that ends in
// /streamed and ends it when release is closed.
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
			requireTurnedAway(t, c, bufio.NewReader(c))
			require.Empty(t, s.served)
		})
	}
	t.Run("new connection", func(t *testing.T) {
		s := newStopFixture(t, Config{})
		s.drain()
		c := s.dial(t)
		send(t, c, get("/r/1"))
		requireTurnedAway(t, c, bufio.NewReader(c))
		require.Empty(t, s.served)
	})
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
// for the first contact with another instance, and for a new view after a pause.
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
			f, _ := newUnconnectedFixture(t)
			return f
		},
		"view of before a pause": func(t *testing.T) *fixture {
			s := newStopFixture(t, Config{})
			s.pauses.recordHeartbeat(false)
			s.pauses.simulatePause(2 * pauseThreshold)
			return s.fixture
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

// Guards against an upload that a stop holds until the view is new, because the process was paused while the body was read.
func TestStopTurnsAwayUploadReadDuringPause(t *testing.T) {
	s := newStopFixture(t, Config{})
	s.pauses.recordHeartbeat(false)
	c := s.dial(t)
	send(t, c, "POST /b/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 4\r\n\r\nab")
	s.awaitActive(t)
	time.Sleep(20 * time.Millisecond)
	s.pauses.simulatePause(2 * pauseThreshold)
	send(t, c, "cd")
	time.Sleep(20 * time.Millisecond)
	s.drain()
	requireTurnedAway(t, c, bufio.NewReader(c))
	require.Empty(t, s.served)
}

// newUnconnectedFixture starts a gateway that waits for a connection to its target for as long as no test ends this wait. It
// returns the listener of the target, which drops the first packet of each connection.
func newUnconnectedFixture(t *testing.T) (*fixture, net.Listener) {
	l, err := sockets.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	require.NoError(t, sockets.RefuseConnections(l.(syscall.Conn)))
	cfg := target.DefaultConfig()
	cfg.DialTimeout = time.Minute
	return newFixture(t, logr.Discard(), Config{Target: cfg}, l.Addr().String()), l
}

// Guards against a request that is written to a target although the stop has begun since it was decided to send it, before
// the reducer knows of the stop.
func TestStopIsCheckedBeforeFirstByte(t *testing.T) {
	f, l := newUnconnectedFixture(t)
	s := &stopFixture{fixture: f}
	c := s.dial(t)
	send(t, c, get("/r/1"))
	s.awaitActive(t)
	time.Sleep(20 * time.Millisecond)
	s.stop.begin(time.Now().Add(5 * time.Second))
	require.NoError(t, sockets.AcceptConnections(l.(syscall.Conn)))
	accepted, err := l.Accept() // the kernel repeats the dropped packet after a second
	require.NoError(t, err)
	defer accepted.Close()
	_ = accepted.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	n, _ := accepted.Read(make([]byte, 1)) // fails when the gateway closes the connection
	require.Zero(t, n)
}

// Guards against a service that appears during the stop and does not know of it.
func TestStopReachesLaterServices(t *testing.T) {
	s := newStopFixture(t, Config{})
	s.drain()
	a := target.Attempt{Deadline: time.Now().Add(10 * time.Second)}
	p := s.engine("later").submit(core.RequestArrived{}, a, &fingerprinter{}, nil, nil)
	require.Equal(t, core.ReasonStopping, (<-p.decisionCh).refusal.Reason)
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
