package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// minOutage is the length from which an outage of the source starts a grace period, because entries of live targets
	// may have expired during it. It is below the shortest time after which an entry without heartbeats expires.
	minOutage = time.Second
	// recoveryGrace is how long entries that expired during an outage are kept after the source answers again. The
	// platform states that live targets are listed again within about two seconds.
	recoveryGrace = 2200 * time.Millisecond
	// The history of a view keeps about minHistoryItems changes, or historyItemsPerEntry changes for each entry if that
	// is more. Targets that start together cause one change each, and another one when they leave. A follower whose
	// revision is older than the history has to read a full snapshot, which a large fleet cannot afford while its
	// targets start or leave together.
	minHistoryItems      = 512
	historyItemsPerEntry = 2
	// maxRevisions is the number of revisions of an entry that are remembered for a restore of the source. A copy is seconds
	// old, in which an entry changes a few times.
	maxRevisions = 8
	// maxRemovedEntries is the number of removed entries that are remembered for a restore of the source.
	maxRemovedEntries = 4096
)

// View holds the items of a Source. It is a reducer: it applies snapshots and changes, each with the time of its
// arrival, and reports what changed, without clock or I/O. Times are durations since a start that the caller chooses. A
// View is not safe for concurrent use.
type View struct {
	entries    map[string]entry
	revision   uint64
	generation uint64 // revisions are of this generation
	complete   bool
	// graceUntil is the end of the grace period for missing entries after an outage, which began at outageBegan.
	graceUntil, outageBegan time.Duration
	// history holds all changes with a revision above compactedRevision, in the order in which they were applied, but of
	// documents only the latest of each key. A snapshot applies its items by key, so revisions do not always rise.
	history           []Item
	compactedRevision uint64
	newestChange      uint64 // highest revision in history
	// copyRevision is the highest revision that an item of the copy can have from which the source was last restored; 0 if it
	// was not restored.
	copyRevision uint64
	// removed holds the last revisions of removed entries by key, oldest first, removedOrder their keys, oldest first.
	removed      map[string][]uint64
	removedOrder []string
	orders       orderMemory
}

// entry is one item of a View.
type entry struct {
	Item
	// missing marks an entry that disappeared and is kept until the grace period ends.
	missing bool
	// revisions holds the last revisions of the entry, at most maxRevisions, oldest first.
	revisions []uint64
}

// NewView returns an empty view.
func NewView() *View {
	return &View{entries: make(map[string]entry), removed: make(map[string][]uint64)}
}

// Generation returns the generation of the source that the view matches.
func (v *View) Generation() uint64 { return v.generation }

// Revision returns the revision from which to continue watching.
func (v *View) Revision() uint64 { return v.revision }

// Complete reports whether a snapshot was applied.
func (v *View) Complete() bool { return v.complete }

// SourceRecovered notes that the source answers again. An outage of at least minOutage starts a grace period for
// missing entries.
func (v *View) SourceRecovered(now, outage time.Duration) {
	if outage >= minOutage {
		v.graceUntil, v.outageBegan = now+recoveryGrace, now-outage
	}
}

// Grace returns how much longer missing entries are kept.
func (v *View) Grace(now time.Duration) time.Duration { return max(v.graceUntil-now, 0) }

// extendGrace keeps missing entries for at least the given time from now on, because of an outage that began outageAge ago.
func (v *View) extendGrace(now, grace, outageAge time.Duration) {
	if until := now + grace; grace > 0 && until > v.graceUntil {
		v.graceUntil, v.outageBegan = until, now-outageAge
	}
}

// outageAge returns the time since the outage began to which the grace period belongs, or 0 without a grace period.
func (v *View) outageAge(now time.Duration) time.Duration {
	if v.Grace(now) == 0 {
		return 0
	}
	return now - v.outageBegan
}

// Snapshot returns all entries that are not missing, sorted by key.
func (v *View) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Revision: v.revision, Generation: v.generation, Grace: v.Grace(now), OutageAge: v.outageAge(now)}
	for _, key := range slices.Sorted(maps.Keys(v.entries)) {
		if e := v.entries[key]; !e.missing {
			s.Items = append(s.Items, e.Item)
		}
	}
	return s
}

