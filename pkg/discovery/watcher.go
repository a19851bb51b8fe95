package discovery

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Wait is how long a watch waits for a change. It bounds how long an unresponsive connection goes unnoticed.
	Wait time.Duration
	// PeerWait replaces Wait for a watch of another instance.
	PeerWait time.Duration
	// MaxAge is the age of the last confirmation beyond which an instance reads the source itself instead of another
	// instance.
	MaxAge time.Duration
	// Timeout bounds each call. A watch may take Wait or PeerWait in addition; a read may consist of several calls.
	Timeout time.Duration
	// WaitForPeers lets an instance without a view wait for other instances before it reads the source. It saves calls
	// when the whole fleet starts for the first time. It should be off for a restart after a power failure, when each
	// moment without a view costs requests.
	WaitForPeers bool
	// MaxBatchDelay is the longest random pause after a change. Changes that arrive during the pause are read together.
	MaxBatchDelay time.Duration
	// BackoffInitial and BackoffMax bound the pause after a failed call.
	BackoffInitial, BackoffMax time.Duration
	// AskEndedOrders asks another instance which of the given orders to evacuate a zone have ended, and returns its name. An
	// instance of an older build does not know the call and causes an error. If it is nil, no instance is asked.
	AskEndedOrders func(ctx context.Context, orders []OrderVersion) (ended []OrderVersion, name string, err error)
}

// WatcherSink receives the results of a Watcher. Calls do not overlap.
type WatcherSink interface {
	// OfferDocument receives the text of a document that may be new.
	OfferDocument(source, service string, text []byte)
	// SetEvacuatedZones receives the zones that are evacuated, sorted, before SetInstances of the same change. It is called
	// on every change of the view, also if the zones are the same.
	SetEvacuatedZones(zones []string)
	// SetInstances receives the complete list of targets after a change.
	SetInstances(list InstanceList)
}

// maxCallsPerRead bounds a read to this many times the timeout of one call. Reading thousands of targets takes several
// calls, which together can take longer than the timeout on a slow link.
const maxCallsPerRead = 20

// sourceName is the name of the source in logs. Other instances are named by their address.
const sourceName = "store"

// Watcher keeps a View of a Source up to date and passes it to a WatcherSink. It is safe for concurrent use.
type Watcher struct {
	cfg        WatcherConfig
	source     Source
	peers      PeerSelector // nil if this instance always reads the source itself
	sink       WatcherSink
	metrics    *Metrics
	log        logr.Logger
	started    time.Time
	syncedOnce sync.Once
	synced     chan struct{}

	// nextBypassAt is the earliest time to read the source in place of the parent. staleParent is the name of the parent
	// if it has answered with data older than MaxAge since the source last answered; otherwise empty. Only Run uses
	// them.
	nextBypassAt time.Duration
	staleParent  string

	mu        sync.Mutex // held while the view changes and is published
	view      *View
	undecoded map[string]uint64 // revisions of the entries of the last published view that could not be decoded, by key
	offered   map[string]uint64 // revisions of the documents that were passed to the sink, by key
	changed   chan struct{}     // closed when the view changes or is confirmed
	// confirmedAt is the latest time at which the view is known to have matched the source.
	confirmedAt time.Duration
	failures    int // consecutive failed calls of the source
	// failingSince is the time from which the source may have been away, if failures is above 0.
	failingSince time.Duration
	readFrom     string // name of the source or instance that answered last
}

// NewWatcher returns a watcher that passes its results to sink. If peers is nil, it always reads the source itself.
func NewWatcher(
	cfg WatcherConfig, source Source, peers PeerSelector, sink WatcherSink, m *Metrics, log logr.Logger,
) *Watcher {
	return &Watcher{
		cfg: cfg, source: source, peers: peers, sink: sink, metrics: m, log: log, started: time.Now(),
		synced: make(chan struct{}), view: NewView(), changed: make(chan struct{}),
	}
}

// Synced returns a channel that is closed after the first complete read.
func (w *Watcher) Synced() <-chan struct{} { return w.synced }

func (w *Watcher) now() time.Duration { return time.Since(w.started) }

// age returns the time since the view was last confirmed, or since the start if there is no view.
func (w *Watcher) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now() - w.confirmedAt
}

