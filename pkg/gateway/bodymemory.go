package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/memorybudget"
)

// errNoMemory is returned if there is no memory for a body.
var errNoMemory = eris.New("no memory is available for the body")

// bodyMemory hands out the memory for request bodies and buffered response bodies, in the accounts of callers, and for the
// heads of responses, in the accounts of targets. It is safe for concurrent use.
type bodyMemory struct {
	clock     clock
	budget    *memorybudget.Budget
	responses *memorybudget.Budget
	allowance int64 // bytes of each request body that are not counted
	held      prometheus.Gauge
}

func newBodyMemory(ck clock, cfg Config, m *Metrics) *bodyMemory {
	return &bodyMemory{
		clock: ck, budget: memorybudget.New(cfg.BodyMemory), responses: memorybudget.New(cfg.ResponseHeadMemory),
		allowance: cfg.BodyAllowance, held: m.bodyBytes,
	}
}

// openRequest is open for a request body.
func (m *bodyMemory) openRequest(caller string) *heldMemory {
	h := m.open(caller)
	h.allowance = m.allowance
	return h
}

// open returns a reservation of no bytes for a caller, with one holder.
func (m *bodyMemory) open(caller string) *heldMemory {
	r, _ := m.budget.Reserve(caller, 0)
	return &heldMemory{memory: m, caller: caller, reservation: r}
}

// openResponse is open for the response of a target to a caller.
func (m *bodyMemory) openResponse(caller, target string) *heldMemory {
	h := m.open(caller)
	h.head = m.openHead(target)
	return h
}

// openHead returns a reservation of no bytes for the head of a response.
func (m *bodyMemory) openHead(target string) *memorybudget.Reservation {
	r, _ := m.responses.Reserve(target, 0)
	return r
}

// heldMemory is memory that is reserved for a body of one caller. A nil heldMemory reserves nothing and grants
// everything.
type heldMemory struct {
	memory      *bodyMemory
	caller      string
	reservation *memorybudget.Reservation
	head        *memorybudget.Reservation // of the response to which the body belongs; nil for a request
	granted     bool                      // bytes have been reserved
	// allowance is the number of further bytes that need no reservation.
	allowance int64
	// lack says what was refused last. It belongs to the goroutine that grows the reservation.
	lack struct {
		bytes  int64
		reason memorybudget.Reason
	}
}

// grow reserves n more bytes, or returns errNoMemory.
func (h *heldMemory) grow(n int64) error {
	if h == nil {
		return nil
	}
	counted := max(n-h.allowance, 0)
	if reason := h.reservation.Grow(counted); reason != memorybudget.Granted {
		h.lack.bytes, h.lack.reason = counted, reason
		return errNoMemory
	}
	h.granted = true
	h.allowance -= n - counted
	h.memory.held.Add(float64(counted))
	return nil
}

// retain adds a holder, which has to release the memory too.
func (h *heldMemory) retain() *heldMemory {
	if h != nil {
		h.reservation.Retain()
	}
	return h
}

// release ends the use by one holder. The memory is free after the last one.
func (h *heldMemory) release() {
	if h == nil {
		return
	}
	h.memory.held.Sub(float64(h.reservation.Release(h.memory.clock.now())))
	if h.head != nil {
		h.head.Release(h.memory.clock.now())
	}
}

// rejection returns the rejection of a request after grow has returned errNoMemory.
func (h *heldMemory) rejection() *rejection {
	m := h.memory
	rejected := rejectBodyMemory
	rejected.retryAfter = m.budget.RetryAfter(m.clock.now(), h.caller, h.lack.bytes, h.lack.reason)
	return &rejected
}
