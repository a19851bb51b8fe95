package discovery

import (
	"context"
	"maps"
	"slices"
	"time"
)

// This file ends retained orders. A restore of the source has lost them, so that the source cannot tell whether they had
// ended before; another instance may have seen their end.

// EndedOrders returns those of the given orders to evacuate a zone that have ended as far as this instance knows.
func (w *Watcher) EndedOrders(orders []OrderVersion) []OrderVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view.endedOrders(orders)
}

// settleInterval is the interval at which an instance with retained orders asks another one whether they have ended.
const settleInterval = 500 * time.Millisecond

// settleOrders ends the retained orders whose end another instance has seen, until ctx ends.
func (w *Watcher) settleOrders(ctx context.Context) {
	for sleep(ctx, settleInterval) {
		w.mu.Lock()
		retained := w.view.retainedOrders()
		w.mu.Unlock()
		if len(retained) == 0 {
			continue
		}
		ended, from, err := w.cfg.AskEndedOrders(ctx, retained)
		if err != nil {
			w.log.V(1).Info("cannot ask whether retained orders have ended", "peer", from, "orders", len(retained), "error", err.Error())
			continue
		}
		w.mu.Lock()
		if w.view.endRetained(w.now(), ended) {
			w.publish("another instance has seen the end of an order", from)
		}
		w.mu.Unlock()
	}
}

// retainedOrders returns the retained orders, sorted by key.
func (v *View) retainedOrders() []OrderVersion {
	var list []OrderVersion
	for _, key := range slices.Sorted(maps.Keys(v.entries)) {
		if e := v.entries[key]; e.isOrder() && e.Retained != 0 {
			list = append(list, e.orderVersion())
		}
	}
	return list
}

// endedOrders returns those of the given orders that this view has seen in force, and whose keys have no order in force any
// more.
func (v *View) endedOrders(orders []OrderVersion) []OrderVersion {
	return slices.DeleteFunc(slices.Clone(orders), func(o OrderVersion) bool {
		e := v.entries[o.Key]
		return e.isOrder() || !slices.Contains(v.orders.seen, o)
	})
}

// endRetained ends those of the given orders that are retained, and reports whether there were any. It is no change for
// instances that follow this one: they ask by themselves.
func (v *View) endRetained(now time.Duration, ended []OrderVersion) (changed bool) {
	for _, o := range ended {
		if e := v.entries[o.Key]; e.isOrder() && e.Retained != 0 && e.orderVersion() == o {
			changed = v.remove(now, Item{Key: o.Key, Revision: v.revision, Removed: true}) || changed
		}
	}
	return changed
}
