package engine

import (
	"time"

	"fernvane/policy"
)

// EffectHandler executes effects. Requests and servers are identified by the caller's IDs.
type EffectHandler[S comparable] interface {
	// SendAttempt sends a request to a server. The caller must call Engine.AttemptEnded within timeout.
	SendAttempt(request uint64, server S, timeout time.Duration)
	// Reject settles a request with a response that allows the client to retry, after retryAfter if it is not 0.
	Reject(request uint64, retryAfter time.Duration)
	// Fail settles a request with a response that reports an unknown outcome.
	Fail(request uint64)
	// SetTimer schedules a call of Engine.TimerFired, which replaces the one scheduled before.
	SetTimer(after time.Duration)
	// Subscribe requests the endpoint list.
	Subscribe()
	// CloseIdle closes idle connections to a server.
	CloseIdle(server S)
	// ReleaseServer releases the handler's state of a removed server to which no open request refers. It is called when the
	// server's index is released, which may be later than the effect policy.RemoveServer or the endpoint list that removed
	// the server.
	ReleaseServer(server S)
}

// apply passes an input to the decider and the resulting effects to the handler.
func (e *Engine[S]) apply(now time.Duration, in policy.Input, handler EffectHandler[S]) {
	e.effects = e.decider.Handle(now-e.startedAt, &in, e.effects[:0])
	for _, effect := range e.effects {
		e.execute(effect, handler)
	}
	for _, effect := range e.effects { // effects on requests and servers other than the input's own
		switch effect.Kind {
		case policy.Reject, policy.Fail:
			e.releaseRequest(effect.Request, handler)
		case policy.RemoveServer:
			e.releaseServer(effect.Server, handler)
		}
	}
}

// execute updates the reference counts that an effect changes and passes the effect to the handler.
func (e *Engine[S]) execute(effect policy.Effect, handler EffectHandler[S]) {
	switch effect.Kind {
	case policy.SendAttempt:
		r := &e.requests[effect.Request]
		r.inFlight++
		r.servers = append(r.servers, effect.Server)
		e.serverRefs[effect.Server]++
		handler.SendAttempt(r.id, e.serverIDs[effect.Server], effect.Duration)
	case policy.Reject:
		e.requests[effect.Request].isSettled = true
		handler.Reject(e.requests[effect.Request].id, effect.Duration)
	case policy.Fail:
		e.requests[effect.Request].isSettled = true
		handler.Fail(e.requests[effect.Request].id)
	case policy.SetTimer:
		handler.SetTimer(effect.Duration)
	case policy.Subscribe:
		handler.Subscribe()
	case policy.CloseIdle:
		handler.CloseIdle(e.serverIDs[effect.Server])
	case policy.RetainServer, policy.RemoveServer:
		e.removed.Put(effect.Server, effect.Kind == policy.RemoveServer)
	}
}
