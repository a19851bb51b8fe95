package discovery

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrHistoryGone is returned by Source.Watch when the source no longer knows the changes since the revision that was
// asked for. The reader has to read everything again.
var ErrHistoryGone = eris.New("history is no longer available")

// Source is a store of items with one revision counter, which can be read and watched. Implementations are safe for
// concurrent use.
type Source interface {
	// Read returns all items. Snapshot.Revision is a revision from which a watch misses nothing.
	Read(ctx context.Context) (Snapshot, error)
	// Watch returns the changes after a revision as soon as there are some, and otherwise no changes after wait.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Reset closes idle connections, so that the next call does not use one that has become silent.
	Reset()
}

// Item is one key of a Source.
type Item struct {
	Key string
	// Revision is that of the last change of the key.
	Revision uint64
	// Removed is set in Changes for a key that is gone.
	Removed bool
	// Document is the text of a configuration document; nil for other items.
	Document []byte
	// Target is the entry of a target; nil for other items and for one that cannot be read.
	Target *Instance
	// DecodeErr tells why an entry cannot be read.
	DecodeErr error
}

// Snapshot is the content of a Source.
type Snapshot struct {
	Items    []Item
	Revision uint64
	// Age is the time since the source of a copy confirmed it; zero from the platform itself.
	Age time.Duration
	// Grace is how much longer entries that were lost while the platform was away are waited for.
	Grace time.Duration
}

// Changes are the latest states of the items that changed, in order.
type Changes struct {
	Items []Item
	// Revision is the one from which to watch on.
	Revision uint64
	// Age and Grace are as in Snapshot.
	Age, Grace time.Duration
	// Incomplete is set if the revision rose although no change was told.
	Incomplete bool
}
