package proxy

import (
	"errors"
	"io"
	"net"
	"runtime/debug"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

const (
	// idleTimeout is how long a client's connection may stay idle between requests. Clients that ask once and stay would use up the
	// connections that others need.
	idleTimeout = 2100 * time.Millisecond
	// requestTimeout is how long a request may take to be received whole, the first since its connection was accepted. The platform
	// expects an end by 3 s.
	requestTimeout = 2 * time.Second
	answerTimeout  = 2 * time.Second        // for a client to receive its answer
	lingerDuration = 300 * time.Millisecond // for a client to read its last answer before the close
	maxLingerBytes = 256 << 10              // that are read and dropped meanwhile
)

var errAnswerUnsent = errors.New("the answer could not be written")

// serveHTTPConn serves a client's connection that speaks HTTP, request by request, on a goroutine of its own until it ends. It may be
// closed from outside, for want of descriptors, only while nothing of it was read that is not dealt with: the dispatcher observes its
// reads for that.
func (s *Server) serveHTTPConn(tcp *net.TCPConn) {
	c := http1.NewPooled(tcp, s.dispatcher.MessageBudget())
	var req message.Request
	conn := &httpRequestConn{&httpClientConn{s, c}, &req}
	defer c.ReleaseBuffers()
	client := s.dispatcher.AddClient(c)
	c.ObserveReads(client)
	defer client.Release()
	defer tcp.Close()
	defer func() {
		if p := recover(); p != nil { // a fault of this program must not end the other clients' connections too
			s.logger.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("panic on a client connection")
			req.Close = true
			sendAnswer(conn, message.Answer{Status: 500})
		}
	}()
	readTimeout := min(s.longestAbandonTime(), requestTimeout) // a request that takes longer would find its client gone
	firstRequestBy := time.Now().Add(requestTimeout)           // zero: the first has been received
	for {
		if err := awaitHTTPRequest(c, firstRequestBy, readTimeout); err != nil {
			return
		}
		receivedAt := time.Now()
		deadline := receivedAt.Add(readTimeout)
		if !firstRequestBy.IsZero() && firstRequestBy.Before(deadline) {
			deadline = firstRequestBy
		}
		firstRequestBy = time.Time{}
		c.SetReadDeadline(deadline)
		if err := c.ReadRequest(&req); err != nil {
			s.rejectHTTP(conn, err)
			return
		}
		client.RequestStarted()
		c.SetReadDeadline(time.Time{})
		if err := s.serveHTTPRequest(conn, receivedAt); err != nil {
			s.rejectHTTP(conn, err)
			return
		}
		client.RequestFinished()
		if req.Close {
			client.ReadBlocked(false) // may be closed for want of descriptors
			s.discardUnread(tcp)      // the client may send more before it has read that this is the last answer
			client.ReadReady()
			return
		}
	}
}

// awaitHTTPRequest returns when a request has begun to arrive. The first has firstRequestBy as its deadline, others idleTimeout.
func awaitHTTPRequest(c *http1.Conn, firstRequestBy time.Time, readTimeout time.Duration) error {
	deadline := firstRequestBy
	if deadline.IsZero() {
		deadline = time.Now().Add(idleTimeout)
	}
	c.SetReadDeadline(deadline)
	err := c.AwaitMessage()
	if errors.Is(err, http1.ErrTimeout) && c.HasUnread() { // it arrived as the deadline passed
		c.SetReadDeadline(time.Now().Add(readTimeout))
		err = c.AwaitMessage()
	}
	return err
}

// serveHTTPRequest serves one request of a connection. Where too many clients' connections are idle, its answer ends this one.
func (s *Server) serveHTTPRequest(conn *httpRequestConn, receivedAt time.Time) error {
	req := conn.request
	req.Close = req.Close || s.dispatcher.HasTooManyIdleClients() && !conn.conn.HasMore()
	if req.IsReadiness() {
		return sendAnswer(conn, message.Answer{Status: s.readiness()})
	}
	if s.disconnectWatcher(conn).IsDisconnectedBehindUnread() { // while the request waited to be read, or its connection to be accepted
		return errClientDisconnected
	}
	return s.serveRequest(conn, req, receivedAt)
}

// rejectHTTP answers a request that could not be read or is malformed, where its client can still be told, and waits for the client to
// read the answer before the connection is closed.
func (s *Server) rejectHTTP(conn *httpRequestConn, err error) {
	var bad *message.RequestError
	if errors.Is(err, http1.ErrTimeout) && !errors.Is(err, errAnswerUnsent) {
		bad = &message.RequestError{Status: 408, Why: "the request did not come to its end"}
	}
	if bad == nil && !errors.As(err, &bad) {
		return
	}
	s.logger.Warn().Str("client", conn.conn.RemoteAddr().String()).Int("status", bad.Status).Str("why", bad.Why).Msg("request rejected")
	conn.request.Close = true
	sendAnswer(conn, message.Answer{Status: bad.Status, Body: []byte(bad.Why + "\n")})
	s.discardUnread(conn.conn.Conn)
}

// discardUnread ends the writing on a connection and reads on for a while. A close with unread bytes would be a reset, and the client
// would lose what it has not read of its answers.
func (s *Server) discardUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
		tcp.SetReadDeadline(time.Now().Add(lingerDuration + s.cfg.shutdownDelays.extraLinger))
		io.CopyN(io.Discard, tcp, maxLingerBytes)
	}
}
