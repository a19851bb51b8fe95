package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
	"github.com/burdockpitch/burdockpitch/pkg/target"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

const uploadRules = `service = "registry"
epoch = 1
revision = 2
[rules]
lookup = { path = "/r/*", class = "lookup", deadline = "10s", body = "1MiB" } # asked by the test
upload = { path = "/u/*", class = "once", deadline = "10s", body = "1MiB" } # asked by the test
quick = { path = "/q/*", class = "once", deadline = "500ms", body = "1MiB" } # asked by the test
small = { path = "/s/*", class = "once", deadline = "10s", body = "1KiB" } # asked by the test
`

// newUploadFixture starts a gateway with uploadRules and a bound on bodies.
func newUploadFixture(t *testing.T, bodyMemory int64, cfg Config, targets ...string) *fixture {
	cfg.BodyMemory = bodyMemory
	f := newFixture(t, logr.Discard(), cfg, targets...)
	doc, err := rules.Parse("test", []byte(uploadRules))
	require.NoError(t, err)
	f.SetDocuments([]*rules.Document{doc})
	return f
}

func (f *fixture) heldBytes() float64 { return testutil.ToFloat64(f.metrics.bodyBytes) }

// requireNoBytesHeld waits until no request is in progress and requires that nothing is reserved.
func (f *fixture) requireNoBytesHeld(t *testing.T) {
	t.Helper()
	idle := func() bool {
		for _, e := range f.engines {
			e.mu.Lock()
			pending := len(e.pending)
			e.mu.Unlock()
			if pending > 0 {
				return false
			}
		}
		return f.Active() == 0 && f.bodyMemory.budget.Used() == 0 && f.bodyMemory.responses.Used() == 0 && f.heldBytes() == 0
	}
	require.Eventually(t, idle, 10*time.Second, time.Millisecond, "%d bytes of callers, %d of targets", f.bodyMemory.budget.Used(),
		f.bodyMemory.responses.Used())
}

// dialFrom connects from a loopback address, by which the instance tells callers apart.
func (f *fixture) dialFrom(t *testing.T, ip string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", f.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

// upload returns a request whose body has a length, or chunks if length is negative, without its body.
func upload(path string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: registry\r\n" + framing + "\r\n\r\n"
}

func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

const lastChunk = "0\r\n\r\n"

// panickingResponseDialect panics while a response is delivered.
type panickingResponseDialect struct{ wire.Native }

func (panickingResponseDialect) RewriteResponseHeaders(http.Header, string, wire.Outcome) {
	panic("unexpected")
}

// Guards against memory that stays reserved after some way in which a request ends: the instance would refuse every body
// in the end.
func TestBodyMemoryIsReleased(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	const truncated = "HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\nok"
	const large = 300 << 10
	largeResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", large, strings.Repeat("x", large))
	body := strings.Repeat("x", 9000)
	cases := map[string]struct {
		request  string
		response string // of the target; none: it keeps the connection open and silent
		bound    int64
		dialect  wire.Dialect
		before   func(*fixture)
		during   func(*fixture) // called while the target runs the request
		leaves   bool           // the caller closes its connection
		aborted  bool           // the instance closes the connection without a response
		reason   core.Reason    // of the refusal
	}{
		"answered":                 {request: upload("/u/1", 9000) + body, response: ok},
		"chunked":                  {request: upload("/u/1", -1) + chunk(9000) + lastChunk, response: ok},
		"streamed":                 {request: upload("/u/1", 9000) + body, response: largeResponse},
		"chunked response":         {request: get("/r/1"), response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(9000) + lastChunk},
		"truncated":                {request: upload("/u/1", 9000) + body, response: truncated, reason: core.ReasonMayHaveRun},
		"truncated, retried":       {request: upload("/r/1", 9000) + body, response: truncated, reason: core.ReasonAttemptsExhausted},
		"deadline":                 {request: upload("/q/1", 9000) + body, reason: core.ReasonMayHaveRun},
		"caller leaves":            {request: upload("/u/1", 9000) + body, during: func(*fixture) {}, leaves: true},
		"caller leaves, lookup":    {request: upload("/r/1", 9000) + body, during: func(*fixture) {}, leaves: true},
		"leaves during upload":     {request: upload("/u/1", 9000) + body[:10], leaves: true},
		"leaves during chunks":     {request: upload("/u/1", -1) + chunk(9000), leaves: true},
		"slow body":                {request: upload("/q/1", 9000) + body[:10], reason: ReasonBodySlow},
		"broken chunk":             {request: upload("/u/1", -1) + chunk(9000) + "zz\r\n", reason: ReasonBodyBroken},
		"too large":                {request: upload("/s/1", -1) + chunk(9000) + lastChunk, reason: ReasonBodyTooLarge},
		"no memory":                {request: upload("/u/1", 9000) + body, bound: 10000, reason: ReasonBodyMemory},
		"no memory for chunks":     {request: upload("/u/1", -1) + chunk(9000) + lastChunk, bound: 10000, reason: ReasonBodyMemory},
		"no memory, waits for 100": {request: strings.Replace(upload("/u/1", 9000), "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1), bound: 10000, reason: ReasonBodyMemory},
		"no memory to buffer":      {request: upload("/u/1", 900) + body[:900], response: largeResponse, bound: 10000},
		"panic of the attempt":     {request: upload("/u/1", 9000) + body, response: ok, dialect: panickingDialect{}, reason: core.ReasonMayHaveRun},
		"panic of the delivery":    {request: upload("/u/1", 9000) + body, response: largeResponse, dialect: panickingResponseDialect{}, aborted: true},
		"panic of the start": {request: upload("/u/1", 9000) + body, reason: core.ReasonInternal, before: func(f *fixture) {
			f.engine("registry").clients = nil
		}},
		"panic before the decision": {request: upload("/u/1", 9000) + body, aborted: true, before: func(f *fixture) {
			f.quarantine.empty.Store(false)
			f.quarantine.state = nil
		}},
		"panic of the decision": {request: upload("/u/1", 9000) + body, reason: core.ReasonInternal, during: panicInDecision},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			inProgress, end := make(chan struct{}, 16), make(chan struct{})
			addr := acceptAll(t, func(c net.Conn) {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				inProgress <- struct{}{}
				if _, _ = io.WriteString(c, tc.response); tc.response == "" {
					<-end
				}
			})
			f := newUploadFixture(t, tc.bound, Config{Dialect: tc.dialect}, addr)
			if tc.before != nil {
				tc.before(f)
			}
			c := f.dialFrom(t, "127.0.0.1")
			_, err := io.WriteString(c, tc.request)
			require.NoError(t, err)
			if tc.during != nil {
				<-inProgress
				require.EqualValues(t, 9000, f.heldBytes())
				tc.during(f)
			}
			if tc.leaves {
				require.Eventually(t, func() bool { return f.heldBytes() > 0 }, 10*time.Second, time.Millisecond)
				c.Close()
				time.AfterFunc(20*time.Millisecond, func() { close(end) }) // an attempt of class "once" goes on until then
			} else {
				defer close(end)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.Equal(t, tc.aborted, err != nil, "%v", err)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					require.NoError(t, err)
					require.Equal(t, string(tc.reason), resp.Header.Get(wire.HeaderReason))
				}
				c.Close()
			}
			f.requireNoBytesHeld(t)
		})
	}
}

