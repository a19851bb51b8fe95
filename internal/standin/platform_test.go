package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

func publish(p *Platform, revision uint64) {
	text := []byte(fmt.Sprint("revision ", revision))
	p.Publish(discovery.IndexEntry{Service: "s", Epoch: 1, Revision: revision, Hash: discovery.Hash(text)}, text)
}

func read(server *httptest.Server, path, reader string) (int, string, error) {
	req, _ := http.NewRequest(http.MethodGet, server.URL+path, nil)
	req.Header.Set(discovery.HeaderReader, reader)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Guards against a fault setting that has no effect: tests that rely on it would then pass without testing anything.
func TestPlatformFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   PlatformFaults
		reader   string
		wantErr  bool
		wantText string
	}{
		{name: "none", reader: "a", wantText: "revision 3"},
		{name: "down", faults: PlatformFaults{Down: true}, reader: "a", wantErr: true},
		{name: "partitioned reader", faults: PlatformFaults{PartitionedReaders: []string{"a"}}, reader: "a", wantErr: true},
		{name: "other reader", faults: PlatformFaults{PartitionedReaders: []string{"a"}}, reader: "b", wantText: "revision 3"},
		{name: "stale", faults: PlatformFaults{Stale: true}, reader: "a", wantText: "revision 2"},
		{name: "stale by one", faults: PlatformFaults{Stale: true, StaleBy: 1}, reader: "a", wantText: "revision 1"},
		{name: "slow", faults: PlatformFaults{DelayMs: 1}, reader: "a", wantText: "revision 3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPlatform()
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			publish(p, 1)
			publish(p, 2)
			p.SetFaults(c.faults)
			publish(p, 3)
			_, text, err := read(server, discovery.PathDocuments+"s", c.reader)
			require.Equal(t, c.wantErr, err != nil)
			require.Equal(t, c.wantText, text)
		})
	}
}

// Guards against a lag fault that shows the new list immediately.
func TestInstanceListLagFault(t *testing.T) {
	p := NewPlatform()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	p.SetFaults(PlatformFaults{InstanceLagMs: 50})
	p.SetInstances([]discovery.Instance{{Service: "s", Address: "127.0.0.1:1"}})
	_, text, err := read(server, discovery.PathInstances, "a")
	require.NoError(t, err)
	require.NotContains(t, text, "127.0.0.1:1")
	_, text, err = read(server, discovery.PathInstances+"?after=0&wait=1m", "a")
	require.NoError(t, err)
	require.Contains(t, text, "127.0.0.1:1")
}

// Guards against a watch that keeps waiting after a fault was set, or that misses a publication.
func TestWatchReturnsOnChange(t *testing.T) {
	cases := []struct {
		name    string
		event   func(p *Platform)
		wantErr bool
	}{
		{"publication", func(p *Platform) { publish(p, 2) }, false},
		{"stale", func(p *Platform) { p.SetFaults(PlatformFaults{Stale: true, StaleBy: 1}) }, false},
		{"down", func(p *Platform) { p.SetFaults(PlatformFaults{Down: true}) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPlatform()
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			publish(p, 1)
			ended := make(chan error, 1)
			go func() {
				_, _, err := read(server, discovery.PathIndex+"?after=1&wait=1m", "a")
				ended <- err
			}()
			require.Eventually(t, func() bool { return p.Counts().Pending == 1 }, 10*time.Second, time.Millisecond)
			c.event(p)
			require.Equal(t, c.wantErr, <-ended != nil)
		})
	}
}

// Guards against a limit that does not count a pending watch, or that a burst of readers can exceed.
func TestReadLimitCountsPendingWatches(t *testing.T) {
	l := newReadLimiter(3)
	r := httptest.NewRequest(http.MethodGet, discovery.PathIndex, nil)
	now := time.Unix(100, 0)
	require.True(t, l.acquire(r, now)) // stays pending
	require.True(t, l.acquire(r, now))
	l.release()
	require.True(t, l.acquire(r, now))
	l.release()
	require.False(t, l.acquire(r, now))
	now = now.Add(time.Second)
	require.True(t, l.acquire(r, now))
	require.True(t, l.acquire(r, now))
	require.False(t, l.acquire(r, now))
	require.Equal(t, 3, l.counts.PeakPerSecond)
}

// Guards against a control interface that does not return the read counts.
func TestCountsAreServed(t *testing.T) {
	server := httptest.NewServer(NewPlatform().Handler())
	defer server.Close()
	_, _, err := read(server, discovery.PathDocuments+"missing", "a")
	require.NoError(t, err)
	_, text, err := read(server, "/control/counts", "a")
	require.NoError(t, err)
	var counts PlatformCounts
	require.NoError(t, json.Unmarshal([]byte(text), &counts))
	require.Equal(t, map[string]int{"a": 1}, counts.ByReader)
	require.Equal(t, map[string]int{discovery.PathDocuments: 1}, counts.ByOperation)
}
