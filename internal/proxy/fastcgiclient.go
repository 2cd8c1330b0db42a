package proxy

import (
	"errors"
	"net"
	"sync"
	"time"

	"fernvane/internal/protocol/connclose"
	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/proxy/dispatch"
)

// fastcgiClientConn is a client's connection that speaks FastCGI. One goroutine reads requests from it, and each request is served on a
// goroutine of its own. Package connclose decides when it may end, so that no accepted request loses its answer to that.
type fastcgiClientConn struct {
	server   *Server
	tcp      *net.TCPConn
	conn     *fastcgi.ClientConn
	client   *dispatch.Client // its descriptor, which may be taken back while it is idle
	requests sync.WaitGroup   // that are being served

	mu             sync.Mutex
	lifecycle      connclose.Lifecycle
	firstRequestBy time.Time // deadline of the first request; zero: it was received
	partialSince   time.Time // when a record began to arrive that is not complete; zero: there is none
	readUntil      time.Time // when what still arrives is not read any more; zero: the connection is open for writing
}

// serveFastCGIConn serves a client's connection that speaks FastCGI until it ends.
func (s *Server) serveFastCGIConn(tcp *net.TCPConn) {
	conn := fastcgi.NewClientConn(tcp, s.dispatcher.MessageBudget())
	c := &fastcgiClientConn{server: s, tcp: tcp, conn: conn, client: s.dispatcher.AddClient(conn), firstRequestBy: time.Now().Add(requestTimeout)}
	defer c.client.Release()
	defer tcp.Close()
	defer conn.AbandonRequests()
	for {
		request, err := conn.NextRequest(c)
		if err != nil {
			if !errors.Is(err, fastcgi.ErrProtocol) {
				c.handle(connclose.Disconnected)
				return
			}
			c.RequestsRejected()
			c.requests.Wait() // accepted requests are answered all the same
			s.discardUnread(tcp)
			return
		}
		c.requestReceived()
		s.clientTasks.Go(func() error {
			defer c.requests.Done()
			s.serveFastCGIRequest(conn, request)
			c.requestAnswered()
			return nil
		})
	}
}

// handle passes an input to the lifecycle and carries out its effect on the connection.
func (c *fastcgiClientConn) handle(in connclose.Input) connclose.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handleLocked(in)
}

func (c *fastcgiClientConn) handleLocked(in connclose.Input) connclose.Effect {
	effect := c.lifecycle.Handle(in)
	if effect == connclose.CloseWrite {
		c.tcp.CloseWrite()
		c.readUntil = time.Now().Add(lingerDuration)
		c.tcp.SetReadDeadline(c.readUntil)
	}
	return effect
}

// RequestStarted decides on a request that begins to arrive.
func (c *fastcgiClientConn) RequestStarted(isLast bool) connclose.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.rejectsNewRequests.Load() && c.lifecycle.State() != connclose.Closed {
		return connclose.Reject
	}
	effect := c.handleLocked(connclose.RequestStarted)
	if effect == connclose.Admit && isLast {
		c.handleLocked(connclose.CloseRequested)
	}
	return effect
}

// RequestsRejected rejects all requests that are not complete, after one was rejected. The connection admits none any more and ends with the
// last answer.
func (c *fastcgiClientConn) RequestsRejected() {
	c.conn.RejectPartial()
	c.handle(connclose.IntakeStopped)
}

// RequestAborted notes that the client has aborted a request that was not complete.
func (c *fastcgiClientConn) RequestAborted() { c.handle(connclose.RequestAborted) }

func (c *fastcgiClientConn) requestReceived() {
	c.requests.Add(1)
	c.client.RequestStarted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstRequestBy = time.Time{}
	c.handleLocked(connclose.RequestReceived)
}

func (c *fastcgiClientConn) requestAnswered() {
	c.client.RequestFinished()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.isDraining.Load() {
		c.handleLocked(connclose.CloseRequested)
	}
	if c.handleLocked(connclose.RequestAnswered) == connclose.NoEffect && c.lifecycle.InFlight()+c.lifecycle.Receiving() == 0 {
		c.tcp.SetReadDeadline(time.Now().Add(idleTimeout))
	}
}
