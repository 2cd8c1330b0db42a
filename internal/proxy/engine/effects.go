package engine

import (
	"time"

	"fernvane/policy"
)

// EffectHandler carries out effects, under the caller's ids.
type EffectHandler[S comparable] interface {
	// SendAttempt sends a request to a server. AttemptEnded must follow, after timeout at the latest.
	SendAttempt(request uint64, server S, timeout time.Duration)
	// Reject gives the final answer that the client may retry, after retryAfter if it is not 0.
	Reject(request uint64, retryAfter time.Duration)
	// Fail gives the final answer that the outcome is unknown.
	Fail(request uint64)
	// SetTimer asks for TimerFired.
	SetTimer(after time.Duration)
	// Subscribe requests the endpoint list.
	Subscribe()
	// CloseIdle closes idle connections to a server.
	CloseIdle(server S)
	// Forget says that a server is gone and that no request in hand refers to it any more. It comes when the server's
	// index is released, which may be later than the effect policy.Forget that starts it, or than a list without it.
	Forget(server S)
}

// apply hands an input to the decider and its effects to the handler.
func (e *Engine[S]) apply(now time.Duration, in policy.Input, handler EffectHandler[S]) {
	e.effects = e.decider.Handle(now-e.startedAt, &in, e.effects[:0])
	for _, effect := range e.effects {
		e.carryOut(effect, handler)
	}
	for _, effect := range e.effects { // answers to other requests than the input's own
		switch effect.Kind {
		case policy.Reject, policy.Fail:
			e.releaseRequest(effect.Request, handler)
		case policy.Forget:
			e.forgetServer(effect.Server, handler)
		}
	}
}

func (e *Engine[S]) carryOut(effect policy.Effect, handler EffectHandler[S]) {
	switch effect.Kind {
	case policy.SendAttempt:
		r := &e.requests[effect.Request]
		r.inFlight++
		r.servers = append(r.servers, effect.Server)
		e.serverUses[effect.Server]++
		handler.SendAttempt(r.id, e.serverIDs[effect.Server], effect.Duration)
	case policy.Reject:
		e.requests[effect.Request].isAnswered = true
		handler.Reject(e.requests[effect.Request].id, effect.Duration)
	case policy.Fail:
		e.requests[effect.Request].isAnswered = true
		handler.Fail(e.requests[effect.Request].id)
	case policy.SetTimer:
		handler.SetTimer(effect.Duration)
	case policy.Subscribe:
		handler.Subscribe()
	case policy.CloseIdle:
		handler.CloseIdle(e.serverIDs[effect.Server])
	case policy.Retain, policy.Forget:
		e.removed.Put(effect.Server, effect.Kind == policy.Forget)
	}
}
