package sockpeek

import (
	"net"
	"os"
	"syscall"
)

// AcceptQueued accepts a connection that is already in the queue of a listener, regardless of the deadline of the listener.
// It does not wait: the error is syscall.EAGAIN if the queue is empty.
func AcceptQueued(ln *net.TCPListener) (*net.TCPConn, error) {
	rc, err := ln.SyscallConn()
	if err != nil {
		return nil, err
	}
	var fd int
	var acceptErr error
	err = rc.Control(func(listenerFD uintptr) {
		for acceptErr = syscall.EINTR; acceptErr == syscall.EINTR; {
			fd, _, acceptErr = syscall.Accept4(int(listenerFD), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		}
	})
	if err == nil {
		err = acceptErr
	}
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "")
	defer f.Close() // net.FileConn has duplicated the descriptor
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}
