// Package connpair gives tests both ends of a connection on loopback.
package connpair

import (
	"net"
	"testing"
)

// TCP is both ends of a new connection, which end with the test.
func TCP(t testing.TB) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	there, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		here.Close()
		there.Close()
	})
	return here.(*net.TCPConn), there.(*net.TCPConn)
}
