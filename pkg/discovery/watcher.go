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
	// Patient lets an instance without a view wait for others before it reads the source. It saves calls when the whole
	// fleet starts for the first time; after a loss of power each moment without a view costs callers.
	Patient bool
	// Gather is the longest random pause after changes, in which further ones gather.
	Gather time.Duration
	// BackoffFirst and BackoffLimit bound the pause after a failed call.
	BackoffFirst, BackoffLimit time.Duration
}

// Consumer receives what a Watcher learns. Calls do not overlap.
type Consumer interface {
	// OfferDocument gets the text of a document that may be new.
	OfferDocument(source, service string, text []byte)
	// SetInstances gets a new list of targets.
	SetInstances(list InstanceList)
}

// readCalls bounds a read in calls of the source, each of which the source bounds by the timeout: thousands of targets take
// several, and on a slow link together longer than one may last.
const readCalls = 20

// sourceName stands for the source itself in logs, where another instance has its address.
const sourceName = "store"

// Watcher keeps a View of a Source up to date and passes it on. It is safe for concurrent use.
type Watcher struct {
	cfg      WatcherConfig
	source   Source
	upstream Upstream // nil if this instance always reads the source itself
	consumer Consumer
	metrics  *Metrics
	log      logr.Logger
	started  time.Time
	once     sync.Once
	asked    chan struct{}

	// bypassAt is the earliest time to read the source in place of the parent, and staleParent the parent that told
	// nothing recent. Only Run uses them.
	bypassAt    time.Duration
	staleParent string

	mu       sync.Mutex // held while the view changes and is passed on
	view     *View
	problems map[string]error // entries that could not be read when the view was passed on last
	changed  chan struct{}    // closed when the view changes or is confirmed
	// confirmedAt is a time at which the view was that of the source.
	confirmedAt time.Duration
	failures    int    // calls of the source in a row without an answer
	from        string // where the last answer came from
}

// NewWatcher returns a watcher that passes what it learns to consumer. Upstream may be nil.
func NewWatcher(
	cfg WatcherConfig, source Source, upstream Upstream, consumer Consumer, m *Metrics, log logr.Logger,
) *Watcher {
	return &Watcher{
		cfg: cfg, source: source, upstream: upstream, consumer: consumer, metrics: m, log: log, started: time.Now(),
		asked: make(chan struct{}), view: NewView(), changed: make(chan struct{}),
	}
}

// Asked is closed after everything was read once.
func (w *Watcher) Asked() <-chan struct{} { return w.asked }

func (w *Watcher) now() time.Duration { return time.Since(w.started) }

// age returns the time since the view was confirmed, or since the start without a view.
func (w *Watcher) age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now() - w.confirmedAt
}

// Run follows the source, or other instances that do, until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.expireLost(ctx)
	pauses := backoff{first: w.cfg.BackoffFirst, limit: w.cfg.BackoffLimit}
	bypasses := backoff{first: bypassFirst, limit: bypassLimit}
	complete := false
	for ctx.Err() == nil {
		c := w.choose()
		if c.source == nil {
			sleep(ctx, joinPoll)
			continue
		}
		changes, err := w.follow(ctx, c, complete)
		switch {
		case err == nil:
			complete = !changes.Lost
			if c.name == sourceName {
				pauses.reset()
				bypasses.reset()
				w.leaveStaleParent(ctx, c)
			}
			if c.name == sourceName && len(changes.Items) > 0 && w.cfg.Gather > 0 {
				sleep(ctx, rand.N(w.cfg.Gather))
			}
		case errors.Is(err, ErrHistoryGone) && c.name == sourceName:
			w.log.Info("store dropped its history, reading everything again", "revision", w.revision())
			complete = false
		case errors.Is(err, ErrHistoryGone):
			complete = false
			sleep(ctx, rand.N(2*joinPoll))
		case c.name == sourceName && c.bypass && complete:
			w.source.Reset()
			w.bypassAt = w.now() + bypasses.pause()
		case c.name == sourceName:
			w.source.Reset()
			complete = w.askOther(ctx, complete)
			sleep(ctx, pauses.pause())
		default:
			c.source.Reset()
			w.upstream.Failed(ctx, c.name)
		}
	}
}

