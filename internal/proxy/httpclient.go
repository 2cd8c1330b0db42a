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
	// idleTimeout is how long a client's connection may stay idle between requests. Clients that send one request and keep the connection
	// open would use up the connections that other clients need.
	idleTimeout = 2100 * time.Millisecond
	// requestTimeout is how long a request may take to be received completely. The time of the first request starts when its connection is
	// accepted. The platform requires an answer or a close within 3 s of the connect.
	requestTimeout = 2 * time.Second
	answerTimeout  = 2 * time.Second        // for a client to receive its answer
	lingerDuration = 300 * time.Millisecond // for a client to read its last answer before the close
	maxLingerBytes = 256 << 10              // read and discarded during lingerDuration
)

var errAnswerUnsent = errors.New("answer not written completely")

// serveHTTPConn serves a client's HTTP connection, one request at a time, until it closes. It runs on its own goroutine. The dispatcher
// observes the reads of the connection and may close it to free its descriptor, but not while a complete request is unanswered, nor after the
// first request while part of a request has been read.
func (s *Server) serveHTTPConn(tcp *net.TCPConn) {
	c := http1.NewConnWithBudget(tcp, s.dispatcher.MessageBudget())
	var req message.Request
	conn := &httpRequestConn{&httpClientConn{s, c}, &req}
	defer c.ReleaseBuffers()
	client := s.dispatcher.AddClient(c)
	c.ObserveReads(client)
	defer client.Release()
	defer tcp.Close()
	defer func() {
		if p := recover(); p != nil { // a panic must not terminate the connections of other clients
			s.logger.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("panic on a client connection")
			req.Close = true
			sendAnswer(conn, message.Answer{Status: 500})
		}
	}()
	readTimeout := min(s.longestClientTimeout(), requestTimeout) // the client of a request that takes longer would have disconnected
	firstRequestDeadline := time.Now().Add(requestTimeout)       // zero: the first request was received
	for {
		if err := awaitHTTPRequest(c, firstRequestDeadline, readTimeout); err != nil {
			return
		}
		receivedAt := time.Now()
		deadline := receivedAt.Add(readTimeout)
		if !firstRequestDeadline.IsZero() && firstRequestDeadline.Before(deadline) {
			deadline = firstRequestDeadline
		}
		firstRequestDeadline = time.Time{}
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
			client.ReadBlocked(false) // the dispatcher may close the connection to free its descriptor
			s.discardUnread(tcp)      // the client may send more before it has read that the connection closes
			client.ReadReady()
			return
		}
	}
}

// awaitHTTPRequest returns when the first bytes of a request have arrived. The first request must arrive by firstRequestDeadline, further
// requests within idleTimeout.
func awaitHTTPRequest(c *http1.Conn, firstRequestDeadline time.Time, readTimeout time.Duration) error {
	deadline := firstRequestDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(idleTimeout)
	}
	c.SetReadDeadline(deadline)
	err := c.AwaitMessage()
	if errors.Is(err, http1.ErrTimeout) && c.HasUnread() { // bytes arrived as the deadline passed
		c.SetReadDeadline(time.Now().Add(readTimeout))
		err = c.AwaitMessage()
	}
	return err
}

// serveHTTPRequest serves one request of a connection. If too many client connections are idle, its answer closes the connection, unless
// bytes of the next request have already arrived.
func (s *Server) serveHTTPRequest(conn *httpRequestConn, receivedAt time.Time) error {
	req := conn.request
	req.Close = req.Close || s.dispatcher.HasTooManyIdleClients() && !conn.conn.HasMore()
	if req.IsReadiness() {
		return sendAnswer(conn, message.Answer{Status: s.readiness()})
	}
	if s.disconnectWatcher(conn).IsDisconnectedBehindUnread() { // the client may have disconnected before the connection was accepted or the request was read
		return errClientDisconnected
	}
	return s.serveRequest(conn, req, receivedAt)
}

// rejectHTTP answers a request that was not received in time (408) or was rejected with a RequestError, and gives the client time to read the
// answer before the connection is closed. After other errors the client cannot receive an answer, and rejectHTTP does nothing.
func (s *Server) rejectHTTP(conn *httpRequestConn, err error) {
	var rejection *message.RequestError
	if errors.Is(err, http1.ErrTimeout) && !errors.Is(err, errAnswerUnsent) {
		rejection = &message.RequestError{Status: 408, Reason: "the request did not come to its end"}
	}
	if rejection == nil && !errors.As(err, &rejection) {
		return
	}
	s.logger.Warn().Str("client", conn.conn.RemoteAddr().String()).Int("status", rejection.Status).Str("why", rejection.Reason).Msg("request rejected")
	conn.request.Close = true
	sendAnswer(conn, message.Answer{Status: rejection.Status, Body: []byte(rejection.Reason + "\n")})
	s.discardUnread(conn.conn.Conn)
}

// discardUnread closes a connection for writing, and reads and discards further bytes for a while. A close with unread bytes would reset the
// connection, and the client would lose answers that it has not read yet.
func (s *Server) discardUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.CloseWrite()
		tcp.SetReadDeadline(time.Now().Add(lingerDuration + s.cfg.shutdownDelays.extraLinger))
		io.CopyN(io.Discard, tcp, maxLingerBytes)
	}
}
