package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/httpserver"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

const testRules = `service = "registry"
epoch = 1
revision = 1
[rules]
lookup = { path = "/r/*", methods = ["GET", "HEAD"], class = "lookup", deadline = "10s" } # asked by the test
booking = { path = "/b/*", methods = ["POST"], class = "once", deadline = "10s", body = "16B" } # asked by the test
quick = { path = "/q/*", methods = ["POST"], class = "once", deadline = "50ms", body = "16B" } # asked by the test
`

type fixture struct {
	*Gateway
	addr   string
	server *httpserver.Server
}

// newFixture starts a gateway with the test rules and the given targets. The zero value of cfg.Target means the default.
func newFixture(t testing.TB, log logr.Logger, cfg Config, targets ...string) *fixture {
	t.Helper()
	doc, err := rules.Parse("test", []byte(testRules))
	require.NoError(t, err)
	if cfg.Policy.InstanceCount == 0 {
		cfg.Policy = core.DefaultPolicy()
	}
	if cfg.Target == (target.Config{}) {
		cfg.Target = target.DefaultConfig()
	}
	g := New(cfg, NewMetrics(prometheus.NewRegistry()), log)
	g.SetDocuments([]*rules.Document{doc})
	var list discovery.InstanceList
	for _, addr := range targets {
		list.Instances = append(list.Instances, discovery.Instance{Service: "registry", Address: addr, State: discovery.StateLive})
	}
	g.SetTargets(list)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := g.NewServer()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return &fixture{Gateway: g, addr: l.Addr().String(), server: s}
}

// newRawTarget starts a target that sends fixed bytes for the first request on each connection and closes it.
func newRawTarget(t *testing.T, response string) string {
	return acceptAll(t, func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	})
}

