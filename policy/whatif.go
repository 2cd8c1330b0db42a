package policy

import (
	"slices"
	"time"
)

// WhatIf tells what an instance that knows all that this one knows would decide on an input under other settings,
// which name the same types and tenants. Nothing of this one changes, so a difference is told once and not carried
// on: what the other decisions would have led to is not known. Types of an operator's routes keep their figures.
func (p *Policy) WhatIf(s *Settings, now time.Duration, in *Input, effects []Effect) []Effect {
	c := p.copied(in.Op)
	c.set = *s
	if c.allowances = sum(s.AllowancePerS); p.reallowed { // what has changed since the start is no setting
		c.set.AllowancePerS, c.allowances = p.set.AllowancePerS, p.allowances
	}
	c.set.OnRequest, c.set.Types = p.set.OnRequest, slices.Clone(p.set.Types)
	for k := range min(len(s.Types), len(c.set.Types)) {
		pool := c.set.Types[k].Pool
		c.set.Types[k] = s.Types[k]
		c.set.Types[k].Pool = pool
	}
	return c.Handle(now, in, effects)
}

// Hops tells how many hops an operation has had.
func (p *Policy) Hops(op int) int {
	if op >= len(p.ops) {
		return 0
	}
	return len(p.ops[op].hops)
}

// Servers is how many the instance keeps figures of.
func (p *Policy) Servers() int { return len(p.ready) }

// copied shares no memory with p that an input for the operation could write to; a test looks at each field.
func (p *Policy) copied(op int) *Policy {
	c := *p
	c.effects = nil
	dup(&c.ready, &c.listed, &c.before, &c.member, &c.lost)
	dup(&c.doubt, &c.refused, &c.rank, &c.zone, &c.cell, &c.inFlight, &c.streak, &c.pauses, &c.strikes, &c.soft, &c.heard, &c.pool,
		&c.open, &c.order, &c.rooms, &c.roomMost)
	dup(&c.scale, &c.weight, &c.due, &c.coldPace, &c.ghosts, &c.slowness, &c.part, &c.pace, &c.samples, &c.denyShare,
		&c.rates, &c.retries, &c.copies, &c.within)
	dup(&c.ghostSent, &c.smoothed, &c.runStart, &c.lastSpike, &c.answered, &c.restUntil, &c.forecast,
		&c.coldSince, &c.interval, &c.usual, &c.base, &c.droppedAt)
	dup(&c.labels)
	dup(&c.breaks, &c.records, &c.byType, &c.byKey)
	dup(&c.shed)
	c.tenants = p.tenants.clone()
	dup(&c.onsets)
	dup(&c.ops)
	c.rotation = p.rotation.Clone()
	c.judged, c.busy = p.judged.Clone(), p.busy.Clone()
	c.cold, c.dropped, c.shared, c.troubled = p.cold.Clone(), p.dropped.Clone(), p.shared.Clone(), p.troubled.Clone()
	dup(&c.troubles)
	for s := range c.troubled.All() {
		dup(&c.troubles[s])
	}
	for _, open := range c.open {
		dup(&c.ops[open].hops)
	}
	if op < len(c.ops) && c.ops[op].state == closed { // a hop of it may still end
		dup(&c.ops[op].hops)
	}
	return &c
}

func dup[T any](figures ...*[]T) {
	for _, f := range figures {
		*f = slices.Clone(*f)
	}
}
