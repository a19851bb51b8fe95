package discovery

import (
	"context"
	"time"
)

// This file serves the view to other instances, which read it in place of the source.

// Snapshot returns the view for another instance, or ErrHistoryGone before the first complete read.
func (w *Watcher) Snapshot() (Snapshot, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.view.Complete() {
		return Snapshot{}, ErrHistoryGone
	}
	s := w.view.Snapshot(w.now())
	s.Age = max(w.now()-w.confirmedAt, 0)
	return s, nil
}

// notifyWaiters wakes the waiting calls of Since. The caller holds w.mu.
func (w *Watcher) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Since returns the changes after a revision for another instance, or ErrHistoryGone if the view does not have them
// all. It returns as soon as there are changes, when the view is confirmed again, or when wait is over or ctx ends.
// Because it returns on a confirmation, the confirmation passes from instance to instance without a wait at each hop.
func (w *Watcher) Since(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	changes, changed, err := w.changesSince(after)
	if err != nil || len(changes.Items) > 0 {
		return changes, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	changes, _, err = w.changesSince(after)
	return changes, err
}

// changesSince returns the changes after a revision, and a channel that is closed at the next change or confirmation.
func (w *Watcher) changesSince(after uint64) (Changes, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changes, ok := w.view.Since(w.now(), after)
	if !ok {
		return Changes{}, nil, ErrHistoryGone
	}
	changes.Age = max(w.now()-w.confirmedAt, 0)
	return changes, w.changed, nil
}
