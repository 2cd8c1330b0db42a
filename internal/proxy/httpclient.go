package proxy

import (
	"errors"
	"io"
	"net"
	"runtime/debug"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

const (
	idleTimeout      = 2100 * time.Millisecond // between requests; clients that ask once and stay take others' connections
	requestTimeout   = 2 * time.Second         // for a request to come whole, the first since the connection; an end is owed by 3 s
	answerTimeout    = 2 * time.Second         // for a client to take its answer
	lingerDuration   = 300 * time.Millisecond  // for a client to see why it is not served, before the close
	maxLingerBytes   = 256 << 10               // likewise
	firstListTimeout = 3 * time.Second         // for a first list, until a node without one is ready all the same; 6 s are allowed
)

var errAnswerUnsent = errors.New("the answer could not be written")

// client leads one client's connection, request by request.
func (s *Server) serveHTTPConn(nc *net.TCPConn) {
	c := http1.NewPooled(nc, s.dispatcher.MessageBudget())
	f := httpClientConn{s, c}
	defer c.ReleaseBuffers()
	place := s.dispatcher.AddClient(c)
	c.ObserveReads(place) // it may be closed for room only while nothing of it was read that is not dealt with
	defer place.Release()
	defer nc.Close()
	defer func() {
		if p := recover(); p != nil { // a fault of this program must not take the other clients with it
			s.logger.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("connection dropped")
			s.sendAnswer(f, message.Answer{Status: 500, Close: true})
		}
	}()
	stall := min(s.longestAbandonTime(), requestTimeout) // a request that takes longer to come would find its client gone
	var req http1.Request
	first := time.Now().Add(requestTimeout)
	for {
		by := first
		if by.IsZero() {
			by = time.Now().Add(idleTimeout)
		}
		nc.SetReadDeadline(by)
		err := c.AwaitMessage()
		if errors.Is(err, http1.ErrTimeout) && c.HasUnread() { // it crossed the end of the time
			nc.SetReadDeadline(time.Now().Add(stall))
			err = c.AwaitMessage()
		}
		if err != nil {
			return
		}
		came := time.Now()
		if by = came.Add(stall); !first.IsZero() && first.Before(by) {
			by = first
		}
		first = time.Time{}
		nc.SetReadDeadline(by)
		if err = c.ReadRequest(&req); err != nil {
			s.rejectHTTP(f, err)
			return
		}
		place.RequestStarted()
		nc.SetReadDeadline(time.Time{})
		req.Close = req.Close || s.dispatcher.HasTooManyIdleClients() && !c.HasMore()
		if req.IsReadiness() {
			err = s.sendAnswer(f, message.Answer{Status: s.readiness(), Close: req.Close})
		} else if c.Disconnected() && !s.cfg.Deaf { // behind its request, which waited here or before it was accepted
			return
		} else {
			err = s.serveRequest(f, &req, came)
		}
		if err != nil {
			s.rejectHTTP(f, err)
			return
		}
		place.RequestFinished()
		if req.Close || s.isDraining.Load() || c.Overflowed() {
			if c.HasMore() { // the client has sent on before it could read that this is the last answer
				s.discard(nc)
			}
			return
		}
	}
}

// readiness is the status that tells whether clients should be led here. A node that knows of no server would turn them all
// away while others can serve them; it waits for its list, but not for long, for discovery may be crowded or away.
func (s *Server) readiness() int {
	if s.isDraining.Load() || time.Since(s.startedAt) > firstListTimeout || s.dispatcher.IsReady() {
		return 200
	}
	return 503
}

// httpFront is a client's connection that speaks HTTP.
type httpClientConn struct {
	server *Server
	conn   *http1.Conn
}

func (f httpClientConn) AppendAnswer(b []byte, a message.Answer) []byte {
	return http1.AppendAnswer(b, a)
}
func (f httpClientConn) AnswerBuffer() []byte { return f.conn.Scratch() }

func (f httpClientConn) SendAnswer(answer []byte) error {
	f.conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	if whole, err := f.conn.Send(answer); !whole {
		return errors.Join(errAnswerUnsent, err)
	}
	return nil
}

func (f httpClientConn) ClientAddress() string {
	from, _, _ := net.SplitHostPort(f.conn.RemoteAddr().String())
	return from
}

// reject tells the client why its request is not taken, where that is of use, and sees to it that the
// answer is not lost in the close.
func (s *Server) rejectHTTP(f httpClientConn, err error) {
	c := f.conn
	var bad *http1.Malformed
	if errors.Is(err, http1.ErrTimeout) && !errors.Is(err, errAnswerUnsent) {
		bad = &http1.Malformed{Status: 408, Why: "the request did not come to its end"}
	}
	if bad == nil && !errors.As(err, &bad) {
		return
	}
	s.logger.Warn().Str("client", c.RemoteAddr().String()).Int("status", bad.Status).Str("why", bad.Why).Msg("request rejected")
	s.sendAnswer(f, message.Answer{Status: bad.Status, Body: []byte(bad.Why + "\n"), Close: true})
	s.discard(c.Conn)
}

// discard says that nothing more is written, and reads on for a while: a close with something unread would be a reset,
// which takes with it what the client has not read yet of its answers.
func (s *Server) discard(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
		tcp.SetReadDeadline(time.Now().Add(lingerDuration + s.cfg.shutdownDelays.extraLinger))
		io.CopyN(io.Discard, tcp, maxLingerBytes)
	}
}

func (f httpClientConn) IsDisconnected() bool { return f.conn.PeekDisconnected() }

func (f httpClientConn) WatchDisconnect(op *dispatch.Request) (end func()) {
	c := f.conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c.WaitDisconnected() {
			op.ClientDisconnected()
		}
	}()
	return func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.SetReadDeadline(time.Time{})
	}
}
