package server

import (
	"time"

	"fernvane/internal/protocol/connclose"
	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/protocol/sockpeek"
	"fernvane/internal/testbed/standin/link"
)

// peer is the caller of a request, in either protocol.
type peer interface {
	// answer writes a response and reports whether the connection can be used again.
	answer(message.Answer) bool
	encode(message.Answer) []byte
	// garbled returns one of several malformed forms of a response, chosen by request ID.
	garbled(id uint64, a message.Answer) []byte
	writeRaw([]byte)
	// disconnected waits until the caller disconnects or aborts and reports whether it did before the read deadline.
	disconnected() bool
	setReadDeadline(until time.Time)
	reset()
	state() *connState
}

type httpPeer struct {
	nc   *link.Conn
	c    *http1.Conn
	conn *connState
}

func (p httpPeer) encode(a message.Answer) []byte  { return http1.AppendAnswer(nil, a) }
func (p httpPeer) writeRaw(b []byte)               { p.c.Write(b) }
func (p httpPeer) setReadDeadline(until time.Time) { p.c.SetReadDeadline(until) }
func (p httpPeer) disconnected() bool              { return p.c.WaitDisconnected() }
func (p httpPeer) reset()                          { p.nc.Reset() }
func (p httpPeer) state() *connState               { return p.conn }

func (p httpPeer) answer(a message.Answer) bool {
	isComplete, _ := p.c.Send(p.encode(a))
	return isComplete
}

func (p httpPeer) garbled(id uint64, a message.Answer) []byte {
	switch id >> 8 % 4 {
	case 0:
		return []byte("\x00\x01 what? \xff\xfe\r\n\r\n")
	case 1: // a header without end
		return append([]byte("HTTP/1.1 200 OK\r\nX: "), filler...)
	case 2: // a longer body than the message carries
		return append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), a.Body...)
	}
	return append([]byte("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"), a.Body...)
}

type fastCGIPeer struct {
	nc   *link.Conn
	f    *fastcgi.ClientConn
	c    *fastcgi.Request
	conn *connState
}

func (p fastCGIPeer) encode(a message.Answer) []byte  { return p.c.Append(nil, a) }
func (p fastCGIPeer) writeRaw(b []byte)               { p.nc.Write(b) }
func (p fastCGIPeer) setReadDeadline(until time.Time) { p.nc.SetReadDeadline(until) }
func (p fastCGIPeer) reset()                          { p.nc.Reset() }
func (p fastCGIPeer) state() *connState               { return p.conn }
func (p fastCGIPeer) answer(a message.Answer) bool    { return p.f.Answer(p.c, p.encode(a)) == nil }

// disconnected treats any further input as the end of the request: an abort or a close.
func (p fastCGIPeer) disconnected() bool {
	_, err := sockpeek.Peek(p.nc, true)
	return err == nil
}

func (p fastCGIPeer) garbled(id uint64, a message.Answer) []byte {
	switch full := p.encode(a); id >> 8 % 4 {
	case 0:
		return []byte("\x00\x01 what? \xff\xfe\r\n\r\n")
	case 1: // a record with the ID of another request
		full[3] ^= 0x55
		return full
	case 2: // the end record before the stated length of the body
		a.Body = append(a.Body, "more"...)
		long := p.encode(a)
		return append(long[:len(long)-24-8], full[len(full)-16:]...)
	default: // a record whose length exceeds the data
		full[4] = 0xff
		return full
	}
}

// fastCGIHandler limits the time to read each part of a request.
type fastCGIHandler struct{ nc *link.Conn }

func (h fastCGIHandler) AwaitReadable(bool) error {
	return h.nc.SetReadDeadline(time.Now().Add(maxIdle))
}

func (fastCGIHandler) RequestStarted(bool) connclose.Effect { return connclose.Admit }
func (fastCGIHandler) RequestsRejected()                    {}
func (fastCGIHandler) RequestAborted()                      {}

// serveFastCGI serves a FastCGI connection, one request at a time.
func (s *Server) serveFastCGI(nc *link.Conn, latency time.Duration, full bool) {
	f := fastcgi.NewClientConn(nc, nil)
	defer f.AbandonRequests()
	conn := &connState{}
	defer conn.copies.Wait()
	last := uint64(0) // ID of the last request on the connection
	for fresh := true; ; fresh = false {
		idle := s.now()
		call, err := f.NextRequest(fastCGIHandler{nc})
		s.idle(last, idle)
		if err != nil {
			return
		}
		p := fastCGIPeer{nc, f, call, conn}
		if call.RequestError != nil {
			p.answer(message.Answer{Status: call.RequestError.Status})
			return
		}
		last = idOf(call.Request)
		received := nc.Received().Sub(s.start)
		if !s.serveRequest(p, call.Request, received, received, latency, fresh, full) || full {
			return
		}
	}
}
