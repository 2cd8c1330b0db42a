package dispatch

import (
	"fmt"
	"testing"

	"fernvane/policy"
)

// TestMaxConnections checks the number of connections for limits of descriptors and memory.
func TestMaxConnections(t *testing.T) {
	for l, want := range map[Limits]int{
		{MemoryMB: 192, Sockets: 1024}: 1010,
		{MemoryMB: 192, Sockets: 100}:  86,
		{MemoryMB: 64, Sockets: 1024}:  416, // limited by memory
		{MemoryMB: 32, Sockets: 256}:   160,
		{MemoryMB: 24, Sockets: 32}:    18,
		{MemoryMB: 1, Sockets: 1}:      minConnections,
	} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			if got := l.MaxConnections(); got != want {
				t.Errorf("got %d connections", got)
			}
		})
	}
}

// TestBudgetIsSharedByHalves checks that requests in flight and connections to servers are limited, so that descriptors remain
// to accept connections and reject requests.
func TestBudgetIsSharedByHalves(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: reservedDescriptors + 10}, loopbackEndpoint("a", 1))
	serverConns := 0
	for d.AcquireServerDescriptor() {
		serverConns++
	}
	var request *Request
	for range 4 {
		if request = submit(d); request == nil {
			t.Fatal("request within the limit not accepted")
		}
	}
	if serverConns != 4 || submit(d) != nil {
		t.Errorf("got %d server connections, want 4, or a request beyond the limit was accepted", serverConns)
	}
	request.ClientDisconnected()
	request.NextDecision(func() {})
	if submit(d) == nil {
		t.Error("request not accepted after another one had ended")
	}
	if d.ReleaseServerDescriptor(); !d.AcquireServerDescriptor() {
		t.Error("released descriptor cannot be acquired")
	}
}
