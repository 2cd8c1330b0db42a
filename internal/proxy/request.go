package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/route"
)

var (
	errClientDisconnected = errors.New("the client has left")
	errUnknownType        = errors.New("no such traffic type")
	errJournalUnavailable = errors.New("the journal keeps nothing now")
)

// front is what an operation came on, in the protocol that its client speaks.
type clientConn interface {
	// Append writes an answer as the client reads it.
	AppendAnswer(b []byte, a message.Answer) []byte
	// Scratch is room for an answer; what was read of the request may be overwritten.
	AnswerBuffer() []byte
	// Send writes what Append has put together.
	SendAnswer(answer []byte) error
	// From is the client's address.
	ClientAddress() string
	// Parting is a look at whether the client has left, which may be asked beside Watch.
	IsDisconnected() bool
	// Watch looks for the client's leaving while the operation is open; the function it returns ends that.
	WatchDisconnect(op *dispatch.Request) (end func())
}

// answer writes a whole answer; the connection ends with it while the node stops.
func (s *Server) sendAnswer(f clientConn, a message.Answer) error {
	a.Close = a.Close || s.isDraining.Load()
	return f.SendAnswer(f.AppendAnswer(f.AnswerBuffer(), a))
}

// operation is the life of one operation, from its whole request to its one answer.
func (s *Server) serveRequest(f clientConn, req *message.Request, came time.Time) error {
	o, err := req.Info()
	if err != nil {
		return err
	}
	op, k, err := s.submit(&o, req, came, f)
	var bad *message.RequestError
	switch {
	case err == errUnknownType:
		return s.sendAnswer(f, message.Answer{Status: 404, Body: []byte("no such traffic type\n"), Close: req.Close})
	case err == dispatch.ErrNoCapacity:
		req.Close = true // makes room for the next one
		return s.sendAnswer(f, message.Answer{Status: 503, Close: true})
	case err == errJournalUnavailable:
		return s.sendAnswer(f, message.Answer{Status: 503, Close: req.Close})
	case err == dispatch.ErrRouteLimit:
		return s.sendAnswer(f, message.Answer{Status: 503, Close: req.Close})
	case err == dispatch.ErrDuplicateID:
		return &message.RequestError{Status: 409, Why: err.Error()}
	case errors.As(err, &bad):
		return bad
	}
	defer op.Close()
	unwatch := func() {}
	if !s.cfg.Deaf {
		unwatch = sync.OnceFunc(f.WatchDisconnect(op))
	}
	defer unwatch()
	ctx, giveUp := context.WithCancel(context.Background())
	defer giveUp()
	x := &forwarding{request: op, message: req, clientAddress: f.ClientAddress(), isDisconnected: f.IsDisconnected, journalEntry: k, composeAnswer: func(a message.Answer) []byte { return f.AppendAnswer(f.AnswerBuffer(), a) }}
	var last dispatch.AttemptResult
	for {
		d := op.NextDecision(giveUp)
		if d.Action != dispatch.SendAttempt {
			unwatch() // ahead of the answer: what its client sends behind that is the next request, for the connection's reader
		}
		switch d.Action {
		case dispatch.SendAttempt:
			var answer []byte
			last, answer = s.attempt(ctx, d, x)
			op.AttemptEnded(d.Attempt, last, answer)
		case dispatch.Respond:
			err := f.SendAnswer(d.Answer)
			x.journalEntry.recordAnswer("handled")
			return err
		case dispatch.Reject:
			err := s.sendAnswer(f, message.Answer{Status: 503, RetryAfter: d.Duration, Close: req.Close})
			x.journalEntry.recordAnswer("denied")
			return err
		case dispatch.Fail:
			defer x.journalEntry.recordAnswer("written off")
			if d.Answer != nil { // a server finds fault with the request, and says what
				return f.SendAnswer(d.Answer)
			}
			return s.sendAnswer(f, message.Answer{Status: failureStatus(last), Close: req.Close})
		case dispatch.Drop:
			x.journalEntry.recordAnswer("nothing: it had left")
			return errClientDisconnected
		}
	}
}

// affinityKey is the field that tells what an operation is about.
const affinityKeyField = "Affinity-Key"

// take finds the operation's route and hands it over. A reload that comes between has it matched again, so that route
// and figures are always of one file.
func (s *Server) submit(o *message.RequestInfo, req *message.Request, came time.Time, f clientConn) (*dispatch.Request, *journalEntry, error) {
	for {
		a := dispatch.Arrival{ID: o.ID, Tenant: o.Tenant, Key: req.Get(affinityKeyField), Routes: s.dispatcher.Routes(), RouteIndex: -1, TrafficType: -1}
		a.IsRetry = len(req.Get(clientRetryField)) > 0
		if kind, known := s.dispatcher.TrafficType(o.Type); known {
			a.TrafficType = kind
		}
		if a.Routes != nil {
			a.RouteIndex, a.TrafficType = a.Routes.Match(&route.Request{Method: req.Method, Path: req.Path(), Tenant: o.Tenant, Headers: req})
		}
		if a.TrafficType < 0 {
			return nil, nil, errUnknownType
		}
		if !s.journal.accepts(a.TrafficType) {
			return nil, nil, errJournalUnavailable
		}
		k := s.journal.begin(a.TrafficType, o, req)
		if a.RouteIndex >= 0 {
			if len(req.Body) > a.Routes.MaxBodyBytes(a.RouteIndex, a.TrafficType, message.MaxBody) {
				return nil, nil, &message.RequestError{Status: 413, Why: "the body is larger than its route takes"}
			}
			if a.Routes.AllowsHedging(a.RouteIndex, a.TrafficType) {
				a.StartHedge = s.startHedge(f, req, k)
			}
		}
		if a.Timeout = o.Timeout; a.Timeout < 0 {
			a.Timeout = s.dispatcher.DefaultTimeout(a.TrafficType)
		}
		if a.Timeout -= time.Since(came); a.Timeout <= 0 {
			return nil, nil, &message.RequestError{Status: 408, Why: "the request took all of its time to come"}
		}
		if s.isDraining.Load() { // its answer comes before the node must be gone
			a.Timeout = max(min(a.Timeout, time.Until(s.answerBy)), time.Millisecond)
		}
		op, err := s.dispatcher.Submit(a)
		if err != dispatch.ErrRoutesChanged {
			return op, k, err
		}
	}
}

func failureStatus(last dispatch.AttemptResult) int {
	if last == dispatch.ResponseTimeout {
		return 504
	}
	return 502
}
