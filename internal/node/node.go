// Package node is the door of one instance: it turns outside ids into dense indices and back.
package node

import (
	"time"

	"fernvane/policy"
)

// Out carries out what the module decides, in outside ids.
type Out[S comparable] interface {
	Forward(job uint64, server S, allow time.Duration)
	TurnAway(job uint64, retryIn time.Duration)
	Lose(job uint64)
	Schedule(after time.Duration)
	Listen()
	Release(server S)
}

// Member is a line of a server list in outside ids; Line.Server is filled in here.
type Member[S comparable] struct {
	Server S
	Line   policy.Member
}

type slot struct {
	id       uint64
	hops     int // still out
	answered bool
}

// Node is one instance, with the servers' outside ids of type S.
type Node[S comparable] struct {
	module  *policy.Policy
	origin  time.Duration
	ops     map[uint64]int
	slots   []slot
	free    []int
	servers map[S]int
	ids     []S
	effects []policy.Effect
	members []policy.Member
}

// New starts an instance at the moment now of the outside clock.
func New[S comparable](now time.Duration, s policy.Settings, seed uint32, out Out[S]) *Node[S] {
	n := &Node[S]{module: policy.New(s, seed), origin: now, ops: map[uint64]int{}, servers: map[S]int{}}
	n.apply(now, policy.Input{Kind: policy.Woken}, out)
	return n
}

func (n *Node[S]) server(id S) int {
	s, ok := n.servers[id]
	if !ok {
		s = len(n.ids)
		n.servers[id] = s
		n.ids = append(n.ids, id)
	}
	return s
}

// List hands over a server list.
func (n *Node[S]) List(now time.Duration, scope policy.Scope, lines []Member[S], out Out[S]) {
	n.members = n.members[:0]
	for _, m := range lines {
		line := m.Line
		line.Server = n.server(m.Server)
		line.Started -= n.origin
		n.members = append(n.members, line)
	}
	n.apply(now, policy.Input{Kind: policy.List, Scope: scope, Members: n.members}, out)
}

// Arrive takes an operation; one whose id is still in hand is not taken again.
func (n *Node[S]) Arrive(now time.Duration, id uint64, in policy.Input, out Out[S]) bool {
	if _, ok := n.ops[id]; ok {
		return false
	}
	op := len(n.slots)
	if last := len(n.free) - 1; last >= 0 {
		op, n.free = n.free[last], n.free[:last]
		n.slots[op] = slot{id: id}
	} else {
		n.slots = append(n.slots, slot{id: id})
	}
	n.ops[id] = op
	in.Kind, in.Op = policy.Arrival, op
	n.apply(now, in, out)
	n.release(op)
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
	n.release(op)
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
	n.release(op)
}

// Woken passes on the timer.
func (n *Node[S]) Woken(now time.Duration, out Out[S]) {
	n.apply(now, policy.Input{Kind: policy.Woken}, out)
}

// release frees the index of an operation that is answered and has no hop out.
func (n *Node[S]) release(op int) {
	if s := &n.slots[op]; s.answered && s.hops == 0 {
		if _, ok := n.ops[s.id]; ok {
			delete(n.ops, s.id)
			n.free = append(n.free, op)
		}
	}
}

func (n *Node[S]) apply(now time.Duration, in policy.Input, out Out[S]) {
	n.effects = n.module.Handle(now-n.origin, &in, n.effects[:0])
	for _, e := range n.effects {
		switch e.Kind {
		case policy.SendHop:
			n.slots[e.Op].hops++
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
		}
	}
	for _, e := range n.effects { // an answer to an operation other than the event's own
		if e.Kind == policy.Deny || e.Kind == policy.WriteOff {
			n.release(e.Op)
		}
	}
}
