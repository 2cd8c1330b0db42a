package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
)

// placed is a host in a zone and of a kind of machine.
func placed(id string, port uint16, zone, kind string) http1.Endpoint {
	h := host(id, port)
	h.Zone, h.Flavor, h.UpSinceMS = zone, kind, 1 // long warm
	return h
}

func decoded(t *testing.T, text string) settings.Settings {
	t.Helper()
	s, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// ports has operations come, all at the same time, and tells which servers they are sent to.
func ports(f *Dispatcher, n int) (to []uint16) {
	for range n {
		op := arrive(f)
		select {
		case <-op.ready:
			if d := op.NextDecision(func() {}); d.Action == SendAttempt && !slices.Contains(to, d.Address.Port()) {
				to = append(to, d.Address.Port())
			}
		default:
		}
	}
	slices.Sort(to)
	return to
}

// What a node's settings bind to zones and kinds of machine, by place or by name, goes to no other servers of its list.
func TestPlacement(t *testing.T) {
	hosts := []http1.Endpoint{placed("a", 1, "north", "small"), placed("b", 2, "south", "small"), placed("c", 3, "south", "large"),
		placed("d", 4, "west", "large")}
	moved := placed("a", 1, "south", "small")
	for name, c := range map[string]struct {
		bound string
		then  []http1.Endpoint // changes
		want  []uint16
	}{
		"free":                       {`"window":0`, nil, []uint16{1, 2, 3, 4}},
		"a zone by its place":        {`"dcsOnly":[1]`, nil, []uint16{2, 3}},
		"a zone by its name":         {`"dcsOnly":["south"]`, nil, []uint16{2, 3}},
		"a kind by its place":        {`"allowedOn":[1]`, nil, []uint16{3, 4}},
		"a zone and a kind":          {`"dcsOnly":["south"],"allowedOn":["large"]`, nil, []uint16{3}},
		"a zone that is not listed":  {`"dcsOnly":["west"]`, nil, []uint16{4}},
		"a place beyond the list":    {`"dcsOnly":[2,3,4,5,6]`, nil, nil},
		"a zone that no server has":  {`"dcsOnly":["east"]`, nil, nil},
		"none":                       {`"dcsOnly":[]`, nil, nil},
		"a server that comes up":     {`"dcsOnly":["east"]`, []http1.Endpoint{placed("e", 5, "east", "large")}, []uint16{5}},
		"a server that moves in":     {`"dcsOnly":["south"]`, []http1.Endpoint{moved}, []uint16{1, 2, 3}},
		"a server that moves out":    {`"dcsOnly":["north"]`, []http1.Endpoint{moved}, nil},
		"a server of another kind":   {`"allowedOn":["small"]`, []http1.Endpoint{placed("a", 1, "north", "large")}, []uint16{2}},
		"a kind that is not listed":  {`"allowedOn":["huge"]`, []http1.Endpoint{placed("f", 6, "north", "huge")}, []uint16{6}},
		"a zone spelt in other case": {`"dcsOnly":["South"]`, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			s := decoded(t, `{"dcs":["north","south"],"skus":["small","large"],"limits":{"mostHops":4,"connectTimeout":1000,"connIdle":1000},
				"trafficTypes":[{"name":"check","targetTime":60000,"abandonTime":60000,"idempotency":"safe","revenue":1,`+c.bound+`}]}`)
			f := New(s, 1, limits, engine.NewPolicy)
			t.Cleanup(f.Stop)
			f.ApplyList(listed(hosts...), endpoints.SourceConfig)
			if len(c.then) > 0 {
				f.ApplyList(http1.EndpointList{Hosts: c.then}, endpoints.SourceDiscovery)
			}
			if got := ports(f, 16); !slices.Equal(got, c.want) {
				t.Errorf("sent to %v, want %v", got, c.want)
			}
		})
	}
}

// A connection to a server that drains is closed, whenever it comes to stand idle; the far end sees that on its socket.
func TestCloseOnDrain(t *testing.T) {
	drain := func(f *Dispatcher) {
		f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "a", Phase: http1.Draining}}}, endpoints.SourceDiscovery)
	}
	for name, c := range map[string]struct {
		day    func(f *Dispatcher, c ServerConn)
		closed bool
	}{
		"idle at the notice": {func(f *Dispatcher, c ServerConn) { f.PutIdle("a", false, c); drain(f) }, true},
		"answered on after the notice": {func(f *Dispatcher, c ServerConn) {
			f.PutIdle("a", false, c)
			f.TakeIdle("a")
			drain(f)
			f.PutIdle("a", false, c)
		}, true},
		"a connect that ends after it": {func(f *Dispatcher, c ServerConn) { drain(f); f.PutIdle("a", false, c) }, true},
		"after a second notice":        {func(f *Dispatcher, c ServerConn) { drain(f); drain(f); f.PutIdle("a", false, c) }, true},
		"left out of the list": {func(f *Dispatcher, c ServerConn) {
			f.PutIdle("a", false, c)
			f.ApplyList(listed(host("b", 2)), endpoints.SourceDiscovery)
		}, true},
		"in use at the notice, not yet idle": {func(f *Dispatcher, c ServerConn) { f.PutIdle("a", false, c); f.TakeIdle("a"); drain(f) }, false},
		"another server drains": {func(f *Dispatcher, c ServerConn) {
			f.PutIdle("a", false, c)
			f.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "b", Phase: http1.Draining}}}, endpoints.SourceDiscovery)
		}, false},
		"it serves again": {func(f *Dispatcher, c ServerConn) {
			drain(f)
			f.ApplyList(listed(host("a", 1), host("b", 2)), endpoints.SourceDiscovery)
			f.PutIdle("a", false, c)
		}, false},
	} {
		for _, within := range []string{"", `"rules":{"drainClose":300},`} {
			t.Run(fmt.Sprintf("%s, %d", name, len(within)), func(t *testing.T) {
				s := decoded(t, `{"limits":{"mostHops":4,"connectTimeout":1000,"connIdle":3600000},`+within+
					`"trafficTypes":[{"name":"check","targetTime":60000,"abandonTime":60000,"idempotency":"safe","revenue":1}]}`)
				f := New(s, 1, limits, engine.NewPolicy)
				t.Cleanup(f.Stop)
				f.ApplyList(listed(host("a", 1), host("b", 2)), endpoints.SourceConfig)
				near, far := connpair.TCP(t)
				f.AcquireServerDescriptor()
				c.day(f, http1.NewConn(near))
				f.onTimer()
				if !c.closed { // shown by a byte that arrives
					if _, err := near.Write([]byte{'x'}); err != nil {
						t.Fatalf("closed: %v", err)
					}
				}
				far.SetReadDeadline(time.Now().Add(time.Minute))
				if n, err := far.Read(make([]byte, 1)); (n == 1) == c.closed {
					t.Errorf("read %d bytes, %v", n, err)
				}
			})
		}
	}
}
