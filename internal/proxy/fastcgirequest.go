package proxy

import (
	"errors"
	"net"
	"runtime/debug"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/message"
	"fernvane/internal/protocol/sockpeek"
)

// serveFastCGIRequest serves one request of a FastCGI connection, on the request's own goroutine.
func (s *Server) serveFastCGIRequest(c *fastcgi.ClientConn, r *fastcgi.Request) {
	conn := fastcgiRequestConn{c, r}
	defer func() {
		if p := recover(); p != nil { // a panic must not terminate the other requests of the connection
			s.logger.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("panic while serving a request")
			sendAnswer(conn, message.Answer{Status: 500})
		}
	}()
	if r.RequestError != nil {
		s.rejectFastCGI(conn, r.RequestError)
		return
	}
	var err error
	if r.Request.IsReadiness() {
		err = sendAnswer(conn, message.Answer{Status: s.readiness()})
	} else {
		err = s.serveRequest(conn, r.Request, r.StartedAt)
	}
	var rejection *message.RequestError
	switch {
	case errors.As(err, &rejection):
		s.rejectFastCGI(conn, rejection)
	case errors.Is(err, errClientDisconnected):
		c.EndAborted(r)
	}
}

func (s *Server) rejectFastCGI(conn fastcgiRequestConn, rejection *message.RequestError) {
	s.logger.Warn().Str("client", conn.ClientAddress()).Int("status", rejection.Status).Str("why", rejection.Reason).Msg("request rejected")
	sendAnswer(conn, message.Answer{Status: rejection.Status, Body: []byte(rejection.Reason + "\n")})
}

// fastcgiRequestConn is the clientConn of one request on a FastCGI connection.
type fastcgiRequestConn struct {
	conn    *fastcgi.ClientConn
	request *fastcgi.Request
}

func (c fastcgiRequestConn) AppendAnswer(b []byte, a message.Answer) []byte {
	return c.request.Append(b, a)
}

func (c fastcgiRequestConn) AnswerBuffer() []byte { return nil }

func (c fastcgiRequestConn) SendAnswer(answer []byte) error { return c.conn.Answer(c.request, answer) }

func (c fastcgiRequestConn) ClientAddress() string {
	host, _, _ := net.SplitHostPort(c.conn.RemoteAddr().String())
	return host
}

// IsDisconnected looks at the connection itself too, because the goroutine that reads it may be behind, or has ended after an invalid record.
func (c fastcgiRequestConn) IsDisconnected() bool {
	select {
	case <-c.request.Disconnected():
		return true
	default:
		return sockpeek.IsClosedByPeer(c.conn.Conn)
	}
}

// IsDisconnectedBehindUnread is the same as IsDisconnected, which sees a close behind unread bytes.
func (c fastcgiRequestConn) IsDisconnectedBehindUnread() bool { return c.IsDisconnected() }

func (c fastcgiRequestConn) WatchDisconnect(onDisconnect func()) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-c.request.Disconnected():
			onDisconnect()
		case <-done:
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}
