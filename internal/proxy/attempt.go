package proxy

import (
	"context"
	"errors"
	"os"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// forwarding is what the attempts of one request have in common. Its hedged attempt has one of its own, with its own buffers.
type forwarding struct {
	request        *dispatch.Request
	message        *message.Request
	clientAddress  string
	isDisconnected func() bool                 // whether the client has disconnected, without a wait; nil: not known
	journalEntry   *journalEntry               // nil: none is kept
	composeAnswer  func(message.Answer) []byte // for the client, in a buffer that the attempt's connection does not use
}

// hasCompleteResponse reports whether an attempt ended with a whole response, whatever it says.
func hasCompleteResponse(result dispatch.AttemptResult) bool { return result <= dispatch.ServerRefused }

// attempt sends a request to one server, once, and returns how that ended and the client's answer, nil where there is none to pass on.
// The request is never sent again here: another attempt is the policy's decision.
func (s *Server) attempt(ctx context.Context, d dispatch.Decision, f *forwarding) (dispatch.AttemptResult, []byte) {
	deadline := time.Now().Add(d.Duration)
	conn, isReused, result := s.connect(ctx, d, deadline)
	if conn == nil {
		return result, nil
	}
	number, result := s.prepareWrite(ctx, d, f, deadline)
	if result != dispatch.Succeeded {
		s.dispatcher.PutIdle(d.Server, d.IsFastCGI, conn)
		return result, nil
	}
	conn.SetDeadline(deadline)
	stopCancel := context.AfterFunc(ctx, func() { conn.SetDeadline(pastDeadline) })
	var resp message.Response
	result = exchange(ctx, conn, f, time.Until(deadline), &resp)
	if result == dispatch.WriteFailed && isReused {
		result = dispatch.StaleConnection
	}
	f.journalEntry.recordAttemptEnd(number, result)
	if id := message.Find(resp.Fields, message.ServerID); s.endpointCache != nil && len(id) > 0 && string(id) != d.Server {
		s.dispatcher.WrongServer(d.Server)
	}
	answer := composeResponse(f, result, &resp)
	isComplete := hasCompleteResponse(result)
	mayReuse := isComplete && conn.IsReusable(&resp)
	conn.ReleaseBuffers()
	if stopCancel() && mayReuse {
		s.dispatcher.PutIdle(d.Server, d.IsFastCGI, conn)
	} else {
		s.closeUpstream(conn, isComplete)
	}
	if !isComplete || result == dispatch.ServerRefused {
		s.logger.Debug().Str("server", d.Server).Stringer("end", result).Msg("attempt ended")
	}
	return result, answer
}

// prepareWrite makes the checks that come before an attempt's first byte, and has its intent journaled. It returns the attempt's number in
// the journal, and Succeeded or why the attempt must not be written.
func (s *Server) prepareWrite(ctx context.Context, d dispatch.Decision, f *forwarding, deadline time.Time) (number int, result dispatch.AttemptResult) {
	if f.journalEntry != nil && (f.request.IsSettled() || s.isTooLateToWrite(d.Server)) { // no intent for what will not be sent
		return 0, dispatch.ExpiredUnsent
	}
	number, err := f.journalEntry.recordIntent(ctx, d.Server, deadline)
	if err != nil {
		return number, dispatch.JournalFailed
	}
	if !s.beginWrite(d, f) {
		f.journalEntry.recordAttemptEnd(number, dispatch.ExpiredUnsent)
		return number, dispatch.ExpiredUnsent
	}
	return number, dispatch.Succeeded
}

// beginWrite is the last check before an attempt's first byte. It is false, whatever the attempt waited for, when the client has
// disconnected or the server has left meanwhile. It looks at the client's connection itself, for the goroutine that watches it may not
// have run yet.
func (s *Server) beginWrite(d dispatch.Decision, f *forwarding) bool {
	if f.isDisconnected != nil && f.isDisconnected() {
		f.request.ClientDisconnected()
	}
	return !s.isTooLateToWrite(d.Server) && f.request.BeginWrite(d.Attempt)
}

// DrainGuard reports whether a server has drained or been gone for too long for anything to be written to it. *dispatch.Dispatcher is one;
// Config.DrainGuard may put another in its place.
type DrainGuard interface {
	IsTooLateToWrite(server string) bool
}

// isTooLateToWrite reports whether a server left too long ago for anything to be written to it.
func (s *Server) isTooLateToWrite(server string) bool {
	if guard := s.cfg.DrainGuard; guard != nil {
		return guard.IsTooLateToWrite(server)
	}
	return s.dispatcher.IsTooLateToWrite(server)
}

// exchange writes the request and reads the whole response. Only before the last byte is written is it certain that the server has not
// begun to execute it.
func exchange(ctx context.Context, conn upstreamConn, f *forwarding, remaining time.Duration, resp *message.Response) dispatch.AttemptResult {
	isWritten, err := conn.SendRequest(f.message, remaining, f.clientAddress)
	if !isWritten {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return dispatch.ExpiredUnsent
		}
		return dispatch.WriteFailed
	}
	switch err = conn.ReceiveResponse(resp); {
	case err == nil:
		return responseResult(resp)
	case errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil:
		return dispatch.Abandoned
	case errors.Is(err, os.ErrDeadlineExceeded):
		return dispatch.ResponseTimeout
	case errors.Is(err, message.ErrMalformedResponse):
		return dispatch.MalformedResponse
	}
	return dispatch.ConnectionLost
}

// responseResult is what a whole response says of the attempt.
func responseResult(resp *message.Response) dispatch.AttemptResult {
	switch {
	case resp.Status == 200:
		return dispatch.Succeeded
	case resp.NotStarted():
		return dispatch.ServerRefused
	case resp.RejectsRequest():
		return dispatch.RequestFault
	}
	return dispatch.ErrorResponse
}

// composeResponse composes the client's answer of a response that is passed on; nil for any other. It copies the response, so that the
// server's connection is free for another request.
func composeResponse(f *forwarding, result dispatch.AttemptResult, resp *message.Response) []byte {
	if result != dispatch.Succeeded && result != dispatch.RequestFault {
		return nil
	}
	return f.composeAnswer(message.Answer{Status: resp.Status, Fields: resp.Fields, Body: resp.Body})
}
