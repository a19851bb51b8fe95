package sockets

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a listener that still establishes connections after RefuseConnections, or that no longer accepts those
// that were established before.
func TestRefuseConnections(t *testing.T) {
	l, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	earlier, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer earlier.Close()
	require.NoError(t, RefuseConnections(l.(syscall.Conn)))
	_, err = net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
	require.Error(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	_, err = earlier.Write([]byte("x"))
	require.NoError(t, err)
	var b [1]byte
	_, err = accepted.Read(b[:])
	require.NoError(t, err)
}
