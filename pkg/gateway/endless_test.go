package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// endlessTarget sends start and then repeats part until the connection is closed.
type endlessTarget struct {
	start, part string
	closed      chan struct{} // receives a value for each connection that the instance has closed
	written     atomic.Int64  // bytes accepted by the kernel
}

func (e *endlessTarget) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	block := []byte(strings.Repeat(e.part, 1+4096/len(e.part)))
	_, err := io.WriteString(c, e.start)
	for err == nil {
		var n int
		n, err = c.Write(block)
		e.written.Add(int64(n))
	}
	e.closed <- struct{}{}
}

// Guards against a target in trouble whose bytes without end fill the memory of the instance, keep a connection or a
// caller occupied beyond the deadline, or reach the caller as a complete response.
func TestEndlessBytes(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		start, part string
		answered    bool // the response is complete before the bytes without end
	}{
		"status line":           {"", "x", false},
		"header line":           {"HTTP/1.1 200 OK\r\nA: ", "x", false},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"informational":         {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", false},
		"chunks":                {chunked, "4\r\nabcd\r\n", false},
		"empty lines in chunks": {chunked, "\r\n", false},
		"chunk extension":       {chunked + "4;", "x", false},
		"chunk size":            {chunked, "0", false},
		"trailer line":          {chunked + "2\r\nok\r\n0\r\nA: ", "x", false},
		"trailer lines":         {chunked + "2\r\nok\r\n0\r\n", "A: b\r\n", false},
		"body without length":   {"HTTP/1.1 200 OK\r\n\r\n", "x", false},
		"declared":              {"HTTP/1.1 503 Busy\r\nBurdockpitch-Declare: shed\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", false},
		"after the response":    {complete, "x", true},
		"further responses":     {complete, complete, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			target := &endlessTarget{start: c.start, part: c.part, closed: make(chan struct{}, 16)}
			f := newFixture(t, logr.Discard(), Config{}, acceptAll(t, target.serve))
			before := heapBytes()
			peak := watchPeakHeap(t)
			sent := time.Now()
			resp, body, err := f.exchangeRaw(t, http.MethodPost, "POST /q/1 HTTP/1.1\r\nHost: registry\r\nContent-Length: 0\r\n\r\n")
			require.Less(t, time.Since(sent), 5*time.Second, "the deadline is 50ms")
			switch {
			case c.answered:
				require.NoError(t, err)
				require.Equal(t, "ok", body)
			case err == nil:
				require.NotEqual(t, string(wire.OutcomeAnswered), resp.Header.Get(wire.HeaderOutcome))
				require.Empty(t, body)
			}
			select {
			case <-target.closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection to the target is still open")
			}
			const heapLimit = 16 << 20 // far above the buffers of one request
			require.Less(t, peak.Load(), before+heapLimit, "%d bytes were sent", target.written.Load())
		})
	}
}

// watchPeakHeap returns the largest heap that was seen until the test ends.
func watchPeakHeap(t *testing.T) *atomic.Uint64 {
	peak := &atomic.Uint64{}
	go func() {
		for t.Context().Err() == nil {
			peak.Store(max(peak.Load(), heapBytes()))
			time.Sleep(time.Millisecond)
		}
	}()
	return peak
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}
