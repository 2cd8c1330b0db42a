package serve

import (
	"context"
	"errors"
	"net"
	"time"

	"fernvane/internal/fleet"
	"fernvane/internal/http1"
	"fernvane/internal/route"
)

var (
	errLeft   = errors.New("the client has left")
	errNoType = errors.New("no such traffic type")
)

// operation is the life of one operation, from its whole request to its one answer.
func (s *Server) operation(c *http1.Conn, req *http1.Request, came time.Time) error {
	o, err := req.Operation()
	if err != nil {
		return err
	}
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	op, err := s.take(&o, req, came, from)
	var bad *http1.Malformed
	switch {
	case err == errNoType:
		return s.answer(c, http1.Answer{Status: 404, Body: []byte("no such traffic type\n"), Close: req.Close})
	case err == fleet.ErrNoRoom:
		req.Close = true // makes room for the next one
		return s.answer(c, http1.Answer{Status: 503, Close: true})
	case err == fleet.ErrRoute:
		return s.answer(c, http1.Answer{Status: 503, Close: req.Close})
	case err == fleet.ErrOpen:
		return &http1.Malformed{Status: 409, Why: err.Error()}
	case errors.As(err, &bad):
		return bad
	}
	defer op.Close()
	defer s.watch(c, op)()
	ctx, giveUp := context.WithCancel(context.Background())
	defer giveUp()
	x := &exchanged{op: op, req: req, from: from, scratch: c.Scratch}
	var last fleet.End
	for {
		switch d := op.Next(giveUp); d.Kind {
		case fleet.Send:
			var answer []byte
			last, answer = s.hop(ctx, d, x)
			op.Ended(d.Hop, last, answer)
		case fleet.Handled:
			return s.send(c, d.Answer)
		case fleet.Deny:
			return s.answer(c, http1.Answer{Status: 503, RetryAfter: d.For, Close: req.Close})
		case fleet.WriteOff:
			if d.Answer != nil { // a server finds fault with the request, and says what
				return s.send(c, d.Answer)
			}
			return s.answer(c, http1.Answer{Status: writeOffStatus(last), Close: req.Close})
		case fleet.Drop:
			return errLeft
		}
	}
}

// take finds the operation's route and hands it over. A reload that comes between has it matched again, so that route
// and figures are always of one file.
func (s *Server) take(o *http1.Operation, req *http1.Request, came time.Time, from string) (*fleet.Operation, error) {
	for {
		a := fleet.Arrival{ID: o.ID, Tenant: o.Tenant, Routes: s.fleet.Routes(), Route: -1, Kind: -1}
		if kind, known := s.fleet.Type(o.Type); known {
			a.Kind = kind
		}
		if a.Routes != nil {
			a.Route, a.Kind = a.Routes.Match(&route.Request{Method: req.Method, Path: req.Path(), Tenant: o.Tenant, Fields: req})
		}
		if a.Kind < 0 {
			return nil, errNoType
		}
		if a.Route >= 0 {
			if len(req.Body) > a.Routes.BodyMost(a.Route, a.Kind, http1.MaxBody) {
				return nil, &http1.Malformed{Status: 413, Why: "the body is larger than its route takes"}
			}
			if a.Routes.Copies(a.Route, a.Kind) {
				a.Copying = s.copying(req, from)
			}
		}
		if a.Budget = o.Timeout; a.Budget < 0 {
			a.Budget = s.fleet.AbandonTime(a.Kind)
		}
		if a.Budget -= time.Since(came); a.Budget <= 0 {
			return nil, &http1.Malformed{Status: 408, Why: "the request took all of its time to come"}
		}
		op, err := s.fleet.Arrive(a)
		if err != fleet.ErrMoved {
			return op, err
		}
	}
}

func writeOffStatus(last fleet.End) int {
	if last == fleet.Silent {
		return 504
	}
	return 502
}
