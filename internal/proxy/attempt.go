package proxy

import (
	"context"
	"errors"
	"io"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

const maxLoggedTextBytes = 300 // bytes of a server's own words in a log line

var pastDeadline = time.Unix(1, 0)

// exchanged is what hops of one operation have in common.
type forwarding struct {
	request        *dispatch.Request
	message        *http1.Request
	clientAddress  string                      // the client's address
	isDisconnected func() bool                 // a look at whether the client has left; nil: there is none
	journalEntry   *journalEntry               // in the journal; nil: it is not kept
	composeAnswer  func(message.Answer) []byte // the client's answer, in room of its own
}

// line is a connection to a server, in the protocol that the server speaks.
type upstreamConn interface {
	io.Closer
	SetDeadline(time.Time) error
	// Quiet tells that an idle connection is open and that nothing has come on it.
	IsIdle() bool
	// Trim gives back memory that a large message took; what was read is not valid after it.
	ReleaseBuffers()
	// Ask writes a request whole, or tells that it did not.
	SendRequest(r *message.Request, left time.Duration, from string) (whole bool, err error)
	// Reply reads the whole answer; message.ErrGarbled is one that cannot be read.
	ReceiveResponse(r *message.Response) error
	// Reusable tells whether another request may be asked after a whole answer.
	IsReusable(r *message.Response) bool
}

// hop sends an operation to one server, once, and tells how that ended. Where the server has answered, the
// client's answer is put together in room of its own, so that the server's connection is free again.
func (s *Server) attempt(ctx context.Context, d dispatch.Decision, x *forwarding) (dispatch.AttemptResult, []byte) {
	until := time.Now().Add(d.Duration)
	conn, kept, end := s.connect(ctx, d, until)
	if conn == nil {
		return end, nil
	}
	if x.journalEntry != nil && (x.request.IsSettled() || s.isPastDrainGrace(d.Server)) { // what will not be sent is not kept
		s.dispatcher.PutIdle(d.Server, d.IsFastCGI, conn)
		return dispatch.ExpiredUnsent, nil
	}
	hop, err := x.journalEntry.recordIntent(ctx, d.Server, until)
	if err != nil || !s.beginWrite(d, x) {
		end = dispatch.JournalFailed
		if err == nil {
			end = dispatch.ExpiredUnsent
			x.journalEntry.recordAttemptEnd(hop, end)
		}
		s.dispatcher.PutIdle(d.Server, d.IsFastCGI, conn)
		return end, nil
	}
	conn.SetDeadline(until)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
	var resp message.Response
	end = exchange(ctx, conn, x, time.Until(until), &resp)
	if end == dispatch.WriteFailed && kept {
		end = dispatch.StaleConnection
	}
	x.journalEntry.recordAttemptEnd(hop, end)
	if id := message.Find(resp.Fields, message.ServerID); s.endpointCache != nil && len(id) > 0 && string(id) != d.Server {
		s.dispatcher.WrongServer(d.Server)
	}
	var answer []byte
	if end == dispatch.Succeeded || end == dispatch.RequestFault {
		answer = x.composeAnswer(message.Answer{Status: resp.Status, Fields: resp.Fields,
			Body: resp.Body, Close: x.message.Close || s.isDraining.Load()})
	}
	again := end <= dispatch.NotStarted && conn.IsReusable(&resp)
	conn.ReleaseBuffers()
	whole := end <= dispatch.NotStarted
	if stop() && again {
		s.dispatcher.PutIdle(d.Server, d.IsFastCGI, conn)
	} else { // given up, broken or used up: closing it is what tells the server
		if a, ok := conn.(interface{ Abort() }); ok && !whole {
			a.Abort()
		}
		conn.Close()
		s.dispatcher.ReleaseServerDescriptor()
	}
	if !whole || end == dispatch.NotStarted {
		s.logger.Debug().Str("server", d.Server).Stringer("end", end).Msg("hop ended")
	}
	return end, answer
}

// writing is the last look before a hop's first byte: whatever it waited for, nothing is sent for a client that has left
// meanwhile, nor to a server that has. It looks at the client's connection itself, for who waits for its leaving may not
// have run yet.
func (s *Server) beginWrite(d dispatch.Decision, x *forwarding) bool {
	if !s.cfg.Deaf && x.isDisconnected != nil && x.isDisconnected() {
		x.request.ClientDisconnected()
	}
	return !s.isPastDrainGrace(d.Server) && x.request.BeginWrite(d.Attempt)
}

// parted tells that a server left too long ago for anything to be written to it.
func (s *Server) isPastDrainGrace(server string) bool {
	return !s.cfg.Unguarded && s.dispatcher.IsPastDrainGrace(server)
}

// copying leads a second copy beside the hop that is out. The client's buffer is the first one's, so the copy has the
// request and its answer in memory of its own.
func (s *Server) startHedge(f clientConn, req *message.Request, k *journalEntry) func(*dispatch.Request, dispatch.Decision) {
	req = req.Clone()
	return func(op *dispatch.Request, d dispatch.Decision) {
		s.clientTasks.Go(func() error {
			ctx, giveUp := context.WithCancel(context.Background())
			defer giveUp()
			end, answer := dispatch.Abandoned, []byte(nil)
			defer func() {
				if p := recover(); p != nil {
					s.logger.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Msg("copy dropped")
				}
				op.AttemptEnded(d.Attempt, end, answer)
			}()
			op.HedgeStarted(d, giveUp)
			end, answer = s.attempt(ctx, d, &forwarding{request: op, message: req, clientAddress: f.ClientAddress(), isDisconnected: f.IsDisconnected, journalEntry: k, composeAnswer: func(a message.Answer) []byte { return f.AppendAnswer(nil, a) }})
			return nil
		})
	}
}

// connect finds a connection that stands idle, or opens one.
func (s *Server) connect(ctx context.Context, d dispatch.Decision, until time.Time) (c upstreamConn, kept bool, end dispatch.AttemptResult) {
	for k := s.dispatcher.TakeIdle(d.Server); k != nil; k = s.dispatcher.TakeIdle(d.Server) {
		if c := k.(upstreamConn); c.IsIdle() {
			return c, true, dispatch.Succeeded
		}
		k.Close()
		s.dispatcher.ReleaseServerDescriptor()
	}
	if !s.dispatcher.AcquireServerDescriptor() {
		return nil, false, dispatch.NoDescriptor
	}
	by := time.Now().Add(s.cfg.Settings.ConnectTimeout)
	if by.After(until) {
		by = until
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	nc, err := s.dialer.DialContext(ctx, "tcp", d.Address.String())
	if err == nil && d.IsFastCGI {
		return fastcgi.NewServerConn(nc, s.dispatcher.MessageBudget(), func(text []byte) {
			s.logger.Warn().Str("server", d.Server).Bytes("stderr", text[:min(len(text), maxLoggedTextBytes)]).Msg("responder complains")
		}), false, dispatch.Succeeded
	}
	if err == nil {
		return http1.NewPooled(nc, s.dispatcher.MessageBudget()), false, dispatch.Succeeded
	}
	s.dispatcher.ReleaseServerDescriptor()
	return nil, false, connectResult(err, by.Equal(until))
}

func connectResult(err error, timeUp bool) dispatch.AttemptResult {
	for _, short := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, short) {
			return dispatch.NoDescriptor
		}
	}
	var late interface{ Timeout() bool }
	switch {
	case errors.Is(err, context.Canceled):
		return dispatch.ExpiredUnsent
	case errors.As(err, &late) && late.Timeout():
		if timeUp {
			return dispatch.ExpiredUnsent
		}
		return dispatch.ConnectTimeout
	}
	return dispatch.ConnectRefused
}

// exchange writes the request and reads the answer whole. Only before the last byte is written is it sure
// that the server has not begun.
func exchange(ctx context.Context, conn upstreamConn, x *forwarding, left time.Duration, resp *message.Response) dispatch.AttemptResult {
	whole, err := conn.SendRequest(x.message, left, x.clientAddress)
	if !whole {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return dispatch.ExpiredUnsent
		}
		return dispatch.WriteFailed
	}
	switch err = conn.ReceiveResponse(resp); {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
		return dispatch.Abandoned
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dispatch.ResponseTimeout
	case err == message.ErrMalformedResponse:
		return dispatch.MalformedResponse
	default:
		return dispatch.ConnectionLost
	}
	switch {
	case resp.Status == 200:
		return dispatch.Succeeded
	case resp.NotStarted():
		return dispatch.NotStarted
	case resp.RejectsRequest():
		return dispatch.RequestFault
	}
	return dispatch.ErrorResponse
}
