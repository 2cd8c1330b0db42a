// Package engine is the door of one instance: it turns outside ids into dense indices and back.
package engine

import (
	"time"

	"fernvane/internal/collections/indexset"
	"fernvane/policy"
)

// Decider decides for one instance: policy.Policy wherever traffic is served, another only to be compared with it.
type Decider interface {
	Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect
}

// DeciderFactory makes the module of an instance from its settings and its seed.
type DeciderFactory func(policy.Settings, uint32) Decider

// NewPolicy makes the project's own.
func NewPolicy(s policy.Settings, seed uint32) Decider { return policy.New(s, seed) }

// EffectHandler carries out what the module decides, in outside ids.
type EffectHandler[S comparable] interface {
	SendAttempt(job uint64, server S, allow time.Duration)
	Reject(job uint64, retryIn time.Duration)
	Fail(job uint64)
	SetTimer(after time.Duration)
	Subscribe()
	CloseIdle(server S)
	Forget(server S) // it has gone and nothing names it any more
}

// Endpoint is a line of a server list in outside ids; Line.Server is filled in here.
type Endpoint[S comparable] struct {
	Server S
	Info   policy.Endpoint
}

// Assignment is what a plan says of a server in outside ids; Line.Server is filled in here.
type Assignment[S comparable] struct {
	Server S
	Info   policy.Assignment
}

type slot struct {
	id       uint64
	hops     int // still out
	answered bool
	named    []int // servers of its hops
}

// Engine is one instance, with the servers' outside ids of type S.
type Engine[S comparable] struct {
	module  Decider
	origin  time.Duration
	ops     map[uint64]int
	slots   []slot
	free    []int
	servers map[S]int
	ids     []S
	uses    []int        // by server: hops of operations in hand
	gone    indexset.Set // servers that have gone and are not forgotten yet
	unused  []int        // indices of servers that are forgotten
	effects []policy.Effect
	members []policy.Endpoint
}

// New starts an instance at the moment now of the outside clock.
func New[S comparable](now time.Duration, m Decider, out EffectHandler[S]) *Engine[S] {
	n := &Engine[S]{module: m, origin: now, ops: map[uint64]int{}, servers: map[S]int{}}
	n.apply(now, policy.Input{Kind: policy.TimerFired}, out)
	return n
}

// server finds a server's index, or gives it one, if possible that of another that is forgotten.
func (n *Engine[S]) server(id S) (s int, other bool) {
	s, ok := n.servers[id]
	if ok {
		return s, false
	}
	if last := len(n.unused) - 1; last >= 0 {
		s, other, n.unused = n.unused[last], true, n.unused[:last]
	} else {
		s, n.ids, n.uses = len(n.ids), append(n.ids, id), append(n.uses, 0)
	}
	n.servers[id], n.ids[s] = s, id
	return s, other
}

// forget frees the index of a server that has gone, once no operation in hand has a hop there, out or ended: the
// module may still ask which those were.
func (n *Engine[S]) forget(s int, out EffectHandler[S]) {
	id := n.ids[s]
	if at, ok := n.servers[id]; ok && at == s && n.gone.Has(s) && n.uses[s] == 0 {
		n.gone.Remove(s)
		delete(n.servers, id)
		n.unused = append(n.unused, s)
		out.Forget(id)
	}
}

// EndpointsUpdated hands over a server list.
func (n *Engine[S]) EndpointsUpdated(now time.Duration, scope policy.UpdateScope, lines []Endpoint[S], out EffectHandler[S]) {
	n.members = n.members[:0]
	if scope == policy.Full || scope == policy.Cached { // absent: gone
		for _, s := range n.servers {
			n.gone.Add(s)
		}
	}
	for _, m := range lines {
		line := m.Info
		if _, known := n.servers[m.Server]; !known && line.Condition == policy.Removed {
			continue
		}
		line.Server, line.IndexReused = n.server(m.Server)
		line.StartedAt -= n.origin
		n.gone.Put(line.Server, line.Condition == policy.Removed)
		n.members = append(n.members, line)
	}
	n.apply(now, policy.Input{Kind: policy.EndpointsUpdated, Scope: scope, Endpoints: n.members}, out)
	for s := range n.gone.All() {
		n.forget(s, out)
	}
}

