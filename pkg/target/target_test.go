package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/sockets"
	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against requests that run twice. net/http.Transport sends a request again on a new connection if a reused one
// breaks, which is wrong for requests that are not idempotent.
func TestRequestIsWrittenAtMostOnce(t *testing.T) {
	large := strings.Repeat("b", 8<<20)
	requests := map[string]Attempt{
		"GET": newAttempt(http.MethodGet, ""), "empty POST": newAttempt(http.MethodPost, ""),
		"POST": newAttempt(http.MethodPost, "body"), "big POST": newAttempt(http.MethodPost, large),
	}
	// Each fault runs on the reused connection, before the second request arrives. It reports whether it received any
	// of that request.
	faults := map[string]struct {
		run  func(c *net.TCPConn, r *bufio.Reader) (receivedRequest bool)
		want []core.AttemptOutcome
	}{
		"closed before": {func(*net.TCPConn, *bufio.Reader) bool { return false }, []core.AttemptOutcome{core.OutcomeNotSent, core.OutcomeAnswered}},
		"reset before": {func(c *net.TCPConn, _ *bufio.Reader) bool { _ = c.SetLinger(0); return false },
			[]core.AttemptOutcome{core.OutcomeNotSent, core.OutcomeAnswered}},
		"closed during": {func(_ *net.TCPConn, r *bufio.Reader) bool { _, err := r.Peek(10); return err == nil }, []core.AttemptOutcome{core.OutcomeUnknown}},
		"reset during": {func(c *net.TCPConn, r *bufio.Reader) bool {
			_, err := r.Peek(10)
			_ = c.SetLinger(0)
			return err == nil
		},
			[]core.AttemptOutcome{core.OutcomeUnknown}},
		"closed after": {func(_ *net.TCPConn, r *bufio.Reader) bool { _, err := readRequest(r); return err == nil }, []core.AttemptOutcome{core.OutcomeUnknown}},
		"reset after": {func(c *net.TCPConn, r *bufio.Reader) bool {
			_, err := readRequest(r)
			_ = c.SetLinger(0)
			return err == nil
		},
			[]core.AttemptOutcome{core.OutcomeUnknown}},
		"408 after": {func(c *net.TCPConn, r *bufio.Reader) bool {
			_, err := readRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\nContent-Length: 5\r\n\r\n")
			return err == nil
		}, []core.AttemptOutcome{core.OutcomeUnknown}},
	}
	for requestName, a := range requests {
		for faultName, fault := range faults {
			for _, key := range []string{"", "key-1"} {
				t.Run(strings.Join([]string{requestName, faultName, key}, "/"), func(t *testing.T) {
					var requestsReceived atomic.Int64
					broken := make(chan struct{})
					s := newRawTarget(t, func(number int64, c *net.TCPConn, r *bufio.Reader) {
						if _, err := readRequest(r); err != nil {
							return
						}
						if number > 1 {
							requestsReceived.Add(1)
						}
						_, _ = io.WriteString(c, okResponse)
						if number > 1 {
							return
						}
						if fault.run(c, r) {
							requestsReceived.Add(1)
						}
						c.Close()
						close(broken)
					})
					c := newTestClient(t, s.addr, nil)
					require.Equal(t, core.OutcomeAnswered, sendAndRead(t.Context(), c, newAttempt(http.MethodGet, "")).outcome)
					if strings.HasSuffix(faultName, "before") {
						<-broken
					} else {
						waitForIdle(t, c, 1)
					}
					a := a
					a.Header = http.Header{}
					if key != "" {
						a.Header.Set("Idempotency-Key", key)
					}
					a.Deadline = time.Now().Add(eventTimeout)
					got := sendAndRead(t.Context(), c, a)
					require.Contains(t, fault.want, got.outcome)
					if got.outcome == core.OutcomeNotSent {
						require.Zero(t, requestsReceived.Load())
						return
					}
					require.EqualValues(t, 1, requestsReceived.Load())
				})
			}
		}
	}
}

