package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// minOutage is how long a source must have been out of reach before missing entries may have expired meanwhile. It is
	// shorter than the shortest lifetime of an entry without a heartbeat.
	minOutage = time.Second
	// recoveryGrace is how long entries that a source lost while it was away are waited for after its return. The platform
	// states that living targets are back within about two seconds.
	recoveryGrace = 2200 * time.Millisecond
	// minHistoryItems and historyShare bound the changes that a view remembers for others: that many, or that many for each
	// entry. Targets that start together bring one change each, and one more when they leave; whoever finds its history
	// gone reads everything again, which a large fleet cannot bear at such a moment.
	minHistoryItems      = 512
	historyItemsPerEntry = 2
)

// View is what is known of a Source's items. It is a reducer: it takes snapshots and changes with their time and tells
// what became of them, without clock or I/O. A View is not safe for concurrent use.
type View struct {
	entries  map[string]entry
	revision uint64
	complete bool
	// graceUntil is the end of the grace for lost entries after a time out of reach.
	graceUntil time.Duration
	// history holds the latest changes with a revision above floor.
	history           []Item
	compactedRevision uint64
}

// entry is one item of a View.
type entry struct {
	Item
	// missing marks an entry that went missing and is kept until the grace is over.
	missing bool
}

// NewView returns an empty view.
func NewView() *View { return &View{entries: make(map[string]entry)} }

// Revision returns the revision from which to watch on.
func (v *View) Revision() uint64 { return v.revision }

// Complete reports whether a snapshot was taken.
func (v *View) Complete() bool { return v.complete }

// SourceRecovered tells that the source answered again after the given time out of reach.
func (v *View) SourceRecovered(now, outage time.Duration) {
	if outage >= minOutage {
		v.graceUntil = now + recoveryGrace
	}
}

// Grace returns how much longer lost entries are waited for.
func (v *View) Grace(now time.Duration) time.Duration { return max(v.graceUntil-now, 0) }

// extendGrace waits for lost entries at least for the given time.
func (v *View) extendGrace(now, grace time.Duration) { v.graceUntil = max(v.graceUntil, now+grace) }

// Snapshot returns the entries that are there.
func (v *View) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Revision: v.revision, Grace: v.Grace(now)}
	for _, key := range slices.Sorted(maps.Keys(v.entries)) {
		if e := v.entries[key]; !e.missing {
			s.Items = append(s.Items, e.Item)
		}
	}
	return s
}

// Since returns the changes after a revision. It is false if the view does not remember all of them.
func (v *View) Since(now time.Duration, after uint64) (Changes, bool) {
	if !v.complete || after < v.compactedRevision {
		return Changes{}, false
	}
	c := Changes{Revision: v.revision, Grace: v.Grace(now)}
	if n := len(v.history); n == 0 || v.history[n-1].Revision <= after {
		return c, true // most calls only ask for a confirmation
	}
	for _, i := range v.history {
		if i.Revision > after {
			c.Items = append(c.Items, i)
		}
	}
	return c, true
}

// recordChange adds a change to the history.
func (v *View) recordChange(i Item) {
	v.history = append(v.history, i)
	limit := max(minHistoryItems, historyItemsPerEntry*len(v.entries))
	if excess := len(v.history) - limit; excess > limit/4 { // not with every change, because the rest is copied
		for _, dropped := range v.history[:excess] {
			v.compactedRevision = max(v.compactedRevision, dropped.Revision)
		}
		v.history = slices.Clone(v.history[excess:])
	}
}

// ApplySnapshot replaces the view by a snapshot. It reports whether anything changed.
func (v *View) ApplySnapshot(now time.Duration, s Snapshot) (changed bool) {
	if v.complete && s.Revision < v.revision {
		return false // an answer from before what is known
	}
	v.extendGrace(now, s.Grace)
	if !v.complete {
		v.compactedRevision = s.Revision
	}
	present := make(map[string]bool, len(s.Items))
	for _, i := range s.Items {
		present[i.Key] = true
		changed = v.put(i) || changed
	}
	for _, key := range slices.Collect(maps.Keys(v.entries)) {
		if !present[key] {
			changed = v.remove(now, Item{Key: key, Revision: s.Revision, Removed: true}) || changed
		}
	}
	v.revision = s.Revision
	first := !v.complete
	v.complete = true
	return changed || first
}

// ApplyChanges applies changes. It reports whether anything changed.
func (v *View) ApplyChanges(now time.Duration, c Changes) (changed bool) {
	v.extendGrace(now, c.Grace)
	for _, i := range c.Items {
		if old, ok := v.entries[i.Key]; i.Revision <= v.revision || ok && i.Revision < old.Revision {
			continue // known already, possibly with what came after it
		}
		if i.Removed {
			changed = v.remove(now, i) || changed
			continue
		}
		changed = v.put(i) || changed
	}
	v.revision = max(v.revision, c.Revision)
	return changed
}

// Expire gives up lost entries whose grace is over. It reports whether there were any.
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

// put stores an item and reports whether it is news.
func (v *View) put(i Item) bool {
	old, known := v.entries[i.Key]
	v.entries[i.Key] = entry{Item: i}
	if known && !old.missing && old.Revision == i.Revision {
		return false
	}
	if v.complete {
		v.recordChange(i)
	}
	return true
}

// remove drops an entry, or keeps it for the grace after a time out of reach. A target that announced that it leaves is
// not waited for.
func (v *View) remove(now time.Duration, i Item) bool {
	e, known := v.entries[i.Key]
	if !known || e.missing {
		return false
	}
	v.recordChange(i)
	if e.Target != nil && e.Target.State == StateLive && now < v.graceUntil {
		e.missing = true
		v.entries[i.Key] = e
		return false
	}
	delete(v.entries, i.Key)
	return true
}

// Instances returns the targets, sorted by key. An entry that cannot be read names no target.
func (v *View) Instances() InstanceList {
	list := InstanceList{Sequence: v.revision}
	for _, key := range slices.Sorted(maps.Keys(v.entries)) {
		if t := v.entries[key].Target; t != nil {
			list.Instances = append(list.Instances, *t)
		}
	}
	return list
}

// Documents returns the texts of the configuration documents by key.
func (v *View) Documents() map[string][]byte {
	docs := make(map[string][]byte)
	for key, e := range v.entries {
		if e.Document != nil {
			docs[key] = e.Document
		}
	}
	return docs
}

// DecodeErrors returns the entries that cannot be read, by key.
func (v *View) DecodeErrors() map[string]error {
	errs := make(map[string]error)
	for key, e := range v.entries {
		if e.DecodeErr != nil {
			errs[key] = e.DecodeErr
		}
	}
	return errs
}