// Run keeps the view up to date from the source or from other instances until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.expireMissing(ctx)
	if w.cfg.AskEndedOrders != nil {
		go w.settleOrders(ctx)
	}
	sourceBackoff := backoff{initialPause: w.cfg.BackoffInitial, maxPause: w.cfg.BackoffMax}
	bypassBackoff := backoff{initialPause: bypassBackoffInitial, maxPause: bypassBackoffMax}
	complete := false
	for ctx.Err() == nil {
		c := w.chooseSource()
		if c.source == nil {
			sleep(ctx, joinPollInterval)
			continue
		}
		changes, err := w.readOrWatch(ctx, c, complete)
		switch {
		case err == nil:
			complete = !changes.Incomplete
			if c.name == sourceName {
				sourceBackoff.reset()
				bypassBackoff.reset()
				w.dropStaleParent(ctx, c)
			}
			if c.name == sourceName && len(changes.Items) > 0 && w.cfg.MaxBatchDelay > 0 {
				sleep(ctx, rand.N(w.cfg.MaxBatchDelay))
			}
		case errors.Is(err, ErrHistoryGone) && c.name == sourceName:
			w.log.Info("store no longer has the history, reading a full snapshot", "revision", w.revision())
			complete = false
		case errors.Is(err, ErrOutdatedFeed):
			w.log.V(1).Info("instance of an older build is not followed", "peer", c.name)
			w.peers.MarkStale(ctx, c.name)
		case errors.Is(err, ErrHistoryGone): // from a peer, possibly because it has no view yet
			complete = false
			sleep(ctx, rand.N(2*joinPollInterval))
		case c.name == sourceName && c.bypass && complete:
			w.source.Reset()
			w.nextBypassAt = w.now() + bypassBackoff.pause()
			w.readFromPeer(ctx, complete) // the source may refuse this instance and serve others
		case c.name == sourceName:
			w.source.Reset()
			complete = w.readFromPeer(ctx, complete)
			sleep(ctx, sourceBackoff.pause())
		default:
			c.source.Reset()
			w.peers.MarkFailed(ctx, c.name)
		}
	}
}

// readOrWatch watches for changes if the view is complete, and otherwise reads a full snapshot. It turns a panic into an
// error, so that an entry of the store that triggers a defect does not end the process.
func (w *Watcher) readOrWatch(ctx context.Context, c sourceChoice, complete bool) (changes Changes, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("panic: %v", cause)
			w.metrics.panics.Inc()
			w.log.Info("panic contained", "task", "read from "+c.name, "cause", err.Error(), "stack", string(debug.Stack()))
		}
	}()
	if complete {
		return w.watch(ctx, c)
	}
	return Changes{}, w.read(ctx, c)
}

// Refresh reads a full snapshot from the source, for an instance that was paused and whose view may be outdated.
func (w *Watcher) Refresh(ctx context.Context) error {
	w.source.Reset()
	_, err := w.readOrWatch(ctx, sourceChoice{source: w.source, name: sourceName}, false)
	return err
}

func (w *Watcher) generation() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Generation()
}

func (w *Watcher) revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Revision()
}

// read fetches a full snapshot and applies it.
func (w *Watcher) read(ctx context.Context, c sourceChoice) error {
	began, confirmedBefore := w.now(), w.confirmed()
	callCtx, cancel := context.WithTimeout(ctx, maxCallsPerRead*w.cfg.Timeout)
	defer cancel()
	snapshot, err := c.source.Read(callCtx)
	if generation := w.generation(); err == nil && snapshot.Generation < generation {
		err = eris.Errorf("data of generation %d, before the restore to generation %d", snapshot.Generation, generation)
	}
	if err = w.recordResult(ctx, c, "read", began, began-snapshot.Age, err); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if before := w.view.Generation(); w.view.Complete() && snapshot.Generation > before {
		w.log.Info("store was restored from an older copy", "generation", snapshot.Generation, "before", before,
			"revision", snapshot.Revision, "revision_before", w.view.Revision())
		w.offered = nil // revisions are assigned again
	}
	snapshot.Grace = w.justifiedGrace(c, snapshot.Grace, snapshot.OutageAge, confirmedBefore)
	if w.view.ApplySnapshot(w.now(), snapshot) {
		w.publish("read", c.name)
	}
	w.syncedOnce.Do(func() { close(w.synced) })
	return nil
}

// watch waits for changes and applies them.
func (w *Watcher) watch(ctx context.Context, c sourceChoice) (changes Changes, err error) {
	began, after, wait := w.now(), w.revision(), cmp.Or(c.wait, w.cfg.PeerWait)
	confirmedBefore := w.confirmed()
	if c.name == sourceName {
		// Shorten the wait by the age of the last confirmation, because an answer with changes confirms the view only
		// as of the start of the call.
		wait = min(max(w.cfg.Wait-w.age(), confirmWait), w.cfg.Wait)
		if w.isFailing() { // a long watch may be cut again, and would not show that the source answers
			wait = confirmWait
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+w.cfg.Timeout)
	defer cancel()
	changes, err = c.source.Watch(callCtx, after, wait)
	if err == nil && changes.Generation != w.generation() {
		err = ErrHistoryGone
	}
	confirmed := began
	switch {
	case c.name != sourceName:
		confirmed = w.now() - changes.Age
		if err == nil && changes.Age > w.cfg.MaxAge && c.wait == 0 { // the parent, not the random peer of readFromPeer
			w.staleParent = c.name
		}
	case err == nil && len(changes.Items) == 0:
		confirmed += wait // the source answers without changes only at the end of the wait
	}
	if err = w.recordResult(ctx, c, "watch", began, confirmed, err); err != nil {
		return changes, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if changes.Incomplete {
		w.log.Info("store revision rose without changes, reading a full snapshot",
			"revision", after, "risen_to", changes.Revision)
		return changes, nil
	}
	changes.Grace = w.justifiedGrace(c, changes.Grace, changes.OutageAge, confirmedBefore)
	if w.view.ApplyChanges(w.now(), changes) {
		w.publish("watch", c.name)
	}
	return changes, nil
}

// confirmed returns the latest time at which the view is known to have matched the source.
func (w *Watcher) confirmed() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmedAt
}

// justifiedGrace returns the grace period of another instance, or 0 if the view was confirmed during the outage to which it
// belongs: then the source was there, and only that instance was without it. Confirmations before the outage differ by up
// to minOutage between instances. The caller holds w.mu.
func (w *Watcher) justifiedGrace(c sourceChoice, grace, outageAge, confirmedBefore time.Duration) time.Duration {
	if grace > 0 && outageAge > 0 && confirmedBefore > w.now()-outageAge+minOutage {
		w.log.V(1).Info("grace period of another instance is not taken over", "peer", c.name, "grace", grace.String(), "outage_age", outageAge.String())
		return 0
	}
	return grace
}

// isFailing reports whether the latest call of the source has failed.
func (w *Watcher) isFailing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failures > 0
}

