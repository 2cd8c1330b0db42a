package endpoints

import (
	"fmt"
	"net/netip"
	"testing"

	"fernvane/internal/discovery/incarnation"
)

func announcedUp(from, to int) []Endpoint {
	var list []Endpoint
	for i := from; i < to; i++ {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
		list = append(list, Endpoint{ID: fmt.Sprint("server-", i), Address: address, Condition: incarnation.Up})
	}
	return list
}

// BenchmarkWholeList applies a full list to an empty view.
func BenchmarkWholeList(b *testing.B) {
	for _, servers := range []int{200, 2_000, 20_000, 200_000} {
		list := announcedUp(0, servers)
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			for b.Loop() {
				NewView().Apply(0, SourceDiscovery, list, true)
			}
		})
	}
}

// BenchmarkOneChange applies a list of changes with one new server to a view in which a tenth of the servers is draining.
func BenchmarkOneChange(b *testing.B) {
	for _, servers := range []int{200, 2_000, 20_000, 200_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			view := NewView()
			view.Apply(0, SourceDiscovery, announcedUp(0, servers), true)
			drained := announcedUp(0, servers/10)
			for i := range drained {
				drained[i].Condition = incarnation.Draining
			}
			view.Apply(0, SourceDiscovery, drained, false)
			list := announcedUp(servers, servers+1)
			for b.Loop() {
				view.Apply(0, SourceDiscovery, list, false)
				view.Remove(list[0].ID)
			}
		})
	}
}