// acceptAll serves each connection to a loopback address in a goroutine until the test ends.
func acceptAll(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func newHandlerTarget(t testing.TB, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// exchangeRaw writes text on a new connection and reads one response. The connection stays open until the test ends.
func (f *fixture) exchangeRaw(t *testing.T, method, text string) (*http.Response, string, error) {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: registry\r\n\r\n" }

// Guards against a refusal without reason, outcome, Retry-After or metric, and against a request that hangs instead of
// being refused.
func TestRefusals(t *testing.T) {
	post := func(path, headers, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: registry\r\n" + headers + "\r\n" + body
	}
	cases := map[string]struct {
		text    string
		service string
		reason  core.Reason
		status  int
	}{
		"no rule":           {get("/none"), "", ReasonNoRule, 404},
		"unknown method":    {"BOOK /r/1 HTTP/1.1\r\nHost: registry\r\n\r\n", "", ReasonNoRule, 404},
		"asterisk":          {"OPTIONS * HTTP/1.1\r\nHost: registry\r\n\r\n", "", ReasonNoRule, 404},
		"CONNECT":           {"CONNECT registry:80 HTTP/1.1\r\nHost: registry\r\n\r\n", "", ReasonConnect, 501},
		"upgrade":           {"GET /r/1 HTTP/1.1\r\nHost: registry\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", "", ReasonUpgrade, 501},
		"large body":        {post("/b/1", "Content-Length: 17\r\n", strings.Repeat("x", 17)), "registry", ReasonBodyTooLarge, 413},
		"large with Expect": {post("/b/1", "Content-Length: 17\r\nExpect: 100-continue\r\n", ""), "registry", ReasonBodyTooLarge, 413},
		"large chunked":     {post("/b/1", "Transfer-Encoding: chunked\r\n", "11\r\n"+strings.Repeat("x", 17)+"\r\n0\r\n\r\n"), "registry", ReasonBodyTooLarge, 413},
		"broken chunk":      {post("/b/1", "Transfer-Encoding: chunked\r\n", "zz\r\n"), "registry", ReasonBodyBroken, 400},
		"slow body":         {post("/q/1", "Content-Length: 9\r\n", "x"), "registry", ReasonBodySlow, 408},
		"no targets":        {post("/b/1", "Content-Length: 1\r\n", "x"), "registry", core.ReasonNoTarget, 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, logr.Discard(), Config{})
			resp, _, err := f.exchangeRaw(t, "POST", tc.text)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.Equal(t, string(tc.reason), resp.Header.Get(wire.HeaderReason))
			require.Equal(t, string(wire.OutcomeNotRun), resp.Header.Get(wire.HeaderOutcome))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			refused := f.metrics.refusals.WithLabelValues(tc.service, string(tc.reason))
			require.Eventually(t, func() bool { return testutil.ToFloat64(refused) == 1 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against malformed input that crashes the process or is forwarded to a target.
func TestMalformedInput(t *testing.T) {
	var targetRequests atomic.Int64
	addr := newHandlerTarget(t, func(http.ResponseWriter, *http.Request) { targetRequests.Add(1) })
	f := newFixture(t, logr.Discard(), Config{}, addr)
	for name, tc := range map[string]struct {
		text   string
		status int // 0: the connection is closed
	}{
		"not HTTP":        {"hello\r\n\r\n", 400},
		"binary":          {"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400},
		"no host":         {"GET /r/1 HTTP/1.1\r\n\r\n", 400},
		"bad escape":      {get("/r/%zz"), 400},
		"bad header":      {"GET /r/1 HTTP/1.1\r\nHost: a\r\nA B: c\r\n\r\n", 400},
		"two lengths":     {"POST /b/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400},
		"negative length": {"POST /b/1 HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400},
		"bad encoding":    {"POST /b/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n", 501},
		"version":         {"GET /r/1 HTTP/3.0\r\nHost: a\r\n\r\n", 505},
		"expectation":     {"POST /b/1 HTTP/1.1\r\nHost: a\r\nExpect: x\r\nContent-Length: 1\r\n\r\nx", 417},
		"large header":    {"GET /r/1 HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", 80<<10) + "\r\n\r\n", 431},
	} {
		t.Run(name, func(t *testing.T) {
			resp, _, err := f.exchangeRaw(t, "GET", tc.text)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.Zero(t, targetRequests.Load())
		})
	}
	resp, _, err := f.exchangeRaw(t, "GET", get("/r/1"))
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
}

// Guards against responses that are altered, reported with a wrong outcome, or completed normally although the target's
// response was truncated.
func TestResponseIsForwarded(t *testing.T) {
	const largeLength = 200_000
	largeBody := strings.Repeat("x", largeLength)
	lookup, booking := get("/r/1"), "POST /b/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
	head := "HEAD /r/1 HTTP/1.1\r\nHost: a\r\n\r\n"
	cases := map[string]struct {
		request, response string
		status            int
		body              string
		outcome           wire.Outcome
		truncated         bool
		header            map[string]string
		trailer           http.Header
	}{
		"fixed":              {request: lookup, response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA: b\r\n\r\nok", status: 200, body: "ok", outcome: "answered", header: map[string]string{"A": "b", "Content-Length": "2"}},
		"chunked":            {request: lookup, response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, body: "ok", outcome: "answered"},
		"trailers":           {request: lookup, response: "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 7\r\nBurdockpitch-Outcome: x\r\n\r\n", status: 200, body: "ok", outcome: "answered", trailer: http.Header{"Sum": {"7"}}},
		"HEAD":               {request: head, response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", status: 200, outcome: "answered", header: map[string]string{"Content-Length": "9"}},
		"204":                {request: booking, response: "HTTP/1.1 204 No Content\r\n\r\n", status: 204, outcome: "answered"},
		"304":                {request: lookup, response: "HTTP/1.1 304 Not Modified\r\nETag: e\r\n\r\n", status: 304, outcome: "answered", header: map[string]string{"ETag": "e"}},
		"1xx":                {request: lookup, response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", status: 200, body: "ok", outcome: "answered"},
		"hop-by-hop headers": {request: lookup, response: "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 5\r\nContent-Length: 0\r\n\r\n", status: 200, outcome: "answered", header: map[string]string{"X-Hop": "", "Keep-Alive": ""}},
		"private headers":    {request: lookup, response: "HTTP/1.1 200 OK\r\nBurdockpitch-Load: 1/4\r\nBurdockpitch-Start: 1\r\nBurdockpitch-Request-Id: x\r\nContent-Length: 0\r\n\r\n", status: 200, outcome: "answered", header: map[string]string{wire.HeaderLoad: "", wire.HeaderStart: ""}},
		"404":                {request: lookup, response: "HTTP/1.1 404 N\r\nContent-Length: 0\r\n\r\n", status: 404, outcome: "answered"},
		"500":                {request: booking, response: "HTTP/1.1 500 E\r\nContent-Length: 1\r\n\r\ne", status: 500, body: "e", outcome: "unknown"},
		"nested not-run":     {request: booking, response: "HTTP/1.1 503 E\r\nBurdockpitch-Outcome: not-run\r\nContent-Length: 0\r\n\r\n", status: 503, outcome: "unknown"},
		"nested unknown":     {request: booking, response: "HTTP/1.1 200 OK\r\nBurdockpitch-Outcome: unknown\r\nContent-Length: 0\r\n\r\n", status: 200, outcome: "unknown"},
		"nested answered":    {request: booking, response: "HTTP/1.1 200 OK\r\nBurdockpitch-Outcome: answered\r\nContent-Length: 0\r\n\r\n", status: 200, outcome: "answered"},
		"declared":           {request: booking, response: "HTTP/1.1 503 B\r\nConnection: close\r\nBurdockpitch-Declare: shed\r\nContent-Length: 0\r\n\r\n", status: 503, outcome: "not-run"},
		"large fixed":        {request: lookup, response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeLength, largeBody), status: 200, body: largeBody, outcome: "answered", header: map[string]string{"Content-Length": "200000"}},
		"large chunked":      {request: lookup, response: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nSum: 7\r\n\r\n", largeLength, largeBody), status: 200, body: largeBody, outcome: "answered", trailer: http.Header{"Sum": {"7"}}},
		"truncated small":    {request: booking, response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", status: 502, outcome: "unknown"},
		"close-delimited":    {request: booking, response: "HTTP/1.1 200 OK\r\n\r\nok", status: 502, outcome: "unknown"},
		"truncated large":    {request: lookup, response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeLength+1, largeBody), status: 200, outcome: "answered", truncated: true},
		"truncated chunked":  {request: lookup, response: fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", largeLength, largeBody), status: 200, outcome: "answered", truncated: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, logr.Discard(), Config{}, newRawTarget(t, tc.response))
			method, _, _ := strings.Cut(tc.request, " ")
			resp, body, err := f.exchangeRaw(t, method, tc.request)
			require.NotNil(t, resp)
			require.Equal(t, tc.status, resp.StatusCode)
			require.Equal(t, string(tc.outcome), resp.Header.Get(wire.HeaderOutcome))
			if tc.truncated {
				require.Error(t, err, "the caller must be able to detect a truncated response")
				return
			}
			require.NoError(t, err)
			require.Equal(t, tc.body, body)
			for name, want := range tc.header {
				require.Equal(t, want, resp.Header.Get(name), name)
			}
			require.Empty(t, resp.Header[wire.HeaderDeclare])
			require.Greater(t, len(resp.Header.Get(wire.HeaderRequestID)), 20)
			require.Equal(t, tc.trailer, resp.Trailer)
		})
	}
}

// Guards against a request whose path, body, trailer or request ID is changed on the way to the target, and against
// forwarding hop-by-hop headers or private headers that a caller must not set.
func TestRequestIsForwarded(t *testing.T) {
	got := make(chan *http.Request, 1)
	addr := newHandlerTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Header.Set("Body", string(body))
		got <- r
	})
	f := newFixture(t, logr.Discard(), Config{}, addr)
	_, _, err := f.exchangeRaw(t, "POST", "POST http://ignored/b/a%2Fb?q=1 HTTP/1.1\r\nHost: registry\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"+
		"TE: trailers\r\nBurdockpitch-Declare: shed\r\nBurdockpitch-Hops: 3\r\nBurdockpitch-Request-Id: id-1\r\nBurdockpitch-Deadline-Ms: 500\r\n"+
		"Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n1\r\nx\r\n0\r\nSum: 7\r\n\r\n")
	require.NoError(t, err)
	r := <-got
	require.Equal(t, "/b/a%2Fb?q=1", r.RequestURI)
	require.Equal(t, "x", r.Header.Get("Body"))
	require.Equal(t, http.Header{"Sum": {"7"}}, r.Trailer)
	require.Equal(t, "4", r.Header.Get(wire.HeaderHops))
	require.Equal(t, "id-1", r.Header.Get(wire.HeaderRequestID))
	remaining, ok := wire.ParseDeadline(r.Header)
	require.True(t, ok)
	require.LessOrEqual(t, remaining, 500*time.Millisecond)
	for _, name := range []string{"X-Hop", "Te", "Connection", wire.HeaderDeclare} {
		require.Empty(t, r.Header.Get(name), name)
	}
}

// Guards against a streamed response that is buffered until it is complete.
func TestStreamIsFlushed(t *testing.T) {
	received := make(chan struct{})
	addr := newHandlerTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, maxBufferedBytes+1))
		_ = http.NewResponseController(w).Flush()
		<-received
	})
	f := newFixture(t, logr.Discard(), Config{}, addr)
	resp, err := http.Get("http://" + f.addr + "/r/1")
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadFull(resp.Body, make([]byte, maxBufferedBytes+1))
	require.NoError(t, err)
	close(received)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Empty(t, rest)
}

// Guards against a target's slot that stays occupied because the caller does not read the response or has disconnected.
func TestUnreadResponseReleasesTarget(t *testing.T) {
	for name, leave := range map[string]bool{"does not read": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			began, ended := make(chan struct{}), make(chan struct{})
			addr := newHandlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
				defer close(ended)
				close(began)
				for r.Context().Err() == nil {
					if _, err := w.Write(make([]byte, maxBufferedBytes)); err != nil || leave {
						<-r.Context().Done()
					}
				}
			})
			f := newFixture(t, logr.Discard(), Config{WriteTimeout: 50 * time.Millisecond}, addr)
			c, err := net.Dial("tcp", f.addr)
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, get("/r/1"))
			require.NoError(t, err)
			<-began
			if leave {
				c.Close()
			}
			<-ended
			require.Eventually(t, func() bool { return f.Active() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against pauses that are not detected because one of the clocks does not show them: the monotonic clock stops
// in suspend, and the wall clock, which is read if there is no CLOCK_BOOTTIME, may be set back.
func TestPauseIsDetected(t *testing.T) {
	start := clockReading{boot: time.Unix(1000, 0), monotonic: time.Minute}
	for name, tc := range map[string]struct {
		boot, monotonic time.Duration
		want            bool
	}{
		"no pause":                      {pauseCheckInterval, pauseCheckInterval, false},
		"stopped process":               {3 * time.Second, 3 * time.Second, true},
		"suspended host":                {3 * time.Second, pauseCheckInterval, true},
		"clock set back":                {-time.Hour, pauseCheckInterval, false},
		"clock set back during a pause": {-time.Hour, 3 * time.Second, true},
		"at the threshold":              {time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			refreshed := false
			f := newFixture(t, logr.Discard(), Config{})
			now := clockReading{boot: start.boot.Add(tc.boot), monotonic: start.monotonic + tc.monotonic}
			f.handleGap(now.gap(start), func() { refreshed = true })
			require.Equal(t, tc.want, refreshed)
		})
	}
}

// Guards against requests that are not logged, and against connections that stay open after Drain.
func TestRequestLogAndDrain(t *testing.T) {
	addr := newRawTarget(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	lines := make(chan string, 2)
	log := funcr.NewJSON(func(line string) { lines <- line }, funcr.Options{Verbosity: 1})
	f := newFixture(t, log, Config{}, addr)
	for i, want := range []map[string]any{
		{"level": 1.0, "outcome": "answered", "rule": "lookup", "target": addr, "attempts": 1.0, "status": 200.0, "reason": ""},
		{"level": 0.0, "outcome": "not-run", "rule": "", "attempts": 0.0, "status": 404.0, "reason": "no-rule"},
	} {
		resp, _, err := f.exchangeRaw(t, "GET", get([]string{"/r/1", "/none"}[i]))
		require.NoError(t, err)
		require.Equal(t, i == 1, resp.Close)
		line := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(<-lines), &line))
		for key, value := range want {
			require.Equal(t, value, line[key], key)
		}
		require.Equal(t, resp.Header.Get(wire.HeaderRequestID), line["request"])
		require.NotEmpty(t, line["duration"])
		f.Drain(time.Now().Add(time.Minute))
	}
}

// Guards against a connection that stays open after a response to a request which was in progress when the stop began: the
// caller's next request would be accepted late and aborted at the limit of the stop.
func TestResponseDuringStopClosesConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		request string
		status  int
	}{
		"response": {get("/r/1"), http.StatusOK},
		"refusal":  {"POST /q/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway}, // at its deadline
	} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan struct{}), make(chan struct{})
			f := newFixture(t, logr.Discard(), Config{}, newHandlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
				close(arrived)
				select {
				case <-release:
				case <-r.Context().Done():
				}
			}))
			go func() {
				<-arrived
				f.Drain(time.Now().Add(time.Minute))
				if tc.status == http.StatusOK {
					close(release)
				}
			}()
			resp, _, err := f.exchangeRaw(t, "GET", tc.request)
			require.NoError(t, err)
			require.Equal(t, tc.status, resp.StatusCode)
			require.True(t, resp.Close)
		})
	}
}

