package engine

import (
	"fmt"
	"testing"
	"time"

	"fernvane/policy"
)

// idleDecider decides nothing, so that only the engine's own part is measured.
type idleDecider struct{}

func (idleDecider) Handle(time.Duration, *policy.Input, []policy.Effect) []policy.Effect { return nil }

func largeList(servers int) []Endpoint[uint32] {
	list := make([]Endpoint[uint32], servers)
	for i := range list {
		list[i].Server = uint32(i)
	}
	return list
}

func BenchmarkOneChange(b *testing.B) {
	for _, servers := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := &effectCounter{}
			e := New[uint32](0, idleDecider{}, r)
			e.EndpointsUpdated(0, policy.Full, largeList(servers), r)
			one := largeList(1)
			for b.Loop() {
				e.EndpointsUpdated(0, policy.Incremental, one, r)
			}
		})
	}
}