// Guards against memory that is free for others while a target still receives the body, after the caller's goroutine has
// ended.
func TestBodyMemoryIsHeldWhileAttemptGoesOn(t *testing.T) {
	began, end := make(chan struct{}), make(chan struct{})
	f := newUploadFixture(t, 0, Config{}, newHandlerTarget(t, func(http.ResponseWriter, *http.Request) {
		close(began)
		<-end
		panic(http.ErrAbortHandler)
	}))
	endOnce := sync.OnceFunc(func() { close(end) })
	defer endOnce()
	memory, r := f.bodyMemory.open("127.0.0.1"), httptest.NewRequest(http.MethodPost, "/u/1", nil)
	require.NoError(t, memory.grow(9000))
	template := target.Attempt{Method: r.Method, URL: r.URL, Deadline: time.Now().Add(10 * time.Second)}
	f.engine("registry").submit(core.RequestArrived{Class: core.ClassOnce}, template, &fingerprinter{request: r}, memory, nil)
	memory.release()
	<-began
	require.EqualValues(t, 9000, f.heldBytes())
	endOnce()
	f.requireNoBytesHeld(t)
}

// Guards against memory of heads that is never released: the instance would refuse every large head and body in the end.
func TestHeadMemoryIsReleased(t *testing.T) {
	arrived, end := make(chan struct{}), make(chan struct{})
	f := newUploadFixture(t, 1<<20, Config{}, newHandlerTarget(t, func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-end
	}))
	c := f.dialFrom(t, "127.0.0.1")
	_, err := io.WriteString(c, "POST /u/1 HTTP/1.1\r\nHost: registry\r\nk: "+strings.Repeat("v", 40<<10)+"\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	<-arrived
	require.Greater(t, f.bodyMemory.budget.Used(), int64(40<<10))
	close(end)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	f.requireNoBytesHeld(t)
}