// Since returns the changes after a revision. It returns false if the history does not hold all of them.
func (v *View) Since(now time.Duration, after uint64) (Changes, bool) {
	if !v.complete || after < v.compactedRevision {
		return Changes{}, false
	}
	c := Changes{Revision: v.revision, Generation: v.generation, Grace: v.Grace(now), OutageAge: v.outageAge(now)}
	if v.newestChange <= after {
		return c, true // most calls only ask for confirmation
	}
	for _, item := range v.history {
		if item.Revision > after {
			c.Items = append(c.Items, item)
		}
	}
	return c, true
}

// recordChange adds a change to the history.
func (v *View) recordChange(item Item) {
	if v.entries[item.Key].Document != nil {
		v.dropDocument(item.Key)
	}
	v.history = append(v.history, item)
	v.newestChange = max(v.newestChange, item.Revision)
	limit := max(minHistoryItems, historyItemsPerEntry*len(v.entries))
	if excess := len(v.history) - limit; excess > limit/4 { // trim seldom, because each trim copies the rest
		for _, dropped := range v.history[:excess] {
			v.compactedRevision = max(v.compactedRevision, dropped.Revision)
		}
		v.history = slices.Clone(v.history[excess:])
	}
}

// dropDocument removes the last version of a document from the history before a newer one is added. A follower that has
// missed both needs only the newer one, and each can be a megabyte.
func (v *View) dropDocument(key string) {
	for n, item := range slices.Backward(v.history) {
		if item.Key == key && item.Document != nil {
			v.history = slices.Delete(v.history, n, n+1)
			return
		}
	}
}

// ApplySnapshot replaces the view by a snapshot, or ignores one that is older than the view. It reports whether
// anything changed; the first snapshot always counts as a change.
func (v *View) ApplySnapshot(now time.Duration, s Snapshot) (changed bool) {
	if v.complete && (s.Generation < v.generation || s.Generation == v.generation && s.Revision < v.revision) {
		return false
	}
	v.extendGrace(now, s.Grace, s.OutageAge)
	restored := v.complete && s.Generation > v.generation
	s.Items = v.withoutEndedOrders(s, restored)
	if restored {
		v.copyRevision = s.Revision
		for _, item := range s.Items {
			v.copyRevision = max(v.copyRevision, item.Revision)
		}
		v.extendGrace(now, recoveryGrace, 0)
		v.history, v.newestChange, v.compactedRevision = nil, 0, s.Revision
		changed = true // an equal revision may be that of another change
	}
	s.Items = v.withoutReverts(s.Items)
	v.generation = s.Generation
	if !v.complete {
		v.compactedRevision = s.Revision
	}
	present := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		present[item.Key] = true
		changed = v.put(item) || changed
	}
	for _, key := range slices.Collect(maps.Keys(v.entries)) {
		if !present[key] && !v.retainsOrder(key, s.Revision, restored) {
			changed = v.remove(now, Item{Key: key, Revision: s.Revision, Removed: true}) || changed
		}
	}
	v.revision = s.Revision
	first := !v.complete
	v.complete = true
	return changed || first
}

// withoutReverts returns the items of a restored source without those that are known to be outdated: entries that were
// removed after the copy was made, and targets that were live then and have announced since that they are leaving. The
// source has lost both until the writers repeat them, so each snapshot contains them again. Orders are handled by
// withoutEndedOrders.
func (v *View) withoutReverts(items []Item) []Item {
	if v.copyRevision == 0 {
		return items
	}
	var list []Item
	for _, item := range items {
		if item.Revision > v.copyRevision {
			list = append(list, item) // written since the restore
			continue
		}
		if slices.Contains(v.removed[item.Key], item.Revision) && !item.isOrder() {
			continue
		}
		known := v.entries[item.Key].Target
		if known != nil && item.Target != nil && known.State == StateLeaving && known.Identity() == item.Target.Identity() {
			leaving := *item.Target
			leaving.State = StateLeaving
			item.Target = &leaving
		}
		list = append(list, item)
	}
	return list
}

