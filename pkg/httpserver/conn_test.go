package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

const testTimeout = 10 * time.Second

// startLimited serves handler with a configuration until the test ends.
func startLimited(t *testing.T, cfg Config, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	began := time.Now()
	cfg.Log, cfg.Metrics = logr.Discard(), NewMetrics(prometheus.NewRegistry())
	cfg.Now = func() time.Duration { return time.Since(began) }
	s := New(handler, cfg)
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

func (s *Server) counted(reason Reason) float64 {
	return testutil.ToFloat64(s.cfg.Metrics.ended.WithLabelValues(s.cfg.Listener, string(reason)))
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c, bufio.NewReader(c)
}

func readStatus(t *testing.T, r *bufio.Reader) (status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

// Guards against requests that are lost, mixed up or cut because of how their bytes are split: heads and bodies that arrive
// in pieces, several requests in one piece, and heads that are larger than the buffers of http.Server.
func TestRequestsArriveInAnyPieces(t *testing.T) {
	memory := memorybudget.New(1 << 20)
	s, address := startLimited(t, Config{Memory: memory}, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %d %s", r.URL.Path, len(r.Header["K"]), body)
	})
	long := strings.Repeat("K: "+strings.Repeat("v", 97)+"\r\n", 100)
	text := "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" +
		"GET /2 HTTP/1.1\nHost: a\nK: v\n\n" +
		"POST /3 HTTP/1.1\r\nHost: a\r\n" + long + "Transfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n" +
		"GET /4 HTTP/1.1\r\nHost: a\r\n" + long + "\r\n" +
		"\r\nGET /5 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
	// http.Server takes an empty line only after a POST.
	text = strings.Replace(text, "GET /4", "POST /4", 1)
	text = strings.Replace(text, long+"\r\n\r\nGET /5", long+"Content-Length: 0\r\n\r\n\r\nGET /5", 1)
	want := []string{"/1 0 abc", "/2 1 ", "/3 100 xyz", "/4 100 ", "/5 0 "}
	for _, size := range []int{1, 2, 3, 7, 100, 4095, 4096, 4097, 9000, len(text)} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			c, r := dial(t, address)
			go func() {
				for rest := text; rest != ""; {
					n := min(size, len(rest))
					_, _ = io.WriteString(c, rest[:n])
					rest = rest[n:]
					if size < 100 && len(rest)%50 == 0 || size >= 100 {
						time.Sleep(time.Millisecond) // lets the piece arrive alone
					}
				}
			}()
			for _, expected := range want {
				status, body := readStatus(t, r)
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, expected, body)
			}
			_, err := r.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		})
	}
	t.Cleanup(func() {
		require.Eventually(t, func() bool { return memory.Used() == 0 }, testTimeout, time.Millisecond)
		require.Zero(t, s.counted(ReasonHeadMemory))
	})
}

// FuzzHeadScanner checks that the end of a head does not depend on how its bytes are split, and that it is where net/http
// sees it.
func FuzzHeadScanner(f *testing.F) {
	for _, seed := range []string{"GET / HTTP/1.1\r\nA: b\r\n\r\nrest", "\r\n\r\nGET / HTTP/1.1\n\nx", "\r", "a\r\r\n\r\n", "a\n\r\n", "\r\r\n\n", "a\nb\r"} {
		f.Add([]byte(seed), uint8(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var whole, pieces headScanner
		used := whole.scan(text)
		total := 0
		for rest := text; len(rest) > 0 && !pieces.complete; {
			n := min(int(step%16)+1, len(rest))
			taken := pieces.scan(rest[:n])
			total += taken
			rest = rest[n:]
		}
		require.Equal(t, whole.complete, pieces.complete)
		require.Equal(t, used, total)
		require.Equal(t, whole.lines, pieces.lines)
		require.Equal(t, whole.begun(), pieces.begun())
		require.Equal(t, used, whole.leading+whole.requestLine+whole.fields+whole.line)
		require.Equal(t, used, pieces.leading+pieces.requestLine+pieces.fields+pieces.line)

		reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(text)))
		begun, ended := false, false
		for !ended {
			line, err := reader.ReadLine()
			if err != nil {
				break
			}
			ended = begun && line == ""
			begun = begun || line != ""
		}
		// ReadLine also returns a last line without a line break.
		if bytes.HasSuffix(text, []byte("\n")) {
			require.Equal(t, ended, whole.complete)
		}
	})
}

