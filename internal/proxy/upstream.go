package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

const maxLoggedTextBytes = 300 // of the standard error of a FastCGI server, per log line

// pastDeadline is a deadline in the past, which immediately ends pending reads and writes of a connection.
var pastDeadline = time.Unix(1, 0)

// upstreamConn is a connection to a server, in the protocol of the server. One attempt at a time uses it.
type upstreamConn interface {
	dispatch.ServerConn
	SetDeadline(time.Time) error
	// IsIdle reports whether the connection is open and has no received bytes.
	IsIdle() bool
	// ReleaseBuffers releases the memory of a large message. The last response is invalid afterwards.
	ReleaseBuffers()
	// SendRequest writes a request, with its remaining time and the client's address. isWritten is false if the last byte was not
	// written: the server cannot have executed the request then.
	SendRequest(r *message.Request, remaining time.Duration, clientAddress string) (isWritten bool, err error)
	// ReceiveResponse reads the complete response. It returns message.ErrMalformedResponse if the response cannot be parsed.
	ReceiveResponse(r *message.Response) error
	// IsReusable reports whether another request may be sent on the connection after this complete response.
	IsReusable(r *message.Response) bool
}

// connect takes an idle connection to a server or opens a new one. If the server accepts no further connection, it waits for the idle
// ones that have not settled yet. If conn is nil, result is the result of the attempt.
func (s *Server) connect(ctx context.Context, d dispatch.Decision, deadline time.Time) (conn upstreamConn, isReused bool, result dispatch.AttemptResult) {
	if conn := s.reuse(func() dispatch.ServerConn { return s.dispatcher.TakeIdle(d.Server) }); conn != nil {
		return conn, true, dispatch.Succeeded
	}
	if !s.dispatcher.AcquireServerDescriptor() {
		return nil, false, dispatch.NoDescriptor
	}
	if conn, result = s.dial(ctx, d, deadline); result != dispatch.ConnectRefused {
		return conn, false, result
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if conn := s.reuse(func() dispatch.ServerConn { return s.dispatcher.AwaitIdle(ctx, d.Server) }); conn != nil {
		return conn, true, dispatch.Succeeded
	}
	return nil, false, result
}

// reuse returns the first connection from take that is idle, or nil once take returns nil. It closes connections that the server has closed
// or has sent unsolicited bytes on.
func (s *Server) reuse(take func() dispatch.ServerConn) upstreamConn {
	for idle := take(); idle != nil; idle = take() {
		if conn := idle.(upstreamConn); conn.IsIdle() {
			return conn
		}
		idle.Close()
		s.dispatcher.ReleaseServerDescriptor()
	}
	return nil
}

// dial opens a connection to a server. The caller has acquired a descriptor for it, which dial releases if it fails.
func (s *Server) dial(ctx context.Context, d dispatch.Decision, deadline time.Time) (upstreamConn, dispatch.AttemptResult) {
	dialDeadline := time.Now().Add(s.cfg.Settings.ConnectTimeout)
	if dialDeadline.After(deadline) {
		dialDeadline = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	nc, err := s.dialer.DialContext(ctx, "tcp", d.Address.String())
	if err != nil {
		s.dispatcher.ReleaseServerDescriptor()
		return nil, connectResult(err, dialDeadline.Equal(deadline))
	}
	if !d.IsFastCGI {
		return &httpUpstream{Conn: http1.NewConnWithBudget(nc, s.dispatcher.MessageBudget()), history: &s.responses}, dispatch.Succeeded
	}
	return fastcgi.NewServerConn(nc, s.dispatcher.MessageBudget(), func(text []byte) {
		s.logger.Warn().Str("server", d.Server).Bytes("stderr", text[:min(len(text), maxLoggedTextBytes)]).Msg("FastCGI server wrote to standard error")
	}), dispatch.Succeeded
}

// connectResult returns the result of an attempt whose connect failed. isAttemptDeadline reports that the deadline of the connect was that
// of the attempt rather than the connect timeout.
func connectResult(err error, isAttemptDeadline bool) dispatch.AttemptResult {
	for _, shortage := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, shortage) {
			return dispatch.NoDescriptor
		}
	}
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, context.Canceled):
		return dispatch.ExpiredUnsent
	case errors.As(err, &timeout) && timeout.Timeout():
		if isAttemptDeadline {
			return dispatch.ExpiredUnsent
		}
		return dispatch.ConnectTimeout
	}
	return dispatch.ConnectRefused
}

// closeUpstream closes a connection that is abandoned, broken or not reusable. The close notifies the server that its response is not
// awaited; a FastCGI server also receives an abort first, if the response was not complete.
func (s *Server) closeUpstream(conn upstreamConn, isComplete bool) {
	if aborter, ok := conn.(interface{ Abort() }); ok && !isComplete {
		aborter.Abort()
	}
	conn.Close()
	s.dispatcher.ReleaseServerDescriptor()
}
