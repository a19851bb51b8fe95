//go:build !nosocketfilter

package sockets

import "golang.org/x/sys/unix"

func attachFilter(fd int, program *unix.SockFprog) error {
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
}
