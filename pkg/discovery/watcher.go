package discovery

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Wait is how long a watch waits for a change. It bounds the time for which a silent connection goes unnoticed.
	Wait time.Duration
	// PeerWait is Wait for a watch of another instance.
	PeerWait time.Duration
	// MaxAge is the time since the last confirmation after which an instance that reads from another one reads the source
	// itself.
	MaxAge time.Duration
	// Timeout bounds each call of a read, and each watch beyond Wait.
	Timeout time.Duration
	// WaitForPeers lets an instance without a view wait for others before it reads the source. It saves calls when the whole
	// fleet starts for the first time; after a loss of power each moment without a view costs callers.
	WaitForPeers bool
	// MaxBatchDelay is the longest random pause after changes, in which further ones gather.
	MaxBatchDelay time.Duration
	// BackoffInitial and BackoffMax bound the pause after a failed call.
	BackoffInitial, BackoffMax time.Duration
}

// WatcherSink receives what a Watcher learns. Calls do not overlap.
type WatcherSink interface {
	// OfferDocument gets the text of a document that may be new.
	OfferDocument(source, service string, text []byte)
	// SetInstances gets a new list of targets.
	SetInstances(list InstanceList)
}

// maxCallsPerRead bounds a read in calls of the source, each of which the source bounds by the timeout: thousands of targets take
// several, and on a slow link together longer than one may last.
const maxCallsPerRead = 20

// sourceName stands for the source itself in logs, where another instance has its address.
const sourceName = "store"

// Watcher keeps a View of a Source up to date and passes it on. It is safe for concurrent use.
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

	// nextBypassAt is the earliest time to read the source in place of the parent, and staleParent the parent that told
	// nothing recent. Only Run uses them.
	nextBypassAt time.Duration
	staleParent  string

	mu         sync.Mutex // held while the view changes and is passed on
	view       *View
	decodeErrs map[string]error // entries that could not be read when the view was passed on last
	changed    chan struct{}    // closed when the view changes or is confirmed
	// confirmedAt is a time at which the view was that of the source.
	confirmedAt time.Duration
	failures    int    // calls of the source in a row without an answer
	readFrom    string // where the last answer came from
}

// NewWatcher returns a watcher that passes what it learns to sink. peers may be nil.
func NewWatcher(
	cfg WatcherConfig, source Source, peers PeerSelector, sink WatcherSink, m *Metrics, log logr.Logger,
) *Watcher {
	return &Watcher{
		cfg: cfg, source: source, peers: peers, sink: sink, metrics: m, log: log, started: time.Now(),
		synced: make(chan struct{}), view: NewView(), changed: make(chan struct{}),
	}
}

// Synced is closed after everything was read once.
func (w *Watcher) Synced() <-chan struct{} { return w.synced }

func (w *Watcher) now() time.Duration { return time.Since(w.started) }

// age returns the time since the view was confirmed, or since the start without a view.
func (w *Watcher) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now() - w.confirmedAt
}

// Run follows the source, or other instances that do, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.expireMissing(ctx)
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
			w.log.Info("store dropped its history, reading everything again", "revision", w.revision())
			complete = false
		case errors.Is(err, ErrHistoryGone):
			complete = false
			sleep(ctx, rand.N(2*joinPollInterval))
		case c.name == sourceName && c.bypass && complete:
			w.source.Reset()
			w.nextBypassAt = w.now() + bypassBackoff.pause()
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

// readOrWatch watches for changes of a complete view, and reads everything for another.
func (w *Watcher) readOrWatch(ctx context.Context, c sourceChoice, complete bool) (Changes, error) {
	if complete {
		return w.watch(ctx, c)
	}
	return Changes{}, w.read(ctx, c)
}

// Refresh reads everything from the source once, for an instance that was paused and cannot trust its view.
func (w *Watcher) Refresh(ctx context.Context) error {
	w.source.Reset()
	return w.read(ctx, sourceChoice{source: w.source, name: sourceName})
}

func (w *Watcher) revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Revision()
}

// read takes a snapshot.
func (w *Watcher) read(ctx context.Context, c sourceChoice) error {
	began := w.now()
	callCtx, cancel := context.WithTimeout(ctx, maxCallsPerRead*w.cfg.Timeout)
	defer cancel()
	snapshot, err := c.source.Read(callCtx)
	if err = w.recordResult(ctx, c, "read", began-snapshot.Age, err); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.ApplySnapshot(w.now(), snapshot) {
		w.publish("read", c.name)
	}
	w.syncedOnce.Do(func() { close(w.synced) })
	return nil
}

// watch waits for changes and takes them.
func (w *Watcher) watch(ctx context.Context, c sourceChoice) (changes Changes, err error) {
	began, after, wait := w.now(), w.revision(), cmp.Or(c.wait, w.cfg.PeerWait)
	if c.name == sourceName {
		// A view whose last confirmation is old already is confirmed soon: an answer with changes proves nothing later
		// than its beginning.
		wait = min(max(w.cfg.Wait-w.age(), confirmWait), w.cfg.Wait)
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+w.cfg.Timeout)
	defer cancel()
	changes, err = c.source.Watch(callCtx, after, wait)
	confirmed := began
	switch {
	case c.name != sourceName:
		confirmed = w.now() - changes.Age
		if err == nil && changes.Age > w.cfg.MaxAge && c.wait == 0 {
			w.staleParent = c.name
		}
	case err == nil && len(changes.Items) == 0:
		confirmed += wait // the source answers without changes at the end of the wait
	}
	if err = w.recordResult(ctx, c, "watch", confirmed, err); err != nil {
		return changes, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if changes.Incomplete {
		w.log.Info("store told no change although its revision rose, reading everything again",
			"revision", after, "risen_to", changes.Revision)
		return changes, nil
	}
	if w.view.ApplyChanges(w.now(), changes) {
		w.publish("watch", c.name)
	}
	return changes, nil
}

// recordResult notes how a call ended, and logs when the source is lost and when it is back.
func (w *Watcher) recordResult(ctx context.Context, c sourceChoice, operation string, confirmed time.Duration, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fromSource := c.name == sourceName
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		w.metrics.countRead(fromSource, "failed")
		if !fromSource {
			w.log.V(1).Info("instance upstream does not answer", "peer", c.name, "error", err.Error())
			return err
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
		outage := w.now() - w.confirmedAt
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

// publish hands the view on. The caller holds w.mu.
func (w *Watcher) publish(cause, from string) {
	w.notifyWaiters()
	w.logDecodeErrors()
	for _, text := range w.view.Documents() {
		w.sink.OfferDocument("store", "", text) // the document names itself, not its key
	}
	list := w.view.Instances()
	w.log.Info("view changed", "cause", cause, "from", from, "revision", list.Sequence, "targets", len(list.Instances))
	w.sink.SetInstances(list)
}

// logDecodeErrors logs entries that cannot be read, once for each version of them.
func (w *Watcher) logDecodeErrors() {
	decodeErrs := w.view.DecodeErrors()
	for key, err := range decodeErrs {
		if w.decodeErrs[key] != err {
			w.log.Info("store entry cannot be read and is ignored", "key", key, "error", err.Error())
		}
	}
	w.decodeErrs = decodeErrs
}

// expireMissing gives up lost entries when their grace is over.
func (w *Watcher) expireMissing(ctx context.Context) {
	for sleep(ctx, recoveryGrace/10) {
		w.mu.Lock()
		if w.view.Expire(w.now()) {
			w.publish("entries did not come back", "")
		}
		w.mu.Unlock()
	}
}
