// Package sockpeek looks at sockets beneath package net: what has arrived on a connection without reading it, reads that another goroutine
// may end by a close only while nothing has arrived, and connections in a listener's queue.
package sockpeek

import (
	"errors"
	"net"
	"syscall"
)

// Peek returns how many bytes can be seen on a connection, at most one, without reading them. 0 without an error means that the other side
// has closed. With nothing to see it waits where wait is set, until the read deadline; else the error is syscall.EAGAIN, also while another
// goroutine reads and after the deadline. syscall.ENOTSUP: the connection is of a kind that cannot be looked at.
func Peek(c net.Conn, wait bool) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.ENOTSUP
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var buf [1]byte
	var peekErr error
	peek := func(fd uintptr) {
		for peekErr = syscall.EINTR; peekErr == syscall.EINTR; {
			n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
	}
	if wait {
		err = rc.Read(func(fd uintptr) bool {
			peek(fd)
			return peekErr != syscall.EAGAIN
		})
	} else {
		err = rc.Control(peek)
	}
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

// IsIdle reports whether a connection is open and nothing has arrived on it.
func IsIdle(c net.Conn) bool {
	_, err := Peek(c, false)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread reports whether something has arrived on a connection that was not read yet.
func HasUnread(c net.Conn) bool {
	n, err := Peek(c, false)
	return err == nil && n > 0
}
