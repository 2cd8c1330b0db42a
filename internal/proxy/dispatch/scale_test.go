package dispatch

import (
	"fmt"
	"testing"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/route"
)

// The timer, and routes that select the same servers as before, cost by the idle connections and not by the servers.
func TestTimerAndRoutesWalkFewServers(t *testing.T) {
	const servers = 2_000
	d := newTestDispatcher(t, 0, limits)
	list := fullList()
	for i := range servers {
		list.Hosts = append(list.Hosts, host(fmt.Sprint("server-", i), uint16(1+i)))
	}
	d.ApplyList(list, endpoints.SourceDiscovery)
	ticks := func() int { // under the lock, so that the timer does not interfere
		d.mu.Lock()
		defer d.unlock()
		from := d.servers.visits
		for range 10 {
			d.closeExpiredIdle()
		}
		return d.servers.visits - from
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
		from := d.servers.visits // the timer visits none while no connection is idle
		if d.SetRoutes(c.set); d.servers.visits-from != c.want {
			t.Errorf("%s: %d servers come to, want %d", c.name, d.servers.visits-from, c.want)
		}
	}
	d.PutIdle("server-7", false, http1.NewConn(&closer{closed: make(chan string, 1)}))
	if got := ticks(); got != 10 {
		t.Errorf("%d servers come to for one connection and ten ticks", got)
	}
	d.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "server-7", Phase: http1.Deleted}}}, endpoints.SourceDiscovery)
	if got := ticks(); got != 0 || len(d.servers.withIdle) != 0 {
		t.Errorf("%d servers come to when that one has gone, %d held", got, len(d.servers.withIdle))
	}
}
