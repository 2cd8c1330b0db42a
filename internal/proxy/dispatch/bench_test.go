package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// newBenchDispatcher returns a Dispatcher with the settings of a large deployment.
func newBenchDispatcher(b *testing.B) *Dispatcher {
	d := New(settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 5800, MaxAttempts: 4,
		ConnectTimeout: time.Second, SlowStartDuration: 8 * time.Second, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour,
			PriorityWeight: 1}}}}, 1, limits, engine.NewPolicy)
	b.Cleanup(d.Stop)
	return d
}

// benchEndpoints returns the servers with numbers in [from, to), spread over 18 zones.
func benchEndpoints(from, to int) (serverEndpoints []http1.Endpoint) {
	for i := from; i < to; i++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
		serverEndpoints = append(serverEndpoints, http1.Endpoint{ID: fmt.Sprint("server-", i), Address: address, Zone: fmt.Sprint("zone-", i%18), Weight: 1, StartedUnixMS: 1})
	}
	return serverEndpoints
}

// BenchmarkWholeList measures a full list that passes through the view, the engine and the decision module.
func BenchmarkWholeList(b *testing.B) {
	for _, servers := range []int{200, 2_000, 20_000, 200_000} {
		serverEndpoints := benchEndpoints(0, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for b.Loop() {
				newBenchDispatcher(b).ApplyList(http1.EndpointList{IsComplete: true, Endpoints: serverEndpoints}, endpoints.SourceDiscovery)
			}
		})
	}
}

// BenchmarkOneChange measures an incremental list that removes one server and adds another.
func BenchmarkOneChange(b *testing.B) {
	for _, servers := range []int{200, 2_000, 20_000, 200_000} {
		d := newBenchDispatcher(b)
		d.ApplyList(http1.EndpointList{IsComplete: true, Endpoints: benchEndpoints(0, servers)}, endpoints.SourceDiscovery)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			last := servers
			for b.Loop() {
				serverEndpoints := benchEndpoints(last-1, last+1)
				serverEndpoints[0].Condition = http1.Deleted
				d.ApplyList(http1.EndpointList{Endpoints: serverEndpoints}, endpoints.SourceDiscovery)
				last++
			}
		})
	}
}
