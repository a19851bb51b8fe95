package standin

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/wire"
)

// TargetConfig configures a Target.
type TargetConfig struct {
	// Slots is the number of requests that are executed concurrently.
	Slots int
	// QueueLimit is the maximum number of waiting requests. Further requests are shed.
	QueueLimit int
	// ServiceTime is the mean time that a request occupies a slot.
	ServiceTime time.Duration
	// Sigma is the standard deviation of the logarithm of the service time; 0 makes it constant.
	Sigma float64
	// Seed is the seed of the random service times.
	Seed uint64
	// ColdStartDuration is how long after its start the target is slower.
	ColdStartDuration time.Duration
	// ColdStartFactor multiplies the service time during ColdStartDuration.
	ColdStartFactor float64
	// StartID identifies this process start of the target.
	StartID string
	// LedgerFile, if set, receives one line for each execution: its start in nanoseconds since 1970, and the work ID.
	LedgerFile io.Writer
}

// WorkIDHeader is the request header with the work ID, by which the ledger counts executions.
const WorkIDHeader = "Standin-Work-Id"

// TargetCounts counts the requests that a target received, by what it did with them.
type TargetCounts struct {
	// Received counts the requests with a work ID.
	Received int64 `json:"received"`
	// WithoutWorkID counts the requests without a work ID, such as probes.
	WithoutWorkID int64 `json:"other"`
	// Executed counts the requests that took a slot.
	Executed int64 `json:"ran"`
	// Shed counts the requests refused because the queue was full.
	Shed int64 `json:"shed"`
	// Expired counts the requests whose deadline passed in the queue.
	Expired int64 `json:"expired"`
	// DiscardedReads counts the reads from silent connections (FaultSilentConnections), about one for each request sent
	// on them.
	DiscardedReads int64 `json:"swallowed"`
}

// Target stands in for a server with slots, a queue and a ledger of executions. It is safe for concurrent use.
type Target struct {
	cfg       TargetConfig
	started   time.Time
	freeSlots chan *preciseTimer // each slot has its own timer
	inFlight  atomic.Int64       // requests in slots or queue
	ledger    executionRecorder
	faults    faultSet
	listener  *listener // nil unless Serve runs

	received, withoutWorkID, executed, shed, expired atomic.Int64

	mu             sync.Mutex
	rng            *rand.Rand
	noisyNeighbour noisyNeighbour
}

// NewTarget returns an idle target.
func NewTarget(cfg TargetConfig) *Target {
	t := &Target{
		cfg: cfg, started: time.Now(), freeSlots: make(chan *preciseTimer, cfg.Slots),
		ledger: executionRecorder{counts: make(Ledger), file: cfg.LedgerFile},
		faults: faultSet{active: make(map[FaultKind]activeFault)},
		rng:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	for range cfg.Slots {
		t.freeSlots <- newPreciseTimer()
	}
	return t
}

// Handler serves requests, and the control interface of the stand-in under /control.
func (t *Target) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/control/ledger", t.ledger.getLedger)
	r.Get("/control/counts", t.getCounts)
	r.Get("/control/faults", t.getFaults)
	r.Post("/control/faults", t.postFault)
	r.Delete("/control/faults", t.deleteFaults)
	r.Handle("/*", http.HandlerFunc(t.serve))
	return r
}

// Serve serves on l until ctx ends.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	t.listener = newListener(l)
	server := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: 10 * time.Second, ConnContext: contextWithConn}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(t.listener); err != http.ErrServerClosed {
		return eris.Wrap(err, "serve target")
	}
	return nil
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(WorkIDHeader)
	t.countRequest(id)
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	if t.injectFailure(w) {
		return
	}
	t.setLoadHeaders(w.Header(), inFlight)
	if t.faults.isActive(FaultDrain) {
		w.Header().Set(wire.HeaderLeaving, "1")
		declare(w, r, wire.DeclareDraining)
		return
	}
	if inFlight > int64(t.cfg.Slots+t.cfg.QueueLimit) {
		t.shed.Add(1)
		declare(w, r, wire.DeclareShed)
		return
	}
	ctx, cancel := deadlineContext(r)
	defer cancel()
	// net/http detects that the caller closed the connection only after the request body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	slot := t.takeSlot(ctx)
	if slot == nil {
		t.expired.Add(1)
		declare(w, r, wire.DeclareExpired)
		return
	}
	t.execute(ctx, id, slot)
	if ctx.Err() != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	t.respond(ctx, w, r, id)
}

