package discovery

import (
	"cmp"
	"maps"
	"slices"
)

// This file keeps the orders to evacuate availability zones. An order is in force while its key exists in the source. It
// is more than an entry of a target: a restore of the source from an older copy must neither end it nor bring back one
// that had ended.

// maxRememberedOrders is the number of orders that are remembered for a restore of the source, each with its revision.
const maxRememberedOrders = 4096

// OrderVersion is one write of an order.
type OrderVersion struct {
	Key      string
	Revision uint64
}

// orderMemory remembers orders beyond their end.
type orderMemory struct {
	seen []OrderVersion // that were in force
	// reverted holds those that had ended and were present again after a restore.
	reverted []OrderVersion
}

func remember(list []OrderVersion, o OrderVersion) []OrderVersion {
	if slices.Contains(list, o) {
		return list
	}
	list = append(list, o)
	return list[max(len(list)-maxRememberedOrders, 0):]
}

func (i *Item) isOrder() bool { return i.EvacuatedZone != "" && !i.Removed }

// orderVersion returns the write that brought an order into force.
func (i *Item) orderVersion() OrderVersion {
	return OrderVersion{Key: i.Key, Revision: cmp.Or(i.Retained, i.Revision)}
}

// EvacuatedZones returns the zones with an order in force, sorted.
func (v *View) EvacuatedZones() []string {
	zones := make(map[string]bool)
	for _, e := range v.entries {
		if e.isOrder() {
			zones[e.EvacuatedZone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// withoutEndedOrders returns the items of a snapshot without the orders that are known to have ended. These are orders
// of a restored source that ended after the copy was made, and orders that another instance retained although this view
// knows that they ended, or has the key itself. The latter are decided like a key that is missing in the snapshot.
func (v *View) withoutEndedOrders(s Snapshot, restored bool) []Item {
	list := make([]Item, 0, len(s.Items))
	for _, item := range s.Items {
		if item.isOrder() {
			if item.Retained != 0 {
				item.Revision = s.Revision // so that followers of this view receive it as a change
			}
			if !v.acceptsOrder(item, restored) {
				continue
			}
		}
		list = append(list, item)
	}
	return list
}

// acceptsOrder reports whether an order applies that comes with a snapshot, or that another instance has retained.
// Within a generation, an order that is present again has not ended: the snapshot without it was incomplete.
func (v *View) acceptsOrder(item Item, restored bool) bool {
	known := v.entries[item.Key]
	version := item.orderVersion()
	switch {
	case known.isOrder():
		return item.Retained == 0
	case slices.Contains(v.orders.reverted, version):
		return false
	case (restored || item.Retained != 0) && slices.Contains(v.orders.seen, version):
		v.orders.reverted = remember(v.orders.reverted, version)
		return false
	}
	return true
}

// retainsOrder reports whether the entry of a key that is missing in a snapshot is an order that stays in force, because
// the source lost its key in a restore, now or earlier.
func (v *View) retainsOrder(key string, revision uint64, restored bool) bool {
	e := v.entries[key]
	if !e.isOrder() || e.Retained == 0 && !restored {
		return false
	}
	if restored {
		e.Retained = max(e.orderVersion().Revision, 1)
		e.Revision = revision // earlier revisions are of another generation
		v.entries[key] = e
	}
	return true
}
