package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/testbed/standin/connpair"
	"fernvane/policy"
)

// TestEvictionForClients checks that with all descriptors in use, AcquireClientDescriptor evicts an idle client connection and
// never a busy one.
func TestEvictionForClients(t *testing.T) {
	l := Limits{MemoryMB: 192, Sockets: reservedDescriptors + minConnections}
	for name, c := range map[string]struct {
		idleClients, idleServers int    // number of idle connections, of minConnections
		wantEvicted              string // empty if none
	}{
		"idle client":                       {2, 3, "client 0"},
		"no idle client, idle servers":      {0, 3, ""},
		"no idle client, free server share": {0, 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, l, loopbackEndpoint("a", 1))
			closed := make(chan string, minConnections)
			for i := range c.idleServers {
				if !d.AcquireServerDescriptor() {
					t.Fatal("no descriptor for a server")
				}
				d.PutIdle("a", false, http1.NewConn(&closer{name: fmt.Sprint("server ", i), closed: closed}))
			}
			var first *Client
			for i := range minConnections - 3 { // the remaining 3 are reserved for servers
				d.AcquireClientDescriptor()
				if client := d.AddClient(http1.NewConn(&closer{name: fmt.Sprint("client ", i), closed: closed})); i < c.idleClients {
					client.ReadBlocked(false)
					client.hasSentRequest = true
					if i == 0 {
						first = client
					}
				}
			}
			admitted := make(chan struct{})
			go func() {
				d.AcquireClientDescriptor()
				close(admitted)
			}()
			if c.wantEvicted == "" {
				d.ReleaseClientDescriptor() // a busy connection ends and frees its descriptor
			} else if got := <-closed; got != c.wantEvicted {
				t.Errorf("got %s evicted", got)
			}
			if first != nil {
				if first.ReadReady() {
					t.Error("ReadReady returned true for an evicted connection")
				}
				first.Release() // as the reader of the evicted connection does
			}
			<-admitted
			if len(closed) != 0 {
				t.Errorf("more connections evicted than necessary: %s", <-closed)
			}
		})
	}
}

// TestDescriptorFromClientThatBecomesIdle checks that AcquireClientDescriptor evicts a busy client as soon as it becomes idle,
// instead of waiting for a client to disconnect.
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

// TestEvictionWithPartialRequest checks that a client with part of its first request may be evicted after firstRequestGrace,
// and that one with part of a later request may not.
func TestEvictionWithPartialRequest(t *testing.T) {
	for name, c := range map[string]struct {
		hasSentRequest, isOld bool
		want                  bool // evicted
	}{
		"first request, new": {false, false, false},
		"first request, old": {false, true, true},
		"later request, old": {true, true, false},
		"later request, new": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			client := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
			if client.ReadBlocked(false); c.hasSentRequest {
				client.ReadReady()
				client.RequestStarted()
				client.RequestFinished()
				client.ReadBlocked(false)
			}
			client.ReadReady()
			if client.ReadBlocked(true); c.isOld {
				client.idleSince -= time.Minute
			}
			d.mu.Lock()
			got := d.evictIdleClient(firstRequestGrace)
			d.unlock()
			if got != c.want || client.ReadReady() == c.want {
				t.Errorf("got evicted %v, want connection usable %v", got, !c.want)
			}
		})
	}
}

// TestNoEvictionAfterRead checks that a connection is not evicted after its input has been read, even if its reader has not
// handled the input yet. After a pause, a node reads hundreds of requests at the same time while it accepts others.
func TestNoEvictionAfterRead(t *testing.T) {
	for name, hasSentRequest := range map[string]bool{"first request": false, "later request": true} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			near, far := connpair.TCP(t)
			c := http1.NewConnWithBudget(near, d.MessageBudget())
			client := d.AddClient(c)
			c.ObserveReads(client)
			client.ReadBlocked(false) // idle for a long time
			if client.hasSentRequest = hasSentRequest; client.ReadReady() {
				client.idleSince -= time.Minute
			}
			fmt.Fprint(far, "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n")
			if err := c.AwaitMessage(); err != nil {
				t.Fatal(err)
			}
			d.mu.Lock() // the reader has read the input and has not handled it
			got := d.evictIdleClient(firstRequestGrace)
			d.unlock()
			var req http1.Request
			if err := c.ReadRequest(&req); got || err != nil {
				t.Errorf("got evicted %v, read error %v", got, err)
			}
		})
	}
}

// peekCounter is a connection with unread input that counts the calls of HasUnread and Close.
type peekCounter struct{ peeks, closed int }

func (c *peekCounter) Close() error { c.closed++; return nil }

func (c *peekCounter) HasUnread() bool { c.peeks++; return true }

