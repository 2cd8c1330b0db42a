package policy

import (
	"fmt"
	"testing"
	"time"
)

// fleetSettings are those of a node with so many traffic types and tenants.
func fleetSettings(types, tenants int) Settings {
	s := Settings{NodeCount: 5800, TimerGranularity: 5 * ms, MaxAttempts: 4, SlowStartDuration: 8 * time.Second, SlowStartInitialCapacity: 0.3, CrashLoadFactor: 3,
		RequestEndpointsWithin: 10 * time.Second, OverQuotaWeightShare: 0.1}
	for k := range types {
		s.TrafficTypes = append(s.TrafficTypes, TrafficType{Idempotency: Idempotency(k % 3), LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second,
			PriorityWeight: float64(1 + k%9), RetryRatio: 0.1, MinRetriesPerSecond: 1})
	}
	for range tenants {
		s.TenantQuotas = append(s.TenantQuotas, 10)
	}
	return s
}

// fleetList is a list of servers that started long ago, under ranks spread as checksums are.
func fleetList(servers int) []Endpoint {
	list := make([]Endpoint, servers)
	for i := range list {
		list[i] = Endpoint{Server: i, Rank: uint32(i) * 2654435761, Zone: i % 18, Cell: i / 40, Weight: 1,
			StartedAt: -time.Hour, HasStartTime: true}
	}
	return list
}

func newFleet(types, tenants, servers int) *Policy {
	p := New(fleetSettings(types, tenants), 7)
	p.Handle(0, &Input{Kind: TimerFired}, nil)
	if servers > 0 {
		p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: fleetList(servers)}, nil)
	}
	return p
}

var fleetSizes = []int{200, 2_000, 20_000, 50_000, 200_000}

func BenchmarkWholeList(b *testing.B) {
	for _, servers := range fleetSizes {
		list := fleetList(servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				p := newFleet(3, 0, 0)
				b.StartTimer()
				p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: list}, nil)
			}
		})
	}
}

func BenchmarkOneChange(b *testing.B) {
	for _, servers := range fleetSizes {
		p := newFleet(3, 0, servers)
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
			p := newFleet(c.types, c.tenants, min(c.servers, 2_000))
			for p.subset.readyCount < c.servers { // by pieces, of which none costs a square
				list := fleetList(p.subset.readyCount + 2_000)[p.subset.readyCount:]
				p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: list}, nil)
			}
			now := time.Duration(0)
			var effects []Effect
			for op := range 20 {
				effects = p.Handle(now, &Input{Kind: RequestArrived, Request: op, TrafficType: op % c.types, Tenant: op, Timeout: time.Hour}, effects[:0])
			}
			for range 300 { // until what only starts has settled
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
