package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// entry is the entry of a server in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	WarmupMs int    `json:"warmup_left_ms"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// arrival is a request that a server began to work on.
type arrival struct {
	at     time.Time
	server string
	id     string
	path   string
	ended  bool // the server has answered it
}

// server is a stand-in of one of the platform's servers.
type server struct {
	lab   *lab
	id    string
	entry entry
	work  time.Duration
	slots chan struct{}

	waiting atomic.Int64
	http    *http.Server

	mu       sync.Mutex
	arrivals []*arrival
	exited   bool
}

const serverQueue = 12

func (l *lab) startServer(id string, e entry, work time.Duration) (*server, error) {
	e.Version, e.State, e.Sequence, e.Born = "v1", "ready", 1, time.Now().UnixMilli()
	s := &server{lab: l, id: id, entry: e, work: work, slots: make(chan struct{}, e.Slots)}
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(listener)
	l.store.put("servers/"+id, e)
	return s, nil
}

// exit ends the server as the end of its process does: its address refuses connections and its connections are closed.
func (s *server) exit() {
	s.mu.Lock()
	s.exited = true
	s.mu.Unlock()
	_ = s.http.Close()
}

func (s *server) load() string {
	return fmt.Sprintf("%d,%d,%d,100", len(s.slots), s.waiting.Load(), cap(s.slots))
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", s.load())
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	ms, errDeadline := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		return
	}
	if errDeadline != nil || id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	if s.waiting.Add(1) > serverQueue {
		s.waiting.Add(-1)
		s.reject(w)
		return
	}
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
	case <-deadline:
		s.waiting.Add(-1)
		s.reject(w)
		return
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	defer func() { <-s.slots }()
	a := &arrival{at: time.Now(), server: s.id, id: id, path: r.URL.Path}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.lab.record("server %s runs %s %s %s", s.id, r.Method, r.URL.Path, id)
	select {
	case <-time.After(s.work):
	case <-deadline:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	a.ended = !s.exited
	s.mu.Unlock()
	h.Set("Server-Load", s.load())
	h.Set("Response-Signature", signature(s.id, id))
	_, _ = io.WriteString(w, answerBody(id, string(body)))
}

func (s *server) reject(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *server) ran() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		list[i] = *a
	}
	return list
}

func signature(server, request string) string { return server + "." + request }
func answerBody(request, body string) string  { return "answer to " + request + ": " + body }
