package engine

import (
	"fmt"
	"testing"
	"time"

	"fernvane/policy"
)

// idleDecider returns no effects, so that only the cost of the Engine itself is measured.
type idleDecider struct{}

func (idleDecider) Handle(time.Duration, *policy.Input, []policy.Effect) []policy.Effect { return nil }

// largeList returns an endpoint list with the given number of servers.
func largeList(servers int) []Endpoint[uint32] {
	list := make([]Endpoint[uint32], servers)
	for i := range list {
		list[i].Server = uint32(i)
	}
	return list
}

// BenchmarkOneChange measures an incremental list with one server by the number of known servers.
func BenchmarkOneChange(b *testing.B) {
	for _, servers := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			handler := &effectCounter{}
			e := New[uint32](0, idleDecider{}, handler)
			e.EndpointsUpdated(0, policy.Full, largeList(servers), handler)
			one := largeList(1)
			for b.Loop() {
				e.EndpointsUpdated(0, policy.Incremental, one, handler)
			}
		})
	}
}
