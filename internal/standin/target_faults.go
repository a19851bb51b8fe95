package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultKind names a fault that a target can be told to show.
type FaultKind string

// The faults of a target.
const (
	// FaultSlow multiplies the service time by Factor.
	FaultSlow FaultKind = "slow"
	// FaultError answers at once with a bare 500 and runs nothing.
	FaultError FaultKind = "error"
	// FaultCloseConnection closes the connection at once and runs nothing.
	FaultCloseConnection FaultKind = "close"
	// FaultIdleLoadReport reports an idle target, whatever its load is.
	FaultIdleLoadReport FaultKind = "load-report"
	// FaultTruncate runs the request and breaks off in the answer's body.
	FaultTruncate FaultKind = "truncate"
	// FaultDelay runs the request and holds back the answer for Delay.
	FaultDelay FaultKind = "delay"
	// FaultLeaving announces on each answer that the target leaves, and still serves.
	FaultLeaving FaultKind = "leaving"
	// FaultDrain declares each new request refused because the target drains.
	FaultDrain FaultKind = "drain"
	// FaultSilentConnections makes the connections that are open now unresponsive for good; new ones work. It has no duration.
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
	// Factor multiplies the service time (FaultSlow, FaultNeighbour).
	Factor float64 `json:"factor,omitempty"`
	// DelayMs is the delay of an answer in milliseconds (FaultDelay).
	DelayMs int64 `json:"delay_ms,omitempty"`
	// DurationMs ends the fault after so many milliseconds; 0 keeps it until it is switched off.
	DurationMs int64 `json:"for_ms,omitempty"`
}

// faults holds the faults that are switched on. It is safe for concurrent use.
type faults struct {
	mu     sync.Mutex
	active map[FaultKind]activeFault
}

type activeFault struct {
	Fault
	expiresAt time.Time // zero: no end
}

func (f *faults) set(fault Fault, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := activeFault{Fault: fault}
	if fault.DurationMs > 0 {
		a.expiresAt = now.Add(time.Duration(fault.DurationMs) * time.Millisecond)
	}
	f.active[fault.Kind] = a
}

// clear switches off one kind, or all when kind is empty.
func (f *faults) clear(kind FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if kind == "" {
		clear(f.active)
		return
	}
	delete(f.active, kind)
}

func (f *faults) get(kind FaultKind, now time.Time) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, ok := f.active[kind]
	if ok && !a.expiresAt.IsZero() && !now.Before(a.expiresAt) {
		delete(f.active, kind)
		return Fault{}, false
	}
	return a.Fault, ok
}

func (f *faults) isActive(kind FaultKind) bool {
	_, ok := f.get(kind, time.Now())
	return ok
}

// list returns the faults that are switched on.
func (f *faults) list() []Fault {
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
	t.faults.clear(FaultKind(r.URL.Query().Get("kind")))
}

// Mean spacing and length of the bursts of a noisy neighbour.
const (
	noisyNeighbourMeanGap   = 500 * time.Millisecond
	noisyNeighbourMeanBurst = 50 * time.Millisecond
)

// noisyNeighbour is the burst schedule of FaultNeighbour. The owner guards it.
type noisyNeighbour struct {
	burstStart, burstEnd time.Time // current or next burst
}

func (n *noisyNeighbour) active(now time.Time, rng *rand.Rand) bool {
	for !now.Before(n.burstEnd) {
		n.burstStart = now.Add(time.Duration(rng.ExpFloat64() * float64(noisyNeighbourMeanGap)))
		n.burstEnd = n.burstStart.Add(time.Duration(rng.ExpFloat64() * float64(noisyNeighbourMeanBurst)))
	}
	return !now.Before(n.burstStart)
}
