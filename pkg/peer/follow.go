package peer

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// answerFollow fills the reply to a Follow from a feed.
func (n *Node) answerFollow(ctx context.Context, feed Feed, request *Follow, reply *Update) error {
	if request.All {
		s, err := feed.Snapshot()
		*reply = Update{
			Items: n.toPeerItems(s.Items, request), Revision: s.Revision, Generation: s.Generation,
			Age: s.Age, Grace: s.Grace, OutageAge: s.OutageAge, Gone: err != nil, FeedVersion: feedVersion,
		}
		return nil
	}
	c, err := feed.Since(ctx, request.After, request.Wait)
	*reply = Update{
		Items: n.toPeerItems(c.Items, request), Revision: c.Revision, Generation: c.Generation,
		Age: c.Age, Grace: c.Grace, OutageAge: c.OutageAge, Gone: err != nil, FeedVersion: feedVersion,
	}
	return nil
}

// toPeerItems converts the items that the caller of a Follow knows. It leaves out keys that are too long, which cannot
// be those of valid items: the caller would reject the whole message.
func (n *Node) toPeerItems(items []discovery.Item, request *Follow) []Item {
	maxLength := maxKeyLength
	if request.FeedVersion < feedVersion {
		maxLength = maxNameLength
	}
	list := make([]Item, 0, len(items))
	for _, item := range items {
		if len(item.Key) > maxLength {
			continue
		}
		converted := Item{
			Key: item.Key, Revision: item.Revision, Removed: item.Removed, Document: item.Document, Target: item.Target,
			EvacuatedZone: item.EvacuatedZone, Retained: item.Retained,
		}
		if request.AcceptsCompressed {
			converted.Document, converted.Compressed = n.compressor.compress(item.Document)
		}
		list = append(list, converted)
	}
	return list
}

// toDiscoveryItems converts the items of an update. It fails if their documents take more than maxUpdateDocuments bytes.
func toDiscoveryItems(items []Item) ([]discovery.Item, error) {
	size := 0
	list := make([]discovery.Item, len(items))
	for i, item := range items {
		document, err := originalDocument(item.Document, item.Compressed)
		if err != nil {
			return nil, eris.Wrapf(err, "item %s", item.Key)
		}
		if size += len(document); size > maxUpdateDocuments {
			return nil, eris.Errorf("documents of the update take more than %d bytes", maxUpdateDocuments)
		}
		list[i] = discovery.Item{
			Key: item.Key, Revision: item.Revision, Removed: item.Removed, Document: document, Target: item.Target,
			EvacuatedZone: item.EvacuatedZone, Retained: item.Retained,
		}
	}
	return list, nil
}

// Follower is a discovery.Source that reads the platform's store from another instance. It keeps one connection, which
// carries one call at a time. It is safe for concurrent use.
type Follower struct {
	node    *Node
	address string
	timeout time.Duration // for connecting, and for each call in addition to its wait

	mu     sync.Mutex // held during a call
	conn   net.Conn   // nil while not connected
	client *rpc.Client
}

var _ discovery.Source = (*Follower)(nil)

// NewFollower returns a follower of the instance at address, which connects on its first call. The timeout applies to
// connecting, and to each call in addition to its wait.
func (n *Node) NewFollower(address string, timeout time.Duration) *Follower {
	return &Follower{node: n, address: address, timeout: timeout}
}

// Read implements discovery.Source.
func (f *Follower) Read(ctx context.Context) (discovery.Snapshot, error) {
	u, items, err := f.call(ctx, &Follow{All: true, AcceptsCompressed: true, FeedVersion: feedVersion})
	return discovery.Snapshot{Items: items, Revision: u.Revision, Generation: u.Generation, Age: u.Age, Grace: u.Grace, OutageAge: u.OutageAge}, err
}

// Watch implements discovery.Source.
func (f *Follower) Watch(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	request := &Follow{After: after, Wait: min(wait, maxFollowWait), AcceptsCompressed: true, FeedVersion: feedVersion}
	u, items, err := f.call(ctx, request)
	return discovery.Changes{Items: items, Revision: u.Revision, Generation: u.Generation, Age: u.Age, Grace: u.Grace, OutageAge: u.OutageAge}, err
}

// Reset implements discovery.Source.
func (f *Follower) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnect()
}

func (f *Follower) disconnect() {
	if f.conn == nil {
		return
	}
	_ = f.client.Close()
	_ = f.conn.Close()
	f.conn, f.client = nil, nil
}

// EndedOrders returns those of the given orders that have ended as far as the other instance knows.
func (f *Follower) EndedOrders(ctx context.Context, orders []discovery.OrderVersion) ([]discovery.OrderVersion, error) {
	reply := &OrderVersions{}
	err := f.callMethod(ctx, "Peer.EndedOrders", 0, &OrderVersions{Orders: orders[:min(len(orders), maxOrders)]}, reply)
	return reply.Orders, err
}

// callMethod calls a method that may wait for some time before it replies.
func (f *Follower) callMethod(ctx context.Context, method string, wait time.Duration, request, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.connect(ctx); err != nil {
		return err
	}
	conn := f.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := f.conn.SetDeadline(time.Now().Add(wait + f.timeout)); err != nil {
		f.disconnect()
		return eris.Wrap(err, "set deadline of peer connection")
	}
	if err := f.client.Call(method, request, reply); err != nil {
		f.disconnect()
		return eris.Wrapf(err, "call %s of %s", method, f.address)
	}
	// The client reads in the background; a deadline that expires between two calls would break the connection.
	if err := f.conn.SetDeadline(time.Time{}); err != nil {
		f.disconnect()
	}
	return nil
}

func (f *Follower) call(ctx context.Context, request *Follow) (*Update, []discovery.Item, error) {
	update := &Update{}
	if err := f.callMethod(ctx, "Peer.Follow", request.Wait, request, update); err != nil {
		return update, nil, err
	}
	if update.FeedVersion < feedVersion {
		return update, nil, discovery.ErrOutdatedFeed
	}
	if update.Gone {
		return update, nil, discovery.ErrHistoryGone
	}
	items, err := toDiscoveryItems(update.Items)
	return update, items, err
}

func (f *Follower) connect(ctx context.Context) error {
	if f.conn != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	conn, err := f.node.dial(ctx, f.address)
	if err != nil {
		return eris.Wrapf(err, "connect to %s", f.address)
	}
	f.conn, f.client = conn, rpc.NewClientWithCodec(f.node.newCountedCodec(conn, MaxMessageSize))
	return nil
}
