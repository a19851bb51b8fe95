package discovery_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/internal/standin"
	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

const testTimeout = 20 * time.Second

func document(revision uint64, extra string) string {
	return fmt.Sprintf("service = \"s\"\nepoch = 1\nrevision = %d\n%s[rules]\n"+
		"a = { path = \"/a\", methods = [\"GET\"], class = \"lookup\", deadline = \"1s\" } # asked by the test\n", revision, extra)
}

func indexEntry(revision uint64, text string) discovery.IndexEntry {
	return discovery.IndexEntry{Service: "s", Epoch: 1, Revision: revision, Hash: discovery.Hash([]byte(text))}
}

// fixture is a stand-in platform with a reader that fills a configuration store.
type fixture struct {
	platform *standin.Platform
	server   *httptest.Server
	registry *prometheus.Registry
	store    *discovery.ConfigStore
	reader   *discovery.Reader

	mu    sync.Mutex
	lists []discovery.InstanceList
}

func (f *fixture) OfferDocument(source, service string, text []byte) {
	f.store.Offer(source, service, text)
}
func (f *fixture) HasDocument(e discovery.IndexEntry) bool { return f.store.Has(e) }
func (f *fixture) SetInstances(l discovery.InstanceList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists = append(f.lists, l)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{platform: standin.NewPlatform(), registry: prometheus.NewRegistry()}
	f.server = httptest.NewServer(f.platform.Handler())
	t.Cleanup(f.server.Close)
	m := discovery.NewMetrics(f.registry)
	f.store = discovery.NewConfigStore(nil, logr.Discard(), m, func([]*rules.Document) {})
	cfg := discovery.DefaultReaderConfig(f.server.URL, "r1")
	cfg.Timeout, cfg.BackoffInitial, cfg.BackoffMax, cfg.FetchJitter = 300*time.Millisecond, time.Millisecond, 10*time.Millisecond, 0
	cfg.Wait, cfg.Rate, cfg.Burst = 500*time.Millisecond, 1000, 1000
	f.reader = discovery.NewReader(cfg, f, m, logr.Discard())
	return f
}

// run starts the watches; they end before the server closes.
func (f *fixture) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { f.reader.WatchIndex(ctx) })
	group.Go(func() { f.reader.WatchInstances(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
}

func (f *fixture) publish(revision uint64) {
	text := document(revision, "")
	f.platform.Publish(indexEntry(revision, text), []byte(text))
}

func (f *fixture) revision() uint64 {
	d, ok := f.store.Get("s")
	if !ok {
		return 0
	}
	return d.Revision
}

func (f *fixture) counterValue(name, result string) float64 {
	families, _ := f.registry.Gather()
	for _, family := range families {
		for _, m := range family.GetMetric() {
			if family.GetName() == "burdockpitch_"+name && m.GetLabel()[0].GetValue() == result {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	require.Eventually(t, check, testTimeout, time.Millisecond, what)
}

// Guards against a reader that does not recover from a fault of the platform, or that reverts the configuration during
// one.
func TestReaderRecoversFromFaults(t *testing.T) {
	cases := []struct {
		name     string
		faults   standin.PlatformFaults
		observed func(f *fixture) bool // whether the fault took effect
	}{
		{"down", standin.PlatformFaults{Down: true}, func(f *fixture) bool { return f.counterValue("platform_reads_total", "failed") > 3 }},
		{"cut", standin.PlatformFaults{PartitionedReaders: []string{"r1"}}, func(f *fixture) bool { return f.counterValue("platform_reads_total", "failed") > 3 }},
		{"silent", standin.PlatformFaults{DelayMs: 60_000}, func(f *fixture) bool { return f.platform.Counts().Pending > 0 }},
		{"stale", standin.PlatformFaults{Stale: true, StaleBy: 1}, func(f *fixture) bool {
			return f.counterValue("configuration_offers_total", "lower") == 1
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1)
			f.publish(2)
			f.run(t)
			eventually(t, "first document", func() bool { return f.revision() == 2 })
			f.platform.SetFaults(c.faults)
			if c.name == "silent" {
				f.publish(3) // ends the waiting watch, so that the fault affects the next one
				eventually(t, "third document", func() bool { return f.revision() == 3 || c.observed(f) })
			}
			eventually(t, "effect of the fault", func() bool { return c.observed(f) })
			require.GreaterOrEqual(t, f.revision(), uint64(2))
			f.platform.SetFaults(standin.PlatformFaults{})
			f.publish(4)
			eventually(t, "document after the fault", func() bool { return f.revision() == 4 })
		})
	}
}

// Guards against reads of documents that did not change, which would use up the platform's read limit.
func TestDocumentsAreFetchedOnlyOnChange(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	publishOther := func() {
		text := strings.Replace(document(1, ""), `"s"`, `"other"`, 1)
		f.platform.Publish(discovery.IndexEntry{Service: "other", Epoch: 1, Revision: 1, Hash: discovery.Hash([]byte(text))}, []byte(text))
	}
	steps := []struct {
		name    string
		change  func()
		fetches int
	}{
		{"first read", func() { f.publish(1) }, 1},
		{"no change", func() {}, 0},
		{"other service", publishOther, 1},
		{"same content published again", func() { f.publish(1) }, 0},
		{"next revision", func() { f.publish(2) }, 1},
		{"revision received from a peer first", func() {
			f.store.Offer("peer", "s", []byte(document(3, "")))
			f.publish(3)
		}, 0},
	}
	for _, step := range steps {
		step.change()
		before := f.platform.Counts().ByOperation[discovery.PathDocuments]
		require.NoError(t, f.reader.Refresh(ctx))
		require.Equal(t, step.fetches, f.platform.Counts().ByOperation[discovery.PathDocuments]-before, step.name)
	}
	require.Equal(t, uint64(3), f.revision())
}

// Guards against a hash mismatch between index and document that is not reported, that keeps the document from coming
// into force, or that stops later fetches.
func TestHashMismatchIsReportedAndRetried(t *testing.T) {
	f := newFixture(t)
	text := document(2, "")
	wrong := indexEntry(3, text)
	wrong.Hash = "1"
	f.platform.Publish(wrong, []byte(text))
	f.run(t)
	eventually(t, "count of hash mismatches", func() bool { return f.counterValue("platform_reads_total", "hash-mismatch") > 1 })
	require.Equal(t, uint64(2), f.revision())
	f.publish(3)
	eventually(t, "document that matches", func() bool { return f.revision() == 3 })
}

// Guards against a response of any size being read into memory, and against an error response, or a broken one, that is
// taken for an index or a list.
func TestBadResponsesAreRejected(t *testing.T) {
	const empty = `{"sequence":1,"entries":[],"instances":[]}`
	raw := func(head, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			require.NoError(t, err)
			defer c.Close()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
	}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		result  string
	}{
		{"status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, "status"},
		{"oversized", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 9<<20)) }, "too-large"},
		{"reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, "failed"},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, "failed"},
		{"cut short", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "100") }, "failed"},
		{"blank in a name", raw("A b: c\r\n", empty), "failed"},
		{"large head", raw(strings.Repeat("k: v\r\n", 100_000), empty), "failed"},
		{"two values", raw("", empty+empty), "ok"},
		{"many values", raw("", strings.Replace(empty, "[]", "["+strings.Repeat("{},", 1<<18)+"{}]", 2)), "ok"},
		{"another place", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/elsewhere" {
				_, _ = w.Write([]byte(empty))
				return
			}
			http.Redirect(w, r, "/elsewhere", http.StatusFound)
		}, "status"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			bad := httptest.NewServer(c.handler)
			defer bad.Close()
			cfg := discovery.DefaultReaderConfig(bad.URL, "r2")
			cfg.Timeout = testTimeout // long enough for 9 MiB on a busy machine
			if c.name == "silent" {
				cfg.Timeout = 200 * time.Millisecond
			}
			reg := prometheus.NewRegistry()
			r := discovery.NewReader(cfg, f, discovery.NewMetrics(reg), logr.Discard())
			f.registry = reg
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			require.Error(t, r.Refresh(ctx))
			require.Equal(t, float64(2), f.counterValue("platform_reads_total", c.result))
			require.Empty(t, f.store.Documents())
		})
	}
}

