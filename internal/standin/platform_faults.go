package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// ReadLimit is the number of reads per second that the platform serves over all readers. A waiting watch counts as
// one read of the current second.
const ReadLimit = 2000

const historyLimit = 64 // snapshots

// PlatformFaults are the faults of a Platform. The zero value is a platform that works.
type PlatformFaults struct {
	// Down breaks the connection of every call, also of waiting ones.
	Down bool `json:"down"`
	// Stale pins the index and the documents to the state at the time of switching on, or StaleBy publications earlier.
	Stale   bool `json:"stale"`
	StaleBy int  `json:"stale_by"`
	// InstanceLagMs delays each replacement of the instance list, in milliseconds.
	InstanceLagMs int `json:"instance_lag_ms"`
	// DelayMs delays each read, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// Cut lists readers (discovery.HeaderReader) whose calls are broken.
	Cut []string `json:"cut"`
}

func (f PlatformFaults) instanceLag() time.Duration {
	return time.Duration(f.InstanceLagMs) * time.Millisecond
}

func (f PlatformFaults) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// SetFaults replaces all faults. Waiting watches see the change at once.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !f.Stale {
		p.pinned = nil
	} else if !p.faults.Stale || f.StaleBy != p.faults.StaleBy {
		state := p.earlier(f.StaleBy)
		p.pinned = &state
	}
	p.faults = f
	p.announce()
}

// earlier returns the state n publications ago, or the oldest one that is kept.
func (p *Platform) earlier(n int) snapshot {
	if n <= 0 || len(p.history) == 0 {
		return p.current
	}
	return p.history[max(len(p.history)-n, 0)]
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if !decodeBody(w, r, &f) {
		return
	}
	p.SetFaults(f)
}

// PlatformCounts tells how much the platform was read.
type PlatformCounts struct {
	// Reads counts the calls that were admitted, Refused those over the limit.
	Reads   int `json:"reads"`
	Refused int `json:"refused"`
	// Pending is the number of calls in progress, waiting watches included.
	Pending int `json:"pending"`
	// Peak is the largest number of reads counted in one second.
	Peak int `json:"peak"`
	// ByOperation counts admitted calls by path; documents are counted together.
	ByOperation map[string]int `json:"by_operation"`
	// ByReader counts admitted calls by the reader's header.
	ByReader map[string]int `json:"by_reader"`
}

// meter counts reads and enforces the limit in windows of one second.
type meter struct {
	limit int

	mu     sync.Mutex
	window int64 // unix second
	used   int   // reads in the window, with the watches that were pending at its start
	counts PlatformCounts
}

func newMeter(limit int) meter {
	return meter{limit: limit, counts: PlatformCounts{ByOperation: make(map[string]int), ByReader: make(map[string]int)}}
}

// begin counts a call and reports whether it is within the limit.
func (m *meter) begin(r *http.Request, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if second := now.Unix(); second != m.window {
		m.window = second
		m.used = m.counts.Pending
	}
	if m.used >= m.limit {
		m.counts.Refused++
		return false
	}
	m.used++
	m.counts.Pending++
	m.counts.Reads++
	m.counts.Peak = max(m.counts.Peak, m.used)
	m.counts.ByOperation[operation(r.URL.Path)]++
	m.counts.ByReader[r.Header.Get(discovery.HeaderReader)]++
	return true
}

func (m *meter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Pending--
}

// Counts returns how much the platform was read so far.
func (p *Platform) Counts() PlatformCounts {
	p.meter.mu.Lock()
	defer p.meter.mu.Unlock()
	c := p.meter.counts
	c.ByOperation = maps.Clone(c.ByOperation)
	c.ByReader = maps.Clone(c.ByReader)
	return c
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Counts())
}