// recordRemoval remembers the last revisions of a removed entry: a copy of the source has one of them.
func (v *View) recordRemoval(key string, revisions []uint64) {
	if _, known := v.removed[key]; !known {
		v.removedOrder = append(v.removedOrder, key)
	}
	v.removed[key] = revisions
	if len(v.removedOrder) > maxRemovedEntries {
		delete(v.removed, v.removedOrder[0])
		v.removedOrder = v.removedOrder[1:]
	}
}

// ApplyChanges applies changes of the generation of the view. It reports whether anything changed.
func (v *View) ApplyChanges(now time.Duration, c Changes) (changed bool) {
	v.extendGrace(now, c.Grace, c.OutageAge)
	for _, item := range c.Items {
		if old, ok := v.entries[item.Key]; item.Revision <= v.revision || ok && item.Revision < old.Revision {
			continue // already applied, possibly together with later changes
		}
		if item.Removed {
			changed = v.remove(now, item) || changed
			continue
		}
		if item.Retained != 0 && !v.acceptsOrder(item, false) {
			continue
		}
		changed = v.put(item) || changed
	}
	v.revision = max(v.revision, c.Revision)
	return changed
}

// Expire removes the missing entries once the grace period is over. It reports whether there were any.
func (v *View) Expire(now time.Duration) (changed bool) {
	if now < v.graceUntil {
		return false
	}
	for key, e := range v.entries {
		if e.missing {
			delete(v.entries, key)
			changed = true
		}
	}
	return changed
}

// put stores an item and reports whether that changed the view.
func (v *View) put(item Item) bool {
	old, known := v.entries[item.Key]
	v.entries[item.Key] = entry{Item: item, revisions: appendRevision(old.revisions, item.Revision)}
	if item.isOrder() {
		v.orders.seen = remember(v.orders.seen, item.orderVersion())
	}
	if known && !old.missing && old.Revision == item.Revision {
		return false
	}
	if v.complete {
		v.recordChange(item)
	}
	return true
}

// appendRevision adds a revision unless it is the last one, and drops the oldest of more than maxRevisions.
func appendRevision(revisions []uint64, revision uint64) []uint64 {
	if n := len(revisions); n > 0 && revisions[n-1] == revision {
		return revisions
	}
	revisions = append(slices.Clip(revisions), revision)
	return revisions[max(len(revisions)-maxRevisions, 0):]
}

// remove deletes an entry and reports whether that changed the view. During the grace period after an outage it marks
// the entry of a live target as missing instead; a target that announced that it is leaving is deleted at once. Either
// way the history records the removal: followers receive it with the remaining grace period and decide in the same way.
func (v *View) remove(now time.Duration, item Item) bool {
	e, known := v.entries[item.Key]
	if !known || e.missing {
		return false
	}
	v.recordChange(item)
	v.recordRemoval(item.Key, e.revisions)
	if e.Target != nil && e.Target.State == StateLive && now < v.graceUntil {
		e.missing = true
		v.entries[item.Key] = e
		return false
	}
	delete(v.entries, item.Key)
	return true
}

// Instances returns the targets, sorted by key, with missing entries but without those that could not be decoded.
func (v *View) Instances() InstanceList {
	list := InstanceList{Sequence: v.revision}
	for _, key := range slices.Sorted(maps.Keys(v.entries)) {
		e := v.entries[key]
		if e.Target == nil {
			continue
		}
		listed := *e.Target
		listed.Revision = e.Revision
		list.Instances = append(list.Instances, listed)
	}
	return list
}

// Documents returns the items with a configuration document, in no particular order.
func (v *View) Documents() []Item {
	var docs []Item
	for _, e := range v.entries {
		if e.Document != nil {
			docs = append(docs, e.Item)
		}
	}
	return docs
}

// DecodeErrors returns the items that could not be decoded, in no particular order.
func (v *View) DecodeErrors() []Item {
	var list []Item
	for _, e := range v.entries {
		if e.DecodeErr != nil {
			list = append(list, e.Item)
		}
	}
	return list
}
