package sockets

import (
	"syscall"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// RefuseConnections makes a TCP listener drop the first packet of each new connection from now on. Connections whose
// handshake has begun are still established and can be accepted. Closing a listener resets the connections that wait to
// be accepted, whose callers may already have sent a request; once the listener refuses connections, those can be
// accepted first.
//
// It returns an error if the kernel does not support socket filters or does not permit them, and in builds with the tag
// nosocketfilter.
func RefuseConnections(listener syscall.Conn) error {
	return setFilter(listener, func(fd int) error { return attachFilter(fd, dropSYN()) })
}

// AcceptConnections ends the effect of RefuseConnections.
func AcceptConnections(listener syscall.Conn) error {
	return setFilter(listener, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
}

// WaitingConnections returns the number of connections of a TCP listener that are established and not accepted yet.
func WaitingConnections(listener syscall.Conn) (int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return 0, eris.Wrap(err, "access socket of listener")
	}
	var info *unix.TCPInfo
	var optErr error
	if err := raw.Control(func(fd uintptr) { info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return 0, eris.Wrap(err, "access socket of listener")
	}
	if optErr != nil {
		return 0, eris.Wrap(optErr, "read state of listener")
	}
	return int(info.Unacked), nil // for a listener, the length of its accept queue
}

func setFilter(listener syscall.Conn, set func(fd int) error) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access socket of listener")
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { optErr = set(int(fd)) }); err != nil {
		return eris.Wrap(err, "access socket of listener")
	}
	return eris.Wrap(optErr, "set filter of listener")
}

const (
	tcpFlagsOffset = 13 // in bytes from the start of the TCP header, where filters of TCP sockets begin
	tcpSYN         = 0x02
	tcpACK         = 0x10
	keepWhole      = 0xffff // larger than any packet
)

// dropSYN returns a filter program that drops packets with SYN and without ACK, and keeps all others.
func dropSYN() *unix.SockFprog {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpSYN, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepWhole},
	}
	return &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
}
