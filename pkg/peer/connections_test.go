package peer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that connect and send nothing, so that other instances find no room; against connections of
// instances that are closed for them; and against room that is not given back.
func TestConnectionsWithoutRequestReplaceEachOther(t *testing.T) {
	conn := func() net.Conn {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		return a
	}
	c := newConnections(3, 0)
	first, second, third, fourth := conn(), conn(), conn(), conn()
	for _, added := range []net.Conn{first, second, third} {
		replaced, ok := c.add(added)
		require.True(t, ok)
		require.Nil(t, replaced)
	}
	c.wait = time.Hour
	_, ok := c.add(fourth)
	require.False(t, ok, "the others may be about to make a request")
	c.wait = 0
	replaced, ok := c.add(fourth)
	require.True(t, ok)
	require.Equal(t, first, replaced)
	require.False(t, c.prove(first), "a replaced connection is served no further")
	proven := []net.Conn{second, third, fourth}
	for _, p := range proven {
		require.True(t, c.prove(p))
	}
	_, ok = c.add(conn())
	require.False(t, ok, "all connections belong to instances")
	for _, p := range proven {
		c.remove(p, true)
	}
	c.remove(first, false)
	require.Zero(t, c.proven)
	require.Empty(t, c.accepted)
}

// connFrom is a connection from an address.
type connFrom struct {
	net.Conn
	ip string
}

func (c *connFrom) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.ip), Port: 1} }

// Guards against a crowd behind one address that delays another instance: its connection replaces one of the crowd at once,
// and never that of a third.
func TestAddressWithMostConnectionsIsReplacedFirst(t *testing.T) {
	c := newConnections(3, time.Hour)
	other := &connFrom{ip: "10.0.0.2"}
	crowd := []*connFrom{{ip: "10.0.0.1"}, {ip: "10.0.0.1"}}
	for _, conn := range []*connFrom{other, crowd[0], crowd[1]} {
		_, ok := c.add(conn)
		require.True(t, ok)
	}
	_, ok := c.add(&connFrom{ip: "10.0.0.1"})
	require.False(t, ok)
	replaced, ok := c.add(&connFrom{ip: "10.0.0.3"})
	require.True(t, ok)
	require.Same(t, crowd[0], replaced)
	_, ok = c.add(&connFrom{ip: "10.0.0.4"})
	require.False(t, ok, "each address has one connection")
}
