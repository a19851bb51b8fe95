package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultKind names a fault that can be injected into a target.
type FaultKind string

// The faults of a target.
const (
	// FaultSlow multiplies the service time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultError responds immediately with a 500 without body or load headers, and executes nothing.
	FaultError FaultKind = "error"
	// FaultCloseConnection closes the connection immediately and executes nothing.
	FaultCloseConnection FaultKind = "close"
	// FaultIdleLoadReport makes the target report that it is idle, whatever its load is.
	FaultIdleLoadReport FaultKind = "load-report"
	// FaultTruncate executes the request and closes the connection within the response body.
	FaultTruncate FaultKind = "truncate"
	// FaultDelay executes the request and delays the response by DelayMs.
	FaultDelay FaultKind = "delay"
	// FaultLeaving executes requests as usual and announces in each response that the target is leaving.
	FaultLeaving FaultKind = "leaving"
	// FaultDrain refuses each new request with the declaration that the target is draining.
	FaultDrain FaultKind = "drain"
	// FaultSilentConnections makes the currently open connections permanently unresponsive; new ones work. It ignores
	// DurationMs.
	FaultSilentConnections FaultKind = "silent"
	// FaultNoisyNeighbour multiplies the service time by Factor in short bursts at random times.
	FaultNoisyNeighbour FaultKind = "neighbour"
)

var knownFaults = map[FaultKind]bool{
	FaultSlow: true, FaultError: true, FaultCloseConnection: true, FaultIdleLoadReport: true, FaultTruncate: true, FaultDelay: true,
	FaultLeaving: true, FaultDrain: true, FaultSilentConnections: true, FaultNoisyNeighbour: true,
}

// Fault is one fault with its parameters.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Factor multiplies the service time (FaultSlow, FaultNoisyNeighbour).
	Factor float64 `json:"factor,omitempty"`
	// DelayMs is the delay of a response in milliseconds (FaultDelay).
	DelayMs int64 `json:"delay_ms,omitempty"`
	// DurationMs is the duration of the fault in milliseconds. 0 keeps it active until it is cleared.
	DurationMs int64 `json:"for_ms,omitempty"`
}

// faultSet holds the active faults. It is safe for concurrent use.
type faultSet struct {
	mu     sync.Mutex
	active map[FaultKind]activeFault
}

type activeFault struct {
	Fault
	expiresAt time.Time // zero: no end
}

func (f *faultSet) set(fault Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := activeFault{Fault: fault}
	if fault.DurationMs > 0 {
		a.expiresAt = now.Add(time.Duration(fault.DurationMs) * time.Millisecond)
	}
	f.active[fault.Kind] = a
}

// remove removes the fault of one kind, or all faults if kind is empty.
func (f *faultSet) remove(kind FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == "" {
		clear(f.active)
		return
	}
	delete(f.active, kind)
}

func (f *faultSet) get(kind FaultKind, now time.Time) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.active[kind]
	if ok && !a.expiresAt.IsZero() && !now.Before(a.expiresAt) {
		delete(f.active, kind)
		return Fault{}, false
	}
	return a.Fault, ok
}

func (f *faultSet) isActive(kind FaultKind) bool {
	_, ok := f.get(kind, time.Now())
	return ok
}

// list returns the faults that were set and not removed. An expired fault stays in the list until a call of get removes
// it.
func (f *faultSet) list() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	result := []Fault{}
	for _, a := range f.active {
		result = append(result, a.Fault)
	}
	return result
}

func (t *Target) getFaults(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(t.faults.list())
}

func (t *Target) postFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if !decodeBody(w, r, &fault) {
		return
	}
	if !knownFaults[fault.Kind] {
		http.Error(w, "unknown fault "+string(fault.Kind), http.StatusBadRequest)
		return
	}
	if fault.Kind != FaultSilentConnections {
		t.faults.set(fault, time.Now())
		return
	}
	if t.listener == nil {
		http.Error(w, "the target has no listener of its own", http.StatusConflict)
		return
	}
	t.listener.silenceOpenConns(connFromContext(r.Context()))
}

func (t *Target) deleteFaults(_ http.ResponseWriter, r *http.Request) {
	t.faults.remove(FaultKind(r.URL.Query().Get("kind")))
}

// Mean gap between two bursts of a noisy neighbour and mean duration of a burst. Both are exponentially distributed.
const (
	noisyNeighbourMeanGap   = 500 * time.Millisecond
	noisyNeighbourMeanBurst = 50 * time.Millisecond
)

// noisyNeighbour is the burst schedule of FaultNoisyNeighbour. It is not safe for concurrent use; Target.mu guards it.
type noisyNeighbour struct {
	burstStart, burstEnd time.Time // current or next burst
}

// inBurst reports whether now lies within a burst. It draws the next burst when the last one is over.
func (n *noisyNeighbour) inBurst(now time.Time, rng *rand.Rand) bool {
	for !now.Before(n.burstEnd) {
		n.burstStart = now.Add(time.Duration(rng.ExpFloat64() * float64(noisyNeighbourMeanGap)))
		n.burstEnd = n.burstStart.Add(time.Duration(rng.ExpFloat64() * float64(noisyNeighbourMeanBurst)))
	}
	return !now.Before(n.burstStart)
}
