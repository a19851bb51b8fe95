// Package standin implements small stand-ins for the systems around an instance: the platform, targets and callers.
// They are used by tests, the demo and measurements, and are not part of the product.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Platform stands in for the configuration service and the instance list. It is safe for concurrent use.
type Platform struct {
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each change of content or faults
	current      snapshot
	history      []snapshot // earlier snapshots, oldest first, for the fault "stale"
	pinned       *snapshot  // served in place of current while the fault "stale" is on
	instanceList discovery.InstanceList
	faults       PlatformFaults
	readLimiter  readLimiter
}

// snapshot is the published state of the configuration service. It is not modified once stored.
type snapshot struct {
	index     discovery.Index
	documents map[string][]byte
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{}), readLimiter: newReadLimiter(MaxReadsPerSecond)}
}

// Publish stores a document under its service. Like the real configuration service, it does not check the text.
func (p *Platform) Publish(entry discovery.IndexEntry, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := snapshot{documents: map[string][]byte{entry.Service: text}}
	next.index = discovery.Index{Sequence: p.current.index.Sequence + 1, Entries: []discovery.IndexEntry{entry}}
	for _, e := range p.current.index.Entries {
		if e.Service != entry.Service {
			next.index.Entries = append(next.index.Entries, e)
			next.documents[e.Service] = p.current.documents[e.Service]
		}
	}
	sort.Slice(next.index.Entries, func(i, j int) bool { return next.index.Entries[i].Service < next.index.Entries[j].Service })
	p.history = append(p.history, p.current)
	if len(p.history) > maxHistorySnapshots {
		p.history = p.history[1:]
	}
	p.current = next
	p.notifyWatchers()
}

// SetInstances replaces the instance list. Readers see the new list after PlatformFaults.InstanceLagMs.
func (p *Platform) SetInstances(instances []discovery.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lag := p.faults.instanceLag(); lag > 0 {
		time.AfterFunc(lag, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.replaceInstanceList(instances)
		})
		return
	}
	p.replaceInstanceList(instances)
}

func (p *Platform) replaceInstanceList(instances []discovery.Instance) {
	p.instanceList = discovery.InstanceList{Sequence: p.instanceList.Sequence + 1, Instances: instances}
	p.notifyWatchers()
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleSnapshot returns the snapshot that readers see. The caller holds p.mu.
func (p *Platform) visibleSnapshot() snapshot {
	if p.pinned != nil {
		return *p.pinned
	}
	return p.current
}

// Handler serves the platform's protocol, and the control interface of the stand-in under /control.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.readMiddleware)
		r.Get(discovery.PathIndex, p.watchHandler(func() (uint64, any) { return p.visibleSnapshot().index.Sequence, p.visibleSnapshot().index }))
		r.Get(discovery.PathInstances, p.watchHandler(func() (uint64, any) { return p.instanceList.Sequence, p.instanceList }))
		r.Get(discovery.PathDocuments+"{service}", p.getDocument)
	})
	r.Put("/control/documents", p.putDocument)
	r.Put("/control/instances", p.putInstances)
	r.Put("/control/faults", p.putFaults)
	r.Get("/control/counts", p.getCounts)
	return r
}

// watchHandler returns a long-poll handler. It responds when the sequence number differs from the query parameter
// "after" or the duration in "wait" is over. read is called with p.mu held.
func (p *Platform) watchHandler(read func() (uint64, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		end := time.After(wait)
		for waiting := true; waiting; {
			p.mu.Lock()
			sequence, _ := read()
			changed := p.changed
			broken := p.faults.breaksConnection(r)
			p.mu.Unlock()
			if broken {
				panic(http.ErrAbortHandler) // a new fault also breaks calls that are already waiting
			}
			if sequence != after {
				break
			}
			select {
			case <-changed:
			case <-end:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
		p.mu.Lock()
		_, value := read()
		p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(value)
	}
}

func (p *Platform) getDocument(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	text, ok := p.visibleSnapshot().documents[chi.URLParam(r, "service")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(text)
}

// putDocument publishes the body. If the query parameter "service" is set, the service, the epoch and the revision are
// taken from the query and the body is not parsed, so that tests can publish invalid documents. The query parameter
// "hash", if set, replaces the hash of the body in the index.
func (p *Platform) putDocument(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entry := discovery.IndexEntry{Hash: discovery.Hash(text)}
	query := r.URL.Query()
	if query.Get("service") != "" {
		entry.Service = query.Get("service")
		entry.Epoch, _ = strconv.ParseUint(query.Get("epoch"), 10, 64)
		entry.Revision, _ = strconv.ParseUint(query.Get("revision"), 10, 64)
	} else {
		doc, err := rules.Parse("document", text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		entry.Service, entry.Epoch, entry.Revision = doc.Service, doc.Epoch, doc.Revision
	}
	if hash := query.Get("hash"); hash != "" {
		entry.Hash = hash
	}
	p.Publish(entry, text)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []discovery.Instance
	if !decodeBody(w, r, &instances) {
		return
	}
	p.SetInstances(instances)
}

// readMiddleware applies the faults and the read limit to each read, and counts it.
func (p *Platform) readMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		broken := p.faults.breaksConnection(r)
		delay := p.faults.delay()
		p.mu.Unlock()
		if broken {
			panic(http.ErrAbortHandler)
		}
		if !p.readLimiter.acquire(r, time.Now()) {
			http.Error(w, "read limit exceeded", http.StatusTooManyRequests)
			return
		}
		defer p.readLimiter.release()
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		next.ServeHTTP(w, r)
	})
}

// breaksConnection reports whether a fault breaks the connection of a call.
func (f PlatformFaults) breaksConnection(r *http.Request) bool {
	return f.Down || slices.Contains(f.PartitionedReaders, r.Header.Get(discovery.HeaderReader))
}

func operationName(path string) string {
	if strings.HasPrefix(path, discovery.PathDocuments) {
		return discovery.PathDocuments
	}
	return path
}

// decodeBody decodes the JSON body of a request into v. If that fails, it responds with 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(r.Body).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