// RequestArrived takes an operation; one whose id is still in hand is not taken again.
func (n *Engine[S]) RequestArrived(now time.Duration, id uint64, in policy.Input, out EffectHandler[S]) bool {
	if _, ok := n.ops[id]; ok {
		return false
	}
	op := len(n.slots)
	if last := len(n.free) - 1; last >= 0 {
		op, n.free = n.free[last], n.free[:last]
		n.slots[op] = slot{id: id, named: n.slots[op].named[:0]}
	} else {
		n.slots = append(n.slots, slot{id: id})
	}
	n.ops[id] = op
	in.Kind, in.Request = policy.RequestArrived, op
	n.apply(now, in, out)
	n.release(op, out)
	return true
}

// AttemptEnded passes on how a hop ended; it tells whether the operation and server are known.
func (n *Engine[S]) AttemptEnded(now time.Duration, id uint64, server S, in policy.Input, out EffectHandler[S]) bool {
	op, ok := n.ops[id]
	s, listed := n.servers[server]
	if !ok || !listed || n.slots[op].hops == 0 {
		return false
	}
	n.slots[op].hops--
	n.slots[op].answered = n.slots[op].answered || in.ClientAnswered
	in.Kind, in.Request, in.Server = policy.AttemptEnded, op, s
	n.apply(now, in, out)
	n.release(op, out)
	return true
}

// ClientLeft tells that an operation needs no answer any more.
func (n *Engine[S]) ClientLeft(now time.Duration, id uint64, out EffectHandler[S]) {
	op, ok := n.ops[id]
	if !ok {
		return // already answered and dropped
	}
	n.slots[op].answered = true
	n.apply(now, policy.Input{Kind: policy.ClientLeft, Request: op}, out)
	n.release(op, out)
}

// TrafficTypesChanged tells of other traffic types.
func (n *Engine[S]) TrafficTypesChanged(now time.Duration, in policy.Input, out EffectHandler[S]) {
	in.Kind = policy.TrafficTypesChanged
	n.apply(now, in, out)
}

// PlanChanged hands over what a plan says; servers that are not listed are left out.
func (n *Engine[S]) PlanChanged(now time.Duration, in policy.Input, shares []Assignment[S], out EffectHandler[S]) {
	in.Kind, in.Assignments = policy.PlanChanged, make([]policy.Assignment, 0, len(shares))
	for _, s := range shares {
		if at, ok := n.servers[s.Server]; ok {
			s.Info.Server = at
			in.Assignments = append(in.Assignments, s.Info)
		}
	}
	n.apply(now, in, out)
}

// QuotasChanged tells of tenants' allowances that have changed.
func (n *Engine[S]) QuotasChanged(now time.Duration, changed []policy.Quota, out EffectHandler[S]) {
	n.apply(now, policy.Input{Kind: policy.QuotasChanged, Quotas: changed}, out)
}

// TimerFired passes on the timer.
func (n *Engine[S]) TimerFired(now time.Duration, out EffectHandler[S]) {
	n.apply(now, policy.Input{Kind: policy.TimerFired}, out)
}

// release frees the index of an operation that is answered and has no hop out.
func (n *Engine[S]) release(op int, out EffectHandler[S]) {
	o := &n.slots[op]
	if _, ok := n.ops[o.id]; !ok || !o.answered || o.hops > 0 {
		return
	}
	delete(n.ops, o.id)
	n.free = append(n.free, op)
	for _, s := range o.named {
		n.uses[s]--
		n.forget(s, out)
	}
}

func (n *Engine[S]) apply(now time.Duration, in policy.Input, out EffectHandler[S]) {
	n.effects = n.module.Handle(now-n.origin, &in, n.effects[:0])
	for _, e := range n.effects {
		switch e.Kind {
		case policy.SendAttempt:
			o := &n.slots[e.Request]
			o.hops, o.named = o.hops+1, append(o.named, e.Server)
			n.uses[e.Server]++
			out.SendAttempt(n.slots[e.Request].id, n.ids[e.Server], e.Duration)
		case policy.Reject:
			n.slots[e.Request].answered = true
			out.Reject(n.slots[e.Request].id, e.Duration)
		case policy.Fail:
			n.slots[e.Request].answered = true
			out.Fail(n.slots[e.Request].id)
		case policy.SetTimer:
			out.SetTimer(e.Duration)
		case policy.Subscribe:
			out.Subscribe()
		case policy.CloseIdle:
			out.CloseIdle(n.ids[e.Server])
		case policy.Retain, policy.Forget:
			n.gone.Put(e.Server, e.Kind == policy.Forget)
		}
	}
	for _, e := range n.effects { // an answer to an operation other than the event's own
		if e.Kind == policy.Reject || e.Kind == policy.Fail {
			n.release(e.Request, out)
		} else if e.Kind == policy.Forget {
			n.forget(e.Server, out)
		}
	}
}