// Guards against a request that is removed while it waits for a retry: the retry would then panic.
func TestUndecidedRequestStaysPending(t *testing.T) {
	f := newFixture(t, logr.Discard(), Config{})
	e := f.engine("registry")
	e.mu.Lock()
	defer e.mu.Unlock()
	p := &pendingRequest{id: 7}
	e.pending[p.id] = p
	e.removeIfFinished(p)
	require.Contains(t, e.pending, p.id)
	p.decided = true
	e.removeIfFinished(p)
	require.NotContains(t, e.pending, p.id)
}

// BenchmarkRequest measures a request through the handler. "direct" measures the same target without the gateway.
func BenchmarkRequest(b *testing.B) {
	addr := newHandlerTarget(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	f := newFixture(b, logr.Discard(), Config{}, addr)
	client := target.NewClient(addr, target.DefaultConfig())
	defer client.Close()
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		req := httptest.NewRequest("GET", "/r/1", nil)
		for b.Loop() {
			resp, err := client.Send(context.Background(), target.Attempt{Method: "GET", URL: req.URL, Header: http.Header{}, Deadline: time.Now().Add(time.Minute)})
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.Run("handler", func(b *testing.B) {
		b.ReportAllocs()
		h := f.Handler()
		for b.Loop() {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest("GET", "/r/1", nil))
			if w.Code != http.StatusOK {
				b.Fatal(w.Code)
			}
		}
	})
}

// Guards against a truncated response that an HTTP/1.0 caller takes for a complete one: without chunks, its body ends
// with the connection.
func TestTruncationIsVisibleToOldCallers(t *testing.T) {
	chunk := strings.Repeat("x", maxBufferedBytes)
	f := newFixture(t, logr.Discard(), Config{}, newRawTarget(t,
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n5\r\nab", len(chunk), chunk)))
	_, _, err := f.exchangeRaw(t, http.MethodGet, "GET /r/1 HTTP/1.0\r\nHost: registry\r\n\r\n")
	require.Error(t, err)
}
