package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against attempts that time out on one unresponsive idle connection after another although new connections
// work.
func TestSilentIdleConnectionsAreClosed(t *testing.T) {
	for name, interrupt := range map[string]func(a *Attempt, cancel func(), arrived <-chan struct{}){
		"timeout": func(a *Attempt, _ func(), _ <-chan struct{}) { a.Deadline = time.Now().Add(50 * time.Millisecond) },
		"cancelled on a silent connection": func(_ *Attempt, cancel func(), arrived <-chan struct{}) {
			go func() { <-arrived; cancel() }()
		},
	} {
		t.Run(name, func(t *testing.T) {
			const silentConns = 3 // connections that become silent
			var silent atomic.Bool
			var allArrived sync.WaitGroup
			allArrived.Add(silentConns)
			arrived := make(chan struct{})
			s := newRawTarget(t, func(number int64, c *net.TCPConn, r *bufio.Reader) {
				if number > silentConns {
					respondToAll(c, r)
					return
				}
				_, _ = readRequest(r)
				allArrived.Done()
				allArrived.Wait() // forces a separate connection for each request
				_, _ = io.WriteString(c, okResponse)
				if _, err := readRequest(r); err == nil && silent.Load() {
					close(arrived)
					_, _ = r.ReadByte()
				}
			})
			c := newTestClient(t, s.addr, func(cfg *Config) { cfg.FreshWithin = 0 })
			for range silentConns {
				go sendAndRead(t.Context(), c, newAttempt(http.MethodGet, ""))
			}
			waitForIdle(t, c, silentConns)
			silent.Store(true)
			ctx, cancel := context.WithCancel(t.Context())
			a := newAttempt(http.MethodGet, "")
			interrupt(&a, cancel, arrived)
			got := sendAndRead(ctx, c, a)
			require.Equal(t, core.OutcomeUnknown, got.outcome)
			require.False(t, got.failed, "the target must not be reported as failed")
			waitForIdle(t, c, 0)
			require.Equal(t, core.OutcomeAnswered, sendAndRead(t.Context(), c, newAttempt(http.MethodGet, "")).outcome)
		})
	}
}

// Guards against closing the connection after each response in which the target declares that it did not run the
// request. That would add the cost of a new connection to each request that an overloaded target refuses.
func TestDeclarationKeepsConnection(t *testing.T) {
	cancelled := make(chan struct{})
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 B\r\nBurdockpitch-Request-Id: 1\r\nBurdockpitch-Declare: shed\r\nContent-Length: 2\r\n\r\n")
		<-cancelled
		_, _ = io.WriteString(c, "no")
		_, _ = r.ReadByte()
	})
	c := newTestClient(t, s.addr, nil)
	ctx, cancel := context.WithCancel(t.Context())
	a := newAttempt(http.MethodPost, "")
	a.RequestID = "1"
	require.Equal(t, core.OutcomeRefused, sendAndRead(ctx, c, a).outcome)
	cancel() // the gateway cancels each attempt that has ended
	close(cancelled)
	waitForIdle(t, c, 1)
}

// Guards against connections that are reused when they must not be, and against ones that are closed when they could be
// reused. On a connection with a declaration, a faulty target may send it once more, as the response to a later attempt.
func TestConnectionReuse(t *testing.T) {
	const declared = "HTTP/1.1 503 B\r\nBurdockpitch-Declare: shed\r\nBurdockpitch-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nno"
	cases := map[string]struct {
		change   func(*Config)
		fresh    bool
		response string // in which "{id}" stands for the ID of the request
		want     int64  // connections after two attempts, those of the same request if sameID
		sameID   bool
	}{
		"reused":                                       {nil, false, okResponse, 1, false},
		"reused for the same request":                  {nil, false, okResponse, 1, true},
		"fresh required, recent read":                  {nil, true, okResponse, 1, false},
		"fresh required, no recent read":               {func(c *Config) { c.FreshWithin = 0 }, true, okResponse, 2, false},
		"fresh required, no recent read, at the limit": {func(c *Config) { c.FreshWithin, c.MaxConnections = 0, 1 }, true, okResponse, 2, false},
		"declaration":                                  {nil, false, declared, 1, false},
		"declaration, then the same request":           {nil, false, declared, 2, true},
		"declaration, then the same request, at limit": {func(c *Config) { c.MaxConnections = 1 }, false, declared, 2, true},
		"declaration without an ID":                    {nil, false, strings.ReplaceAll(declared, "{id}", ""), 2, false},
		"Connection: close":                            {nil, false, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
				for {
					req, err := readRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, strings.ReplaceAll(tc.response, "{id}", req.Header.Get(wire.HeaderRequestID)))
				}
			})
			c := newTestClient(t, s.addr, tc.change)
			for i := range 2 {
				a := newAttempt(http.MethodPost, "")
				a.Fresh = tc.fresh
				if a.RequestID = "1"; !tc.sameID {
					a.RequestID = strconv.Itoa(i)
				}
				a.Header.Set(wire.HeaderRequestID, a.RequestID)
				ctx, cancel := context.WithCancel(t.Context())
				sendAndRead(ctx, c, a)
				cancel() // the gateway cancels each attempt that has ended; the connection must stay open
				require.Eventually(t, func() bool { return len(c.pool.leases) == 0 }, eventTimeout, time.Millisecond)
			}
			require.Equal(t, tc.want, s.accepted.Load())
			c.pool.mu.Lock()
			defer c.pool.mu.Unlock()
			require.LessOrEqual(t, c.pool.open, c.pool.cfg.MaxConnections)
		})
	}
}

