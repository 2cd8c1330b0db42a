package dispatch

import (
	"fmt"
	"testing"

	"fernvane/policy"
)

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
				t.Errorf("%d", got)
			}
		})
	}
}

// Requests in flight and connections to servers are limited, so that descriptors remain for accepting and rejecting.
func TestBudgetIsSharedByHalves(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: reservedDescriptors + 10}, host("a", 1))
	n := 0
	for d.AcquireServerDescriptor() {
		n++
	}
	var request *Request
	for range 4 {
		if request = submit(d); request == nil {
			t.Fatal("not accepted")
		}
	}
	if n != 4 || submit(d) != nil {
		t.Errorf("%d connections, or one operation too many", n)
	}
	request.ClientDisconnected()
	request.NextDecision(func() {})
	if submit(d) == nil {
		t.Error("not accepted after another has ended")
	}
	if d.ReleaseServerDescriptor(); !d.AcquireServerDescriptor() {
		t.Error("what was given back cannot be had")
	}
}
