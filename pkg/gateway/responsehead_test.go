package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/httpclient"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// Guards against memory of response heads that stays reserved after some way in which an attempt ends, so that every large
// head would be refused in the end; and against a request that the caller is told has not run, although only its response
// could not be held.
func TestResponseHeadMemoryIsReleased(t *testing.T) {
	const enough, little = 1 << 20, 64 << 10
	lines := strings.Repeat("k: v\r\n", 1000)
	head := "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\n"
	for name, tc := range map[string]struct {
		path, response string
		stays          bool // the target keeps the connection open after the response
		leaves         bool // the caller closes its connection
		memory         int64
		reason         core.Reason      // of the refusal
		cause          httpclient.Cause // that is counted
	}{
		"answered":               {path: "/u/1", response: head + "ok", memory: enough},
		"streamed":               {path: "/u/1", response: "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 300000\r\n\r\n" + strings.Repeat("b", 300_000), memory: enough},
		"truncated":              {path: "/u/1", response: head + "o", memory: enough, reason: core.ReasonMayHaveRun, cause: httpclient.CauseTruncated},
		"malformed":              {path: "/u/1", response: "HTTP/1.1 200 OK\r\n" + lines + "A b: c\r\n", memory: enough, reason: core.ReasonMayHaveRun, cause: httpclient.CauseMalformed},
		"no memory":              {path: "/u/1", response: head + "ok", memory: little, reason: core.ReasonMayHaveRun, cause: httpclient.CauseHeadMemory},
		"no memory for a buffer": {path: "/u/1", response: "HTTP/1.1 200 OK\r\n" + lines + lines, memory: 1, reason: core.ReasonMayHaveRun, cause: httpclient.CauseHeadMemory},
		"deadline":               {path: "/q/1", response: "HTTP/1.1 200 OK\r\n" + lines + lines, stays: true, memory: enough, reason: core.ReasonMayHaveRun},
		"caller leaves":          {path: "/r/1", response: "HTTP/1.1 200 OK\r\n" + lines + lines, stays: true, leaves: true, memory: enough},
		"retried":                {path: "/r/1", response: head + "o", memory: enough, reason: core.ReasonAttemptsExhausted, cause: httpclient.CauseTruncated},
		"declined":               {path: "/u/1", response: "HTTP/1.1 503 B\r\n" + lines + "Burdockpitch-Declare: shed\r\nContent-Length: 2\r\n\r\nok", memory: enough, reason: core.ReasonAttemptsExhausted},
	} {
		t.Run(name, func(t *testing.T) {
			end := make(chan struct{})
			defer close(end)
			addr := acceptAll(t, func(c net.Conn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if _, _ = io.WriteString(c, tc.response); tc.stays {
					<-end
				}
			})
			f := newUploadFixture(t, 0, Config{ResponseHeadMemory: tc.memory}, addr)
			c := f.dialFrom(t, "127.0.0.1")
			_, err := io.WriteString(c, get(tc.path))
			require.NoError(t, err)
			if tc.leaves {
				require.Eventually(t, func() bool { return f.bodyMemory.responses.Used() > 0 }, 10*time.Second, time.Millisecond)
				c.Close()
			} else {
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.Equal(t, string(tc.reason), resp.Header.Get(wire.HeaderReason))
			}
			f.requireNoBytesHeld(t)
			if tc.cause != "" {
				require.NotZero(t, testutil.ToFloat64(f.metrics.broken.WithLabelValues("registry", string(tc.cause))))
			}
		})
	}
}