func (t *Target) countRequest(id string) {
	if id == "" {
		t.withoutWorkID.Add(1)
		return
	}
	t.received.Add(1)
}

// injectFailure applies the faults that fail a request immediately. It reports whether it wrote a response.
func (t *Target) injectFailure(w http.ResponseWriter) bool {
	if t.faults.isActive(FaultCloseConnection) {
		panic(http.ErrAbortHandler)
	}
	if t.faults.isActive(FaultError) {
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	return false
}

func (t *Target) setLoadHeaders(h http.Header, inFlight int64) {
	if t.faults.isActive(FaultIdleLoadReport) {
		inFlight = 0
	}
	if t.faults.isActive(FaultLeaving) {
		h.Set(wire.HeaderLeaving, "1")
	}
	h.Set(wire.HeaderLoad, wire.LoadReport{InUse: int(inFlight), Slots: t.cfg.Slots}.String())
	h.Set(wire.HeaderStart, t.cfg.StartID)
}

func deadlineContext(r *http.Request) (context.Context, context.CancelFunc) {
	if timeout, ok := wire.ParseDeadline(r.Header); ok {
		return context.WithTimeout(r.Context(), timeout)
	}
	return r.Context(), func() {}
}

// takeSlot waits for a free slot. It returns nil if ctx ended first; the request is then not executed.
func (t *Target) takeSlot(ctx context.Context) *preciseTimer {
	select {
	case slot := <-t.freeSlots:
		if ctx.Err() == nil {
			return slot
		}
		t.freeSlots <- slot
	case <-ctx.Done():
	}
	return nil
}

// execute occupies the slot for the service time, or until the deadline or the cancellation of the request.
func (t *Target) execute(ctx context.Context, id string, slot *preciseTimer) {
	defer func() { t.freeSlots <- slot }()
	t.executed.Add(1)
	if id != "" {
		if err := t.ledger.add(id); err != nil {
			panic(err)
		}
	}
	_ = slot.sleep(ctx, t.serviceTime())
}

// serviceTime draws from a log-normal distribution with the mean ServiceTime, multiplied by the factors of the cold
// start and of active faults.
func (t *Target) serviceTime() time.Duration {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := math.Exp(t.rng.NormFloat64()*t.cfg.Sigma - t.cfg.Sigma*t.cfg.Sigma/2)
	if now.Sub(t.started) < t.cfg.ColdStartDuration {
		factor *= t.cfg.ColdStartFactor
	}
	if f, ok := t.faults.get(FaultSlow, now); ok {
		factor *= f.Factor
	}
	if f, ok := t.faults.get(FaultNoisyNeighbour, now); ok && t.noisyNeighbour.inBurst(now, t.rng) {
		factor *= f.Factor
	}
	return time.Duration(factor * float64(t.cfg.ServiceTime))
}

// respond echoes the work ID, followed by as many zero bytes as the query parameter "size" states. FaultTruncate closes
// the connection after the work ID.
func (t *Target) respond(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	if f, ok := t.faults.get(FaultDelay, time.Now()); ok {
		_ = sleepContext(ctx, time.Duration(f.DelayMs)*time.Millisecond)
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	if !t.faults.isActive(FaultTruncate) {
		w.Header().Set("Content-Length", strconv.Itoa(len(id)+size))
		_, _ = io.WriteString(w, id)
		_, _ = w.Write(make([]byte, size))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(id)+size+1))
	_, _ = io.WriteString(w, id)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func declare(w http.ResponseWriter, r *http.Request, d wire.Declaration) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set(wire.HeaderDeclare, string(d))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (t *Target) getCounts(w http.ResponseWriter, _ *http.Request) {
	c := TargetCounts{
		Received: t.received.Load(), WithoutWorkID: t.withoutWorkID.Load(), Executed: t.executed.Load(), Shed: t.shed.Load(),
		Expired: t.expired.Load(),
	}
	if t.listener != nil {
		c.DiscardedReads = t.listener.discardedReads.Load()
	}
	_ = json.NewEncoder(w).Encode(c)
}
