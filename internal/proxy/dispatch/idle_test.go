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

// TestIdleConnections checks which idle connections are reused and which are closed.
func TestIdleConnections(t *testing.T) {
	for name, c := range map[string]struct {
		idle      time.Duration // Settings.ConnIdle
		do        func(*Dispatcher)
		wantReuse bool
	}{
		"reused":                        {time.Hour, func(*Dispatcher) {}, true},
		"expired":                       {0, func(*Dispatcher) {}, false},
		"expired, and the timer fires":  {0, (*Dispatcher).onTimer, false},
		"closed by the decision module": {time.Hour, func(d *Dispatcher) { (*effectHandler)(d).CloseIdle("a") }, false},
		"server drains": {time.Hour, func(d *Dispatcher) {
			d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "a", Condition: http1.Draining}}}, endpoints.SourceDiscovery)
		}, false},
		"server address changes": {time.Hour, func(d *Dispatcher) {
			d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{loopbackEndpoint("a", 7)}}, endpoints.SourceDiscovery)
		}, false},
		"same list again": {time.Hour, func(d *Dispatcher) { d.ApplyList(fullList(loopbackEndpoint("a", 1)), endpoints.SourceDiscovery) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits, loopbackEndpoint("a", 1))
			d.settings.ConnIdle = c.idle
			free := d.budget.free
			d.AcquireServerDescriptor()
			conn := &closer{closed: make(chan string, 1)}
			d.PutIdle("a", false, http1.NewConn(conn))
			c.do(d)
			got := takeSettled(d, "a")
			if d.DiscoveryFailed(); (got != nil) != c.wantReuse || (len(conn.closed) == 0) != c.wantReuse || (d.budget.free == free) == c.wantReuse {
				t.Errorf("got connection taken %v, closed %d times, %d of %d descriptors free", got != nil, len(conn.closed), d.budget.free, free)
			}
		})
	}
}

// identifyingConn is a connection whose responses identify their requests.
type identifyingConn struct{ *http1.Conn }

func (identifyingConn) IdentifiesResponses() bool { return true }

// TestTakeIdleSettledConnections checks that a connection is not reused within SettleDuration of a response, even if there is no
// other, because a late second copy of that response would be read as the response to the next request. Connections that
// identify responses are reused at any time; those outside recentUseWindow are preferred, since a server may close a
// connection directly after its response.
func TestTakeIdleSettledConnections(t *testing.T) {
	const unsettled = SettleDuration - 10*time.Millisecond
	for name, c := range map[string]struct {
		ages       []time.Duration // least recently used first
		identifies bool
		want       int // -1: none
	}{
		"all settled":           {[]time.Duration{2 * time.Second, time.Second}, false, 1},
		"one not settled":       {[]time.Duration{2 * time.Second, time.Second, 0}, false, 1},
		"none settled":          {[]time.Duration{unsettled, 0}, false, -1},
		"only one, not settled": {[]time.Duration{0}, false, -1},
		"identifying responses, all outside the window": {[]time.Duration{2 * time.Second, unsettled}, true, 1},
		"identifying responses, one inside the window":  {[]time.Duration{2 * time.Second, unsettled, 0}, true, 1},
		"identifying responses, all inside the window":  {[]time.Duration{time.Millisecond, 0}, true, 0},
		"identifying responses, only one, inside":       {[]time.Duration{0}, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits, loopbackEndpoint("a", 1))
			s := d.servers.byID["a"]
			for i := range c.ages {
				d.AcquireServerDescriptor()
				conn := http1.NewConn(&closer{name: fmt.Sprint(i)})
				if c.identifies {
					d.PutIdle("a", false, identifyingConn{conn})
				} else {
					d.PutIdle("a", false, conn)
				}
			}
			now := s.idle[len(s.idle)-1].since
			for i, age := range c.ages {
				idle := &s.idle[i]
				idle.settledAt -= idle.since - (now - age)
				idle.since = now - age
			}
			if got := s.reusableIdle(now); got != c.want {
				t.Errorf("got connection %d, want %d", got, c.want)
			}
		})
	}
}

