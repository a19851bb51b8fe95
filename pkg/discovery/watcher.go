package discovery

import (
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
	// Timeout bounds each read, and each watch beyond Wait.
	Timeout time.Duration
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

// Watcher keeps a View of a Source up to date and passes it on. It is safe for concurrent use.
type Watcher struct {
	cfg      WatcherConfig
	source   Source
	consumer Consumer
	metrics  *Metrics
	log      logr.Logger
	started  time.Time
	once     sync.Once
	asked    chan struct{}

	mu        sync.Mutex // held while the view changes and is passed on
	view      *View
	problems  map[string]error // entries that could not be read when the view was passed on last
	reachedAt time.Duration    // start of the last call that was answered
	failures  int              // calls in a row without an answer
}

// NewWatcher returns a watcher that passes what it learns to consumer.
func NewWatcher(cfg WatcherConfig, source Source, consumer Consumer, m *Metrics, log logr.Logger) *Watcher {
	return &Watcher{
		cfg: cfg, source: source, consumer: consumer, metrics: m, log: log, started: time.Now(),
		asked: make(chan struct{}), view: NewView(),
	}
}

// Asked is closed after the source was read once.
func (w *Watcher) Asked() <-chan struct{} { return w.asked }

func (w *Watcher) now() time.Duration { return time.Since(w.started) }

// Run follows the source until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.expireLost(ctx)
	pauses := backoff{first: w.cfg.BackoffFirst, limit: w.cfg.BackoffLimit}
	complete := false
	for ctx.Err() == nil {
		var err error
		var changes Changes
		if complete {
			changes, err = w.watch(ctx)
		} else {
			err = w.read(ctx)
		}
		switch {
		case err == nil:
			complete = !changes.Lost
			pauses.reset()
			if len(changes.Items) > 0 && w.cfg.Gather > 0 {
				sleep(ctx, rand.N(w.cfg.Gather))
			}
		case errors.Is(err, ErrHistoryGone):
			w.log.Info("store dropped its history, reading everything again", "revision", w.revision())
			complete = false
		default:
			w.source.Reset()
			sleep(ctx, pauses.pause())
		}
	}
}

// Refresh reads everything once, for an instance that was paused and cannot trust its view.
func (w *Watcher) Refresh(ctx context.Context) error {
	w.source.Reset()
	return w.read(ctx)
}

func (w *Watcher) revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.Revision()
}

// read takes a snapshot of the source.
func (w *Watcher) read(ctx context.Context) error {
	began := w.now()
	limited, cancel := context.WithTimeout(ctx, w.cfg.Timeout)
	defer cancel()
	snapshot, err := w.source.Read(limited)
	if err = w.account(ctx, "read", began, err); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.view.TakeSnapshot(w.now(), snapshot) {
		w.pass("read")
	}
	w.once.Do(func() { close(w.asked) })
	return nil
}

// watch waits for changes and takes them.
func (w *Watcher) watch(ctx context.Context) (changes Changes, err error) {
	began, after := w.now(), w.revision()
	limited, cancel := context.WithTimeout(ctx, w.cfg.Wait+w.cfg.Timeout)
	defer cancel()
	changes, err = w.source.Watch(limited, after, w.cfg.Wait)
	if err = w.account(ctx, "watch", began, err); err != nil {
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
		w.pass("watch")
	}
	return changes, nil
}

// account notes how a call ended and logs when the source is lost and when it is back.
func (w *Watcher) account(ctx context.Context, operation string, began time.Duration, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil && !errors.Is(err, ErrHistoryGone) {
		w.metrics.reads.WithLabelValues("failed").Inc()
		w.failures++
		if w.failures&(w.failures-1) == 0 { // the 1st, 2nd, 4th and so on: an outage can last for hours
			w.log.Info("store call failed", "operation", operation, "failures", w.failures, "error", err.Error(),
				"revision", w.view.Revision(), "age", (w.now() - w.reachedAt).String())
		}
		return err
	}
	w.metrics.reads.WithLabelValues("ok").Inc()
	if w.failures > 0 {
		away := w.now() - w.reachedAt
		w.view.Returned(w.now(), away)
		w.log.Info("store is back", "operation", operation, "failures", w.failures, "away", away.String())
	}
	w.failures = 0
	w.reachedAt = max(w.reachedAt, began)
	return err
}

// pass hands the view on. The caller holds w.mu.
func (w *Watcher) pass(cause string) {
	w.reportProblems()
	for _, text := range w.view.Documents() {
		w.consumer.OfferDocument("store", "", text) // the document names itself, not its key
	}
	list := w.view.Instances()
	w.log.Info("targets changed", "cause", cause, "revision", list.Sequence, "targets", len(list.Instances))
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
			w.pass("entries did not come back")
		}
		w.mu.Unlock()
	}
}