// Guards against a truncated response that is reported as complete, and against a response that is wrongly taken as
// proof that the request did not run.
func TestResponseClassification(t *testing.T) {
	declared := func(status, headers string) string {
		return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n"
	}
	cases := map[string]struct {
		method, response string
		want             core.AttemptOutcome
		reason           core.Reason
		status           int
		body             string
	}{
		"fixed":                             {"GET", okResponse, core.OutcomeAnswered, "", 200, "ok"},
		"chunked":                           {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", core.OutcomeAnswered, "", 200, "ok"},
		"HEAD":                              {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", core.OutcomeAnswered, "", 200, ""},
		"HEAD no length":                    {"HEAD", "HTTP/1.1 200 OK\r\n\r\n", core.OutcomeAnswered, "", 200, ""},
		"204":                               {"POST", "HTTP/1.1 204 No Content\r\n\r\n", core.OutcomeAnswered, "", 204, ""},
		"304":                               {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", core.OutcomeAnswered, "", 304, ""},
		"1xx before":                        {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okResponse, core.OutcomeAnswered, "", 200, "ok"},
		"protocol switch":                   {"GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"only 1xx":                          {"GET", "HTTP/1.1 100 Continue\r\n\r\n", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"truncated":                         {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", core.OutcomeUnknown, core.ReasonFailed, 200, ""},
		"truncated chunks":                  {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", core.OutcomeUnknown, core.ReasonFailed, 200, ""},
		"truncated trailer":                 {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n2\r\nok\r\n0\r\nSu", core.OutcomeUnknown, core.ReasonFailed, 200, ""},
		"close-delimited":                   {"GET", "HTTP/1.1 200 OK\r\n\r\nok", core.OutcomeUnknown, "", 200, ""},
		"1.0 close-delimited":               {"GET", "HTTP/1.0 200 OK\r\n\r\nok", core.OutcomeUnknown, "", 200, ""},
		"truncated headers":                 {"GET", "HTTP/1.1 200 OK\r\nContent-", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"no response":                       {"GET", "", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"not HTTP":                          {"GET", "hello\r\n\r\n", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"two lengths":                       {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"oversized headers":                 {"GET", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 2<<20) + "\r\n\r\n", core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"endless 1xx":                       {"GET", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 60_000), core.OutcomeUnknown, core.ReasonFailed, 0, ""},
		"500":                               {"GET", declared("500 Error", ""), core.OutcomeAnswered, "", 500, ""},
		"shed":                              {"POST", declared("503 Busy", "Burdockpitch-Declare: shed\r\n"), core.OutcomeRefused, core.ReasonShed, 0, ""},
		"draining":                          {"POST", declared("503 Busy", "Burdockpitch-Declare: draining\r\n"), core.OutcomeRefused, core.ReasonDraining, 0, ""},
		"expired":                           {"POST", declared("503 Busy", "Burdockpitch-Declare: expired\r\n"), core.OutcomeRefused, core.ReasonExpired, 0, ""},
		"declared, cut off":                 {"POST", "HTTP/1.1 503 B\r\nBurdockpitch-Declare: shed\r\nContent-Length: 9\r\n\r\n", core.OutcomeRefused, core.ReasonShed, 0, ""},
		"unknown declared":                  {"POST", declared("503 Busy", "Burdockpitch-Declare: no\r\n"), core.OutcomeAnswered, "", 503, ""},
		"two declared":                      {"POST", declared("503 Busy", "Burdockpitch-Declare: shed\r\nBurdockpitch-Declare: shed\r\n"), core.OutcomeAnswered, "", 503, ""},
		"declared on 200, of a nested call": {"POST", declared("200 OK", "Burdockpitch-Declare: shed\r\nBurdockpitch-Request-Id: nested\r\n"), core.OutcomeAnswered, "", 200, ""},
		"declared on 200":                   {"POST", declared("200 OK", "Burdockpitch-Declare: shed\r\n"), core.OutcomeAnswered, "", 200, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
				if _, err := readRequest(r); err == nil {
					_, _ = io.WriteString(c, tc.response)
				}
			})
			got := sendAndRead(t.Context(), newTestClient(t, s.addr, nil), newAttempt(tc.method, ""))
			require.Equal(t, tc.want, got.outcome)
			require.Equal(t, tc.reason, got.reason)
			if tc.status != 0 {
				require.Equal(t, tc.status, got.Status)
			}
			require.Equal(t, tc.body, got.body)
		})
	}
}

// Guards against a response whose head ends early and that passes as a whole response with an empty or a short body.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nBurdockpitch-Load: 1/4\r\nConnection: close\r\n"
	for name, tc := range map[string]struct {
		head    string
		dialect wire.Dialect
	}{
		"length":                   {head + "Content-Length: 25\r\n\r\n", wire.Native{}},
		"chunks":                   {head + "Transfer-Encoding: chunked\r\n\r\n", wire.Native{}},
		"ends with the connection": {head + "\r\n", closeDelimitedDialect{}},
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(tc.head) {
				s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
					_, _ = readRequest(r)
					_, _ = io.WriteString(c, tc.head[:n])
				})
				c := newTestClient(t, s.addr, func(cfg *Config) { cfg.Dialect = tc.dialect })
				got := sendAndRead(t.Context(), c, newAttempt(http.MethodGet, ""))
				require.Equal(t, core.OutcomeUnknown, got.outcome, "%q", tc.head[:n])
				require.Nil(t, got.Response, "%q", tc.head[:n])
			}
		})
	}
}

