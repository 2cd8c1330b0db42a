package engine

import (
	"time"

	"fernvane/internal/collections/indexset"
	"fernvane/policy"
)

// Endpoint is an entry of an endpoint list. The Engine sets Info.Server and Info.IndexReused. Info.StartedAt is a time of
// the caller's clock.
type Endpoint[S comparable] struct {
	Server S
	Info   policy.Endpoint
}

// Assignment is the entry of a plan for one server. The Engine sets Info.Server.
type Assignment[S comparable] struct {
	Server S
	Info   policy.Assignment
}

// request is an open request. Its position in Engine.requests is its index.
type request struct {
	id        uint64
	inFlight  int   // number of attempts in flight
	isSettled bool  // the final response is decided, or the client has disconnected
	servers   []int // server of each attempt sent so far
}

// Engine is one instance of the decision module, with server IDs of the caller's type S. Indices of requests and servers
// are reused once nothing refers to them.
type Engine[S comparable] struct {
	decider   Decider
	startedAt time.Duration // on the caller's clock
	effects   []policy.Effect
	endpoints []policy.Endpoint

	requestIndex map[uint64]int
	requests     []request
	freeRequests []int

	serverIndex map[S]int
	serverIDs   []S
	serverRefs  []int        // by server: attempts of open requests, in flight or ended
	removed     indexset.Set // removed servers whose index has not been released yet
	freeServers []int
}

// New creates an instance that starts at the time now of the caller's clock, and passes the first effects, such as the
// timer, to the handler.
func New[S comparable](now time.Duration, d Decider, handler EffectHandler[S]) *Engine[S] {
	e := &Engine[S]{decider: d, startedAt: now, requestIndex: map[uint64]int{}, serverIndex: map[S]int{}}
	e.apply(now, policy.Input{Kind: policy.TimerFired}, handler)
	return e
}

// EndpointsUpdated passes on an endpoint list, or a failed poll (policy.Unavailable, without endpoints).
func (e *Engine[S]) EndpointsUpdated(now time.Duration, scope policy.UpdateScope, endpoints []Endpoint[S], handler EffectHandler[S]) {
	e.endpoints = e.endpoints[:0]
	if scope == policy.Full || scope == policy.Cached {
		for _, s := range e.serverIndex {
			e.removed.Add(s)
		}
	}
	for _, endpoint := range endpoints {
		info := endpoint.Info
		if _, isKnown := e.serverIndex[endpoint.Server]; !isKnown && info.Condition == policy.Removed {
			continue
		}
		info.Server, info.IndexReused = e.indexOrAdd(endpoint.Server)
		info.StartedAt -= e.startedAt
		e.removed.Put(info.Server, info.Condition == policy.Removed)
		e.endpoints = append(e.endpoints, info)
	}
	e.apply(now, policy.Input{Kind: policy.EndpointsUpdated, Scope: scope, Endpoints: e.endpoints}, handler)
	for s := range e.removed.All() {
		e.releaseServer(s, handler)
	}
}

// RequestArrived passes on a new request. It returns false, and has no effect, if a request with this ID is open.
func (e *Engine[S]) RequestArrived(now time.Duration, id uint64, in policy.Input, handler EffectHandler[S]) bool {
	if _, ok := e.requestIndex[id]; ok {
		return false
	}
	index := len(e.requests)
	if last := len(e.freeRequests) - 1; last >= 0 {
		index, e.freeRequests = e.freeRequests[last], e.freeRequests[:last]
		e.requests[index] = request{id: id, servers: e.requests[index].servers[:0]}
	} else {
		e.requests = append(e.requests, request{id: id})
	}
	e.requestIndex[id] = index
	in.Kind, in.Request = policy.RequestArrived, index
	e.apply(now, in, handler)
	e.releaseRequest(index, handler)
	return true
}

