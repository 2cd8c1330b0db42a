package dispatch

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/internal/testbed/standin/connpair"
	"fernvane/policy"
)

func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		idle time.Duration // Settings.ConnIdle
		do   func(*Dispatcher)
		back bool
	}{
		"used again":                    {time.Hour, func(*Dispatcher) {}, true},
		"expired":                       {0, func(*Dispatcher) {}, false},
		"expired, and the timer fires":  {0, (*Dispatcher).onTimer, false},
		"closed by the decision module": {time.Hour, func(d *Dispatcher) { (*effectHandler)(d).CloseIdle("a") }, false},
		"its server drains": {time.Hour, func(d *Dispatcher) {
			d.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "a", Phase: http1.Draining}}}, endpoints.SourceDiscovery)
		}, false},
		"its server has moved": {time.Hour, func(d *Dispatcher) {
			d.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{host("a", 7)}}, endpoints.SourceDiscovery)
		}, false},
		"the same list once more": {time.Hour, func(d *Dispatcher) { d.ApplyList(fullList(host("a", 1)), endpoints.SourceDiscovery) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits, host("a", 1))
			d.settings.ConnIdle = c.idle
			free := d.budget.free
			d.AcquireServerDescriptor()
			conn := &closer{closed: make(chan string, 1)}
			d.PutIdle("a", false, http1.NewConn(conn))
			c.do(d)
			got := d.TakeIdle("a")
			if d.DiscoveryFailed(); (got != nil) != c.back || (len(conn.closed) == 0) != c.back || (d.budget.free == free) == c.back {
				t.Errorf("taken %v, closed %d times, %d of %d descriptors free", got != nil, len(conn.closed), d.budget.free, free)
			}
		})
	}
}

// A server may close right after its response, so a connection that has been idle for a moment is preferred.
func TestTakeIdlePrefersSettledConnections(t *testing.T) {
	for name, c := range map[string]struct {
		ages []time.Duration // in the order of last use
		want string
	}{
		"the latest of the old":    {[]time.Duration{2 * time.Second, time.Second}, "1"},
		"not the one just used":    {[]time.Duration{2 * time.Second, time.Second, 0}, "1"},
		"the oldest of the young":  {[]time.Duration{time.Millisecond, 0}, "0"},
		"one just used, but alone": {[]time.Duration{0}, "0"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits, host("a", 1))
			for i, age := range c.ages {
				d.AcquireServerDescriptor()
				d.PutIdle("a", false, http1.NewConn(&closer{name: fmt.Sprint(i)}))
				d.servers.byID["a"].idle[i].since -= age
			}
			if got := d.TakeIdle("a").(*http1.Conn).Conn.(*closer).name; got != c.want {
				t.Errorf("took %s", got)
			}
		})
	}
}

// A connection to a draining server is closed whenever it becomes idle, as the far end sees on its socket.
func TestIdleConnectionsCloseOnDrain(t *testing.T) {
	drain := func(d *Dispatcher) {
		d.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "a", Phase: http1.Draining}}}, endpoints.SourceDiscovery)
	}
	for name, c := range map[string]struct {
		day    func(d *Dispatcher, c ServerConn)
		closed bool
	}{
		"idle when it drains": {func(d *Dispatcher, c ServerConn) { d.PutIdle("a", false, c); drain(d) }, true},
		"used until after it drains": {func(d *Dispatcher, c ServerConn) {
			d.PutIdle("a", false, c)
			d.TakeIdle("a")
			drain(d)
			d.PutIdle("a", false, c)
		}, true},
		"connected after it drains":   {func(d *Dispatcher, c ServerConn) { drain(d); d.PutIdle("a", false, c) }, true},
		"announced as draining twice": {func(d *Dispatcher, c ServerConn) { drain(d); drain(d); d.PutIdle("a", false, c) }, true},
		"left out of the list": {func(d *Dispatcher, c ServerConn) {
			d.PutIdle("a", false, c)
			d.ApplyList(fullList(host("b", 2)), endpoints.SourceDiscovery)
		}, true},
		"in use while it drains, not yet idle": {func(d *Dispatcher, c ServerConn) { d.PutIdle("a", false, c); d.TakeIdle("a"); drain(d) }, false},
		"another server drains": {func(d *Dispatcher, c ServerConn) {
			d.PutIdle("a", false, c)
			d.ApplyList(http1.EndpointList{Hosts: []http1.Endpoint{{ID: "b", Phase: http1.Draining}}}, endpoints.SourceDiscovery)
		}, false},
		"it serves again": {func(d *Dispatcher, c ServerConn) {
			drain(d)
			d.ApplyList(fullList(host("a", 1), host("b", 2)), endpoints.SourceDiscovery)
			d.PutIdle("a", false, c)
		}, false},
	} {
		for _, drainClose := range []string{"", `"rules":{"drainClose":300},`} {
			t.Run(fmt.Sprintf("%s, %d", name, len(drainClose)), func(t *testing.T) {
				s := decoded(t, `{"limits":{"mostHops":4,"connectTimeout":1000,"connIdle":3600000},`+drainClose+
					`"trafficTypes":[{"name":"check","targetTime":60000,"abandonTime":60000,"idempotency":"safe","revenue":1}]}`)
				d := New(s, 1, limits, engine.NewPolicy)
				t.Cleanup(d.Stop)
				d.ApplyList(fullList(host("a", 1), host("b", 2)), endpoints.SourceConfig)
				near, far := connpair.TCP(t)
				d.AcquireServerDescriptor()
				c.day(d, http1.NewConn(near))
				d.onTimer()
				if !c.closed { // a byte arrives
					if _, err := near.Write([]byte{'x'}); err != nil {
						t.Fatalf("closed: %v", err)
					}
				}
				far.SetReadDeadline(time.Now().Add(time.Minute))
				n, err := far.Read(make([]byte, 1))
				if (n == 1) == c.closed || errors.Is(err, io.EOF) != c.closed { // a read that times out sees no close
					t.Errorf("read %d bytes, %v", n, err)
				}
			})
		}
	}
}
