package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// awayAfter is how long a source must have been out of reach before missing entries may have expired meanwhile. It is
	// shorter than the shortest lifetime of an entry without a heartbeat.
	awayAfter = time.Second
	// returnGrace is how long entries that a source lost while it was away are waited for after its return. The platform
	// states that living targets are back within about two seconds.
	returnGrace = 2200 * time.Millisecond
)

// View is what is known of a Source's items. It is a reducer: it takes snapshots and changes with their time and tells
// what became of them, without clock or I/O. A View is not safe for concurrent use.
type View struct {
	entries  map[string]entry
	revision uint64
	read     bool
	// graceUntil is the end of the grace for lost entries after a time out of reach.
	graceUntil time.Duration
}

// entry is one item of a View.
type entry struct {
	Item
	// lost marks an entry that went missing and is kept until the grace is over.
	lost bool
}

// NewView returns an empty view.
func NewView() *View { return &View{entries: make(map[string]entry)} }

// Revision returns the revision from which to watch on.
func (v *View) Revision() uint64 { return v.revision }

// Complete reports whether a snapshot was taken.
func (v *View) Complete() bool { return v.read }

// Returned tells that the source answered again after the given time out of reach.
func (v *View) Returned(now, away time.Duration) {
	if away >= awayAfter {
		v.graceUntil = now + returnGrace
	}
}

// GraceUntil returns the time at which lost entries are given up; zero if there are none.
func (v *View) GraceUntil() time.Duration {
	for _, e := range v.entries {
		if e.lost {
			return v.graceUntil
		}
	}
	return 0
}

// TakeSnapshot replaces the view by a snapshot. It reports whether anything changed.
func (v *View) TakeSnapshot(now time.Duration, s Snapshot) (changed bool) {
	if v.read && s.Revision < v.revision {
		return false // an answer from before what is known
	}
	present := make(map[string]bool, len(s.Items))
	for _, i := range s.Items {
		present[i.Key] = true
		changed = v.put(i) || changed
	}
	for _, key := range slices.Collect(maps.Keys(v.entries)) {
		if !present[key] {
			changed = v.remove(now, key) || changed
		}
	}
	v.revision = s.Revision
	first := !v.read
	v.read = true
	return changed || first
}

// TakeChanges applies changes. It reports whether anything changed.
func (v *View) TakeChanges(now time.Duration, c Changes) (changed bool) {
	for _, i := range c.Items {
		if old, ok := v.entries[i.Key]; ok && i.Revision < old.Revision {
			continue
		}
		if i.Removed {
			changed = v.remove(now, i.Key) || changed
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
		if e.lost {
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
	return !known || old.lost || old.Revision != i.Revision
}

// remove drops an entry, or keeps it for the grace after a time out of reach. A target that announced that it leaves is
// not waited for.
func (v *View) remove(now time.Duration, key string) bool {
	e, known := v.entries[key]
	if !known {
		return false
	}
	if e.Target != nil && e.Target.State == StateLive && now < v.graceUntil {
		e.lost = true
		v.entries[key] = e
		return false
	}
	delete(v.entries, key)
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

// Problems returns the entries that cannot be read, by key.
func (v *View) Problems() map[string]error {
	problems := make(map[string]error)
	for key, e := range v.entries {
		if e.Problem != nil {
			problems[key] = e.Problem
		}
	}
	return problems
}
