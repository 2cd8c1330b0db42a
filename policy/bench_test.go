package policy

import (
	"fmt"
	"testing"
	"time"
)

// largeSizes are the numbers of servers in the benchmarks.
var largeSizes = []int{200, 2_000, 20_000, 50_000, 200_000}

func BenchmarkFullList(b *testing.B) {
	for _, servers := range largeSizes {
		list := largeList(servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				p := newLargePolicy(3, 0, 0)
				b.StartTimer()
				p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: list}, nil)
			}
		})
	}
}

func BenchmarkOneChange(b *testing.B) {
	for _, servers := range largeSizes {
		p := newLargePolicy(3, 0, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			effects, change := []Effect(nil), [1]Endpoint{}
			for i := 0; b.Loop(); i++ {
				change[0] = Endpoint{Server: i % servers, Rank: uint32(i), Zone: i % 18, Weight: 1, IndexReused: true,
					StartedAt: -time.Hour, HasStartTime: true}
				effects = p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: change[:]}, effects[:0])
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ types, tenants, servers int }{
		{3, 0, 200}, {1_000, 0, 200}, {10_000, 0, 200}, {3, 390_000, 200}, {3, 0, 200_000},
	} {
		b.Run(fmt.Sprintf("types=%d/tenants=%d/servers=%d", c.types, c.tenants, c.servers), func(b *testing.B) {
			p := newLargePolicy(c.types, c.tenants, min(c.servers, 2_000))
			for p.subset.readyCount < c.servers { // in batches, since more servers of a large list would join the subset
				list := largeList(p.subset.readyCount + 2_000)[p.subset.readyCount:]
				p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: list}, nil)
			}
			now := time.Duration(0)
			var effects []Effect
			for id := range 20 {
				effects = p.Handle(now, &Input{Kind: RequestArrived, Request: id, TrafficType: id % c.types, Tenant: id, Timeout: time.Hour}, effects[:0])
			}
			for range 300 { // fills the budgets
				now += 20 * ms
				effects = p.Handle(now, &Input{Kind: TimerFired}, effects[:0])
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 20 * ms
				effects = p.Handle(now, &Input{Kind: TimerFired}, effects[:0])
			}
		})
	}
}
