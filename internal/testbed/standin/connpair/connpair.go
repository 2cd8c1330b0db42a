// Package connpair opens TCP connections on loopback for tests that need both ends.
package connpair

import (
	"net"
	"testing"
)

// TCP returns both ends of a new connection. They are closed when the test ends.
func TCP(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	farConn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nearConn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		nearConn.Close()
		farConn.Close()
	})
	return nearConn.(*net.TCPConn), farConn.(*net.TCPConn)
}