// Guards against an estimate below what heads take, so that they exceed the memory that was reserved for them. A request
// keeps the parsed header and a copy of it for the target.
func TestParsedBytesCoverWhatHeadsTake(t *testing.T) {
	shapes := map[string]func(n int) string{
		"one line":       func(n int) string { return "k: " + strings.Repeat("v", n) + "\r\n" },
		"shortest lines": func(n int) string { return lines(n, "%x:\r\n") },
		"short lines":    func(n int) string { return lines(n, "k%x: v\r\n") },
		"one name":       func(n int) string { return strings.Repeat("k:\r\n", n/4) },
		"ordinary lines": func(n int) string { return lines(n, "X-Ordinary-Header-%x: some value of usual length\r\n") },
	}
	for name, shape := range shapes {
		for _, size := range []int{2 << 10, 16 << 10, 60 << 10} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				head := "GET / HTTP/1.1\r\nHost: a\r\n" + shape(size) + "\r\n"
				var scanner headScanner
				require.Equal(t, len(head), scanner.scan([]byte(head)))
				const count = 20
				var kept []http.Header
				before := heapBytes()
				for range count {
					request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
					require.NoError(t, err)
					kept = append(kept, request.Header, request.Header.Clone())
				}
				taken := int64(heapBytes()-before) / count
				runtime.KeepAlive(kept)
				t.Logf("%d lines: %d bytes taken, %d estimated", scanner.lines, taken, scanner.parsedBytes())
				require.LessOrEqual(t, taken, max(scanner.parsedBytes(), memorybudget.HeadAllowance))
				require.InDelta(t, scanner.parsedBytes(), memorybudget.HeaderParsedBytes(kept[0]), float64(scanner.lines*20+700))
			})
		}
	}
}

func lines(size int, format string) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, format, n)
	}
	return b.String()
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against clients with large heads that keep small ones out, and against a head that is refused without a promise
// that the request has not run.
func TestHeadsShareMemory(t *testing.T) {
	memory := memorybudget.New(1 << 20)
	release := make(chan struct{})
	refusal := func(h http.Header, reason Reason, retryAfter time.Duration) {
		h.Set("Reason", string(reason))
		h.Set("Retry-After", retryAfter.String())
	}
	s, address := startLimited(t, Config{Memory: memory, SetRefusalHeaders: refusal}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-release
		}
	})
	large := func(path string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: a\r\nk: " + strings.Repeat("v", 40<<10) + "\r\n\r\n"
	}
	var held []*bufio.Reader
	for s.counted(ReasonHeadMemory) == 0 {
		c, r := dial(t, address)
		_, err := io.WriteString(c, large("/held"))
		require.NoError(t, err)
		if len(held) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		held = append(held, r)
		require.Less(t, len(held), 10, "no head is refused")
	}
	refused := 0
	c, r := dial(t, address)
	_, err := io.WriteString(c, get("/"))
	require.NoError(t, err)
	status, _ := readStatus(t, r)
	require.Equal(t, http.StatusOK, status)
	close(release)
	for _, r := range held {
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		if response.StatusCode == http.StatusServiceUnavailable {
			refused++
			require.Equal(t, string(ReasonHeadMemory), response.Header.Get("Reason"))
			require.NotEmpty(t, response.Header.Get("Retry-After"))
			require.True(t, response.Close)
		}
	}
	require.Positive(t, refused)
	require.Less(t, refused, len(held))
	require.Eventually(t, func() bool { return memory.Used() == 0 }, testTimeout, time.Millisecond)
}

