// Package address chooses free addresses for processes that tests start.
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

// Free returns an address on which nothing listens. Its host belongs to this process, because until the address is used the
// system may give a port of 127.0.0.1 to any connection. It returns no address twice in a process, as the system now and
// then reuses a port at once. It is safe for concurrent use.
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
