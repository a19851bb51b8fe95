package sockets

import (
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a connection to an unreachable peer that the kernel keeps open for many minutes, because a dialed or
// accepted connection lacks TCP_USER_TIMEOUT or the keep-alive options.
func TestDialedAndAcceptedConnsHaveOptions(t *testing.T) {
	l, err := ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := Dialer().DialContext(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	for name, c := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		raw, err := c.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		for _, option := range []struct{ level, name, want int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAlive.Idle.Seconds())},
		} {
			var got int
			require.NoError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), option.level, option.name) }))
			require.NoError(t, err)
			require.Equal(t, option.want, got, "%s option %d", name, option.name)
		}
	}
}
