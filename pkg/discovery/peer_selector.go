package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// PeerSelector chooses the other instances from which this one reads what the source publishes, so that not every instance
// calls the source. Implementations are safe for concurrent use.
type PeerSelector interface {
	// Parent returns the instance to read from, its name and the number of steps from there to the source. It returns
	// nil if this instance reads the source itself.
	Parent() (from Source, name string, depth int)
	// Joined reports whether another instance has told its members, so that the choice is more than a guess.
	Joined() bool
	// RandomPeer returns some other instance in contact with this one, and its name; nil if there is none.
	RandomPeer() (from Source, name string)
	// MarkFailed notes that an instance could not be read, or knows nothing recent.
	MarkFailed(ctx context.Context, name string)
}

const (
	// joinTimeout is how long an instance waits to hear of others before it takes itself for the only one.
	joinTimeout = time.Second
	// joinPollInterval is the interval at which an instance without a view looks whether others are known.
	joinPollInterval = 50 * time.Millisecond
	// confirmWait is the wait of a watch that only serves to confirm the view.
	confirmWait = 100 * time.Millisecond
	// bypassDelayPerHop is how much longer an instance waits for each step that it is further from the source, so that a break
	// in the chain makes the instance next to it read the source, and not all behind it.
	bypassDelayPerHop = 150 * time.Millisecond
)

const (
	// bypassBackoffInitial and bypassLimit bound the pause after a failed call of an instance that is not the root. Meanwhile it
	// goes on hearing from its parent, so only the root has to try often while the source is away for all.
	bypassBackoffInitial = time.Second
	bypassBackoffMax     = 4 * time.Second
)

// sourceChoice is where to read from.
type sourceChoice struct {
	source Source // nil while it is too early to tell
	name   string
	// parent is the instance to read from otherwise, and bypass is set if the source is read in its place because nothing
	// recent comes from there.
	parent string
	bypass bool
	// wait is how long a watch waits for a change; 0 stands for the configured time.
	wait time.Duration
}

// chooseSource returns where to read from: another instance while what comes from there is recent, otherwise the source.
func (w *Watcher) chooseSource() sourceChoice {
	direct := sourceChoice{source: w.source, name: sourceName}
	if w.peers == nil {
		return direct
	}
	from, name, depth := w.peers.Parent()
	age, known := w.age(), w.revision() > 0
	switch {
	case !known && (!w.cfg.WaitForPeers || age >= joinTimeout):
		return direct
	case age < joinTimeout && !w.peers.Joined():
		return sourceChoice{} // it is not known yet who else is there
	case from == nil:
		return direct
	case known && age > w.cfg.MaxAge+time.Duration(depth)*bypassDelayPerHop+rand.N(bypassDelayPerHop) && w.now() >= w.nextBypassAt:
		direct.parent, direct.bypass = name, true
		return direct
	}
	return sourceChoice{source: from, name: name}
}

// readFromPeer reads from some other instance after a call of the source has failed, so that an instance that the source turns
// away knows what the others know. It reports whether the view is complete afterwards.
func (w *Watcher) readFromPeer(ctx context.Context, complete bool) bool {
	if w.peers == nil {
		return complete
	}
	from, name := w.peers.RandomPeer()
	if from == nil {
		return complete
	}
	_, err := w.readOrWatch(ctx, sourceChoice{source: from, name: name, wait: confirmWait}, complete)
	if err != nil {
		from.Reset()
	}
	return complete || err == nil
}

// dropStaleParent looks for another parent after the source has answered in place of one that knows nothing recent: the
// parent is cut off from the source, and would stay the parent of all its children otherwise.
func (w *Watcher) dropStaleParent(ctx context.Context, c sourceChoice) {
	if c.bypass && w.staleParent == c.parent {
		w.peers.MarkFailed(ctx, c.parent)
	}
	w.staleParent = ""
}
