package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/standin/connpair"
	"fernvane/policy"
)

// With all descriptors in use, one is made free by closing an idle client's connection, never a busy one.
func TestEvictionForClients(t *testing.T) {
	l := Limits{MemoryMB: 192, Sockets: reservedDescriptors + minConnections}
	for name, c := range map[string]struct {
		idle, servers int // idle connections of clients and to servers, of minConnections
		evicted       string
	}{
		"clients before servers":      {2, 3, "client 0"},
		"never a server's connection": {0, 3, ""},
		"nor the servers' share":      {0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, l, host("a", 1))
			closed := make(chan string, minConnections)
			for i := range c.servers {
				if !d.AcquireServerDescriptor() {
					t.Fatal("no descriptor for a server")
				}
				d.PutIdle("a", false, http1.NewConn(&closer{name: fmt.Sprint("server ", i), closed: closed}))
			}
			var first *Client
			for i := range minConnections - 3 { // the others are for servers
				d.AcquireClientDescriptor()
				if p := d.AddClient(http1.NewConn(&closer{name: fmt.Sprint("client ", i), closed: closed})); i < c.idle {
					p.ReadBlocked(false)
					p.hasSentRequest = true
					if i == 0 {
						first = p
					}
				}
			}
			admitted := make(chan struct{})
			go func() {
				d.AcquireClientDescriptor()
				close(admitted)
			}()
			if c.evicted == "" {
				d.ReleaseClientDescriptor() // a busy connection ends
			} else if got := <-closed; got != c.evicted {
				t.Errorf("closed %s", got)
			}
			if first != nil {
				if first.ReadReady() {
					t.Error("a closed connection may be used")
				}
				first.Release() // as its reader does
			}
			<-admitted
			if len(closed) != 0 {
				t.Errorf("also closed %s", <-closed)
			}
		})
	}
}

// AcquireClientDescriptor gets a descriptor as soon as a busy client becomes idle, not only when one leaves.
func TestDescriptorFromClientThatBecomesIdle(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: 1})
	closed := make(chan string, 1)
	var busy *Client
	for range minConnections - 3 {
		d.AcquireClientDescriptor()
		busy = d.AddClient(http1.NewConn(&closer{closed: closed}))
	}
	admitted := make(chan struct{})
	go func() {
		d.AcquireClientDescriptor()
		close(admitted)
	}()
	busy.RequestStarted()
	busy.RequestFinished()
	busy.ReadBlocked(false)
	<-closed
	<-admitted
}

// A client that has sent a part of its first request may be evicted after a while. One that has sent a whole request
// before may not.
func TestEvictionWithPartialRequest(t *testing.T) {
	for name, c := range map[string]struct {
		before, old bool
		want        bool
	}{
		"first request, just begun":     {false, false, false},
		"first request, begun long ago": {false, true, true},
		"later request, begun long ago": {true, true, false},
		"a later one, just begun":       {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			p := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
			if p.ReadBlocked(false); c.before {
				p.ReadReady()
				p.RequestStarted()
				p.RequestFinished()
				p.ReadBlocked(false)
			}
			p.ReadReady()
			if p.ReadBlocked(true); c.old {
				p.idleSince -= time.Minute
			}
			d.mu.Lock()
			got := d.evictIdleClient(firstRequestGrace)
			d.unlock()
			if got != c.want || p.ReadReady() == c.want {
				t.Errorf("evicted %v, may go on %v", got, !c.want)
			}
		})
	}
}

// A connection is not evicted after its input was read, not even before its reader has reported so: after a pause a node
// reads hundreds of requests at once while it accepts others.
func TestNoEvictionAfterRead(t *testing.T) {
	for name, before := range map[string]bool{"a first request": false, "later request, begun long ago": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			nc, client := connpair.TCP(t)
			c := http1.NewPooled(nc, d.MessageBudget())
			p := d.AddClient(c)
			c.ObserveReads(p)
			p.ReadBlocked(false) // idle for long
			if p.hasSentRequest = before; p.ReadReady() {
				p.idleSince -= time.Minute
			}
			fmt.Fprint(client, "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n")
			if err := c.AwaitMessage(); err != nil {
				t.Fatal(err)
			}
			d.mu.Lock() // the reader has the input and has not handled it
			got := d.evictIdleClient(firstRequestGrace)
			d.unlock()
			var req http1.Request
			if err := c.ReadRequest(&req); got || err != nil {
				t.Errorf("evicted %v: %v", got, err)
			}
		})
	}
}

// peekCounter counts the calls of HasUnread on a connection with unread input.
type peekCounter struct{ looks, closed int }

func (a *peekCounter) Close() error { a.closed++; return nil }

func (a *peekCounter) HasUnread() bool { a.looks++; return true }