// closeDelimitedDialect is the native dialect, except that bodies may end with the connection.
type closeDelimitedDialect struct{ wire.Native }

func (closeDelimitedDialect) AllowsCloseDelimited() bool { return true }

// Guards against trailers that are lost in either direction, and against a forwarded Expect header, which would make
// the client wait for 100 Continue.
func TestRequestIsWrittenUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		got <- req
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nSum: 7\r\n\r\n")
	})
	a := newAttempt(http.MethodPost, "body")
	a.Header.Set("Expect", "100-continue")
	a.Trailer = http.Header{"Digest": {"1"}}
	response := sendAndRead(t.Context(), newTestClient(t, s.addr, nil), a)
	require.Equal(t, http.Header{"Sum": {"7"}}, response.Trailer)
	req := <-got
	require.Equal(t, http.Header{"Digest": {"1"}}, req.Trailer)
	require.Equal(t, "service", req.Host)
	require.NotContains(t, req.Header, "Expect")
	require.NotContains(t, req.Header, "User-Agent")
	_, ok := wire.ParseDeadline(req.Header)
	require.True(t, ok)
}

// Guards against attempts that are reported as not sent without proof, and against attempts that wait indefinitely.
func TestAttemptEndsBeforeResponse(t *testing.T) {
	closedAddr := newClosedAddress(t)
	cases := map[string]struct {
		client  func(addr string) *Client
		prepare func(ctx context.Context, c *Client, a *Attempt)
		want    core.AttemptOutcome
		reason  core.Reason
		failed  bool
	}{
		"refused dial": {func(string) *Client { return NewClient(closedAddr, DefaultConfig()) }, nil, core.OutcomeNotSent, core.ReasonNotSent, true},
		"expired":      {nil, func(_ context.Context, _ *Client, a *Attempt) { a.Deadline = time.Now() }, core.OutcomeNotSent, core.ReasonDeadline, false},
		"wall clock expired": {nil, func(_ context.Context, _ *Client, a *Attempt) { a.Deadline = time.Now().Add(-time.Second).Round(0) },
			core.OutcomeNotSent, core.ReasonDeadline, false},
		"closed client": {nil, func(_ context.Context, c *Client, _ *Attempt) { c.Close() }, core.OutcomeNotSent, core.ReasonNotSent, false},
		"timeout": {nil, func(_ context.Context, _ *Client, a *Attempt) { a.Deadline = time.Now().Add(50 * time.Millisecond) },
			core.OutcomeUnknown, core.ReasonSlow, true},
		"connection limit": {func(addr string) *Client {
			cfg := DefaultConfig()
			cfg.MaxConnections, cfg.WaitLimit = 1, time.Millisecond
			return NewClient(addr, cfg)
		}, func(ctx context.Context, c *Client, _ *Attempt) {
			go c.Send(ctx, newAttempt(http.MethodGet, ""))
			for len(c.pool.leases) == 0 {
				time.Sleep(time.Millisecond)
			}
		}, core.OutcomeNotSent, ReasonNoConnection, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := newRawTarget(t, func(_ int64, _ *net.TCPConn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
			if tc.client == nil {
				tc.client = func(addr string) *Client { return NewClient(addr, DefaultConfig()) }
			}
			c, a := tc.client(s.addr), newAttempt(http.MethodPost, "")
			if tc.prepare != nil {
				tc.prepare(ctx, c, &a)
			}
			got := sendAndRead(ctx, c, a)
			require.Equal(t, tc.want, got.outcome)
			require.Equal(t, tc.reason, got.reason)
			require.Equal(t, tc.failed, got.failed)
		})
	}
}

func newClosedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a target that keeps working on a cancelled attempt: the cancellation must close the connection.
func TestCancelledAttemptClosesItsConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	s := newRawTarget(t, func(_ int64, _ *net.TCPConn, r *bufio.Reader) {
		_, _ = readRequest(r)
		close(arrived)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	c := newTestClient(t, s.addr, nil)
	done := make(chan result)
	go func() { done <- sendAndRead(ctx, c, newAttempt(http.MethodGet, "")) }()
	<-arrived
	cancel()
	got := <-done
	require.Equal(t, core.OutcomeUnknown, got.outcome)
	require.Equal(t, ReasonCancelled, got.reason)
	require.False(t, got.failed)
	<-closed
}

// Guards against a first write that must not happen: after the deadline passed while the process or machine was paused,
// to a target from an outdated view, or on a connection that the target has closed.
func TestFirstWriteIsChecked(t *testing.T) {
	cases := map[string]struct {
		deadline  time.Time
		isCurrent func() bool
		closed    bool
		want      error
	}{
		"in time":            {time.Now().Add(time.Hour), nil, false, nil},
		"monotonic and wall": {time.Now().Add(-time.Second), nil, false, errDeadlinePassed},
		"wall clock only":    {time.Now().Add(-time.Second).Round(0), nil, false, errDeadlinePassed},
		"current view":       {time.Now().Add(time.Hour), func() bool { return true }, false, nil},
		"outdated view":      {time.Now().Add(time.Hour), func() bool { return false }, false, errOutdated},
		"closed by target":   {time.Now().Add(time.Hour), nil, true, httpclient.ErrUnusable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
				if !tc.closed {
					_, _ = io.Copy(io.Discard, r)
				}
			})
			nc, err := net.Dial("tcp", s.addr)
			require.NoError(t, err)
			defer nc.Close()
			c, err := newConn(newPool(s.addr, DefaultConfig()), nc)
			require.NoError(t, err)
			if tc.closed {
				raw, err := nc.(syscall.Conn).SyscallConn()
				require.NoError(t, err)
				require.Eventually(t, func() bool { return sockets.Peek(raw) == sockets.Closed }, eventTimeout, time.Millisecond)
			}
			write := c.beginAttempt(Attempt{Method: http.MethodGet, Deadline: tc.deadline, IsCurrent: tc.isCurrent})
			_, err = c.Write([]byte("GET"))
			require.ErrorIs(t, err, tc.want)
			require.Equal(t, tc.want == nil, write.stop())
			_, err = c.Write([]byte("x"))
			require.Error(t, err, "an ended attempt must not write")
		})
	}
}
