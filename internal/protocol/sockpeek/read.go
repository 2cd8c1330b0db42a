package sockpeek

import (
	"io"
	"net"
	"os"
	"syscall"
)

// ReadObserver is notified when the reader of a connection blocks. A goroutine that closes the connection does so only
// between the two calls, so that the close loses nothing that was read.
type ReadObserver interface {
	// ReadBlocked is called before the reader waits, when everything that was read has been processed.
	ReadBlocked()
	// ReadReady is called after the wait and before the next read. It returns false if the connection was closed during
	// the wait.
	ReadReady() bool
}

// Read reads from a connection and notifies the observer when it blocks. If the connection was closed during a wait, Read
// reads nothing and returns net.ErrClosed. If the type of the connection
// gives no access to its socket, the observer is not notified.
func Read(c net.Conn, b []byte, observer ReadObserver) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return c.Read(b)
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	isBlocked, isClosed := false, false
	err = rc.Read(func(fd uintptr) (isDone bool) {
		if isBlocked {
			if isBlocked = false; !observer.ReadReady() {
				isClosed = true
				return true
			}
		}
		for readErr = syscall.EINTR; readErr == syscall.EINTR; {
			n, readErr = syscall.Read(int(fd), b)
		}
		if readErr == syscall.EAGAIN {
			isBlocked = true
			observer.ReadBlocked()
		}
		return !isBlocked
	})
	switch {
	case isClosed, isBlocked && !observer.ReadReady():
		return 0, net.ErrClosed
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", readErr)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
