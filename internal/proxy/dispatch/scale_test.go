package dispatch

import (
	"fmt"
	"testing"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/route"
)

// What the fleet does at each tick, and for routes that choose servers as before, costs what stands idle and not the
// number of servers.
func TestTicksAndRoutesCostNoWalkOfAllServers(t *testing.T) {
	const servers = 2_000
	f := fleet(t, 0, limits)
	list := listed()
	for i := range servers {
		list.Hosts = append(list.Hosts, host(fmt.Sprint("server-", i), uint16(1+i)))
	}
	f.ApplyList(list, endpoints.SourceDiscovery)
	ticks := func() int { // under the lock, so that the timer's own do not come between
		f.mu.Lock()
		defer f.unlock()
		from := f.servers.visits
		for range 10 {
			f.closeExpiredIdle()
		}
		return f.servers.visits - from
	}
	if got := ticks(); got != 0 {
		t.Errorf("%d servers come to where nothing stands idle", got)
	}
	set := func(site string) *route.Table {
		return &route.Table{Pools: []route.Pool{{Name: "pool", Sites: []string{site}}}}
	}
	for _, c := range []struct {
		name string
		set  *route.Table
		want int
	}{{"the first", set("a"), servers}, {"as before", set("a"), 0}, {"another site", set("b"), servers}, {"none", nil, servers}, {"none again", nil, 0}} {
		from := f.servers.visits // no tick comes to any before a connection stands idle
		if f.SetRoutes(c.set); f.servers.visits-from != c.want {
			t.Errorf("%s: %d servers come to, want %d", c.name, f.servers.visits-from, c.want)
		}
	}
	f.PutIdle("server-7", false, http1.NewConn(&closer{closed: make(chan string, 1)}))
	if got := ticks(); got != 10 {
		t.Errorf("%d servers come to for one connection and ten ticks", got)
	}
	f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "server-7", Phase: http1.Deleted}}}, endpoints.SourceDiscovery)
	if got := ticks(); got != 0 || len(f.servers.withIdle) != 0 {
		t.Errorf("%d servers come to when that one has gone, %d held", got, len(f.servers.withIdle))
	}
}