// Guards against a declaration of another request that passes as that of the request in progress.
func TestDeclarationOfAnotherRequestProvesNothing(t *testing.T) {
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 503 B\r\nBurdockpitch-Request-Id: 1\r\nBurdockpitch-Declare: shed\r\nContent-Length: 0\r\n\r\n")
	})
	a := newAttempt(http.MethodPost, "")
	a.RequestID = "2"
	got := sendAndRead(t.Context(), newTestClient(t, s.addr, nil), a)
	require.Equal(t, core.OutcomeUnknown, got.outcome)
	require.Equal(t, ReasonUnverified, got.reason)
}

// Guards against a list of refused requests that grows as long as a connection lives.
func TestRefusedRequestsOfConnectionAreBounded(t *testing.T) {
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 B\r\nBurdockpitch-Request-Id: %s\r\nBurdockpitch-Declare: shed\r\nContent-Length: 0\r\n\r\n",
				req.Header.Get(wire.HeaderRequestID))
		}
	})
	c := newTestClient(t, s.addr, nil)
	for i := range maxRefusedIDs + 1 {
		a := newAttempt(http.MethodPost, "")
		a.RequestID = strconv.Itoa(i)
		a.Header.Set(wire.HeaderRequestID, a.RequestID)
		sendAndRead(t.Context(), c, a)
		require.Eventually(t, func() bool { return len(c.pool.leases) == 0 }, eventTimeout, time.Millisecond)
	}
	require.EqualValues(t, 2, s.accepted.Load())
}

// Guards against idle connections that are never closed.
func TestIdleConnectionIsClosed(t *testing.T) {
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) { respondToAll(c, r) })
	c := newTestClient(t, s.addr, func(cfg *Config) { cfg.IdleTimeout = time.Millisecond })
	require.Equal(t, core.OutcomeAnswered, sendAndRead(t.Context(), c, newAttempt(http.MethodGet, "")).outcome)
	waitForIdle(t, c, 0)
	require.Eventually(t, func() bool {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		return c.pool.open == 0
	}, eventTimeout, time.Millisecond)
}

// Guards against delivering unsolicited bytes, which a target sends after a complete response, as the response to the
// next request on the connection.
func TestUnsolicitedResponseIsNotDelivered(t *testing.T) {
	const unsolicited = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"
	for name, responses := range map[string][]string{
		"in one write": {okResponse + unsolicited}, "in a second write": {okResponse, unsolicited}, "body too long": {okResponse + "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan struct{})
			s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
				for {
					if _, err := readRequest(r); err != nil {
						return
					}
					for _, part := range responses {
						_, _ = io.WriteString(c, part)
					}
					written <- struct{}{}
				}
			})
			c := newTestClient(t, s.addr, nil)
			for range 200 {
				got := sendAndRead(t.Context(), c, newAttempt(http.MethodGet, ""))
				if got.outcome == core.OutcomeNotSent { // the unsolicited bytes were detected on the idle connection
					continue
				}
				<-written
				require.Equal(t, core.OutcomeAnswered, got.outcome)
				require.Equal(t, "ok", got.body)
			}
		})
	}
}