// TestEvictionPeeksOncePerWait checks that a connection with unread input is peeked once per wait of its reader. After a pause,
// a node has hundreds of such connections, and peeking all of them for each new connection would prevent it from recovering.
func TestEvictionPeeksOncePerWait(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	conn := &peekCounter{}
	client := d.AddClient(conn)
	for wait := 1; wait <= 2; wait++ {
		client.ReadBlocked(false)
		client.idleSince -= time.Minute
		for range 3 {
			d.EvictIdle()
		}
		if conn.peeks != wait || conn.closed > 0 || !client.ReadReady() {
			t.Errorf("got %d peeks in %d waits, closed %d times, want one peek per wait and no close", conn.peeks, wait, conn.closed)
		}
	}
}

// TestEvictionWithConcurrentRequests checks that a connection with concurrent requests may be evicted only while its reader
// waits, no request is open and no later request has arrived in part, in any order of responses and requests.
func TestEvictionWithConcurrentRequests(t *testing.T) {
	wait, partial, arrived, started, finished := "reader waits", "partial request", "input arrived", "request started", "request finished"
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
		"next request before the response":    {[]string{wait, arrived, started, wait, arrived, started, finished, wait}, false},
		"next request before the last finish": {[]string{wait, arrived, started, wait, arrived, started, wait, finished}, false},
		"both requests finished":              {[]string{wait, arrived, started, wait, arrived, started, wait, finished, finished}, true},
		"later request in part":               {[]string{wait, arrived, started, wait, finished, arrived, partial}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(t, policy.Idempotent, limits)
			client := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
			for _, step := range c.steps {
				switch step {
				case wait, partial:
					client.ReadBlocked(step == partial)
				case arrived:
					client.ReadReady()
				case started:
					client.RequestStarted()
				case finished:
					client.RequestFinished()
				}
			}
			client.idleSince -= time.Minute
			d.mu.Lock()
			got := d.evictIdleClient(firstRequestGrace)
			d.unlock()
			if got != c.want || client.ReadReady() == c.want {
				t.Errorf("got evicted %v", got)
			}
		})
	}
}

// TestCloseIdleClientsSparesNewOnes checks that during shutdown a new client has firstRequestGraceAtStop for its first request,
// which is longer than firstRequestGrace.
func TestCloseIdleClientsSparesNewOnes(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	closed := make(chan string, 2)
	client := d.AddClient(http1.NewConn(&closer{closed: closed}))
	client.ReadBlocked(false)
	client.idleSince -= 5 * firstRequestGrace
	if d.CloseIdleClients(); len(closed) > 0 {
		t.Error("new connection closed before firstRequestGraceAtStop")
	}
	client.idleSince -= firstRequestGraceAtStop
	if d.CloseIdleClients(); len(closed) != 1 {
		t.Error("connection not closed after firstRequestGraceAtStop")
	}
}

// TestDescriptorReleasedOnce checks that a client that disconnects while it is idle releases its descriptor once.
func TestDescriptorReleasedOnce(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	d.AcquireClientDescriptor()
	client := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
	client.ReadBlocked(false)
	client.hasSentRequest = true
	client.Release()
	if d.EvictIdle(); d.budget.free != d.budget.total {
		t.Errorf("got %d free descriptors of %d, want all", d.budget.free, d.budget.total)
	}
}

// TestHasTooManyIdleClients checks that clients that send one request and stay connected do not use up the descriptors.
func TestHasTooManyIdleClients(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, Limits{MemoryMB: 192, Sockets: reservedDescriptors + minConnections})
	var clients []*Client
	for i := range 5 {
		client := d.AddClient(http1.NewConn(&closer{closed: make(chan string, 1)}))
		client.ReadBlocked(false)
		if i > 0 { // the first client has sent no request
			client.ReadReady()
			client.RequestStarted()
			client.RequestFinished()
			client.ReadBlocked(false)
		}
		if clients = append(clients, client); d.HasTooManyIdleClients() != (i > minConnections/idleClientDivisor) {
			t.Errorf("got HasTooManyIdleClients %v with %d connections idle after a request", d.HasTooManyIdleClients(), i)
		}
	}
	clients[1].ReadReady()
	clients[2].Release()
	clients[3].ReadReady()
	if d.budget.idleAfterRequest != 1 || d.HasTooManyIdleClients() {
		t.Errorf("got %d connections idle after a request, want 1", d.budget.idleAfterRequest)
	}
}

// TestNoEvictionRightAfterResponse checks that a burst of new connections does not evict active clients directly after a response,
// while their next request is in transit.
func TestNoEvictionRightAfterResponse(t *testing.T) {
	d := newTestDispatcher(t, policy.Idempotent, limits)
	closed := make(chan string, 1)
	client := d.AddClient(http1.NewConn(&closer{closed: closed}))
	client.ReadBlocked(false)
	client.ReadReady()
	client.RequestStarted()
	client.RequestFinished()
	client.ReadBlocked(false)
	client.idleSince = d.now()
	if d.EvictIdle(); len(closed) > 0 {
		t.Error("connection closed within nextRequestGrace after a response")
	}
	client.idleSince -= 2 * nextRequestGrace
	if d.EvictIdle(); len(closed) != 1 {
		t.Error("connection not closed after nextRequestGrace")
	}
}
