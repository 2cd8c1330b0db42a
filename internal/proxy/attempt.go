package proxy

import (
	"context"
	"errors"
	"os"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// forwarding is the state that the attempts of one request share. A hedged attempt has its own, with its own buffers.
type forwarding struct {
	request        *dispatch.Request
	message        *message.Request
	clientAddress  string
	isDisconnected func() bool                 // whether the client has disconnected, without blocking; nil: unknown
	journalEntry   *journalEntry               // nil: the request is not journaled
	composeAnswer  func(message.Answer) []byte // encodes the client's answer, in a buffer that the attempt's connection does not use
}

// hasCompleteResponse reports whether an attempt ended with a complete response, of any status.
func hasCompleteResponse(result dispatch.AttemptResult) bool { return result <= dispatch.ServerRefused }

// attempt sends a request to one server, once. It returns the result and the answer for the client, nil if the response is not passed on.
// It never retries: a further attempt is a decision of the policy.
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

// prepareWrite makes the checks before the first byte of an attempt and journals its intent. It returns the number of the attempt in the
// journal, and Succeeded if the attempt may be written, otherwise its result.
func (s *Server) prepareWrite(ctx context.Context, d dispatch.Decision, f *forwarding, deadline time.Time) (number int, result dispatch.AttemptResult) {
	if f.journalEntry != nil && (f.request.IsSettled() || s.isTooLateToWrite(d.Server)) { // no intent for an attempt that will not be sent
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

// beginWrite is the last check before the first byte of an attempt. It returns false if the client has disconnected or the server has left
// or moved while the attempt waited. It checks the client's connection directly, because the goroutine that watches it may not have run yet.
func (s *Server) beginWrite(d dispatch.Decision, f *forwarding) bool {
	if f.isDisconnected != nil && f.isDisconnected() {
		f.request.ClientDisconnected()
	}
	return !s.isTooLateToWrite(d.Server) && s.dispatcher.IsAt(d.Server, d.Address) && f.request.BeginWrite(d.Attempt)
}

// DrainGuard reports whether a server has been draining or gone for so long that no attempt may be written to it any more.
// *dispatch.Dispatcher implements it; Config.DrainGuard may replace it.
type DrainGuard interface {
	IsTooLateToWrite(server string) bool
}

// isTooLateToWrite reports whether a server left so long ago that no attempt may be written to it any more.
func (s *Server) isTooLateToWrite(server string) bool {
	if guard := s.cfg.DrainGuard; guard != nil {
		return guard.IsTooLateToWrite(server)
	}
	return s.dispatcher.IsTooLateToWrite(server)
}

// exchange writes the request and reads the complete response. Once the last byte of the request is written, the server may have started to
// execute it.
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

// responseResult returns the result of an attempt that received a complete response.
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

// composeResponse encodes the client's answer from a response that is passed on, and returns nil for any other result. It copies the
// response, so that the server connection can be reused for another request.
func composeResponse(f *forwarding, result dispatch.AttemptResult, resp *message.Response) []byte {
	if result != dispatch.Succeeded && result != dispatch.RequestFault {
		return nil
	}
	return f.composeAnswer(message.Answer{Status: resp.Status, Fields: resp.Fields, Body: resp.Body})
}
