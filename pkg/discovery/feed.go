package discovery

import (
	"context"
	"time"
)

// This file gives other instances what this one knows, in place of the source.

// Snapshot returns everything for another instance; ErrHistoryGone if nothing is known yet.
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

// notifyWaiters wakes those who follow this instance. The caller holds w.mu.
func (w *Watcher) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Since returns the changes after a revision for another instance. It returns as soon as there are some, when the
// revision is confirmed again, or when wait is over. So a confirmation passes through the fleet without waiting at each
// step.
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
	changes, known := w.view.Since(w.now(), after)
	if !known {
		return Changes{}, nil, ErrHistoryGone
	}
	changes.Age = max(w.now()-w.confirmedAt, 0)
	return changes, w.changed, nil
}