// Guards against a refusal that a caller cannot read because it is still sending its body: it would have to count its
// request as one that may have run. net/http alone closes the connection 0.5 s after the response, and delays the response
// until a body of up to 256 KB has arrived. Also guards against memory that is held until the body has been discarded.
func TestRefusalReachesCallerThatIsSending(t *testing.T) {
	const part, lengthParts, chunkParts = 30 << 10, 12, 6
	f := newUploadFixture(t, 64<<10, Config{})
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		time.Sleep(60 * time.Millisecond)
	}
	readRefusal := func(c net.Conn, status int, reason core.Reason) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, status, resp.StatusCode)
		require.Equal(t, string(reason), resp.Header.Get(wire.HeaderReason))
		require.Equal(t, string(wire.OutcomeNotRun), resp.Header.Get(wire.HeaderOutcome))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.True(t, resp.Close)
		require.Zero(t, f.heldBytes())
	}
	readsAfterSending := func(path string, status int, reason core.Reason) {
		c := f.dialFrom(t, "127.0.0.1")
		send(c, upload(path, lengthParts*part))
		for range lengthParts {
			send(c, strings.Repeat("x", part))
		}
		readRefusal(c, status, reason)
	}
	readsAfterSending("/u/1", http.StatusServiceUnavailable, ReasonBodyMemory)
	readsAfterSending("/s/1", http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)

	c := f.dialFrom(t, "127.0.0.1") // reads while it sends
	send(c, upload("/u/1", -1))
	for range chunkParts {
		send(c, chunk(part))
	}
	readRefusal(c, http.StatusServiceUnavailable, ReasonBodyMemory)
	send(c, lastChunk)
	f.requireNoBytesHeld(t)
}

// Guards against one caller with many slow uploads, of which those without a length grow, that takes the memory from other
// callers, and against more memory than the bound.
func TestSlowUploadsDoNotBlockOtherCallers(t *testing.T) {
	const bound, length = 1 << 20, 60 << 10
	f := newUploadFixture(t, bound, Config{}, newHandlerTarget(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	slow := make([]net.Conn, 30)
	for i := range slow {
		slow[i] = f.dialFrom(t, "127.0.0.1")
		_, err := io.WriteString(slow[i], upload("/u/slow", []int{length, -1}[i%2]))
		require.NoError(t, err)
	}
	var others sync.WaitGroup
	var answered atomic.Int64
	for i := range 4 {
		others.Go(func() {
			c := f.dialFrom(t, fmt.Sprintf("127.0.0.%d", i+2))
			reader := bufio.NewReader(c)
			for range 10 {
				_, _ = io.WriteString(c, upload("/u/fast", length)+strings.Repeat("x", length))
				if resp, err := http.ReadResponse(reader, nil); err == nil && resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	for i := range 200 {
		_, _ = io.WriteString(slow[i%15*2+1], chunk(4<<10))
		require.LessOrEqual(t, f.bodyMemory.budget.Used(), int64(bound))
	}
	others.Wait()
	require.EqualValues(t, 40, answered.Load())
	require.Positive(t, testutil.ToFloat64(f.metrics.refusals.WithLabelValues("registry", string(ReasonBodyMemory))))
	require.LessOrEqual(t, f.heldBytes(), float64(bound/2), "of the slow caller")
	f.server.Close() // ends the slow uploads
	f.requireNoBytesHeld(t)
}

// Guards against callers that do not read their responses and thereby take the memory from others or keep it after their
// connections are given up, and against responses that are lost or altered for lack of memory: the target has run them.
func TestResponsesAreStreamedWithoutMemory(t *testing.T) {
	const length, bound = 1000, 4 * maxBufferedBytes
	var runs atomic.Int64
	f := newUploadFixture(t, bound, Config{WriteTimeout: time.Second}, newHandlerTarget(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/r/large":
			for err := error(nil); err == nil; {
				_, err = w.Write(make([]byte, maxBufferedBytes))
			}
		case "/r/length":
			w.Header().Set("Content-Length", fmt.Sprint(length))
		}
		runs.Add(1)
		w.Header().Set("Trailer", "Sum")
		_, _ = w.Write(make([]byte, length))
		w.Header().Set("Sum", "7")
	}))
	for range 2 {
		_, err := io.WriteString(f.dialFrom(t, "127.0.0.1"), get("/r/large")) // the response is not read
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return f.heldBytes() == bound/2 }, 10*time.Second, time.Millisecond)
	for n, path := range []string{"/r/length", "/r/chunks"} {
		resp, err := http.Get("http://" + f.addr + path)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Len(t, body, length)
		require.EqualValues(t, n+1, runs.Load())
		require.Equal(t, path == "/r/chunks", resp.Trailer.Get("Sum") == "7")
		require.EqualValues(t, n+1, testutil.ToFloat64(f.metrics.unbuffered.WithLabelValues("registry")))
	}
	c := f.dialFrom(t, "127.0.0.2")
	_, err := io.WriteString(c, upload("/u/1", maxBufferedBytes)+strings.Repeat("x", maxBufferedBytes))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	f.requireNoBytesHeld(t)
}

// Guards against a request that is lost because the instance to which it is relayed has no memory for its body, although
// another one has.
func TestRelayWithoutMemoryGoesElsewhere(t *testing.T) {
	server := newHandlerTarget(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	full, fullAddress := startRelayTest(t, server)
	full.bodyMemory.budget = memorybudget.New(1)
	_, other := startRelayTest(t, server)
	g := startCutOff(t, fullAddress, other)
	refused := full.metrics.refusals.WithLabelValues("s", string(ReasonBodyMemory))
	for range 64 { // the first instance is chosen at random
		require.Equal(t, http.StatusOK, serveOnce(g, "content").Code)
	}
	require.Positive(t, testutil.ToFloat64(refused))
	require.Zero(t, g.bodyMemory.budget.Used())
}
