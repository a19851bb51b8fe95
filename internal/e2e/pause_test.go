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
	// defaultPause is long enough for the pause detector, which ticks every 200 ms and reports a pause if two ticks are
	// more than 1 s apart. The environment variable PAUSE sets a longer pause in runs by hand.
	defaultPause = 1500 * time.Millisecond
	// platformDelayMs delays each read of the platform. After a pause, the instance reads the platform three times and
	// has a timeout of 1 s for all three reads.
	platformDelayMs = 100
	// requestsPerKind is the number of requests of each kind that are sent to the paused instance.
	requestsPerKind = 20
	// droppedTarget and leavingTarget are the indices of the target that the instance list drops and of the one that it
	// marks as leaving. Both are in the zone of the paused instance, which prefers targets of its zone.
	droppedTarget, leavingTarget = 0, zoneCount
)

// updatedDocument is newer than DeploymentDocument and has no rule for /archive. Its lookups and bookings have longer
// deadlines, so that a busy machine serves all requests that wait for the re-read.
var updatedDocument = strings.NewReplacer("revision = 1\n", "revision = 2\n", "/archive/*", "/moved/*",
	`deadline = "1s"`, `deadline = "10s"`, `deadline = "3s"`, `deadline = "10s"`).Replace(DeploymentDocument)

// rawRequest is a request on a connection of its own. It can be written while the instance is paused.
type rawRequest struct {
	net.Conn
	reader *bufio.Reader
	workID string
}

const requestBody = "horse 7"

// sendRequestHeads opens requestsPerKind connections and sends a request head on each. The kernel completes the
// handshakes of a paused instance. The work IDs start with kind; header holds further header lines, each with its CRLF.
func sendRequestHeads(t *testing.T, address, kind, method, path string, deadline time.Duration, header string) []*rawRequest {
	t.Helper()
	list := make([]*rawRequest, requestsPerKind)
	for i := range list {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		list[i] = &rawRequest{Conn: c, reader: bufio.NewReader(c), workID: fmt.Sprint(kind, "-", i)}
		_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: registry\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n",
			method, path, standin.WorkIDHeader, list[i].workID, wire.HeaderDeadline, wire.FormatDeadline(deadline), header, len(requestBody))
		require.NoError(t, err)
	}
	return list
}

func (r *rawRequest) awaitContinue() error {
	resp, err := http.ReadResponse(r.reader, nil)
	if err == nil && resp.StatusCode != http.StatusContinue {
		err = eris.Errorf("status %d", resp.StatusCode)
	}
	return err
}

func (r *rawRequest) writeBody() error {
	_, err := io.WriteString(r, requestBody)
	return err
}

// readResponse reads the response and discards its body.
func (r *rawRequest) readResponse(t *testing.T) *http.Response {
	t.Helper()
	require.NoError(t, r.SetReadDeadline(time.Now().Add(time.Minute)))
	resp, err := http.ReadResponse(r.reader, nil)
	require.NoError(t, err, r.workID)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err, r.workID)
	return resp
}

// requireResponses reads the response of each request and checks its status and outcome.
func requireResponses(t *testing.T, requests []*rawRequest, outcome wire.Outcome, statuses ...int) {
	t.Helper()
	for _, r := range requests {
		resp := r.readResponse(t)
		require.Contains(t, statuses, resp.StatusCode, "%s: %s", r.workID, resp.Header.Get(wire.HeaderReason))
		require.Equal(t, string(outcome), resp.Header.Get(wire.HeaderOutcome), r.workID)
	}
}

// Guards against a resumed instance that routes requests by the targets and rules from before the pause: to targets
// that the instance list has dropped or marked as leaving, under rules that have changed, or after the deadline.
func TestResumedInstanceDoesNotSendOnStaleState(t *testing.T) {
	pause := defaultPause
	if text := os.Getenv("PAUSE"); text != "" {
		var err error
		pause, err = time.ParseDuration(text)
		require.NoError(t, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute+pause)
	defer cancel()
	d, err := StartDeployment(ctx, NewCluster(testBinaryDir, t.TempDir()), DeploymentConfig{
		Targets: zoneCount + 1, Instances: 1, Slots: 4, QueueLimit: 100, ServiceTime: 20 * time.Millisecond,
	})
	require.NoError(t, err)
	defer d.Stop()
	paused := d.InstanceProcesses[0]
	load := startBookingLoad(d.CallerAddresses[0]) // has attempts in flight when the instance is paused
	defer load.finish()
	d.waitForExecution(ctx, t, droppedTarget)
	d.waitForExecution(ctx, t, leavingTarget)
	expired := sendRequestHeads(t, d.CallerAddresses[0], "expired", http.MethodPost, "/bookings/1", time.Second,
		"Expect: 100-continue\r\n")
	for _, r := range expired {
		require.NoError(t, r.awaitContinue()) // the instance has read the head before the pause
	}
	// The instance must not read the head of any later request before the pause, or its deadline would pass during it.
	require.NoError(t, paused.Pause(ctx))
	resume := time.After(pause)
	require.NoError(t, PublishDocument(d.PlatformAddress, updatedDocument))
	// The first list, which only marks a target as leaving, completes the watch that was pending at the pause. The
	// instance has to read the list again to learn that the second one drops a target.
	list := append([]discovery.Instance(nil), d.initialInstanceList...)
	list[leavingTarget].State = discovery.StateLeaving
	require.NoError(t, PublishInstances(d.PlatformAddress, list))
	require.NoError(t, PublishInstances(d.PlatformAddress, list[1:]))
	bookings := sendRequestHeads(t, d.CallerAddresses[0], "booking", http.MethodPost, "/bookings/1", time.Minute, "")
	lookups := sendRequestHeads(t, d.CallerAddresses[0], "lookup", http.MethodGet, "/records/1", time.Minute, "")
	moved := sendRequestHeads(t, d.CallerAddresses[0], "moved", http.MethodGet, "/archive/1", time.Minute, "")
	for _, list := range [][]*rawRequest{expired, bookings, lookups, moved} {
		for _, r := range list {
			require.NoError(t, r.writeBody())
		}
	}
	// The delay makes the re-read slow, so that an instance that does not wait for its result would send the requests
	// to targets of the old list.
	require.NoError(t, d.SetPlatformFaults(standin.PlatformFaults{DelayMs: platformDelayMs}))
	<-resume // the pause has its full length
	resumed := time.Now()
	require.NoError(t, paused.Signal(syscall.SIGCONT))

	requireResponses(t, bookings, wire.OutcomeAnswered, http.StatusOK)
	requireResponses(t, lookups, wire.OutcomeAnswered, http.StatusOK)
	requireResponses(t, moved, wire.OutcomeNotRun, http.StatusNotFound)
	requireResponses(t, expired, wire.OutcomeNotRun, http.StatusRequestTimeout, http.StatusServiceUnavailable)
	require.Contains(t, paused.Output(), "process resumed after a pause")
	for target := range d.TargetAddresses {
		for _, execution := range d.executions(t, target) {
			require.False(t, strings.HasPrefix(execution.ID, "expired"), "%s reached a target after its deadline", execution.ID)
			require.False(t, strings.HasPrefix(execution.ID, "moved"), "%s was sent under a rule from before the pause", execution.ID)
			if target == droppedTarget || target == leavingTarget {
				require.True(t, execution.At.Before(resumed), "%s ran on target %d %v after the resume", execution.ID, target, execution.At.Sub(resumed))
			}
		}
	}
}
