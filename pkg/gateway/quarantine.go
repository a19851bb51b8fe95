package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/burdockpitch/burdockpitch/pkg/core"
	"github.com/burdockpitch/burdockpitch/pkg/quarantine"
)

// Quarantine holds what this instance and its peers know of requests that crash targets. It implements
// peer.CrashRecords and is safe for concurrent use.
type Quarantine struct {
	clock   clock
	metrics *Metrics
	log     logr.Logger
	// onQuarantined is called without a lock after requests with a content have been quarantined.
	onQuarantined func(content uint64)
	changed       chan struct{} // has a buffer of one
	empty         atomic.Bool   // there are no records, so that no request needs a fingerprint

	mu      sync.Mutex
	state   *quarantine.State
	changes []quarantine.Effect // at most maxChanges, until TakeChanges
}

// maxChanges bounds the changes that wait for TakeChanges. Verdicts beyond it reach other instances with the rounds.
const maxChanges = 4096

// Quarantine returns the records of requests that crash targets, which instances exchange.
func (g *Gateway) Quarantine() *Quarantine { return g.quarantine }

func newQuarantine(ck clock, m *Metrics, log logr.Logger, onQuarantined func(content uint64)) *Quarantine {
	q := &Quarantine{
		clock: ck, metrics: m, log: log, onQuarantined: onQuarantined, changed: make(chan struct{}, 1), state: quarantine.New(),
	}
	q.empty.Store(true)
	return q
}

// prepare computes the fingerprint of a request if blocks needs it, so that this is not done under the lock of a service.
func (q *Quarantine) prepare(f *fingerprinter) {
	if !q.empty.Load() {
		f.get()
	}
}

// blocks reports whether a request is withheld, and records that it came again if so.
func (q *Quarantine) blocks(f *fingerprinter) bool {
	if q.empty.Load() {
		return false
	}
	fingerprint := f.get()
	q.mu.Lock()
	blocked := q.state.Blocks(fingerprint)
	q.mu.Unlock()
	if blocked {
		q.dispatch(quarantine.RequestWithheld{Fingerprint: fingerprint})
	}
	return blocked
}

// RecordCrash records that a target, with its start, has crashed during a request that had been in flight for some time.
func (q *Quarantine) RecordCrash(f quarantine.Fingerprint, target string, ran time.Duration) {
	q.dispatch(quarantine.CrashObserved{Fingerprint: f, Target: target, Ran: ran})
}

// RecordEnd records the end of a request during which a target has crashed.
func (q *Quarantine) RecordEnd(f quarantine.Fingerprint) {
	q.dispatch(quarantine.RequestEnded{Fingerprint: f})
}

func (q *Quarantine) recordResponse(f *fingerprinter) {
	q.dispatch(quarantine.ResponseReceived{Fingerprint: f.get()})
}

func (q *Quarantine) dispatch(ev quarantine.Event) {
	q.mu.Lock()
	effects := q.state.Reduce(quarantine.Input{Now: q.clock.now(), Event: ev}, nil)
	q.empty.Store(q.state.Empty())
	if len(effects) > 0 {
		q.metrics.quarantined.Set(float64(q.state.Quarantined()))
	}
	q.addChanges(effects)
	q.mu.Unlock()
	for _, effect := range effects {
		content := quarantine.FormatContent(effect.Content)
		switch effect.Kind {
		case quarantine.Quarantined:
			q.log.Info("request quarantined", "content", content, "targets", effect.Targets)
			q.onQuarantined(effect.Content)
		case quarantine.Released:
			q.log.Info("request no longer quarantined", "content", content)
		case quarantine.SuspicionDue, quarantine.VerdictChanged:
			select {
			case q.changed <- struct{}{}:
			default:
			}
		}
	}
}

// addChanges keeps the effects that concern other instances for TakeChanges.
func (q *Quarantine) addChanges(effects []quarantine.Effect) {
	for _, e := range effects {
		if (e.Kind == quarantine.SuspicionDue || e.Kind == quarantine.VerdictChanged) && len(q.changes) < maxChanges {
			q.changes = append(q.changes, e)
		}
	}
}

// TakeChanges implements peer.CrashRecords.
func (q *Quarantine) TakeChanges() []quarantine.Effect {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.changes
	q.changes = nil
	return changes
}

// VerdictDigest implements peer.CrashRecords.
func (q *Quarantine) VerdictDigest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.VerdictDigest()
}

// Records returns the records of suspicions and verdicts.
func (q *Quarantine) Records() []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Records(q.clock.now())
}

// VerdictRecords implements peer.CrashRecords.
func (q *Quarantine) VerdictRecords() []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.VerdictRecords(q.clock.now())
}

// RecentVerdicts implements peer.CrashRecords.
func (q *Quarantine) RecentVerdicts() []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.RecentVerdicts(q.clock.now())
}

// RecordsOf implements peer.CrashRecords.
func (q *Quarantine) RecordsOf(contents []uint64) []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.RecordsOf(q.clock.now(), contents)
}

// MissingFrom implements peer.CrashRecords.
func (q *Quarantine) MissingFrom(others []quarantine.Record) []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.MissingFrom(q.clock.now(), others)
}

// Quarantined returns the records of requests that are withheld.
func (q *Quarantine) Quarantined() []quarantine.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.QuarantinedRecords(q.clock.now())
}

// Merge implements peer.CrashRecords.
func (q *Quarantine) Merge(records []quarantine.Record) {
	q.dispatch(quarantine.RecordsReceived{Records: records})
}

// Changed implements peer.CrashRecords.
func (q *Quarantine) Changed() <-chan struct{} { return q.changed }

// refuseQuarantined refuses the requests in progress that have been quarantined. It computes the fingerprints of all requests
// in progress under the locks of their services, which is rare: once for each content that is quarantined.
func (g *Gateway) refuseQuarantined(content uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.refuseQuarantined(content)
	}
}

func (e *engine) refuseQuarantined(content uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, p := range e.pending {
		if p.fingerprint.get().Content == content && e.quarantine.blocks(p.fingerprint) {
			e.apply(core.RequestQuarantined{Request: id})
		}
	}
}
