package proxy

import (
	"errors"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"fernvane/internal/protocol/connclose"
	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// cgiClient leads one client's connection that speaks FastCGI. Requests share it: each is led by itself. When it may end
// is decided in ends: nothing that was taken loses its answer to it.
func (s *Server) cgiClient(nc *net.TCPConn) {
	f := fastcgi.NewClientConn(nc, s.fleet.MessageBudget())
	c := &cgiConn{s: s, nc: nc, f: f, place: s.fleet.AddClient(f), first: time.Now().Add(requestMost)}
	defer c.place.Release()
	defer nc.Close()
	defer f.Hangup()
	for {
		call, err := f.Next(c)
		if err != nil {
			if !errors.Is(err, fastcgi.ErrPeer) {
				c.step(connclose.Disconnected)
				return
			}
			c.Refused()
			c.calls.Wait() // what was taken is answered all the same
			s.discard(nc)
			return
		}
		c.took()
		s.clients.Go(func() error {
			defer c.calls.Done()
			s.call(f, call)
			c.answered()
			return nil
		})
	}
}

// cgiConn is a client's connection that speaks FastCGI.
type cgiConn struct {
	s     *Server
	nc    *net.TCPConn
	f     *fastcgi.ClientConn
	place *dispatch.Client
	calls sync.WaitGroup

	mu    sync.Mutex
	life  connclose.Lifecycle
	first time.Time // when the first request must have come; zero: it has
	half  time.Time // when a record began to come that is not whole
	ended time.Time // when nothing that still comes is read any more, once it has ended
}

// step has ends decide, and does what is to be done with the connection.
func (c *cgiConn) step(in connclose.Input) connclose.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next(in)
}

func (c *cgiConn) next(in connclose.Input) connclose.Effect {
	effect := c.life.Handle(in)
	if effect == connclose.CloseWrite {
		c.nc.CloseWrite()
		c.ended = time.Now().Add(lingerMost)
		c.nc.SetReadDeadline(c.ended)
	}
	return effect
}

// Begun says what becomes of a request that begins to come.
func (c *cgiConn) Begun(last bool) connclose.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.s.late.Load() && c.life.State() != connclose.Closed {
		return connclose.Reject
	}
	effect := c.next(connclose.RequestStarted)
	if effect == connclose.Admit && last {
		c.next(connclose.CloseRequested)
	}
	return effect
}

// Refused comes behind the word that a request never ran; where that was the last to be said, the connection ends.
func (c *cgiConn) Refused() {
	c.f.RefuseComing()
	c.step(connclose.IntakeStopped)
}

func (c *cgiConn) took() {
	c.calls.Add(1)
	c.place.RequestStarted()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.first = time.Time{}
	c.next(connclose.RequestReceived)
}

// Failed tells that a request was aborted on its way.
func (c *cgiConn) Failed() { c.step(connclose.RequestAborted) }

func (c *cgiConn) answered() {
	c.place.RequestFinished()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.s.draining.Load() {
		c.next(connclose.CloseRequested)
	}
	if c.next(connclose.RequestAnswered) == connclose.NoEffect && c.life.InFlight()+c.life.Receiving() == 0 {
		c.nc.SetReadDeadline(time.Now().Add(idleMost))
	}
}

// Wait returns when something has come that will be read. Until then the connection may be closed for room.
func (c *cgiConn) Wait(half bool) error {
	for {
		c.until(half)
		err := c.f.Await()
		if !c.place.ReadReady() {
			return net.ErrClosed
		}
		late := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil, late && c.f.HasUnread(): // it may have crossed the end of the time, which must not end the reading
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.ended.IsZero() {
				c.nc.SetReadDeadline(time.Time{})
			}
			return nil
		case !late, c.late(half):
			return err
		}
	}
}

// until sets the time for what comes next: an idle connection and a request that is on its way have their ends, one on
// which only answers are waited for has none.
func (c *cgiConn) until(half bool) {
	oldest := c.f.Oldest()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !half {
		c.half = time.Time{}
	} else if c.half.IsZero() {
		c.half = time.Now()
	}
	if oldest.IsZero() || half && c.half.Before(oldest) {
		oldest = c.half
	}
	switch {
	case !c.ended.IsZero():
		c.nc.SetReadDeadline(c.ended)
		return
	case c.life.State() == connclose.Draining: // what is on its way was told so
		c.nc.SetReadDeadline(time.Time{})
	case !oldest.IsZero():
		by := oldest.Add(requestMost)
		if !c.first.IsZero() && c.first.Before(by) {
			by = c.first
		}
		c.nc.SetReadDeadline(by)
	case c.life.InFlight() > 0:
		c.nc.SetReadDeadline(time.Time{})
	case !c.first.IsZero():
		c.nc.SetReadDeadline(c.first)
	default:
		c.nc.SetReadDeadline(time.Now().Add(idleMost))
	}
	c.place.ReadBlocked(!oldest.IsZero())
}

// late deals with a time that is over, and tells whether nothing more is to be read.
func (c *cgiConn) late(half bool) bool {
	c.mu.Lock()
	over, stalled := !c.ended.IsZero(), c.life.Receiving() > 0 || half
	if !over && !stalled {
		c.next(connclose.IdleTimeout)
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

// call leads one request to its answer.
func (s *Server) call(f *fastcgi.ClientConn, c *fastcgi.Request) {
	front := cgiFront{f, c}
	defer func() {
		if p := recover(); p != nil { // a fault of this program must not take the other requests with it
			s.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("request dropped")
			s.answer(front, message.Answer{Status: 500})
		}
	}()
	if c.Bad != nil {
		s.rejectCall(front, c.Bad)
		return
	}
	var err error
	if c.Request.IsReadiness() {
		err = s.answer(front, message.Answer{Status: s.readiness()})
	} else {
		err = s.operation(front, c.Request, c.Came)
	}
	var bad *message.RequestError
	switch {
	case errors.As(err, &bad):
		s.rejectCall(front, bad)
	case errors.Is(err, errLeft):
		f.End(c)
	}
}

func (s *Server) rejectCall(f cgiFront, bad *message.RequestError) {
	s.log.Warn().Str("client", f.From()).Int("status", bad.Status).Str("why", bad.Why).Msg("request rejected")
	s.answer(f, message.Answer{Status: bad.Status, Body: []byte(bad.Why + "\n")})
}

// cgiFront is one request on a client's connection that speaks FastCGI.
type cgiFront struct {
	f *fastcgi.ClientConn
	c *fastcgi.Request
}

func (f cgiFront) Append(b []byte, a message.Answer) []byte { return f.c.Append(b, a) }
func (f cgiFront) Scratch() []byte                          { return nil }
func (f cgiFront) Send(answer []byte) error                 { return f.f.Answer(f.c, answer) }

func (f cgiFront) From() string {
	from, _, _ := net.SplitHostPort(f.f.RemoteAddr().String())
	return from
}

func (f cgiFront) Parting() bool {
	select {
	case <-f.c.Disconnected():
		return true
	default:
		return false
	}
}

func (f cgiFront) Watch(op *dispatch.Request) (end func()) {
	done, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		select {
		case <-f.c.Disconnected():
			op.ClientDisconnected()
		case <-done:
		}
	}()
	return func() {
		close(done)
		<-over
	}
}
