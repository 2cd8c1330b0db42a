package proxy

import (
	"errors"
	"time"

	"fernvane/internal/protocol/message"
	"fernvane/internal/proxy/dispatch"
	"fernvane/internal/route"
)

// affinityKeyField is the request header with the affinity key. Requests with the same key go to the same servers if their route enables it.
const affinityKeyField = "Affinity-Key"

var (
	errUnknownType        = errors.New("unknown traffic type")
	errJournalUnavailable = errors.New("journal unavailable")
)

// submit submits a request to the dispatcher under the route that it matches. If routes are reloaded meanwhile, the request is matched
// again, so that its route and its limits come from the same version of the routes. submit also returns the request's journal entry, or nil
// if the request is not journaled.
func (s *Server) submit(conn clientConn, req *message.Request, info *message.RequestInfo, receivedAt time.Time) (*dispatch.Request, *journalEntry, error) {
	for {
		a := s.newArrival(req, info)
		if a.TrafficType < 0 {
			return nil, nil, errUnknownType
		}
		if !s.journal.accepts(a.TrafficType) {
			return nil, nil, errJournalUnavailable
		}
		entry := s.journal.newEntry(a.TrafficType, info, req)
		if err := entry.check(); err != nil {
			return nil, nil, err
		}
		if a.RouteIndex >= 0 {
			if len(req.Body) > a.Routes.MaxBodyBytes(a.RouteIndex, a.TrafficType, message.MaxRequestBody) {
				return nil, nil, &message.RequestError{Status: 413, Reason: "the body is larger than its route takes"}
			}
			if a.Routes.AllowsHedging(a.RouteIndex, a.TrafficType) {
				a.StartHedge = s.startHedge(conn, req, entry)
			}
		}
		if a.Timeout = info.Timeout; a.Timeout < 0 {
			a.Timeout = s.dispatcher.DefaultTimeout(a.TrafficType)
		}
		if a.Timeout -= time.Since(receivedAt); a.Timeout <= 0 {
			return nil, nil, &message.RequestError{Status: 408, Reason: "the request took all of its time to come"}
		}
		if s.isDraining.Load() {
			a.Timeout = max(min(a.Timeout, time.Until(s.answerDeadline)), time.Millisecond)
		}
		request, err := s.dispatcher.Submit(a)
		if !errors.Is(err, dispatch.ErrRoutesChanged) {
			return request, entry, err
		}
	}
}

// newArrival describes a request to the dispatcher, under the current routes. TrafficType is -1 if the request has no known traffic type.
func (s *Server) newArrival(req *message.Request, info *message.RequestInfo) dispatch.Arrival {
	a := dispatch.Arrival{ID: info.ID, Tenant: info.Tenant, Key: req.Get(affinityKeyField), Routes: s.dispatcher.Routes(), RouteIndex: -1, TrafficType: -1,
		BodyBytes: len(req.Body)}
	a.IsRetry = len(req.Get(clientRetryField)) > 0
	if t, isKnown := s.dispatcher.TrafficType(info.Type); isKnown {
		a.TrafficType = t
	}
	if a.Routes != nil {
		a.RouteIndex, a.TrafficType = a.Routes.Match(&route.Request{Method: req.Method, Path: req.Path(), Tenant: info.Tenant, Headers: req})
	}
	return a
}
