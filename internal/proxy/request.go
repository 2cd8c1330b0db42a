package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
)

// errClientDisconnected ends the serving of a request whose client has gone: nobody is there to be answered.
var errClientDisconnected = errors.New("the client has left")

// serveRequest serves one request, from when it was received whole to its one answer. It runs on a goroutine of its connection, or of
// the request where requests share one. A *message.RequestError is a request that is to be rejected with its status, and
// errClientDisconnected one that gets no answer; any other error is that of the write.
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
			stopWatching() // before the answer: what the client sends after it is its next request, for the connection's reader
			return s.answerRequest(conn, f, d, last)
		}
		var answer []byte
		last, answer = s.attempt(ctx, d, f)
		request.AttemptEnded(d.Attempt, last, answer)
	}
}

// answerUnsubmitted answers a request that the dispatcher was not given or did not take, or returns the error that its caller answers.
func (s *Server) answerUnsubmitted(conn clientConn, req *message.Request, err error) error {
	switch {
	case errors.Is(err, errUnknownType):
		return sendAnswer(conn, message.Answer{Status: 404, Body: []byte("no such traffic type\n")})
	case errors.Is(err, dispatch.ErrNoCapacity):
		req.Close = true // frees a descriptor for the next client
		return sendAnswer(conn, message.Answer{Status: 503})
	case errors.Is(err, errJournalUnavailable), errors.Is(err, dispatch.ErrRouteLimit):
		return sendAnswer(conn, message.Answer{Status: 503})
	case errors.Is(err, dispatch.ErrDuplicateID):
		return &message.RequestError{Status: 409, Why: err.Error()}
	}
	return err
}

// answerRequest carries out the decision that settles a request. last is how its last attempt ended.
func (s *Server) answerRequest(conn clientConn, f *forwarding, d dispatch.Decision, last dispatch.AttemptResult) error {
	var err error
	outcome := outcomeResponded
	switch d.Action {
	case dispatch.Respond:
		err = conn.SendAnswer(d.Answer)
	case dispatch.Reject:
		outcome = outcomeRejected
		err = sendAnswer(conn, message.Answer{Status: 503, RetryAfter: d.Duration})
	case dispatch.Fail:
		outcome = outcomeFailed
		if d.Answer != nil { // a server's own words about a fault of the request
			err = conn.SendAnswer(d.Answer)
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

// failureStatus is the status of a request that failed with unknown effect.
func failureStatus(last dispatch.AttemptResult) int {
	if last == dispatch.ResponseTimeout {
		return 504
	}
	return 502
}
