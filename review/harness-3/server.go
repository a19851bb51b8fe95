//go:build review3

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const checkInInterval = 1500 * time.Millisecond

// server is a stand-in of one of the platform's servers.
type server struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	born              int64
	listener          net.Listener
	record            *record

	mu               sync.Mutex
	running, waiting int
	freed            chan struct{}
	sequence         int
	leaving          bool
}

func startServer(rec *record, id, service, zone string, slots int, work time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &server{
		id: id, service: service, zone: zone, slots: slots, queue: 8, work: work, born: time.Now().UnixMilli(), listener: l,
		record: rec, freed: make(chan struct{}, 1024),
	}
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 10 * time.Second}).Serve(l) }()
	return s
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) key() string { return "servers/" + s.id }

// content is the entry of the server without its sequence.
func (s *server) content(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmup_left_ms":0,"born":%d}`,
		s.service, s.address(), s.zone, s.slots, state, s.born)
}

func (s *server) checkIn(st *store) bool {
	s.sequence++
	return st.checkIn(s.key(), s.content("ready"), s.sequence)
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// acquire waits for a slot. It returns false if the queue is full or the context ends first.
func (s *server) acquire(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots && s.waiting >= s.queue {
		return false
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.running >= s.slots {
		s.mu.Unlock()
		select {
		case <-s.freed:
			s.mu.Lock()
		case <-ctx.Done():
			s.mu.Lock()
			return false
		}
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.freed <- struct{}{}
}

// ServeHTTP implements http.Handler.
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
	ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	if err != nil || !s.acquire(ctx) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release()
	s.record.add("run", "request", id, "server", s.id, "method", r.Method, "path", r.URL.Path, "body", string(body))
	w.Header().Set("Response-Signature", s.id+"."+id)
	select {
	case <-time.After(s.work/2 + time.Duration(float64(s.work)*random())):
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Server-Load", s.load())
	_, _ = io.WriteString(w, id+":"+string(body))
}
