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

// fullList returns a full endpoint list.
func fullList(serverEndpoints ...http1.Endpoint) http1.EndpointList {
	return http1.EndpointList{IsComplete: true, Endpoints: serverEndpoints}
}

// loopbackEndpoint returns an endpoint on the loopback address.
func loopbackEndpoint(id string, port uint16) http1.Endpoint {
	return http1.Endpoint{ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Weight: 1}
}

// newTestDispatcher returns a Dispatcher with one traffic type of the given idempotency and a configured endpoint list.
func newTestDispatcher(t *testing.T, idempotency policy.Idempotency, l Limits, serverEndpoints ...http1.Endpoint) *Dispatcher {
	s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, Settings: policy.Settings{NodeCount: 1, MaxAttempts: 4,
		ConnectTimeout: time.Second, TrafficTypes: []policy.TrafficType{{Idempotency: idempotency, LatencyObjective: time.Minute,
			ClientTimeout: time.Hour, PriorityWeight: 1}}}}
	d := New(s, 1, l, engine.NewPolicy)
	t.Cleanup(d.Stop)
	d.ApplyList(fullList(serverEndpoints...), endpoints.SourceConfig)
	return d
}

// takeSettled is TakeIdle once the idle connections to a server have been idle for SettleDuration.
func takeSettled(d *Dispatcher, id string) ServerConn {
	if s := d.servers.byID[id]; s != nil {
		for i := range s.idle {
			s.idle[i].since -= SettleDuration
			s.idle[i].settledAt -= SettleDuration
		}
	}
	return d.TakeIdle(id)
}

var lastRequestID int

// submit submits a request with a unique ID. It returns nil if the request is not accepted.
func submit(d *Dispatcher) *Request {
	lastRequestID++
	request, _ := d.Submit(Arrival{ID: fmt.Append(nil, lastRequestID), RouteIndex: -1, Timeout: time.Hour})
	return request
}

// closer is a connection that sends its name on closed when it is closed.
type closer struct {
	net.Conn
	name   string
	closed chan string
}

func (c *closer) Close() error {
	c.closed <- c.name
	return nil
}
