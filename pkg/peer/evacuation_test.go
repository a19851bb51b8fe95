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

// OlderPeer answers Follow as a build before orders to evacuate zones does: without a feed version.
type OlderPeer struct{ gone bool }

// Follow is exported for net/rpc.
func (p OlderPeer) Follow(_ *Follow, reply *Update) error {
	*reply = Update{Items: []Item{{Key: "i", Revision: 3}}, Revision: 3, Gone: p.gone}
	return nil
}

// Guards against orders that are lost because they are read from an instance of an older build, which drops them.
func TestOlderBuildHasNoData(t *testing.T) {
	for _, gone := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		server := rpc.NewServer()
		require.NoError(t, server.RegisterName("Peer", OlderPeer{gone}))
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
	}
}

// Guards against orders that are damaged on the way to another instance, and against a key that makes other instances
// reject all changes: those of the own build, or those of an older one, whose limit is lower.
func TestOrdersArePassedOn(t *testing.T) {
	zone := strings.Repeat("z", maxNameLength)
	short := []discovery.Item{{Key: "orders/a", Revision: 6, EvacuatedZone: "a", Retained: 90}, {Key: "orders/b", Revision: 7, Removed: true}}
	valid := append(short, discovery.Item{Key: "orders/" + zone, Revision: 8, EvacuatedZone: zone})
	sent := append(valid, discovery.Item{Key: "orders/" + strings.Repeat("z", maxKeyLength), Revision: 9})
	for version, want := range map[int][]discovery.Item{0: short, feedVersion: valid} {
		n, address := startOpenNode(t, &stubFeed{changes: answerWith(discovery.Changes{Items: sent, Revision: 9})})
		f := n.NewFollower(address, 5*time.Second)
		defer f.Reset()
		update, items, err := f.call(t.Context(), &Follow{After: 3, Wait: time.Second, FeedVersion: version})
		require.NoError(t, err)
		require.Equal(t, want, items)
		require.EqualValues(t, 9, update.Revision)
	}
}
