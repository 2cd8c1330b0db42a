// Package address gives tests addresses for processes that they start.
package address

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

var (
	mu    sync.Mutex
	given = map[string]bool{}
)

// Free is an address on which nothing listens, of a part of the loopback range where no other process looks for one: between its
// choice and its use a port of 127.0.0.1 may be dealt out to anybody's connection. No address is given twice in a process: the
// system deals out a port that was just let go again once in some 5,000 times. It is safe for concurrent use.
func Free(t testing.TB) string {
	t.Helper()
	mu.Lock()
	defer mu.Unlock()
	pid := os.Getpid()
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.253.%d.%d:0", pid/250%250, pid%250+1))
		if err != nil {
			t.Fatal(err)
		}
		at := listener.Addr().String()
		listener.Close()
		if !given[at] {
			given[at] = true
			return at
		}
	}
}
