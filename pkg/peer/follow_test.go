package peer

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
	"github.com/burdockpitch/burdockpitch/pkg/peer/membership"
)

// stubDocuments holds no documents.
type stubDocuments struct{}

func (stubDocuments) Digest() []Entry              { return nil }
func (stubDocuments) Text(string) []byte           { return nil }
func (stubDocuments) Offer(string, string, []byte) {}
func (stubDocuments) Changed() <-chan struct{}     { return nil }

// stubFeed has one target if hasData is set, and returns changes when the test sends them.
type stubFeed struct {
	hasData bool
	changes chan discovery.Changes
}

func (f *stubFeed) Snapshot() (discovery.Snapshot, error) {
	if !f.hasData {
		return discovery.Snapshot{}, discovery.ErrHistoryGone
	}
	target := &discovery.Instance{Service: "s", ID: "i", Address: "127.0.0.1:1", Start: "7", State: discovery.StateLeaving}
	return discovery.Snapshot{
		Items: []discovery.Item{{Key: "i", Revision: 3, Target: target}}, Revision: 4, Age: time.Second, Grace: time.Minute,
	}, nil
}

func (f *stubFeed) Since(ctx context.Context, after uint64, wait time.Duration) (discovery.Changes, error) {
	select {
	case c := <-f.changes:
		return c, nil
	case <-time.After(wait):
		return discovery.Changes{Revision: after}, nil
	case <-ctx.Done():
		return discovery.Changes{}, ctx.Err()
	}
}

func (f *stubFeed) EndedOrders(orders []discovery.OrderVersion) []discovery.OrderVersion {
	return orders[1:]
}

// startOpenNode starts a node that accepts connections from any address, and returns it with its address.
func startOpenNode(t *testing.T, feed Feed) (*Node, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg := DefaultConfig(l.Addr().String(), "a", nil)
	cfg.AcceptUnlisted = true
	n := NewNode(cfg, stubDocuments{}, newCrashRecords(), NewMetrics(prometheus.NewRegistry()), func(membership.Sign) {}, logr.Discard())
	if feed != nil {
		n.SetFeed(feed)
	}
	go n.Run(t.Context(), l)
	return n, l.Addr().String()
}

// Guards against a follower that loses items of another instance, their age, or the grace period for missing targets.
func TestFollowerReadsAnotherInstance(t *testing.T) {
	feed := &stubFeed{hasData: true, changes: make(chan discovery.Changes, 1)}
	_, address := startOpenNode(t, feed)
	n, _ := startOpenNode(t, nil)
	f := n.NewFollower(address, 5*time.Second)
	defer f.Reset()
	got, err := f.Read(t.Context())
	require.NoError(t, err)
	want, _ := feed.Snapshot()
	require.Equal(t, want, got)
	orders := []discovery.OrderVersion{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}
	ended, err := f.EndedOrders(t.Context(), orders)
	require.NoError(t, err)
	require.Equal(t, orders[1:], ended)

	feed.changes <- discovery.Changes{Items: []discovery.Item{{Key: "i", Revision: 5, Removed: true}}, Revision: 5}
	changes, err := f.Watch(t.Context(), 4, time.Second)
	require.NoError(t, err)
	require.True(t, changes.Items[0].Removed)
	time.Sleep(20 * time.Millisecond) // the deadline of the previous call must not end the connection
	changes, err = f.Watch(t.Context(), 5, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, changes.Items)
}

// Guards against a follower that mistakes an instance without data for one whose data is empty, or that hangs on an
// instance that does not answer.
func TestFollowerOfInstanceWithoutData(t *testing.T) {
	n, _ := startOpenNode(t, nil)
	t.Run("no data yet", func(t *testing.T) {
		_, address := startOpenNode(t, &stubFeed{})
		_, err := n.NewFollower(address, 5*time.Second).Read(t.Context())
		require.ErrorIs(t, err, discovery.ErrHistoryGone)
	})
	t.Run("no feed", func(t *testing.T) {
		_, address := startOpenNode(t, nil)
		_, err := n.NewFollower(address, 5*time.Second).Read(t.Context())
		require.ErrorIs(t, err, discovery.ErrHistoryGone)
	})
	t.Run("silent", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		_, err = n.NewFollower(l.Addr().String(), 20*time.Millisecond).Read(t.Context())
		require.Error(t, err)
		require.NotErrorIs(t, err, discovery.ErrHistoryGone)
	})
}

// panickingFeed panics on every call.
type panickingFeed struct{}

func (panickingFeed) Snapshot() (discovery.Snapshot, error) { panic("unexpected state") }

func (panickingFeed) Since(context.Context, uint64, time.Duration) (discovery.Changes, error) {
	panic("unexpected state")
}