// recordResult counts a call that began at a time, updates the time of the last confirmation, and logs when the source fails
// and recovers. A recovery can start a grace period for missing entries: the source may have been away to the start of the
// call that it answers again. ErrHistoryGone counts as an answer, but confirms nothing.
func (w *Watcher) recordResult(ctx context.Context, c sourceChoice, operation string, began, confirmed time.Duration, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fromSource := c.name == sourceName
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		w.metrics.countRead(fromSource, "failed")
		if !fromSource {
			w.log.V(1).Info("read from peer failed", "peer", c.name, "error", err.Error())
			return err
		}
		if w.failures == 0 {
			w.failingSince = began // an instance that follows another one may not have called for long
			if isConnectionEnd(err) {
				w.failingSince = w.now() // the source was there until it closed the connection
			}
		}
		w.failures++
		if w.failures&(w.failures-1) == 0 { // the 1st, 2nd, 4th and so on: an outage can last for hours
			w.log.Info("store call failed", "operation", operation, "failures", w.failures, "error", err.Error(),
				"revision", w.view.Revision(), "age", (w.now() - w.confirmedAt).String())
		}
		return err
	}
	w.metrics.countRead(fromSource, "ok")
	if fromSource && w.failures > 0 {
		outage := max(began-w.failingSince, 0)
		w.view.SourceRecovered(w.now(), outage)
		w.log.Info("store is back", "operation", operation, "failures", w.failures, "away", outage.String())
		w.failures = 0
	}
	if err == nil && confirmed > w.confirmedAt {
		w.confirmedAt = confirmed
		w.notifyWaiters()
	}
	if err == nil && w.readFrom != c.name {
		w.log.Info("reading from another place", "from", c.name, "before", w.readFrom, "revision", w.view.Revision())
		w.readFrom = c.name
	}
	return err
}

// isConnectionEnd reports whether a call failed because the other side has closed or reset its connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// publish passes the view to the sink and wakes the waiting calls of Since. The caller holds w.mu.
func (w *Watcher) publish(cause, from string) {
	w.notifyWaiters()
	w.logDecodeErrors()
	list, zones := w.view.Instances(), w.view.EvacuatedZones()
	w.log.Info("view changed", "cause", cause, "from", from, "revision", list.Sequence, "targets", len(list.Instances),
		"evacuated_zones", len(zones))
	w.sink.SetEvacuatedZones(zones)
	w.sink.SetInstances(list)
	w.offerDocuments()
}

// offerDocuments passes the documents to the sink that have changed since the last call. Targets change far more often
// than documents, and a sink takes long to check a document with a thousand rules. A document on which the sink panics
// counts as passed.
func (w *Watcher) offerDocuments() {
	before := w.offered
	w.offered = make(map[string]uint64)
	var changed []Item
	for _, item := range w.view.Documents() {
		w.offered[item.Key] = item.Revision
		if revision, ok := before[item.Key]; !ok || revision != item.Revision {
			changed = append(changed, item)
		}
	}
	for _, item := range changed {
		w.sink.OfferDocument("store", "", item.Document) // the service name comes from the document, not from its key
	}
}

// logDecodeErrors logs and counts the entries that could not be decoded, once for each version of an entry.
func (w *Watcher) logDecodeErrors() {
	before := w.undecoded
	w.undecoded = make(map[string]uint64)
	for _, item := range w.view.DecodeErrors() {
		w.undecoded[item.Key] = item.Revision
		if revision, known := before[item.Key]; !known || revision != item.Revision {
			w.metrics.undecodable.Inc()
			w.log.Info("ignoring store entry that cannot be decoded", "key", item.Key, "error", item.DecodeErr.Error())
		}
	}
}

// expireMissing removes missing entries at the end of each grace period, until ctx ends.
func (w *Watcher) expireMissing(ctx context.Context) {
	for sleep(ctx, recoveryGrace/10) {
		w.mu.Lock()
		if w.view.Expire(w.now()) {
			w.publish("entries did not come back", "")
		}
		w.mu.Unlock()
	}
}
