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

// fastcgiClientConn is a client's FastCGI connection. One goroutine reads requests from it, and each request is served on its own goroutine.
// Package connclose decides when the connection may close, so that a close never discards the answer to an accepted request.
type fastcgiClientConn struct {
	server   *Server
	tcp      *net.TCPConn
	conn     *fastcgi.ClientConn
	client   *dispatch.Client // owns the descriptor, which the dispatcher may reclaim while the connection is idle
	requests sync.WaitGroup   // requests in progress

	mu                   sync.Mutex
	lifecycle            connclose.Lifecycle
	firstRequestDeadline time.Time // deadline to receive the first request; zero: it was received
	partialSince         time.Time // when the first bytes of an incomplete record arrived; zero: no incomplete record
	lingerDeadline       time.Time // end of the time to read and discard after CloseWrite; zero: still open for writing
}

// serveFastCGIConn serves a client's FastCGI connection until it closes.
func (s *Server) serveFastCGIConn(tcp *net.TCPConn) {
	conn := fastcgi.NewClientConn(tcp, s.dispatcher.MessageBudget())
	c := &fastcgiClientConn{server: s, tcp: tcp, conn: conn, client: s.dispatcher.AddClient(conn), firstRequestDeadline: time.Now().Add(requestTimeout)}
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
			c.awaitAnswers()
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

// awaitAnswers waits until all accepted requests are answered after the client has sent an invalid record. Nothing reads the connection any
// more, so it watches for the client's close meanwhile.
func (c *fastcgiClientConn) awaitAnswers() {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.conn.AwaitClose()
	}()
	c.requests.Wait()
	c.tcp.SetReadDeadline(pastDeadline)
	<-watched
}

// handle passes an input to the lifecycle and executes its effect on the connection.
func (c *fastcgiClientConn) handle(in connclose.Input) connclose.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.handleLocked(in)
}

func (c *fastcgiClientConn) handleLocked(in connclose.Input) connclose.Effect {
	effect := c.lifecycle.Handle(in)
	if effect == connclose.CloseWrite {
		c.tcp.CloseWrite()
		c.lingerDeadline = time.Now().Add(lingerDuration)
		c.tcp.SetReadDeadline(c.lingerDeadline)
	}
	return effect
}

// RequestStarted decides whether to admit a request whose first record arrives. isLast reports that the client wants the connection closed
// after it.
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

// RequestsRejected rejects all incomplete requests after one of them was rejected. The connection admits no more requests and closes after
// the last answer.
func (c *fastcgiClientConn) RequestsRejected() {
	c.conn.RejectPartial()
	c.handle(connclose.IntakeStopped)
}

// RequestAborted records that the client has aborted an incomplete request.
func (c *fastcgiClientConn) RequestAborted() { c.handle(connclose.RequestAborted) }

func (c *fastcgiClientConn) requestReceived() {
	c.requests.Add(1)
	c.client.RequestStarted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstRequestDeadline = time.Time{}
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