func (panickingFeed) EndedOrders([]discovery.OrderVersion) []discovery.OrderVersion { return nil }

// Guards against a message of a peer that ends the process because it triggers a defect.
func TestPanicOfAPeerCallIsContained(t *testing.T) {
	server, address := startOpenNode(t, panickingFeed{})
	n, _ := startOpenNode(t, nil)
	for range 2 {
		f := n.NewFollower(address, 5*time.Second)
		_, err := f.Read(t.Context())
		require.Error(t, err)
		f.Reset()
	}
	require.Eventually(t, func() bool {
		return testutil.ToFloat64(server.metrics.panics.WithLabelValues("serve peer")) == 2
	}, 10*time.Second, time.Millisecond)
}

// Guards against messages whose content is not validated: a negative age would make old data look new, and a long wait
// would occupy the connection of the called instance.
func TestInvalidFollowMessagesAreRejected(t *testing.T) {
	n, _ := startOpenNode(t, nil)
	cases := map[string]struct {
		feed    Feed
		request *Follow
	}{
		"negative age":   {&stubFeed{hasData: true, changes: answerWith(discovery.Changes{Age: -time.Second})}, &Follow{Wait: time.Millisecond}},
		"negative grace": {&stubFeed{hasData: true, changes: answerWith(discovery.Changes{Grace: -time.Second})}, &Follow{Wait: time.Millisecond}},
		"empty key":      {&stubFeed{hasData: true, changes: answerWith(discovery.Changes{Items: []discovery.Item{{}}})}, &Follow{Wait: time.Millisecond}},
		"negative wait":  {&stubFeed{hasData: true}, &Follow{Wait: -time.Second}},
		"long wait":      {&stubFeed{hasData: true}, &Follow{Wait: time.Hour}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, address := startOpenNode(t, c.feed)
			f := n.NewFollower(address, 5*time.Second)
			defer f.Reset()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, _, err := f.call(ctx, c.request)
			require.Error(t, err)
			require.NoError(t, ctx.Err(), "rejected at once")
		})
	}
}

// answerWith returns the channel of a stubFeed that holds one answer.
func answerWith(c discovery.Changes) chan discovery.Changes {
	answers := make(chan discovery.Changes, 1)
	answers <- c
	return answers
}

// Guards against a large configuration that reaches an instance seconds late, because it is sent whole to each of
// several others over a narrow link, and against one that is damaged on the way.
func TestLargeDocumentIsSentCompressed(t *testing.T) {
	var routes strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&routes, `{"name":"r%d","match":{"prefix":"/p%d/"},"action":{"service":"shop","timeout_ms":2500}},`, i, 7919*i)
	}
	document := []byte(routes.String())
	item := discovery.Item{Key: "config", Revision: 4, Document: document}
	feed := &stubFeed{hasData: true, changes: answerWith(discovery.Changes{Items: []discovery.Item{item}, Revision: 4})}
	n, address := startOpenNode(t, feed)
	changes, err := n.NewFollower(address, 5*time.Second).Watch(t.Context(), 3, time.Second)
	require.NoError(t, err)
	require.Equal(t, []discovery.Item{item}, changes.Items)
	sent := n.toPeerItems([]discovery.Item{item}, &Follow{AcceptsCompressed: true})[0]
	require.Empty(t, sent.Document)
	require.Less(t, len(sent.Compressed), len(document)/5)

	plain := n.toPeerItems([]discovery.Item{item}, &Follow{})[0]
	require.Equal(t, document, plain.Document, "an older instance gets the text")
	require.Empty(t, plain.Compressed)
}

// Guards against a small message of a peer that expands until the memory is used up, and against a damaged one.
func TestInvalidCompressedDocumentsAreRejected(t *testing.T) {
	_, err := originalDocument(nil, deflate(make([]byte, maxDocumentSize)))
	require.NoError(t, err)
	_, err = originalDocument(nil, deflate(make([]byte, maxDocumentSize+1)))
	require.ErrorContains(t, err, "too large")
	valid := deflate([]byte("text"))
	_, err = originalDocument(nil, valid[:len(valid)-3])
	require.ErrorContains(t, err, "decompress")
}

// Guards against an update that decompresses to more than an instance can hold.
func TestDocumentsOfUpdateAreBounded(t *testing.T) {
	compressed := deflate(make([]byte, maxDocumentSize))
	items := func(count int) []Item {
		list := make([]Item, count)
		for n := range list {
			list[n] = Item{Key: "k", Compressed: compressed}
		}
		return list
	}
	const most = maxUpdateDocuments / maxDocumentSize
	got, err := toDiscoveryItems(items(most))
	require.NoError(t, err)
	require.Len(t, got, most)
	_, err = toDiscoveryItems(items(most + 1))
	require.Error(t, err)
}
