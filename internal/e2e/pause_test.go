package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

const (
	// shortPause is just long enough to be found as a pause, a gap of more than 1 s between ticks 200 ms apart.
	// PAUSE replaces it for longer runs by hand.
	shortPause = 1500 * time.Millisecond
	// rereadDelay delays each read of the platform, in milliseconds. A re-read takes three and is given up after 1 s.
	rereadDelay = 100
	// pausedRequests are sent to the paused instance for each kind of request.
	pausedRequests = 20
	// The targets that the list drops and that leave are in the zone of the paused instance, which prefers them.
	dropped, leaving = 0, zones
)

// pausedDocument is newer than Document and has no rule for the paths of archive. Its lookups have a longer deadline, so
// that a busy machine serves all requests that waited for the re-read.
var pausedDocument = strings.NewReplacer("revision = 1\n", "revision = 2\n", "/archive/*", "/moved/*",
	`deadline = "1s"`, `deadline = "10s"`, `deadline = "3s"`, `deadline = "10s"`).Replace(Document)

// rawCall is a request on a connection of its own, which can be written while the instance is stopped.
type rawCall struct {
	net.Conn
	reader *bufio.Reader
	id     string
}

const rawBody = "horse 7"

// connect sends the heads of requests. The kernel accepts the connections of a stopped instance.
func connect(t *testing.T, entry, kind, method, path string, deadline time.Duration, header string) []*rawCall {
	t.Helper()
	list := make([]*rawCall, pausedRequests)
	for i := range list {
		c, err := net.Dial("tcp", entry)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		list[i] = &rawCall{Conn: c, reader: bufio.NewReader(c), id: fmt.Sprint(kind, "-", i)}
		_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: registry\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n",
			method, path, standin.WorkIDHeader, list[i].id, wire.HeaderDeadline, wire.FormatDeadline(deadline), header, len(rawBody))
		require.NoError(t, err)
	}
	return list
}

func (c *rawCall) awaitContinue() error {
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil && resp.StatusCode != http.StatusContinue {
		err = eris.Errorf("status %d", resp.StatusCode)
	}
	return err
}

func (c *rawCall) writeBody() error {
	_, err := io.WriteString(c, rawBody)
	return err
}

// answer reads the answer and its body.
func (c *rawCall) answer(t *testing.T) *http.Response {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(time.Minute)))
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err, c.id)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err, c.id)
	return resp
}

// requireAll checks status and outcome of each answer.
func requireAll(t *testing.T, calls []*rawCall, outcome wire.Outcome, statuses ...int) {
	t.Helper()
	for _, c := range calls {
		resp := c.answer(t)
		require.Contains(t, statuses, resp.StatusCode, "%s: %s", c.id, resp.Header.Get(wire.HeaderReason))
		require.Equal(t, string(outcome), resp.Header.Get(wire.HeaderOutcome), c.id)
	}
}

// Guards against requests sent on the view from before a pause: to targets that the list dropped or that leave, under
// rules that changed, or after their deadline.
func TestNothingIsSentOnTheViewFromBeforeAPause(t *testing.T) {
	pause := shortPause
	if text := os.Getenv("PAUSE"); text != "" {
		var err error
		pause, err = time.ParseDuration(text)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute+pause)
	defer cancel()
	d, err := StartDeployment(ctx, NewCluster(binaries, t.TempDir()), DeploymentConfig{
		Targets: zones + 1, Entries: 1, Slots: 4, QueueLimit: 100, ServiceTime: 20 * time.Millisecond,
	})
	require.NoError(t, err)
	defer d.Stop()
	paused := d.Entries[0]
	load := startBooking(d.Callers[0]) // attempts are chosen and in flight when the instance stops
	defer load.end()
	d.nextRun(ctx, t, dropped)
	d.nextRun(ctx, t, leaving)
	expired := connect(t, d.Callers[0], "expired", http.MethodPost, "/bookings/1", time.Second, "Expect: 100-continue\r\n")
	for _, c := range expired {
		require.NoError(t, c.awaitContinue()) // received before the pause
	}
	require.NoError(t, paused.Signal(syscall.SIGSTOP))
	resume := time.After(pause)
	require.NoError(t, PublishDocument(d.Platform, pausedDocument))
	// The first change answers the watch that the instance left open; only the second drops a target.
	list := append([]discovery.Instance(nil), d.instances...)
	list[leaving].State = discovery.StateLeaving
	require.NoError(t, PublishInstances(d.Platform, list))
	require.NoError(t, PublishInstances(d.Platform, list[1:]))
	bookings := connect(t, d.Callers[0], "booking", http.MethodPost, "/bookings/1", time.Minute, "")
	lookups := connect(t, d.Callers[0], "lookup", http.MethodGet, "/records/1", time.Minute, "")
	moved := connect(t, d.Callers[0], "moved", http.MethodGet, "/archive/1", time.Minute, "")
	for _, list := range [][]*rawCall{expired, bookings, lookups, moved} {
		for _, c := range list {
			require.NoError(t, c.writeBody())
		}
	}
	// The re-read takes long enough for requests on the old view to reach their targets before it.
	require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{DelayMs: rereadDelay}))
	<-resume // the length of the pause is what is tested
	resumed := time.Now()
	require.NoError(t, paused.Signal(syscall.SIGCONT))

	requireAll(t, bookings, wire.OutcomeAnswered, http.StatusOK)
	requireAll(t, lookups, wire.OutcomeAnswered, http.StatusOK)
	requireAll(t, moved, wire.OutcomeNotRun, http.StatusNotFound)
	requireAll(t, expired, wire.OutcomeNotRun, http.StatusRequestTimeout, http.StatusServiceUnavailable)
	require.Contains(t, paused.Output(), "process resumed after a pause")
	for target := range d.Targets {
		for _, run := range d.runs(t, target) {
			require.False(t, strings.HasPrefix(run.ID, "expired"), "%s reached a target after its deadline", run.ID)
			require.False(t, strings.HasPrefix(run.ID, "moved"), "%s was sent under a rule from before the pause", run.ID)
			if target == dropped || target == leaving {
				require.True(t, run.At.Before(resumed), "%s ran on target %d %v after the resume", run.ID, target, run.At.Sub(resumed))
			}
		}
	}
}
