// Package engine is the door of one instance: it turns outside ids into dense indices and back.
package engine

import (
	"time"

	"fernvane/internal/collections/indexset"
	"fernvane/policy"
)

// Module decides for one instance: policy.Policy wherever traffic is served, another only to be compared with it.
type Module interface {
	Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect
}

// Maker makes the module of an instance from its settings and its seed.
type Maker func(policy.Settings, uint32) Module

// Policy makes the project's own.
func Policy(s policy.Settings, seed uint32) Module { return policy.New(s, seed) }

// Out carries out what the module decides, in outside ids.
type Out[S comparable] interface {
	Forward(job uint64, server S, allow time.Duration)
	TurnAway(job uint64, retryIn time.Duration)
	Lose(job uint64)
	Schedule(after time.Duration)
	Listen()
	Release(server S)
	Forget(server S) // it has gone and nothing names it any more
}

// Member is a line of a server list in outside ids; Line.Server is filled in here.
type Member[S comparable] struct {
	Server S
	Line   policy.Member
}

// Share is what a plan says of a server in outside ids; Line.Server is filled in here.
type Share[S comparable] struct {
	Server S
	Line   policy.Share
}

type slot struct {
	id       uint64
	hops     int // still out
	answered bool
	named    []int // servers of its hops
}

// Node is one instance, with the servers' outside ids of type S.
type Node[S comparable] struct {
	module  Module
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
	members []policy.Member
}

// New starts an instance at the moment now of the outside clock.
func New[S comparable](now time.Duration, m Module, out Out[S]) *Node[S] {
	n := &Node[S]{module: m, origin: now, ops: map[uint64]int{}, servers: map[S]int{}}
	n.apply(now, policy.Input{Kind: policy.Woken}, out)
	return n
}

// server finds a server's index, or gives it one, if possible that of another that is forgotten.
func (n *Node[S]) server(id S) (s int, other bool) {
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
func (n *Node[S]) forget(s int, out Out[S]) {
	id := n.ids[s]
	if at, ok := n.servers[id]; ok && at == s && n.gone.Has(s) && n.uses[s] == 0 {
		n.gone.Remove(s)
		delete(n.servers, id)
		n.unused = append(n.unused, s)
		out.Forget(id)
	}
}

// List hands over a server list.
func (n *Node[S]) List(now time.Duration, scope policy.Scope, lines []Member[S], out Out[S]) {
	n.members = n.members[:0]
	if scope == policy.Whole || scope == policy.Saved { // absent: gone
		for _, s := range n.servers {
			n.gone.Add(s)
		}
	}
	for _, m := range lines {
		line := m.Line
		if _, known := n.servers[m.Server]; !known && line.Condition == policy.Gone {
			continue
		}
		line.Server, line.Other = n.server(m.Server)
		line.Started -= n.origin
		n.gone.Put(line.Server, line.Condition == policy.Gone)
		n.members = append(n.members, line)
	}
	n.apply(now, policy.Input{Kind: policy.List, Scope: scope, Members: n.members}, out)
	for s := range n.gone.All() {
		n.forget(s, out)
	}
}

// Arrive takes an operation; one whose id is still in hand is not taken again.
func (n *Node[S]) Arrive(now time.Duration, id uint64, in policy.Input, out Out[S]) bool {
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
	in.Kind, in.Op = policy.Arrival, op
	n.apply(now, in, out)
	n.release(op, out)
	return true
}

// HopEnded passes on how a hop ended; it tells whether the operation and server are known.
func (n *Node[S]) HopEnded(now time.Duration, id uint64, server S, in policy.Input, out Out[S]) bool {
	op, ok := n.ops[id]
	s, listed := n.servers[server]
	if !ok || !listed || n.slots[op].hops == 0 {
		return false
	}
	n.slots[op].hops--
	n.slots[op].answered = n.slots[op].answered || in.Final
	in.Kind, in.Op, in.Server = policy.HopEnded, op, s
	n.apply(now, in, out)
	n.release(op, out)
	return true
}

// Left tells that an operation needs no answer any more.
func (n *Node[S]) Left(now time.Duration, id uint64, out Out[S]) {
	op, ok := n.ops[id]
	if !ok {
		return // already answered and dropped
	}
	n.slots[op].answered = true
	n.apply(now, policy.Input{Kind: policy.Left, Op: op}, out)
	n.release(op, out)
}

// Retype tells of other traffic types.
func (n *Node[S]) Retype(now time.Duration, in policy.Input, out Out[S]) {
	in.Kind = policy.Retyped
	n.apply(now, in, out)
}

// Planned hands over what a plan says; servers that are not listed are left out.
func (n *Node[S]) Planned(now time.Duration, in policy.Input, shares []Share[S], out Out[S]) {
	in.Kind, in.Shares = policy.Planned, make([]policy.Share, 0, len(shares))
	for _, s := range shares {
		if at, ok := n.servers[s.Server]; ok {
			s.Line.Server = at
			in.Shares = append(in.Shares, s.Line)
		}
	}
	n.apply(now, in, out)
}

// SetAllowances tells of tenants' allowances that have changed.
func (n *Node[S]) SetAllowances(now time.Duration, changed []policy.Allowance, out Out[S]) {
	n.apply(now, policy.Input{Kind: policy.AllowancesChanged, Allowances: changed}, out)
}

// Woken passes on the timer.
func (n *Node[S]) Woken(now time.Duration, out Out[S]) {
	n.apply(now, policy.Input{Kind: policy.Woken}, out)
}

// release frees the index of an operation that is answered and has no hop out.
func (n *Node[S]) release(op int, out Out[S]) {
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

func (n *Node[S]) apply(now time.Duration, in policy.Input, out Out[S]) {
	n.effects = n.module.Handle(now-n.origin, &in, n.effects[:0])
	for _, e := range n.effects {
		switch e.Kind {
		case policy.SendHop:
			o := &n.slots[e.Op]
			o.hops, o.named = o.hops+1, append(o.named, e.Server)
			n.uses[e.Server]++
			out.Forward(n.slots[e.Op].id, n.ids[e.Server], e.For)
		case policy.Deny:
			n.slots[e.Op].answered = true
			out.TurnAway(n.slots[e.Op].id, e.For)
		case policy.WriteOff:
			n.slots[e.Op].answered = true
			out.Lose(n.slots[e.Op].id)
		case policy.Wake:
			out.Schedule(e.For)
		case policy.Subscribe:
			out.Listen()
		case policy.Release:
			out.Release(n.ids[e.Server])
		case policy.Keep, policy.Forget:
			n.gone.Put(e.Server, e.Kind == policy.Forget)
		}
	}
	for _, e := range n.effects { // an answer to an operation other than the event's own
		if e.Kind == policy.Deny || e.Kind == policy.WriteOff {
			n.release(e.Op, out)
		} else if e.Kind == policy.Forget {
			n.forget(e.Server, out)
		}
	}
}
