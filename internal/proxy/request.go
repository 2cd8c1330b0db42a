package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// errClientDisconnected reports that the client of a request has disconnected: the request gets no answer.
var errClientDisconnected = errors.New("client disconnected")

// serveRequest serves one request, from its complete receipt until its only answer is sent. It runs on the goroutine of the connection,
// or of the request if requests share the connection. It returns a *message.RequestError if the caller must reject the request with the
// status of the error, errClientDisconnected if the request gets no answer, and any other error if the answer could not be written.
func (s *Server) serveRequest(conn clientConn, req *message.Request, receivedAt time.Time) error {
	info, err := req.Info()
	if err != nil {
		return err
	}
	request, entry, err := s.submit(conn, req, &info, receivedAt)
	if err != nil {
		return s.answerUnsubmitted(conn, req, err)
	}
	defer request.Close()
	watcher := s.disconnectWatcher(conn)
	stopWatching := sync.OnceFunc(watcher.WatchDisconnect(request.ClientDisconnected))
	defer stopWatching()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := &forwarding{request: request, message: req, clientAddress: conn.ClientAddress(), isDisconnected: watcher.IsDisconnected, journalEntry: entry,
		composeAnswer: func(a message.Answer) []byte { return conn.AppendAnswer(conn.AnswerBuffer(), a) }}
	var last dispatch.AttemptResult
	for {
		d := request.NextDecision(cancel)
		if d.Action != dispatch.SendAttempt {
			stopWatching() // before the answer: the client may send its next request after it, which belongs to the reader of the connection
			return s.answerRequest(conn, f, d, last)
		}
		var answer []byte
		last, answer = s.attempt(ctx, d, f)
		request.AttemptEnded(d.Attempt, last, answer)
	}
}

// answerUnsubmitted answers a request that was not submitted or that the dispatcher did not accept. It returns the errors that the caller
// answers.
func (s *Server) answerUnsubmitted(conn clientConn, req *message.Request, err error) error {
	switch {
	case errors.Is(err, errUnknownType):
		return sendAnswer(conn, message.Answer{Status: 404, Body: []byte("no such traffic type\n")})
	case errors.Is(err, dispatch.ErrNoCapacity):
		req.Close = true // frees a descriptor for the next client
		return sendAnswer(conn, message.Answer{Status: 503})
	case errors.Is(err, errJournalUnavailable), errors.Is(err, dispatch.ErrRouteLimit):
		return sendAnswer(conn, message.Answer{Status: 503})
	case errors.Is(err, dispatch.ErrDuplicateID), errors.Is(err, dispatch.ErrUsedID):
		return &message.RequestError{Status: 409, Reason: err.Error()}
	}
	return err
}

// answerRequest executes the final decision on a request. last is the result of its last attempt.
func (s *Server) answerRequest(conn clientConn, f *forwarding, d dispatch.Decision, last dispatch.AttemptResult) error {
	var err error
	outcome := outcomeResponded
	switch d.Action {
	case dispatch.Respond:
		err = conn.SendAnswer(d.Response)
	case dispatch.Reject:
		outcome = outcomeRejected
		err = sendAnswer(conn, message.Answer{Status: 503, RetryAfter: d.Duration})
	case dispatch.Fail:
		outcome = outcomeFailed
		if d.Response != nil { // a server's response that reports a fault of the request
			err = conn.SendAnswer(d.Response)
		} else {
			err = sendAnswer(conn, message.Answer{Status: failureStatus(last)})
		}
	case dispatch.Drop:
		outcome = outcomeDisconnected
		err = errClientDisconnected
	}
	f.journalEntry.recordAnswer(outcome)
	return err
}

// failureStatus returns the status for a request that failed and may have been executed. last is the result of its last attempt.
func failureStatus(last dispatch.AttemptResult) int {
	if last == dispatch.ResponseTimeout {
		return 504
	}
	return 502
}
