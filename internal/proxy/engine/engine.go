package engine

import (
	"time"

	"fernvane/internal/collections/indexset"
	"fernvane/policy"
)

// Endpoint is an entry of an endpoint list. Info.Server and Info.IndexReused are filled in by the Engine;
// Info.StartedAt is a time of the caller's clock.
type Endpoint[S comparable] struct {
	Server S
	Info   policy.Endpoint
}

// Assignment is what a plan says of a server. Info.Server is filled in by the Engine.
type Assignment[S comparable] struct {
	Server S
	Info   policy.Assignment
}

// request is a request in hand, under its index.
type request struct {
	id         uint64
	inFlight   int // attempts
	isAnswered bool
	servers    []int // of its attempts
}

// Engine is one instance of the decisions, with the caller's server ids of type S. Indices of requests and servers are
// used again once nothing refers to them.
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
	serverUses  []int        // by server: attempts of requests in hand
	removed     indexset.Set // servers that were removed and are not forgotten yet
	freeServers []int
}

// New starts an instance at the time now of the caller's clock. The handler is asked to set the timer.
func New[S comparable](now time.Duration, d Decider, handler EffectHandler[S]) *Engine[S] {
	e := &Engine[S]{decider: d, startedAt: now, requestIndex: map[uint64]int{}, serverIndex: map[S]int{}}
	e.apply(now, policy.Input{Kind: policy.TimerFired}, handler)
	return e
}

// EndpointsUpdated takes an endpoint list, or policy.Unavailable without endpoints.
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
		e.forgetServer(s, handler)
	}
}

// RequestArrived takes a request. It returns false, and does nothing, if a request of the same id is in hand.
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

// AttemptEnded takes the end of an attempt: in.Attempt is its number within the request, in.Outcome how it ended. It
// returns false, and does nothing, if the request or server is unknown or the request has no attempt in flight. It
// does not check that in.Attempt is in flight at that server: the caller must see to it.
func (e *Engine[S]) AttemptEnded(now time.Duration, id uint64, server S, in policy.Input, handler EffectHandler[S]) bool {
	index, ok := e.requestIndex[id]
	s, isKnown := e.serverIndex[server]
	if !ok || !isKnown || e.requests[index].inFlight == 0 {
		return false
	}
	e.requests[index].inFlight--
	e.requests[index].isAnswered = e.requests[index].isAnswered || in.ClientAnswered
	in.Kind, in.Request, in.Server = policy.AttemptEnded, index, s
	e.apply(now, in, handler)
	e.releaseRequest(index, handler)
	return true
}

// ClientLeft says that a request needs no answer any more. It does nothing if the request is not in hand.
func (e *Engine[S]) ClientLeft(now time.Duration, id uint64, handler EffectHandler[S]) {
	index, ok := e.requestIndex[id]
	if !ok {
		return
	}
	e.requests[index].isAnswered = true
	e.apply(now, policy.Input{Kind: policy.ClientLeft, Request: index}, handler)
	e.releaseRequest(index, handler)
}

// TrafficTypesChanged takes other traffic types.
func (e *Engine[S]) TrafficTypesChanged(now time.Duration, in policy.Input, handler EffectHandler[S]) {
	in.Kind = policy.TrafficTypesChanged
	e.apply(now, in, handler)
}

// PlanChanged takes a plan. Assignments of servers that are not known are left out.
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

// QuotasChanged takes quotas of tenants that have changed.
func (e *Engine[S]) QuotasChanged(now time.Duration, changed []policy.Quota, handler EffectHandler[S]) {
	e.apply(now, policy.Input{Kind: policy.QuotasChanged, Quotas: changed}, handler)
}

// TimerFired says that the time of the last SetTimer has come.
func (e *Engine[S]) TimerFired(now time.Duration, handler EffectHandler[S]) {
	e.apply(now, policy.Input{Kind: policy.TimerFired}, handler)
}

// releaseRequest frees the index of a request that is answered and has no attempt in flight.
func (e *Engine[S]) releaseRequest(index int, handler EffectHandler[S]) {
	r := &e.requests[index]
	if _, ok := e.requestIndex[r.id]; !ok || !r.isAnswered || r.inFlight > 0 {
		return
	}
	delete(e.requestIndex, r.id)
	e.freeRequests = append(e.freeRequests, index)
	for _, s := range r.servers {
		e.serverUses[s]--
		e.forgetServer(s, handler)
	}
}

// indexOrAdd returns the index of a server, a new one if it is not known. isReused says that a new index was another
// server's before.
func (e *Engine[S]) indexOrAdd(id S) (s int, isReused bool) {
	s, ok := e.serverIndex[id]
	if ok {
		return s, false
	}
	if last := len(e.freeServers) - 1; last >= 0 {
		s, isReused, e.freeServers = e.freeServers[last], true, e.freeServers[:last]
	} else {
		s, e.serverIDs, e.serverUses = len(e.serverIDs), append(e.serverIDs, id), append(e.serverUses, 0)
	}
	e.serverIndex[id], e.serverIDs[s] = s, id
	return s, isReused
}

// forgetServer frees the index of a server that was removed, once no request in hand has or had an attempt there: the
// policy may still look those up.
func (e *Engine[S]) forgetServer(s int, handler EffectHandler[S]) {
	id := e.serverIDs[s]
	if index, ok := e.serverIndex[id]; ok && index == s && e.removed.Has(s) && e.serverUses[s] == 0 {
		e.removed.Remove(s)
		delete(e.serverIndex, id)
		e.freeServers = append(e.freeServers, s)
		handler.Forget(id)
	}
}
