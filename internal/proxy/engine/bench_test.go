package engine

import (
	"fmt"
	"testing"
	"time"

	"fernvane/policy"
)

// still decides nothing, so that only the node's own part is measured.
type still struct{}

func (still) Handle(time.Duration, *policy.Input, []policy.Effect) []policy.Effect { return nil }

func lines(servers int) []Endpoint[uint32] {
	list := make([]Endpoint[uint32], servers)
	for i := range list {
		list[i].Server = uint32(i)
	}
	return list
}

func BenchmarkOneChange(b *testing.B) {
	for _, servers := range []int{2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r := &record{}
			n := New[uint32](0, still{}, r)
			n.EndpointsUpdated(0, policy.Full, lines(servers), r)
			one := lines(1)
			for b.Loop() {
				n.EndpointsUpdated(0, policy.Incremental, one, r)
			}
		})
	}
}
