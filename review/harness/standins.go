package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store with its last change.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"create_revision,omitempty"`
	Lease   int    `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: pages of 50 items, a watch with history, and Store-Era.
type store struct {
	mu      sync.Mutex
	rev     uint64
	era     int
	down    bool
	items   map[string]item
	history []item
	changed chan struct{}
	cut     chan struct{} // closed to cut the watches that are waiting
	// cutAfter is the time after which each waiting watch is cut; 0 for never. cuts counts them.
	cutAfter time.Duration
	cuts     int
}

func newStore() *store {
	return &store{rev: 1, items: map[string]item{}, changed: make(chan struct{}), cut: make(chan struct{})}
}

func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
	return s.rev
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setCutAfter makes the store cut each watch that has waited for d; 0 ends this.
func (s *store) setCutAfter(d time.Duration) (cuts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutAfter = d
	return s.cuts
}

// copyState is a copy from which the store can be restored.
type copyState struct {
	rev     uint64
	items   map[string]item
	history []item
}

func (s *store) copy() copyState {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyState{rev: s.rev, items: map[string]item{}, history: append([]item(nil), s.history...)}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

// restore replaces the state by a copy and starts the next era.
func (s *store) restore(c copyState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.items, s.history = c.rev, c.items, c.history
	s.era++
	s.wake()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/kv-range":
		s.serveRange(w, r)
	case "/-/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 50
	if more {
		keys = keys[:50]
	}
	list := []item{}
	for _, k := range keys {
		list = append(list, s.items[k])
	}
	reply := map[string]any{"items": list, "has_more": more, "store_revision": s.rev}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after > s.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		rev, changed, cut := s.rev, s.changed, s.cut
		var cutTime <-chan time.Time
		if s.cutAfter > 0 {
			cutTime = time.After(s.cutAfter)
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, events, rev)
			return
		}
		done, broken := false, false
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-cutTime:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			broken = true
		case <-cut:
			broken = true
		case <-r.Context().Done():
			broken = true
		}
		s.mu.Lock()
		rev = s.rev
		s.mu.Unlock()
		if broken {
			panic(http.ErrAbortHandler)
		}
		if done {
			reply(w, []item{}, rev)
			return
		}
	}
}

func reply(w http.ResponseWriter, events []item, rev uint64) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "store_revision": rev})
}

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	method string
	ran    bool
	end    string
	endAt  time.Time
}

// server is a stand-in of one of the users' servers. The time that a request takes is the number after "w" at the end of
// its path, in milliseconds.
type server struct {
	id, service, addr, zone string
	born                    int64
	slots, queue            int
	lab                     *lab
	ln                      net.Listener
	srv                     *http.Server

	mu               sync.Mutex
	running, waiting int
	sem              chan struct{}
	conns            map[net.Conn]bool
}

func (l *lab) startServer(service, zone string, slots int) *server {
	l.serverCount++
	ip := fmt.Sprintf("127.0.2.%d", l.serverCount)
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		l.fatal("server: %v", err)
	}
	s := &server{
		id: fmt.Sprintf("i-%08x", 0x10000+l.serverCount), service: service, addr: ln.Addr().String(), zone: zone,
		born: time.Now().UnixMilli(), slots: slots, queue: 8, lab: l, ln: ln, sem: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	s.srv = &http.Server{Handler: s, ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if st == http.StateClosed {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go func() { _ = s.srv.Serve(ln) }()
	l.servers = append(l.servers, s)
	return s
}

func (s *server) entry(state string, warmupMs int, sequence int) []byte {
	text, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"warmup_left_ms": warmupMs, "sequence": sequence, "born": s.born,
	})
	return text
}

// exit ends the server like the end of its process: the listener closes and all connections break.
func (s *server) exit() {
	_ = s.ln.Close()
	s.mu.Lock()
	conns := make([]net.Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = s.srv.Close()
	s.lab.event("server %s exits", s.id)
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", s.load())
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := s.lab.arrive(s, id, r.Method)
	s.mu.Lock()
	full := s.running+s.waiting >= s.slots+s.queue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.lab.ended(a, "503 Not-Executed")
		return
	}
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		ms = 60000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	select {
	case s.sem <- struct{}{}:
	case <-ctx.Done():
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		s.lab.ended(a, "503 Not-Executed (deadline in the queue)")
		return
	}
	s.mu.Lock()
	s.waiting--
	s.running++
	s.mu.Unlock()
	defer func() {
		<-s.sem
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	s.lab.ran(a)
	work := 100
	if i := strings.LastIndexByte(r.URL.Path, 'w'); i >= 0 {
		if n, err := strconv.Atoi(r.URL.Path[i+1:]); err == nil {
			work = n
		}
	}
	w.Header().Set("Response-Signature", s.id+"."+id)
	w.Header().Set("Server-Load", s.load())
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		s.lab.ended(a, "dropped: connection closed or deadline")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	text := id + ":" + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err = io.WriteString(w, text)
	if err != nil {
		s.lab.ended(a, "200, not written")
		return
	}
	s.lab.ended(a, "200")
}
