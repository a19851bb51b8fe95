package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// MaxReadsPerSecond is the number of reads per second that the platform serves over all readers. A pending watch counts
// as one read in each second.
const MaxReadsPerSecond = 2000

const maxHistorySnapshots = 64

// PlatformFaults are the faults of a Platform. The zero value switches all of them off.
type PlatformFaults struct {
	// Down breaks the connection of every call, including pending watches.
	Down bool `json:"down"`
	// Stale makes the platform serve the index and the documents as they were when the fault was set, or as they were
	// StaleBy publications before that.
	Stale   bool `json:"stale"`
	StaleBy int  `json:"stale_by"`
	// InstanceLagMs delays each replacement of the instance list, in milliseconds.
	InstanceLagMs int `json:"instance_lag_ms"`
	// DelayMs delays each read, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// PartitionedReaders lists the readers (values of discovery.HeaderReader) whose connections are broken.
	PartitionedReaders []string `json:"cut"`
}

func (f PlatformFaults) instanceLag() time.Duration {
	return time.Duration(f.InstanceLagMs) * time.Millisecond
}

func (f PlatformFaults) delay() time.Duration { return time.Duration(f.DelayMs) * time.Millisecond }

// SetFaults replaces all faults. Pending watches are affected immediately.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !f.Stale {
		p.pinned = nil
	} else if !p.faults.Stale || f.StaleBy != p.faults.StaleBy {
		state := p.pastSnapshot(f.StaleBy)
		p.pinned = &state
	}
	p.faults = f
	p.notifyWatchers()
}

// pastSnapshot returns the snapshot n publications ago, or the oldest one that is kept.
func (p *Platform) pastSnapshot(n int) snapshot {
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

// PlatformCounts counts the reads of a platform.
type PlatformCounts struct {
	// Reads counts the admitted calls, Refused those over the limit.
	Reads   int `json:"reads"`
	Refused int `json:"refused"`
	// Pending is the number of calls in progress, including watches.
	Pending int `json:"pending"`
	// PeakPerSecond is the largest number of reads in one second.
	PeakPerSecond int `json:"peak"`
	// ByOperation counts admitted calls by path; documents are counted together.
	ByOperation map[string]int `json:"by_operation"`
	// ByReader counts admitted calls by the value of the header discovery.HeaderReader.
	ByReader map[string]int `json:"by_reader"`
}

// readLimiter counts reads and enforces the limit in windows of one second.
type readLimiter struct {
	limit int

	mu           sync.Mutex
	windowSecond int64 // unix second
	windowReads  int   // reads in the window, including watches that were pending at its start
	counts       PlatformCounts
}

func newReadLimiter(limit int) readLimiter {
	return readLimiter{limit: limit, counts: PlatformCounts{ByOperation: make(map[string]int), ByReader: make(map[string]int)}}
}

// acquire counts a call and reports whether it is within the limit. If so, the caller calls release at the end of the
// call.
func (l *readLimiter) acquire(r *http.Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.windowSecond {
		l.windowSecond = second
		l.windowReads = l.counts.Pending
	}
	if l.windowReads >= l.limit {
		l.counts.Refused++
		return false
	}
	l.windowReads++
	l.counts.Pending++
	l.counts.Reads++
	l.counts.PeakPerSecond = max(l.counts.PeakPerSecond, l.windowReads)
	l.counts.ByOperation[operationName(r.URL.Path)]++
	l.counts.ByReader[r.Header.Get(discovery.HeaderReader)]++
	return true
}

func (l *readLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Pending--
}

// Counts returns the read counts so far.
func (p *Platform) Counts() PlatformCounts {
	p.readLimiter.mu.Lock()
	defer p.readLimiter.mu.Unlock()
	c := p.readLimiter.counts
	c.ByOperation = maps.Clone(c.ByOperation)
	c.ByReader = maps.Clone(c.ByReader)
	return c
}

func (p *Platform) getCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Counts())
}
