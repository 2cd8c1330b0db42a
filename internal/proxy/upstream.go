package proxy

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

const maxLoggedTextBytes = 300 // of a server's standard error in a log line

// pastDeadline ends what reads or writes on a connection at once.
var pastDeadline = time.Unix(1, 0)

// upstreamConn is a connection to a server, in the protocol that the server speaks. One attempt at a time uses it.
type upstreamConn interface {
	io.Closer
	SetDeadline(time.Time) error
	// IsIdle reports whether an idle connection is open and nothing has been received on it.
	IsIdle() bool
	// ReleaseBuffers gives back the memory of a large message. What was read is not valid after it.
	ReleaseBuffers()
	// SendRequest writes a request, with the time that remains for it and the client's address. whole is false where its last byte was
	// not written: the server cannot have executed it then.
	SendRequest(r *message.Request, remaining time.Duration, clientAddress string) (whole bool, err error)
	// ReceiveResponse reads the whole response. message.ErrMalformedResponse is one that cannot be read.
	ReceiveResponse(r *message.Response) error
	// IsReusable reports whether another request may be sent after a whole response.
	IsReusable(r *message.Response) bool
}

// connect takes an idle connection to a server or opens one. Without a connection, result says why there is none.
func (s *Server) connect(ctx context.Context, d dispatch.Decision, deadline time.Time) (conn upstreamConn, isReused bool, result dispatch.AttemptResult) {
	for idle := s.dispatcher.TakeIdle(d.Server); idle != nil; idle = s.dispatcher.TakeIdle(d.Server) {
		if conn := idle.(upstreamConn); conn.IsIdle() {
			return conn, true, dispatch.Succeeded
		}
		idle.Close()
		s.dispatcher.ReleaseServerDescriptor()
	}
	if !s.dispatcher.AcquireServerDescriptor() {
		return nil, false, dispatch.NoDescriptor
	}
	conn, result = s.dial(ctx, d, deadline)
	return conn, false, result
}

// dial opens a connection to a server, under a descriptor that was acquired for it and is given back where it fails.
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
		return http1.NewPooled(nc, s.dispatcher.MessageBudget()), dispatch.Succeeded
	}
	return fastcgi.NewServerConn(nc, s.dispatcher.MessageBudget(), func(text []byte) {
		s.logger.Warn().Str("server", d.Server).Bytes("stderr", text[:min(len(text), maxLoggedTextBytes)]).Msg("FastCGI server wrote to standard error")
	}), dispatch.Succeeded
}

// connectResult says how an attempt ended that got no connection. isAttemptDeadline: the time for it was that of the attempt, not that of
// a connect.
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

// closeUpstream closes a connection that is abandoned, broken or not reusable. By the close the server learns that nobody waits for its
// response; a FastCGI server is told before, where the response was not whole.
func (s *Server) closeUpstream(conn upstreamConn, isComplete bool) {
	if aborter, ok := conn.(interface{ Abort() }); ok && !isComplete {
		aborter.Abort()
	}
	conn.Close()
	s.dispatcher.ReleaseServerDescriptor()
}
