package discovery

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone is returned by Source.Watch when the source no longer has the changes since the requested revision.
// The caller has to read a full snapshot. If the source is another instance, Read and Watch also return it while that
// instance has no complete view.
var ErrHistoryGone = eris.New("history of changes is no longer available")

// ErrOutdatedFeed is returned by a Source that is another instance whose build passes on fewer kinds of items than this
// one knows. Its data counts as none.
var ErrOutdatedFeed = eris.New("instance of an older build passes on incomplete data")

// Source is a store of items with one revision counter, which can be read and watched. Implementations are safe for
// concurrent use.
type Source interface {
	// Read returns all items. A watch from Snapshot.Revision misses no change.
	Read(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision as soon as there are any, or no changes at the end of wait. A source
	// that is another instance also returns without changes as soon as the view of that instance is confirmed.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Reset closes idle connections, so that the next call does not use an unresponsive one.
	Reset()
}

// Item is one key of a Source.
type Item struct {
	Key string
	// Revision is the revision of the last change of the key.
	Revision uint64
	// Removed is set in Changes for a key that was removed.
	Removed bool
	// Document is the text of a configuration document; nil for other items.
	Document []byte
	// Target is the entry of a target; nil for other items and for an entry that could not be decoded.
	Target *Instance
	// EvacuatedZone is the availability zone that is evacuated while the key exists; empty for other items.
	EvacuatedZone string
	// Retained is set for an order to evacuate a zone that is in force although the source lost its key in a restore from
	// an older copy: the revision that the key had before.
	Retained uint64
	// DecodeErr is set if the entry could not be decoded.
	DecodeErr error
}

// Snapshot is the content of a Source.
type Snapshot struct {
	Items    []Item
	Revision uint64
	// Generation counts how often the platform's store was restored from an older copy. Revisions of different generations
	// are not comparable: they go back with a restore and are then assigned again.
	Generation uint64
	// Age is the time since the platform confirmed the content; zero if it comes from the platform itself.
	Age time.Duration
	// Grace is how much longer to keep entries that went missing during an outage of the platform.
	Grace time.Duration
	// OutageAge is the time since the beginning of the outage to which Grace belongs. It is 0 without an outage, and from
	// instances of older builds.
	OutageAge time.Duration
}

// Changes holds the items that changed. A key that changed several times can be listed several times, in the order of
// its changes.
type Changes struct {
	Items []Item
	// Revision is the revision from which to continue watching.
	Revision uint64
	// Generation is as in Snapshot. If it differs from that of the snapshot, the changes do not continue the snapshot.
	Generation uint64
	// Age, Grace and OutageAge are as in Snapshot.
	Age, Grace, OutageAge time.Duration
	// Incomplete is set if the revision rose although the answer has no changes. The caller has to read a full snapshot.
	Incomplete bool
}
