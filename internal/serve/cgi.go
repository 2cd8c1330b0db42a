package serve

import (
	"errors"
	"net"
	"runtime/debug"
	"time"

	"fernvane/internal/fastcgi"
	"fernvane/internal/fleet"
	"fernvane/internal/message"
)

// cgiClient leads one client's connection that speaks FastCGI. Requests share it: each is led by itself, and the
// connection is idle while none is open.
func (s *Server) cgiClient(nc *net.TCPConn) {
	f := fastcgi.NewFront(nc, s.fleet.Pool())
	place := s.fleet.Client(f)
	defer place.Vacate()
	defer nc.Close()
	defer f.Hangup()
	first := time.Now().Add(requestMost)
	// set gives the next record its time: an idle connection and a request that is on its way have their ends, one on
	// which answers are waited for has none.
	set := func() {
		coming, running, oldest := f.Open()
		switch {
		case coming > 0:
			place.Begun()
			nc.SetReadDeadline(oldest.Add(requestMost))
		case running > 0:
			nc.SetReadDeadline(time.Time{})
		case !first.IsZero():
			nc.SetReadDeadline(first)
		default:
			nc.SetReadDeadline(time.Now().Add(idleMost))
		}
	}
	place.Idle()
	for {
		call, err := f.Next(set)
		if err != nil {
			return
		}
		if !first.IsZero() { // once, before any that reads it beside this one
			first = time.Time{}
		}
		if !place.Busy() {
			return
		}
		s.clients.Go(func() error {
			s.call(f, call)
			if coming, running, _ := f.Open(); coming+running == 0 {
				place.Idle()
				set()
				if s.draining.Load() {
					nc.Close()
				}
			}
			return nil
		})
	}
}

// call leads one request to its answer.
func (s *Server) call(f *fastcgi.Front, c *fastcgi.Call) {
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
		err = s.answer(front, message.Answer{Status: 200})
	} else {
		err = s.operation(front, c.Request, c.Came)
	}
	var bad *message.Malformed
	switch {
	case errors.As(err, &bad):
		s.rejectCall(front, bad)
	case errors.Is(err, errLeft):
		f.End(c)
	}
}

func (s *Server) rejectCall(f cgiFront, bad *message.Malformed) {
	s.log.Warn().Str("client", f.From()).Int("status", bad.Status).Str("why", bad.Why).Msg("request rejected")
	s.answer(f, message.Answer{Status: bad.Status, Body: []byte(bad.Why + "\n")})
}

// cgiFront is one request on a client's connection that speaks FastCGI.
type cgiFront struct {
	f *fastcgi.Front
	c *fastcgi.Call
}

func (f cgiFront) Append(b []byte, a message.Answer) []byte { return f.c.Append(b, a) }
func (f cgiFront) Scratch() []byte                          { return nil }
func (f cgiFront) Send(answer []byte) error                 { return f.f.Answer(f.c, answer) }

func (f cgiFront) From() string {
	from, _, _ := net.SplitHostPort(f.f.RemoteAddr().String())
	return from
}

func (f cgiFront) Watch(op *fleet.Operation) (end func()) {
	done, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		select {
		case <-f.c.Left():
			op.Left()
		case <-done:
		}
	}()
	return func() {
		close(done)
		<-over
	}
}
