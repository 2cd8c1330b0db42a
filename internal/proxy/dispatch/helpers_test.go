package dispatch

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

var limits = Limits{MemoryMB: 192, Sockets: 1024}

func fullList(hosts ...http1.Endpoint) http1.EndpointList {
	return http1.EndpointList{Complete: true, Hosts: hosts}
}

func host(id string, port uint16) http1.Endpoint {
	return http1.Endpoint{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Size: 1}
}

func newTestDispatcher(t *testing.T, repeat policy.Idempotency, l Limits, hosts ...http1.Endpoint) *Dispatcher {
	s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 1, MaxAttempts: 4,
		ConnectTimeout: time.Second, TrafficTypes: []policy.TrafficType{{Idempotency: repeat, LatencyObjective: time.Minute,
			ClientTimeout: time.Hour, PriorityWeight: 1}}}}
	d := New(s, 1, l, engine.NewPolicy)
	t.Cleanup(d.Stop)
	d.ApplyList(fullList(hosts...), endpoints.SourceConfig)
	return d
}

var lastRequestID int

// submit submits a request with an ID of its own; nil if it is not accepted.
func submit(d *Dispatcher) *Request {
	lastRequestID++
	request, _ := d.Submit(Arrival{ID: fmt.Append(nil, lastRequestID), RouteIndex: -1, Timeout: time.Hour})
	return request
}

type closer struct {
	net.Conn
	name   string
	closed chan string
}

func (c *closer) Close() error {
	c.closed <- c.name
	return nil
}