// AttemptEnded passes on the end of an attempt. in.Attempt is the attempt's number within the request, in.Outcome its
// outcome, and in.IsSettled states that the request needs no further attempt. It returns false, and has no effect, if the
// request or the server is unknown or the request has no attempt in flight. The caller must ensure that in.Attempt is in
// flight at that server; this is not checked.
func (e *Engine[S]) AttemptEnded(now time.Duration, id uint64, server S, in policy.Input, handler EffectHandler[S]) bool {
	index, ok := e.requestIndex[id]
	s, isKnown := e.serverIndex[server]
	if !ok || !isKnown || e.requests[index].inFlight == 0 {
		return false
	}
	e.requests[index].inFlight--
	e.requests[index].isSettled = e.requests[index].isSettled || in.IsSettled
	in.Kind, in.Request, in.Server = policy.AttemptEnded, index, s
	e.apply(now, in, handler)
	e.releaseRequest(index, handler)
	return true
}

// ClientLeft passes on that the client of a request has disconnected. It has no effect if the request is not open.
func (e *Engine[S]) ClientLeft(now time.Duration, id uint64, handler EffectHandler[S]) {
	index, ok := e.requestIndex[id]
	if !ok {
		return
	}
	e.requests[index].isSettled = true
	e.apply(now, policy.Input{Kind: policy.ClientLeft, Request: index}, handler)
	e.releaseRequest(index, handler)
}

// TrafficTypesChanged passes on a new set of traffic types.
func (e *Engine[S]) TrafficTypesChanged(now time.Duration, in policy.Input, handler EffectHandler[S]) {
	in.Kind = policy.TrafficTypesChanged
	e.apply(now, in, handler)
}

// PlanChanged passes on a plan. Assignments of unknown servers are omitted.
func (e *Engine[S]) PlanChanged(now time.Duration, in policy.Input, assignments []Assignment[S], handler EffectHandler[S]) {
	in.Kind, in.Assignments = policy.PlanChanged, make([]policy.Assignment, 0, len(assignments))
	for _, a := range assignments {
		if s, ok := e.serverIndex[a.Server]; ok {
			a.Info.Server = s
			in.Assignments = append(in.Assignments, a.Info)
		}
	}
	e.apply(now, in, handler)
}

// QuotasChanged passes on the tenant quotas that have changed.
func (e *Engine[S]) QuotasChanged(now time.Duration, changed []policy.Quota, handler EffectHandler[S]) {
	e.apply(now, policy.Input{Kind: policy.QuotasChanged, Quotas: changed}, handler)
}

// TimerFired passes on that the timer set by the last EffectHandler.SetTimer has expired.
func (e *Engine[S]) TimerFired(now time.Duration, handler EffectHandler[S]) {
	e.apply(now, policy.Input{Kind: policy.TimerFired}, handler)
}

// releaseRequest frees the index of a request that is settled and has no attempt in flight.
func (e *Engine[S]) releaseRequest(index int, handler EffectHandler[S]) {
	r := &e.requests[index]
	if _, ok := e.requestIndex[r.id]; !ok || !r.isSettled || r.inFlight > 0 {
		return
	}
	delete(e.requestIndex, r.id)
	e.freeRequests = append(e.freeRequests, index)
	for _, s := range r.servers {
		e.serverRefs[s]--
		e.releaseServer(s, handler)
	}
}

// indexOrAdd returns the index of a server and assigns one if the server is unknown. isReused reports whether a newly
// assigned index belonged to another server before.
func (e *Engine[S]) indexOrAdd(id S) (s int, isReused bool) {
	s, ok := e.serverIndex[id]
	if ok {
		return s, false
	}
	if last := len(e.freeServers) - 1; last >= 0 {
		s, isReused, e.freeServers = e.freeServers[last], true, e.freeServers[:last]
	} else {
		s, e.serverIDs, e.serverRefs = len(e.serverIDs), append(e.serverIDs, id), append(e.serverRefs, 0)
	}
	e.serverIndex[id], e.serverIDs[s] = s, id
	return s, isReused
}

// releaseServer frees the index of a removed server. It has no effect while an open request has or had an attempt at the
// server, since the policy may still look up that server.
func (e *Engine[S]) releaseServer(s int, handler EffectHandler[S]) {
	id := e.serverIDs[s]
	if index, ok := e.serverIndex[id]; ok && index == s && e.removed.Has(s) && e.serverRefs[s] == 0 {
		e.removed.Remove(s)
		delete(e.serverIndex, id)
		e.freeServers = append(e.freeServers, s)
		handler.ReleaseServer(id)
	}
}
