package dispatch

import (
	"fmt"
	"testing"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/route"
)

// TestTimerAndRoutesWalkFewServers checks that the cost of the timer and of a route table with unchanged pools depends on the
// number of idle connections, not on the number of servers.
func TestTimerAndRoutesWalkFewServers(t *testing.T) {
	const servers = 2_000
	d := newTestDispatcher(t, 0, limits)
	list := fullList()
	for i := range servers {
		list.Endpoints = append(list.Endpoints, loopbackEndpoint(fmt.Sprint("server-", i), uint16(1+i)))
	}
	d.ApplyList(list, endpoints.SourceDiscovery)
	ticks := func() int { // with the lock held, so that the timer does not interfere
		d.mu.Lock()
		defer d.unlock()
		from := d.servers.visits
		for range 10 {
			d.closeExpiredIdle()
		}
		return d.servers.visits - from
	}
	if got := ticks(); got != 0 {
		t.Errorf("without idle connections: got %d server visits, want 0", got)
	}
	table := func(site string) *route.Table {
		return &route.Table{Pools: []route.Pool{{Name: "pool", Sites: []string{site}}}}
	}
	for _, c := range []struct {
		name  string
		table *route.Table
		want  int
	}{{"first table", table("a"), servers}, {"same table", table("a"), 0}, {"other site", table("b"), servers}, {"no table", nil, servers}, {"still no table", nil, 0}} {
		from := d.servers.visits // without idle connections, the timer adds no visits
		if d.SetRoutes(c.table); d.servers.visits-from != c.want {
			t.Errorf("%s: got %d server visits, want %d", c.name, d.servers.visits-from, c.want)
		}
	}
	d.PutIdle("server-7", false, http1.NewConn(&closer{closed: make(chan string, 1)}))
	if got := ticks(); got != 10 {
		t.Errorf("one idle connection and ten ticks: got %d server visits, want 10", got)
	}
	d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "server-7", Condition: http1.Deleted}}}, endpoints.SourceDiscovery)
	if got := ticks(); got != 0 || len(d.servers.withIdle) != 0 {
		t.Errorf("after the server's removal: got %d server visits and %d servers with idle connections, want 0", got, len(d.servers.withIdle))
	}
}