// Guards against memory that is given to others while an attempt, which outlives its request, still holds the head.
func TestRetainedHeadOutlivesRequest(t *testing.T) {
	memory := memorybudget.New(1 << 20)
	retained := make(chan *RetainedHead, 1)
	_, address := startLimited(t, Config{Memory: memory}, func(_ http.ResponseWriter, r *http.Request) {
		retained <- FromContext(r.Context()).RetainHead()
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nk: "+strings.Repeat("v", 40<<10)+"\r\n\r\n")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r)
	require.NoError(t, err)
	require.Never(t, func() bool { return memory.Used() == 0 }, 50*time.Millisecond, time.Millisecond)
	(<-retained).Release()
	require.Eventually(t, func() bool { return memory.Used() == 0 }, testTimeout, time.Millisecond)
}

// Guards against a bound on connections that shuts ordinary callers out, or closes connections in the wrong order: those
// that have sent nothing go first, then idle ones, then those with a request that has begun; a request that is served is
// never dropped.
func TestNewConnectionReplacesAWaitingOne(t *testing.T) {
	const most = 4
	held, release := make(chan struct{}), make(chan struct{})
	s, address := startLimited(t, Config{MaxConnections: most}, func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/held":
			close(held)
			<-release
		case "/body":
			c := FromContext(r.Context())
			received := c.AwaitBody()
			_, err := io.ReadAll(r.Body)
			received()
			if err != nil && c.Evicted() {
				panic(http.ErrAbortHandler)
			}
		}
	})
	open := func(text string) (net.Conn, *bufio.Reader) {
		c, r := dial(t, address)
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		return c, r
	}
	inPhase := func(p phase) func() bool {
		return func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			for c := range s.conns {
				c.mu.Lock()
				found := c.phase == p && !c.evicted
				c.mu.Unlock()
				if found {
					return true
				}
			}
			return false
		}
	}
	_, serving := open(get("/held"))
	<-held
	_, body := open("POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
	require.Eventually(t, inPhase(phaseBody), testTimeout, time.Millisecond)
	_, idle := open(get("/"))
	status, _ := readStatus(t, idle)
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, inPhase(phaseIdle), testTimeout, time.Millisecond)
	_, silent := open("")
	require.Eventually(t, inPhase(phaseNew), testTimeout, time.Millisecond)

	for _, replaced := range []*bufio.Reader{silent, idle, body} {
		c, r := open(get("/"))
		status, _ := readStatus(t, r)
		require.Equal(t, http.StatusOK, status)
		_, err := replaced.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		// The new connection stays as one that is served, so that it is not the next one to be replaced.
		_, err = io.WriteString(c, "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n")
		require.NoError(t, err)
		time.Sleep(10 * time.Millisecond)
	}
	close(release)
	status, _ = readStatus(t, serving)
	require.Equal(t, http.StatusOK, status)
	require.EqualValues(t, 2, s.counted(ReasonConnectionLimit)) // the handler counts the request with a body
}

// Guards against a head that is closed without a word while its client is slow, and against the whole time for each line.
func TestSlowHeadGetsStatus(t *testing.T) {
	s, address := startLimited(t, Config{Limits: Limits{HeadBytes: 1 << 10, HeadTimeout: 300 * time.Millisecond, IdleTimeout: testTimeout}},
		func(http.ResponseWriter, *http.Request) {})
	c, r := dial(t, address)
	go func() {
		for _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err == nil; _, err = io.WriteString(c, "k: v\r\n") {
			time.Sleep(100 * time.Millisecond)
		}
	}()
	status, _ := readStatus(t, r)
	require.Equal(t, http.StatusRequestTimeout, status)
	require.EqualValues(t, 1, s.counted(ReasonHeadSlow))
}