// Guards against findings that an operator cannot see, and against a base mismatch that is not reported.
func TestStoreReportsFindingsAndBase(t *testing.T) {
	f := newFixture(t)
	f.store.Offer("test", "s", []byte(document(1, "")))
	f.store.Offer("test", "s", []byte(strings.Replace(document(2, ""), "lookup", "unheard-of", 1)))
	require.Equal(t, uint64(1), f.revision())
	require.Len(t, f.store.LastRefused(), 1)
	require.NotEmpty(t, f.store.LastRefused()[0].Findings)
	f.store.Offer("test", "s", []byte(document(3, "based_on = \"1.2\"\n")))
	require.Equal(t, float64(1), f.counterValue("configuration_offers_total", "base-mismatch"))
	f.store.Offer("test", "s", []byte(document(4, "based_on = \"1.3\"\n")))
	require.Equal(t, float64(1), f.counterValue("configuration_offers_total", "base-mismatch"))
	require.Empty(t, f.store.LastRefused())
}

// Guards against an instance list from before a pause that replaces a later one, because its response was read late.
func TestStaleListDoesNotReplaceNewerOne(t *testing.T) {
	firstStarted, release, secondStarted := make(chan struct{}), make(chan struct{}), make(chan struct{})
	var watches atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sequence := 2
		if r.URL.Path == discovery.PathInstances && r.URL.Query().Get("wait") != "0s" {
			switch watches.Add(1) {
			case 1:
				close(firstStarted)
				<-release
				sequence = 1
			case 2:
				close(secondStarted)
				<-r.Context().Done()
			}
		}
		_, _ = fmt.Fprintf(w, "{\"sequence\": %d}", sequence)
	}))
	defer server.Close()
	f := &fixture{}
	r := discovery.NewReader(discovery.DefaultReaderConfig(server.URL, "r1"), f, discovery.NewMetrics(prometheus.NewRegistry()), logr.Discard())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go r.WatchInstances(ctx)
	<-firstStarted
	require.NoError(t, r.Refresh(ctx))
	close(release)
	<-secondStarted
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, []discovery.InstanceList{{Sequence: 2}}, f.lists)
}

// Guards against an instance that counts as synced before it has the instance list: it would refuse requests for lack of
// targets, or send them by a list that it has from before.
func TestSyncedNeedsIndexAndInstanceList(t *testing.T) {
	for name, watches := range map[string][]func(*fixture, context.Context){
		"index first": {watchIndex, watchInstances}, "list first": {watchInstances, watchIndex},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1)
			f.platform.SetInstances([]discovery.Instance{{Service: "s", Address: "127.0.0.1:1", State: discovery.StateLive}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go watches[0](f, ctx)
			select {
			case <-f.reader.Synced():
				t.Fatal("synced after one of two reads")
			case <-time.After(200 * time.Millisecond):
			}
			go watches[1](f, ctx)
			select {
			case <-f.reader.Synced():
			case <-time.After(testTimeout):
				t.Fatal("not synced")
			}
		})
	}
}

func watchIndex(f *fixture, ctx context.Context)     { f.reader.WatchIndex(ctx) }
func watchInstances(f *fixture, ctx context.Context) { f.reader.WatchInstances(ctx) }
