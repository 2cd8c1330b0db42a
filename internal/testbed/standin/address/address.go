// Package address chooses free loopback addresses for processes that tests start.
package address

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

var (
	mu   sync.Mutex
	used = map[string]bool{}
)

// Free returns an address on which nothing listens. Its IP address is used by this process only, because the kernel may assign
// a port of 127.0.0.1 to any connection until the test uses it. Free returns no address twice in a process, although the kernel
// sometimes reuses a port immediately. It is safe for concurrent use.
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
		address := listener.Addr().String()
		listener.Close()
		if !used[address] {
			used[address] = true
			return address
		}
	}
}
