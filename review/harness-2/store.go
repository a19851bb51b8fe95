package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// historyTime is history_s.
const historyTime = 20 * time.Second

// pageSize is the number of items in one page of a range read.
const pageSize = 500

// item is one key of the store, or a deletion of it.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"create_revision,omitempty"`
	Lease   int    `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	items   map[string]item
	history []item
	// compacted is the revision of the last change that was dropped from history.
	compacted uint64
	changed   chan struct{}
	// cutAfter is the time after which a waiting watch is cut without an answer; 0 means never.
	cutAfter time.Duration
	cuts     int
	// silentBefore is the time before which the connections were opened that have gone silent: nothing arrives on them any
	// more in either direction.
	silentBefore time.Time
	sentBytes    int // of the largest answer to a watch
	// era is Store-Era: how often the store has come back from a copy.
	era int
	// away is closed while the store is away, and nil otherwise.
	away chan struct{}
}

// copy is the content of the store at one time.
type storeCopy struct {
	rev, compacted uint64
	items          map[string]item
	history        []item
}

// copy returns a copy from which the store can be restored.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rev: s.rev, compacted: s.compacted, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// goAway resets all calls from now on.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = make(chan struct{})
	close(s.away)
	close(s.changed) // wakes the waiting watches
	s.changed = make(chan struct{})
}

// restore brings the store back from a copy.
func (s *store) restore(c storeCopy) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = nil
	s.era++
	s.rev, s.compacted, s.items, s.history = c.rev, c.compacted, c.items, c.history
	return time.Now()
}

// admit aborts a call while the store is away, and sets the headers of an answer.
func (s *store) admit(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
}

// connOpened is the context key of the time at which the connection of a call was opened.
type connOpened struct{}

func startStore(address string) (*store, error) {
	s := &store{address: address, rev: 100, items: make(map[string]item), changed: make(chan struct{})}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.admit(w)
			mux.ServeHTTP(w, r)
			s.awaitIfSilent(r)
		}),
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connOpened{}, time.Now())
		},
	}
	go server.Serve(l)
	return s, nil
}

// awaitIfSilent holds an answer, which is still in the buffer of the server, until the caller gives up, if its connection
// has gone silent.
func (s *store) awaitIfSilent(r *http.Request) {
	if s.isSilent(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (s *store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.Context().Value(connOpened{}).(time.Time).Before(s.silentBefore)
}

// silenceConnections makes all open connections silent for good. New ones work.
func (s *store) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentBefore = time.Now()
}

// put writes a key and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.apply(item{Key: key, Value: text})
}

// remove deletes a key and returns the time of the confirmation.
func (s *store) remove(key string) time.Time { return s.apply(item{Key: key, Deleted: true}) }

func (s *store) apply(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Rev = s.rev
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Rev
		if old, ok := s.items[i.Key]; ok {
			i.Created = old.Created
		}
		s.items[i.Key] = i
	}
	i.at = time.Now()
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.compacted, s.history = s.history[0].Rev, s.history[1:]
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) setCutAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = d
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"store_revision"`
	}{i, s.rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	page := []item{}
	for _, i := range s.items {
		if strings.HasPrefix(i.Key, query.Get("prefix")) && i.Key > query.Get("after") {
			page = append(page, i)
		}
	}
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(page) > pageSize
	page = page[:min(len(page), pageSize)]
	writeJSON(w, map[string]any{"items": page, "has_more": more, "store_revision": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait_ms"))
	if errAfter != nil || errWait != nil || wait < 0 || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	cutAfter := s.cutAfter
	s.mu.Unlock()
	end, cut := time.After(time.Duration(wait)*time.Millisecond), make(<-chan time.Time)
	if cutAfter > 0 {
		cut = time.After(cutAfter)
	}
	for {
		s.admit(w)
		s.mu.Lock()
		if after < s.compacted || after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if s.isSilent(r) {
			return
		}
		if len(events) > 0 {
			size := 0
			for _, e := range events {
				size += base64.StdEncoding.EncodedLen(len(e.Value))
			}
			s.mu.Lock()
			s.sentBytes = max(s.sentBytes, size)
			s.mu.Unlock()
			writeJSON(w, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": events, "store_revision": rev})
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(content)
}
