package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// PeerSelector selects the instances from which this one reads, so that not every instance calls the source.
// Implementations are safe for concurrent use.
type PeerSelector interface {
	// Parent returns the instance to read from, its name and the number of hops from there to the source. It returns
	// nil if this instance reads the source itself.
	Parent() (from Source, name string, depth int)
	// Joined reports whether another instance has sent its list of members. Before that, Parent is only a guess.
	Joined() bool
	// RandomPeer returns another instance in contact with this one, and its name; nil if there is none.
	RandomPeer() (from Source, name string)
	// MarkFailed reports that an instance could not be read.
	MarkFailed(ctx context.Context, name string)
	// MarkStale reports that an instance had no recent data although the source answers.
	MarkStale(ctx context.Context, name string)
}

const (
	// joinTimeout is how long an instance waits for the list of members from another instance before it assumes that it
	// is the only one. An instance that has a view waits until the view is older than WatcherConfig.MaxAge, if that is
	// longer: when a large fleet restarts, the first contacts to its seeds take about a second.
	joinTimeout = time.Second
	// joinPollInterval is the interval at which an instance that waits for the list of members checks whether it has
	// received one. It is also the average pause after a peer has answered with ErrHistoryGone.
	joinPollInterval = 50 * time.Millisecond
	// confirmWait is the wait of a watch that is only meant to confirm the view. It is also the shortest wait of a watch
	// of the source, unless WatcherConfig.Wait is shorter.
	confirmWait = 100 * time.Millisecond
	// bypassDelayPerHop is how much longer an instance waits before a bypass for each hop between its parent and the
	// source. If the chain breaks, only the instance next to the break reads the source, and not all those behind it.
	bypassDelayPerHop = 150 * time.Millisecond
)

const (
	// bypassBackoffInitial and bypassBackoffMax bound the pause after a failed bypass, a call of the source by an
	// instance that has a parent. Such an instance still receives changes from its parent, so only the root has to
	// retry often while no instance can reach the source.
	bypassBackoffInitial = time.Second
	bypassBackoffMax     = 4 * time.Second
)

// sourceChoice states where to read from.
type sourceChoice struct {
	source Source // nil until other instances are known or joinTimeout has passed
	name   string
	// bypass is set if the source is read in place of the instance named parent, which has no recent data.
	parent string
	bypass bool
	// wait is how long a watch waits for a change; 0 means the configured time. Only readFromPeer sets it.
	wait time.Duration
}

// chooseSource returns where to read from: the parent while its data is recent, otherwise the source.
func (w *Watcher) chooseSource() sourceChoice {
	direct := sourceChoice{source: w.source, name: sourceName}
	if w.peers == nil {
		return direct
	}
	from, name, depth := w.peers.Parent()
	age, hasView := w.age(), w.revision() > 0
	switch {
	case !hasView && (!w.cfg.WaitForPeers || age >= joinTimeout):
		return direct
	case !w.peers.Joined() && (age < joinTimeout || hasView && age < w.cfg.MaxAge):
		return sourceChoice{} // the other instances are not known yet
	case from == nil:
		return direct
	case hasView && age > w.cfg.MaxAge+time.Duration(depth)*bypassDelayPerHop+rand.N(bypassDelayPerHop) && w.now() >= w.nextBypassAt:
		direct.parent, direct.bypass = name, true
		return direct
	}
	return sourceChoice{source: from, name: name}
}

// readFromPeer reads from a random instance after a call of the source has failed, so that an instance whose calls the
// source rejects has the data of the others. It reports whether the view is complete afterwards.
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

// dropStaleParent marks the parent as stale if its data was stale and the source has answered in its place. Such a
// parent is cut off from the source, and would otherwise stay the parent of all its children.
func (w *Watcher) dropStaleParent(ctx context.Context, c sourceChoice) {
	if c.bypass && w.staleParent == c.parent {
		w.peers.MarkStale(ctx, c.parent)
	}
	w.staleParent = ""
}
