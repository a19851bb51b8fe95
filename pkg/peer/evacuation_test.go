package peer

import (
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/burdockpitch/burdockpitch/pkg/discovery"
)

// OlderUpdate, OlderItem and OlderFollow are the messages of builds before orders to evacuate zones. net/rpc requires
// exported types.
type (
	OlderUpdate struct {
		Items                []OlderItem
		Revision, Generation uint64
		Gone                 bool
		Age, Grace           time.Duration
	}
	OlderItem struct {
		Key                  string
		Revision             uint64
		Removed              bool
		Document, Compressed []byte
		Target               *discovery.Instance
	}
	OlderFollow struct {
		After             uint64
		All               bool
		Wait              time.Duration
		AcceptsCompressed bool
	}
)

// olderPeer answers Follow as an older build does.
type olderPeer struct{ gone bool }

func (p olderPeer) Follow(_ *OlderFollow, reply *OlderUpdate) error {
	*reply = OlderUpdate{Items: []OlderItem{{Key: "i", Revision: 3}}, Revision: 3, Gone: p.gone}
	return nil
}

// Guards against orders that are lost because they are read from an instance of an older build, which drops them.
func TestOlderBuildHasNoData(t *testing.T) {
	for name, gone := range map[string]bool{"with data": false, "without data": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			server := rpc.NewServer()
			require.NoError(t, server.RegisterName("Peer", olderPeer{gone}))
			go func() {
				if conn, err := l.Accept(); err == nil {
					server.ServeCodec(newCodec(conn, maxRequestSize))
				}
			}()
			n, _ := startOpenNode(t, nil)
			f := n.NewFollower(l.Addr().String(), 5*time.Second)
			defer f.Reset()
			_, err = f.Read(t.Context())
			require.ErrorIs(t, err, discovery.ErrOutdatedFeed)
			_, err = f.Watch(t.Context(), 2, time.Millisecond)
			require.ErrorIs(t, err, discovery.ErrOutdatedFeed)
		})
	}
}

// Guards against orders that are damaged on the way to another instance, and against a key that makes other instances
// reject all changes: those of the own build, or those of an older one, whose limit is lower.
func TestOrdersArePassedOn(t *testing.T) {
	zone := strings.Repeat("z", maxNameLength)
	valid := []discovery.Item{
		{Key: "orders/" + zone, Revision: 5, EvacuatedZone: zone},
		{Key: "orders/a", Revision: 6, EvacuatedZone: "a", Retained: 90},
		{Key: "orders/b", Revision: 7, Removed: true, EvacuatedZone: "b"},
	}
	sent := append([]discovery.Item{{Key: "orders/" + strings.Repeat("z", maxKeyLength), Revision: 4}}, valid...)
	feed := func() Feed {
		return &stubFeed{hasData: true, changes: answerWith(discovery.Changes{Items: sent, Revision: 7})}
	}
	n, address := startOpenNode(t, feed())
	f := n.NewFollower(address, 5*time.Second)
	defer f.Reset()
	changes, err := f.Watch(t.Context(), 3, time.Second)
	require.NoError(t, err)
	require.Equal(t, valid, changes.Items)

	_, address = startOpenNode(t, feed())
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	client := rpc.NewClientWithCodec(newCodec(conn, MaxMessageSize))
	defer client.Close()
	older := &OlderUpdate{}
	require.NoError(t, client.Call("Peer.Follow", &OlderFollow{After: 3, Wait: time.Second}, older))
	require.Equal(t, []OlderItem{{Key: "orders/a", Revision: 6}, {Key: "orders/b", Revision: 7, Removed: true}}, older.Items)
}