// follow watches for changes of a complete view, and reads everything for another.
func (w *Watcher) follow(ctx context.Context, c choice, complete bool) (Changes, error) {
	if complete {
		return w.watch(ctx, c)
	}
	return Changes{}, w.read(ctx, c)
}

// Refresh reads everything from the source once, for an instance that was paused and cannot trust its view.
func (w *Watcher) Refresh(ctx context.Context) error {
	w.source.Reset()
	return w.read(ctx, choice{source: w.source, name: sourceName})
}

func (w *Watcher) revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Revision()
}

// read takes a snapshot.
func (w *Watcher) read(ctx context.Context, c choice) error {
	began := w.now()
	limited, cancel := context.WithTimeout(ctx, readCalls*w.cfg.Timeout)
	defer cancel()
	snapshot, err := c.source.Read(limited)
	if err = w.account(ctx, c, "read", began-snapshot.Age, err); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.TakeSnapshot(w.now(), snapshot) {
		w.pass("read", c.name)
	}
	w.once.Do(func() { close(w.asked) })
	return nil
}

// watch waits for changes and takes them.
func (w *Watcher) watch(ctx context.Context, c choice) (changes Changes, err error) {
	began, after, wait := w.now(), w.revision(), cmp.Or(c.wait, w.cfg.PeerWait)
	if c.name == sourceName {
		// A view whose last confirmation is old already is confirmed soon: an answer with changes proves nothing later
		// than its beginning.
		wait = min(max(w.cfg.Wait-w.age(), shortWait), w.cfg.Wait)
	}
	limited, cancel := context.WithTimeout(ctx, wait+w.cfg.Timeout)
	defer cancel()
	changes, err = c.source.Watch(limited, after, wait)
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
	if err = w.account(ctx, c, "watch", confirmed, err); err != nil {
		return changes, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if changes.Lost {
		w.log.Info("store told no change although its revision rose, reading everything again",
			"revision", after, "risen_to", changes.Revision)
		return changes, nil
	}
	if w.view.TakeChanges(w.now(), changes) {
		w.pass("watch", c.name)
	}
	return changes, nil
}

// account notes how a call ended, and logs when the source is lost and when it is back.
func (w *Watcher) account(ctx context.Context, c choice, operation string, confirmed time.Duration, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	own := c.name == sourceName
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		w.metrics.read(own, "failed")
		if !own {
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
	w.metrics.read(own, "ok")
	if own && w.failures > 0 {
		away := w.now() - w.confirmedAt
		w.view.Returned(w.now(), away)
		w.log.Info("store is back", "operation", operation, "failures", w.failures, "away", away.String())
		w.failures = 0
	}
	if err == nil && confirmed > w.confirmedAt {
		w.confirmedAt = confirmed
		w.announce()
	}
	if err == nil && w.from != c.name {
		w.log.Info("reading from another place", "from", c.name, "before", w.from, "revision", w.view.Revision())
		w.from = c.name
	}
	return err
}

// pass hands the view on. The caller holds w.mu.
func (w *Watcher) pass(cause, from string) {
	w.announce()
	w.reportProblems()
	for _, text := range w.view.Documents() {
		w.consumer.OfferDocument("store", "", text) // the document names itself, not its key
	}
	list := w.view.Instances()
	w.log.Info("view changed", "cause", cause, "from", from, "revision", list.Sequence, "targets", len(list.Instances))
	w.consumer.SetInstances(list)
}

// reportProblems logs entries that cannot be read, once for each version of them.
func (w *Watcher) reportProblems() {
	problems := w.view.Problems()
	for key, problem := range problems {
		if w.problems[key] != problem {
			w.log.Info("store entry cannot be read and is ignored", "key", key, "error", problem.Error())
		}
	}
	w.problems = problems
}

// expireLost gives up lost entries when their grace is over.
func (w *Watcher) expireLost(ctx context.Context) {
	for sleep(ctx, returnGrace/10) {
		w.mu.Lock()
		if w.view.Expire(w.now()) {
			w.pass("entries did not come back", "")
		}
		w.mu.Unlock()
	}
}
