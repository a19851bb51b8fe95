//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in one page of a read.
const pageSize = 50

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"rev"`
	Created  uint64 `json:"create_revision,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeCopy is the content of a store at one time.
type storeCopy struct {
	revision uint64
	items    map[string]item
	history  []item
}

// store is a stand-in of the platform's store. Entries of servers expire without check-ins.
type store struct {
	mu       sync.Mutex
	revision uint64
	era      int
	items    map[string]item
	history  []item
	seen     map[string]time.Time // last check-in of each server's entry
	contents map[string]string    // of each server's entry, without its sequence
	changed  chan struct{}
	away     bool
	failure  string // "busy" answers 503, "reset" resets connections
}

func newStore() *store {
	s := &store{
		revision: 1, items: make(map[string]item), seen: make(map[string]time.Time), contents: make(map[string]string),
		changed: make(chan struct{}), failure: "busy",
	}
	go s.expire()
	return s
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, value)
}

func (s *store) putLocked(key string, value []byte) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	delete(s.seen, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.notify()
}

// checkIn writes the entry of a server. The entry changes only if more than its sequence changes. It returns false while the
// store is away.
func (s *store) checkIn(key, content string, sequence int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.seen[key] = time.Now()
	value := []byte(strings.TrimSuffix(content, "}") + fmt.Sprintf(`,"sequence":%d}`, sequence))
	if old, ok := s.items[key]; ok && s.contents[key] == content {
		old.Value = value
		s.items[key] = old
		return true
	}
	s.contents[key] = content
	s.putLocked(key, value)
	return true
}

// expire removes the entries of servers that have been silent for three check-in intervals, also while the store is away.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for key, at := range s.seen {
			if time.Since(at) > 3*checkInInterval {
				s.removeLocked(key)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
}

// copyNow returns a copy of the content.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

// restore replaces the content by that of a copy. The silence of servers counts from now on.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.seen = make(map[string]time.Time)
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") {
			s.seen[key] = time.Now()
		}
	}
	s.notify()
}

// keys returns the number of the entries of servers.
func (s *store) servers() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") {
			n++
		}
	}
	return n
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// admits answers a call while the store is away, and returns false then. The caller holds s.mu.
func (s *store) admits(w http.ResponseWriter) bool {
	if !s.away {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		return true
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	if s.failure == "reset" {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	return false
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admits(w) {
		return
	}
	page := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			page = append(page, s.items[key])
		}
	}
	more := len(page) > pageSize
	writeJSON(w, map[string]any{"items": page[:min(len(page), pageSize)], "has_more": more, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.era
	for {
		if !s.admits(w) {
			return
		}
		if after > s.revision || s.era != era {
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		ended := false
		if len(events) == 0 {
			changed := s.changed
			s.mu.Unlock()
			select {
			case <-changed:
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				ended = true
			}
			s.mu.Lock()
			if !ended {
				continue
			}
			if !s.admits(w) {
				return
			}
		}
		writeJSON(w, map[string]any{"events": events, "store_revision": s.revision})
		return
	}
}

func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}
