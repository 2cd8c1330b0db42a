package sockpeek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in which the peer has closed its side, or both sides are closed (RFC 9293, with the numbers of Linux).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// IsClosedByPeer reports whether the peer has closed or reset a TCP connection, also if bytes that it sent before are unread. It is false
// for other types of connections.
func IsClosedByPeer(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	isClosed := false
	rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			isClosed = true
		}
	})
	return isClosed
}
