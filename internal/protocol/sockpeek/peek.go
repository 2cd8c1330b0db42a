// Package sockpeek looks at sockets without reading from them.
package sockpeek

import (
	"io"
	"net"
	"os"
	"syscall"
)

// AcceptQueued takes a connection that stands in a listener's queue, whatever its deadline says, and waits for none.
func AcceptQueued(ln *net.TCPListener) (*net.TCPConn, error) {
	rc, err := ln.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var got error
	err = rc.Control(func(l uintptr) {
		for got = syscall.EINTR; got == syscall.EINTR; {
			fd, _, got = syscall.Accept4(int(l), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	if err == nil {
		err = got
	}
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close() // the connection has its own
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

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

// ReadObserver is told of the waits of a connection's reader: Wait before one, with nothing in hand that was read since the last,
// Came behind it and before anything is read. Came is false where the connection was closed meanwhile.
type ReadObserver interface {
	ReadBlocked()
	ReadReady() bool
}

// Read reads from a connection that may be closed from outside only while its reader waits: what was read is never met
// by such a close.
func Read(c net.Conn, b []byte, w ReadObserver) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return c.Read(b)
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var got error
	waits, closed := false, false
	err = rc.Read(func(fd uintptr) bool {
		if waits {
			if waits = false; !w.ReadReady() {
				closed = true
				return true
			}
		}
		for got = syscall.EINTR; got == syscall.EINTR; {
			n, got = syscall.Read(int(fd), b)
		}
		if got == syscall.EAGAIN {
			waits = true
			w.ReadBlocked()
		}
		return !waits
	})
	switch {
	case closed, waits && !w.ReadReady():
		return 0, net.ErrClosed
	case err != nil:
		return 0, err
	case got != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", got)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// IsIdle tells that a connection is open and that nothing has come on it.
func IsIdle(c net.Conn) bool {
	_, err := Peek(c, false)
	return err == syscall.EAGAIN
}

// HasUnread tells that something has come that was not read yet.
func HasUnread(c net.Conn) bool {
	n, err := Peek(c, false)
	return err == nil && n > 0
}