// TestTakeIdleSkipsUnsettled checks that TakeIdle removes and returns settled connections, most recently used first, and leaves one
// that has not settled.
func TestTakeIdleSkipsUnsettled(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits, loopbackEndpoint("a", 1))
	s := d.servers.byID["a"]
	for i, settlesIn := range []time.Duration{-2 * time.Second, -time.Second, time.Hour} {
		d.AcquireServerDescriptor()
		d.PutIdle("a", false, http1.NewConn(&closer{name: fmt.Sprint(i)}))
		s.idle[i].since += min(settlesIn, 0)
		s.idle[i].settledAt = s.idle[i].since + max(settlesIn, 0)
	}
	for _, want := range []string{"1", "0"} {
		if got := d.TakeIdle("a").(*http1.Conn).Conn.(*closer).name; got != want {
			t.Errorf("got connection %s, want %s", got, want)
		}
	}
	if got := d.TakeIdle("a"); got != nil || len(s.idle) != 1 {
		t.Errorf("got connection %v, %d left, want none taken and 1 left", got, len(s.idle))
	}
}

// TestIdleConnectionsCloseOnDrain checks at the server's end of the socket that an idle connection to a draining server is
// closed, and that one in use is closed when it becomes idle.
func TestIdleConnectionsCloseOnDrain(t *testing.T) {
	drain := func(d *Dispatcher) {
		d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "a", Condition: http1.Draining}}}, endpoints.SourceDiscovery)
	}
	for name, c := range map[string]struct {
		steps      func(d *Dispatcher, c ServerConn)
		wantClosed bool
	}{
		"idle when it drains": {func(d *Dispatcher, c ServerConn) { d.PutIdle("a", false, c); drain(d) }, true},
		"used until after it drains": {func(d *Dispatcher, c ServerConn) {
			d.PutIdle("a", false, c)
			takeSettled(d, "a")
			drain(d)
			d.PutIdle("a", false, c)
		}, true},
		"connected after it drains":   {func(d *Dispatcher, c ServerConn) { drain(d); d.PutIdle("a", false, c) }, true},
		"announced as draining twice": {func(d *Dispatcher, c ServerConn) { drain(d); drain(d); d.PutIdle("a", false, c) }, true},
		"left out of the list": {func(d *Dispatcher, c ServerConn) {
			d.PutIdle("a", false, c)
			d.ApplyList(fullList(loopbackEndpoint("b", 2)), endpoints.SourceDiscovery)
		}, true},
		"in use while it drains, not yet idle": {func(d *Dispatcher, c ServerConn) { d.PutIdle("a", false, c); takeSettled(d, "a"); drain(d) }, false},
		"another server drains": {func(d *Dispatcher, c ServerConn) {
			d.PutIdle("a", false, c)
			d.ApplyList(http1.EndpointList{Endpoints: []http1.Endpoint{{ID: "b", Condition: http1.Draining}}}, endpoints.SourceDiscovery)
		}, false},
		"server becomes usable again": {func(d *Dispatcher, c ServerConn) {
			drain(d)
			d.ApplyList(fullList(loopbackEndpoint("a", 1), loopbackEndpoint("b", 2)), endpoints.SourceDiscovery)
			d.PutIdle("a", false, c)
		}, false},
	} {
		for _, drainClose := range []string{"", `"rules":{"drainClose":300},`} {
			t.Run(fmt.Sprintf("%s, %d", name, len(drainClose)), func(t *testing.T) {
				s := decoded(t, `{"limits":{"mostHops":4,"connectTimeout":1000,"connIdle":3600000},`+drainClose+
					`"trafficTypes":[{"name":"check","targetTime":60000,"abandonTime":60000,"idempotency":"safe","revenue":1}]}`)
				d := New(s, 1, limits, engine.NewPolicy)
				t.Cleanup(d.Stop)
				d.ApplyList(fullList(loopbackEndpoint("a", 1), loopbackEndpoint("b", 2)), endpoints.SourceConfig)
				near, far := connpair.TCP(t)
				d.AcquireServerDescriptor()
				c.steps(d, http1.NewConn(near))
				d.onTimer()
				if !c.wantClosed { // a byte must arrive
					if _, err := near.Write([]byte{'x'}); err != nil {
						t.Fatalf("write on a connection that must stay open: %v", err)
					}
				}
				far.SetReadDeadline(time.Now().Add(time.Minute))
				n, err := far.Read(make([]byte, 1))
				if (n == 1) == c.wantClosed || errors.Is(err, io.EOF) != c.wantClosed { // a read that times out does not detect a close
					t.Errorf("read at the server: got %d bytes and error %v", n, err)
				}
			})
		}
	}
}
