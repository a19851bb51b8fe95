//go:build nosocketfilter

package sockets

import "golang.org/x/sys/unix"

// attachFilter fails as on a machine that does not permit socket filters.
func attachFilter(int, *unix.SockFprog) error { return unix.EPERM }
