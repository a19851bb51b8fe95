package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// Upstream chooses the other instances from which this one reads what the source publishes, so that not every instance
// calls the source. Implementations are safe for concurrent use.
type Upstream interface {
	// Choose returns the instance to read from, its name and the number of steps from there to the source. It returns
	// nil if this instance reads the source itself.
	Choose() (from Source, name string, depth int)
	// Joined reports whether another instance has told its members, so that the choice is more than a guess.
	Joined() bool
	// Other returns some other instance in contact with this one, and its name; nil if there is none.
	Other() (from Source, name string)
	// Failed notes that an instance could not be read, or knows nothing recent.
	Failed(ctx context.Context, name string)
}

const (
	// joinTime is how long an instance waits to hear of others before it takes itself for the only one.
	joinTime = time.Second
	// joinPoll is the interval at which an instance without a view looks whether others are known.
	joinPoll = 50 * time.Millisecond
	// shortWait is the wait of a watch that only serves to confirm the view.
	shortWait = 100 * time.Millisecond
	// depthDelay is how much longer an instance waits for each step that it is further from the source, so that a break
	// in the chain makes the instance next to it read the source, and not all behind it.
	depthDelay = 150 * time.Millisecond
)

const (
	// bypassFirst and bypassLimit bound the pause after a failed call of an instance that is not the root. Meanwhile it
	// goes on hearing from its parent, so only the root has to try often while the source is away for all.
	bypassFirst = time.Second
	bypassLimit = 4 * time.Second
)

// choice is where to read from.
type choice struct {
	source Source // nil while it is too early to tell
	name   string
	// parent is the instance to read from otherwise, and bypass is set if the source is read in its place because nothing
	// recent comes from there.
	parent string
	bypass bool
	// wait is how long a watch waits for a change; 0 stands for the configured time.
	wait time.Duration
}

// choose returns where to read from: another instance while what comes from there is recent, otherwise the source.
func (w *Watcher) choose() choice {
	own := choice{source: w.source, name: sourceName}
	if w.upstream == nil {
		return own
	}
	from, name, depth := w.upstream.Choose()
	age, known := w.age(), w.revision() > 0
	switch {
	case !known && (!w.cfg.Patient || age >= joinTime):
		return own
	case age < joinTime && !w.upstream.Joined():
		return choice{} // it is not known yet who else is there
	case from == nil:
		return own
	case known && age > w.cfg.MaxAge+time.Duration(depth)*depthDelay+rand.N(depthDelay) && w.now() >= w.bypassAt:
		own.parent, own.bypass = name, true
		return own
	}
	return choice{source: from, name: name}
}

// askOther reads from some other instance after a call of the source has failed, so that an instance that the source turns
// away knows what the others know. It reports whether the view is complete afterwards.
func (w *Watcher) askOther(ctx context.Context, complete bool) bool {
	if w.upstream == nil {
		return complete
	}
	from, name := w.upstream.Other()
	if from == nil {
		return complete
	}
	_, err := w.follow(ctx, choice{source: from, name: name, wait: shortWait}, complete)
	if err != nil {
		from.Reset()
	}
	return complete || err == nil
}

// leaveStaleParent looks for another parent after the source has answered in place of one that knows nothing recent: the
// parent is cut off from the source, and would stay the parent of all its children otherwise.
func (w *Watcher) leaveStaleParent(ctx context.Context, c choice) {
	if c.bypass && w.staleParent == c.parent {
		w.upstream.Failed(ctx, c.parent)
	}
	w.staleParent = ""
}
