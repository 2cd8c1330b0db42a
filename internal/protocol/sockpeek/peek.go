// Package sockpeek accesses sockets below the level of package net: it peeks at received bytes without reading them, reads
// such that another goroutine can close the connection while the reader waits without losing bytes that were read, and accepts
// the connections in the queue of a listener.
package sockpeek

import (
	"errors"
	"net"
	"syscall"
)

// Peek returns the number of bytes that can be read from a connection, at most 1, without reading them. 0 without an error
// means that the peer has closed the connection. If nothing has arrived, Peek waits until the read deadline if wait is set;
// otherwise the error is syscall.EAGAIN, also while another goroutine reads and after the deadline. The error is
// syscall.ENOTSUP if the type of the connection does not support peeking.
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

// IsIdle reports whether a connection is open and has no unread bytes.
func IsIdle(c net.Conn) bool {
	_, err := Peek(c, false)
	return errors.Is(err, syscall.EAGAIN)
}

// HasUnread reports whether a connection has unread bytes.
func HasUnread(c net.Conn) bool {
	n, err := Peek(c, false)
	return err == nil && n > 0
}
