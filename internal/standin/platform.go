// Package standin implements small stand-ins for the systems around an entry instance: the platform, targets and
// callers. They serve tests, the demo and measurements, and are not part of the product.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/burdockpitch/burdockpitch/pkg/platform"
	"github.com/burdockpitch/burdockpitch/pkg/rules"
)

// Platform stands in for the configuration service and the instance list. It is safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	index     platform.Index
	documents map[string][]byte
	list      platform.InstanceList
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{}), documents: make(map[string][]byte)}
}

// Publish stores a document under its service.
func (p *Platform) Publish(doc *rules.Document, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.documents[doc.Service] = text
	entry := platform.IndexEntry{
		Service: doc.Service, Epoch: doc.Epoch, Revision: doc.Revision, Hash: platform.Hash(text),
	}
	entries := []platform.IndexEntry{entry}
	for _, e := range p.index.Entries {
		if e.Service != doc.Service {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Service < entries[j].Service })
	p.index = platform.Index{Sequence: p.index.Sequence + 1, Entries: entries}
	p.announce()
}

// SetInstances replaces the instance list.
func (p *Platform) SetInstances(instances []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = platform.InstanceList{Sequence: p.list.Sequence + 1, Instances: instances}
	p.announce()
}

func (p *Platform) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler serves the platform's protocol, and under /control the switches of the stand-in.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(platform.PathIndex, p.watch(func() (uint64, any) { return p.index.Sequence, p.index }))
	r.Get(platform.PathInstances, p.watch(func() (uint64, any) { return p.list.Sequence, p.list }))
	r.Get(platform.PathDocuments+"{service}", p.document)
	r.Put("/control/documents", p.putDocument)
	r.Put("/control/instances", p.putInstances)
	return r
}

// watch answers when the sequence number exceeds "after" or "wait" ends. read is called under the lock.
func (p *Platform) watch(read func() (uint64, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
		end := time.After(wait)
		for waiting := true; waiting; {
			p.mu.Lock()
			sequence, _ := read()
			changed := p.changed
			p.mu.Unlock()
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

func (p *Platform) document(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	text, ok := p.documents[chi.URLParam(r, "service")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(text)
}

func (p *Platform) putDocument(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	doc, err := rules.Parse("document", text)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(doc, text)
}

func (p *Platform) putInstances(w http.ResponseWriter, r *http.Request) {
	var instances []platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetInstances(instances)
}
