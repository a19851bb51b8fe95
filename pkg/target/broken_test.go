package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/core"
)

// Guards against a part of a response without a length that passes as the whole response, because the target has reset
// the connection while the request was still being written. The write then fails with the error of the reset, and the
// next read sees an end.
func TestResetDuringUploadTruncatesResponse(t *testing.T) {
	const (
		uploads   = 150
		parallel  = 30
		resetWait = 30 * time.Millisecond
	)
	var requests atomic.Int64
	s := newRawTarget(t, func(_ int64, c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		requests.Add(1)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(resetWait)
		_ = c.SetLinger(0)
	})
	body := strings.Repeat("b", 6<<20)
	var group sync.WaitGroup
	outcomes := make(chan core.AttemptOutcome, uploads)
	for range parallel {
		group.Go(func() {
			c := newTestClient(t, s.addr, func(cfg *Config) { cfg.Dialect = closeDelimitedDialect{} })
			for range uploads / parallel {
				outcomes <- sendAndRead(context.Background(), c, newAttempt(http.MethodPost, body)).outcome
			}
		})
	}
	group.Wait()
	close(outcomes)
	counts := make(map[core.AttemptOutcome]int)
	for o := range outcomes {
		counts[o]++
	}
	require.Equal(t, map[core.AttemptOutcome]int{core.OutcomeUnknown: uploads}, counts)
	require.EqualValues(t, uploads, requests.Load(), "each request is written once")
}
