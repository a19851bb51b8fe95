package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// TargetConfig configures a Target.
type TargetConfig struct {
	// Slots is the number of requests that are worked on at once.
	Slots int
	// QueueLimit is the number of waiting requests beyond which requests are shed.
	QueueLimit int
	// ServiceTime is the time in a slot.
	ServiceTime time.Duration
	// Start identifies this start of the target.
	Start string
}

// LedgerHeader names the request header whose value the ledger counts.
const LedgerHeader = "Standin-Work-Id"

// Target stands in for a server with slots, a queue and a ledger of what it ran. It is safe for concurrent use.
type Target struct {
	cfg    TargetConfig
	slots  chan struct{}
	held   atomic.Int64 // requests in slots or queue
	ledger ledger
}

// ledger counts the runs of each work id.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// NewTarget returns an idle target.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, slots: make(chan struct{}, cfg.Slots), ledger: ledger{runs: make(map[string]int)}}
}

// Handler serves requests, and under /control the switches of the stand-in.
func (t *Target) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/control/ledger", t.writeLedger)
	r.Handle("/*", http.HandlerFunc(t.serve))
	return r
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	held := t.held.Add(1)
	defer t.held.Add(-1)
	w.Header().Set(wire.HeaderLoad, wire.Load{InUse: int(held), Slots: t.cfg.Slots}.String())
	w.Header().Set(wire.HeaderStart, t.cfg.Start)
	if held > int64(t.cfg.Slots+t.cfg.QueueLimit) {
		declare(w, wire.DeclareShed)
		return
	}
	ctx := r.Context()
	if limit, ok := wire.ParseDeadline(r.Header); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		declare(w, wire.DeclareExpired)
		return
	}
	if id := r.Header.Get(LedgerHeader); id != "" {
		t.ledger.add(id)
	}
	time.Sleep(t.cfg.ServiceTime)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	_, _ = io.WriteString(w, r.Header.Get(LedgerHeader))
	_, _ = w.Write(make([]byte, size))
}

func declare(w http.ResponseWriter, d wire.Declaration) {
	w.Header().Set(wire.HeaderDeclare, string(d))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) writeLedger(w http.ResponseWriter, _ *http.Request) {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	_ = json.NewEncoder(w).Encode(t.ledger.runs)
}
