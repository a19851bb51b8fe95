// Package sockets sets the TCP options that dialed and accepted connections share.
package sockets

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection (TCP_USER_TIMEOUT).
// Without it, Linux retransmits for about 15 minutes.
const UserTimeout = 10 * time.Second

// keepAlive detects an unreachable peer of an idle connection within about 20 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 2}

// ReceiveBufferBytes bounds the bytes that a connection has received and that were not read yet. Without it, Linux lets a
// sender fill megabytes while its request is served, or its response is passed on.
const ReceiveBufferBytes = 32 << 10

// Dialer returns a dialer that sets UserTimeout, the keep-alive options and ReceiveBufferBytes.
func Dialer() *net.Dialer { return &net.Dialer{KeepAliveConfig: keepAlive, Control: setOptions} }

// ListenConfig returns a listen configuration that sets UserTimeout, the keep-alive options and ReceiveBufferBytes. Accepted
// sockets inherit them from the listener. It turns off Multipath TCP, whose sockets do not support RefuseConnections.
func ListenConfig() *net.ListenConfig {
	c := &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setOptions}
	c.SetMultipathTCP(false)
	return c
}

// setOptions sets the options that have to be set before a socket connects or listens.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBufferBytes),
		)
	})
	if err != nil {
		return err
	}
	return optErr
}

// RemoteIP returns the IP of an address of the form "ip:port", or the address itself if it has another form.
func RemoteIP(address string) string {
	if ip, _, err := net.SplitHostPort(address); err == nil {
		return ip
	}
	return address
}

var errNoSocket = eris.New("connection is no socket")

// PeekByte waits for the first byte to read, within the read deadline, without consuming it.
func PeekByte(c net.Conn) (byte, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, eris.Wrap(err, "access socket")
	}
	var b [1]byte
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return peekErr != unix.EAGAIN && peekErr != unix.EINTR
	})
	switch {
	case err != nil:
		return 0, err
	case peekErr != nil:
		return 0, eris.Wrap(peekErr, "peek")
	case n == 0:
		return 0, io.EOF
	}
	return b[0], nil
}

// ConnState is the state of a connection on which no data is expected.
type ConnState uint8

// The connection states that Peek returns.
const (
	// Idle means that the connection is open and there is nothing to read.
	Idle ConnState = iota
	// Closed means that the peer closed or reset the connection.
	Closed
	// Readable means that unsolicited bytes arrived.
	Readable
)

// Peek checks the receive queue of a connection without blocking or consuming bytes. It may run concurrently with a
// Read.
func Peek(c syscall.RawConn) ConnState {
	state := Closed
	if err := c.Control(func(fd uintptr) { state = peekFD(int(fd)) }); err != nil {
		return Closed
	}
	return state
}

func peekFD(fd int) ConnState {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	}
	return Readable
}
