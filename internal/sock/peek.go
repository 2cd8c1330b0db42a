// Package sock looks at sockets without reading from them.
package sock

import (
	"net"
	"syscall"
)

// Peek looks at the socket of a connection without reading from it, and waits for something to see where it is told to.
func Peek(c net.Conn, wait bool) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.ENOTSUP
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var one [1]byte
	var got error
	look := func(fd uintptr) {
		for got = syscall.EINTR; got == syscall.EINTR; { // a signal is no news of the other side
			n, _, got = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		}
	}
	if wait {
		err = rc.Read(func(fd uintptr) bool {
			look(fd)
			return got != syscall.EAGAIN
		})
	} else {
		err = rc.Control(look) // also while another goroutine reads, and after a deadline has passed
	}
	if err != nil {
		return 0, err
	}
	return n, got
}

// Quiet tells that a connection is open and that nothing has come on it.
func Quiet(c net.Conn) bool {
	_, err := Peek(c, false)
	return err == syscall.EAGAIN
}

// Waiting tells that something has come that was not read yet.
func Waiting(c net.Conn) bool {
	n, err := Peek(c, false)
	return err == nil && n > 0
}
