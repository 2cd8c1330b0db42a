package proxy

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"fernvane/internal/protocol/connclose"
	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/proxy/dispatch"
)

// cgiClient leads one client's connection that speaks FastCGI. Requests share it: each is led by itself. When it may end
// is decided in ends: nothing that was taken loses its answer to it.
func (s *Server) serveFastCGIConn(tcp *net.TCPConn) {
	f := fastcgi.NewClientConn(tcp, s.dispatcher.MessageBudget())
	c := &fastcgiClientConn{server: s, tcp: tcp, conn: f, client: s.dispatcher.AddClient(f), firstRequestBy: time.Now().Add(requestTimeout)}
	defer c.client.Release()
	defer tcp.Close()
	defer f.Hangup()
	for {
		call, err := f.Next(c)
		if err != nil {
			if !errors.Is(err, fastcgi.ErrPeer) {
				c.handle(connclose.Disconnected)
				return
			}
			c.Refused()
			c.requests.Wait() // what was taken is answered all the same
			s.discardUnread(tcp)
			return
		}
		c.requestReceived()
		s.clientTasks.Go(func() error {
			defer c.requests.Done()
			s.serveFastCGIRequest(f, call)
			c.requestAnswered()
			return nil
		})
	}
}

// cgiConn is a client's connection that speaks FastCGI.
type fastcgiClientConn struct {
	server   *Server
	tcp      *net.TCPConn
	conn     *fastcgi.ClientConn
	client   *dispatch.Client
	requests sync.WaitGroup

	mu             sync.Mutex
	lifecycle      connclose.Lifecycle
	firstRequestBy time.Time // when the first request must have come; zero: it has
	partialSince   time.Time // when a record began to come that is not whole
	readUntil      time.Time // when nothing that still comes is read any more, once it has ended
}

// step has ends decide, and does what is to be done with the connection.
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

// Begun says what becomes of a request that begins to come.
func (c *fastcgiClientConn) Begun(last bool) connclose.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.rejectsNewRequests.Load() && c.lifecycle.State() != connclose.Closed {
		return connclose.Reject
	}
	effect := c.handleLocked(connclose.RequestStarted)
	if effect == connclose.Admit && last {
		c.handleLocked(connclose.CloseRequested)
	}
	return effect
}

// Refused comes behind the word that a request never ran; where that was the last to be said, the connection ends.
func (c *fastcgiClientConn) Refused() {
	c.conn.RefuseComing()
	c.handle(connclose.IntakeStopped)
}

func (c *fastcgiClientConn) requestReceived() {
	c.requests.Add(1)
	c.client.RequestStarted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstRequestBy = time.Time{}
	c.handleLocked(connclose.RequestReceived)
}

// Failed tells that a request was aborted on its way.
func (c *fastcgiClientConn) Failed() { c.handle(connclose.RequestAborted) }

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

// Wait returns when something has come that will be read. Until then the connection may be closed for room.
func (c *fastcgiClientConn) Wait(half bool) error {
	for {
		c.setReadDeadline(half)
		err := c.conn.Await()
		if !c.client.ReadReady() {
			return net.ErrClosed
		}
		late := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil, late && c.conn.HasUnread(): // it may have crossed the end of the time, which must not end the reading
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.readUntil.IsZero() {
				c.tcp.SetReadDeadline(time.Time{})
			}
			return nil
		case !late, c.handleTimeout(half):
			return err
		}
	}
}

// until sets the time for what comes next: an idle connection and a request that is on its way have their ends, one on
// which only answers are waited for has none.
func (c *fastcgiClientConn) setReadDeadline(half bool) {
	oldest := c.conn.Oldest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !half {
		c.partialSince = time.Time{}
	} else if c.partialSince.IsZero() {
		c.partialSince = time.Now()
	}
	if oldest.IsZero() || half && c.partialSince.Before(oldest) {
		oldest = c.partialSince
	}
	switch {
	case !c.readUntil.IsZero():
		c.tcp.SetReadDeadline(c.readUntil)
		return
	case c.lifecycle.State() == connclose.Draining: // what is on its way was told so
		c.tcp.SetReadDeadline(time.Time{})
	case !oldest.IsZero():
		by := oldest.Add(requestTimeout)
		if !c.firstRequestBy.IsZero() && c.firstRequestBy.Before(by) {
			by = c.firstRequestBy
		}
		c.tcp.SetReadDeadline(by)
	case c.lifecycle.InFlight() > 0:
		c.tcp.SetReadDeadline(time.Time{})
	case !c.firstRequestBy.IsZero():
		c.tcp.SetReadDeadline(c.firstRequestBy)
	default:
		c.tcp.SetReadDeadline(time.Now().Add(idleTimeout))
	}
	c.client.ReadBlocked(!oldest.IsZero())
}

// late deals with a time that is over, and tells whether nothing more is to be read.
func (c *fastcgiClientConn) handleTimeout(half bool) bool {
	c.mu.Lock()
	over, stalled := !c.readUntil.IsZero(), c.lifecycle.Receiving() > 0 || half
	if !over && !stalled {
		c.handleLocked(connclose.IdleTimeout)
	}
	c.mu.Unlock()
	if over {
		return true
	}
	if stalled { // others on the connection are not to suffer for it
		c.Refused()
	}
	return false
}