// A connection with unread input is looked at once per wait. After a pause a node has hundreds of them, and looking at all
// for each new connection would keep it from catching up.
func TestEvictionPeeksOncePerWait(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	conn := &peekCounter{}
	p := d.AddClient(conn)
	for wait := 1; wait <= 2; wait++ {
		p.ReadBlocked(false)
		p.idleSince -= time.Minute
		for range 3 {
			d.EvictIdle()
		}
		if conn.looks != wait || conn.closed > 0 || !p.ReadReady() {
			t.Errorf("looked at %d times in %d waits, closed %d times", conn.looks, wait, conn.closed)
		}
	}
}

// A connection with concurrent requests may be evicted only while its reader waits, no request is open and no later request
// has arrived in part, in whichever order an answer and the next request come.
func TestEvictionWithConcurrentRequests(t *testing.T) {
	wait, partial, arrived, started, finished := "wait", "half", "came", "request started", "request finished"
	for name, c := range map[string]struct {
		steps []string
		want  bool
	}{
		"new":                                 {[]string{wait}, true},
		"input arrived":                       {[]string{wait, arrived}, false},
		"first request in part":               {[]string{wait, arrived, partial}, true},
		"request started":                     {[]string{wait, arrived, started, wait}, false},
		"request finished":                    {[]string{wait, arrived, started, wait, finished}, true},
		"finished, and more input arrived":    {[]string{wait, arrived, started, wait, arrived, finished}, false},
		"next request before the answer":      {[]string{wait, arrived, started, wait, arrived, started, finished, wait}, false},
		"next request before the last finish": {[]string{wait, arrived, started, wait, arrived, started, wait, finished}, false},
		"both finished":                       {[]string{wait, arrived, started, wait, arrived, started, wait, finished, finished}, true},
		"later request in part":               {[]string{wait, arrived, started, wait, finished, arrived, partial}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			p := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
			for _, step := range c.steps {
				switch step {
				case wait, partial:
					p.ReadBlocked(step == partial)
				case arrived:
					p.ReadReady()
				case started:
					p.RequestStarted()
				case finished:
					p.RequestFinished()
				}
			}
			p.idleSince -= time.Minute
			d.mu.Lock()
			got := d.evictIdleClient(firstRequestGrace)
			d.unlock()
			if got != c.want || p.ReadReady() == c.want {
				t.Errorf("evicted %v", got)
			}
		})
	}
}

// As the node stops, a new client has longer for its first request than while descriptors are short.
func TestCloseIdleClientsSparesNewOnes(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	closed := make(chan string, 2)
	p := d.AddClient(http1.NewConn(&closer{closed: closed}))
	p.ReadBlocked(false)
	p.idleSince -= 5 * firstRequestGrace
	if d.CloseIdleClients(); len(closed) > 0 {
		t.Error("closed at once")
	}
	p.idleSince -= firstRequestGraceAtStop
	if d.CloseIdleClients(); len(closed) != 1 {
		t.Error("never closed")
	}
}

// A client that leaves while it is idle releases its descriptor once.
func TestDescriptorReleasedOnce(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	d.AcquireClientDescriptor()
	p := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
	p.ReadBlocked(false)
	p.hasSentRequest = true
	p.Release()
	if d.EvictIdle(); d.budget.free != d.budget.total {
		t.Errorf("%d free of %d", d.budget.free, d.budget.total)
	}
}

// Clients that send one request and stay do not use up the descriptors.
func TestHasTooManyIdleClients(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: reservedDescriptors + minConnections})
	var clients []*Client
	for i := range 5 {
		p := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
		p.ReadBlocked(false)
		if i > 0 { // the first has sent no request yet
			p.ReadReady()
			p.RequestStarted()
			p.RequestFinished()
			p.ReadBlocked(false)
		}
		if clients = append(clients, p); d.HasTooManyIdleClients() != (i > minConnections/idleClientDivisor) {
			t.Errorf("crowded %v after %d", d.HasTooManyIdleClients(), i)
		}
	}
	clients[1].ReadReady()
	clients[2].Release()
	clients[3].ReadReady()
	if d.budget.idleAfterRequest != 1 || d.HasTooManyIdleClients() {
		t.Errorf("%d idle after a request", d.budget.idleAfterRequest)
	}
}

// Guards against a burst of new connections closing those of working clients right behind an answer, while the next request is on its way.
func TestNoEvictionRightAfterAnswer(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	closed := make(chan string, 1)
	p := d.AddClient(http1.NewConn(&closer{closed: closed}))
	p.ReadBlocked(false)
	p.ReadReady()
	p.RequestStarted()
	p.RequestFinished()
	p.ReadBlocked(false)
	p.idleSince = d.now()
	if d.EvictIdle(); len(closed) > 0 {
		t.Error("closed right after its answer")
	}
	p.idleSince -= 2 * nextRequestGrace
	if d.EvictIdle(); len(closed) != 1 {
		t.Error("never closed")
	}
}
