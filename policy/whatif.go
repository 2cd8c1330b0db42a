package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

// WhatIf tells what an instance that knows all that this one knows would decide on an input under other
// settings, which name the same types and tenants. Nothing of this one changes, so a difference is told once
// and not carried on: what the other decisions would have led to is not known. Types of an operator's routes
// keep their figures.
func (p *Policy) WhatIf(s *Settings, now time.Duration, in *Input, effects []Effect) []Effect {
	c := p.copied(in.Request)
	c.set, c.reallowed = *s, false                               // allowances are cloned ahead of a change
	if c.allowances = columns.Sum(s.TenantQuotas); p.reallowed { // changed since the start: no setting
		c.set.TenantQuotas, c.allowances = p.set.TenantQuotas, p.allowances
	}
	c.set.MustRequestEndpoints, c.set.TrafficTypes = p.set.MustRequestEndpoints, slices.Clone(p.set.TrafficTypes)
	c.set.Placements = append(slices.Clone(p.set.Placements), s.Placements...) // types of routes keep to the own ones
	for k := range min(len(s.TrafficTypes), len(c.set.TrafficTypes)) {
		pool := c.set.TrafficTypes[k].PoolLabels
		c.set.TrafficTypes[k] = s.TrafficTypes[k]
		c.set.TrafficTypes[k].PoolLabels = pool
		c.set.TrafficTypes[k].PlacementBit <<= len(p.set.Placements)
	}
	for server := range c.members.Len() {
		c.place(server)
	}
	return c.Handle(now, in, effects)
}

// AttemptCount tells how many hops an operation has had.
func (p *Policy) AttemptCount(op int) int {
	if op >= len(p.ops) {
		return 0
	}
	return len(p.ops[op].hops)
}

// ServerCount is how many the instance keeps figures of.
func (p *Policy) ServerCount() int { return p.members.Len() }

// copied shares no memory with p that an input for the operation could write to; a test looks at each field.
func (p *Policy) copied(op int) *Policy {
	c := *p
	c.effects = nil
	columns.Clone(&c.member, &c.lost)
	columns.Clone(&c.doubt, &c.refused, &c.rank, &c.zone, &c.machine, &c.cell, &c.inFlight, &c.streak, &c.pauses,
		&c.strikes, &c.soft, &c.pool, &c.order, &c.rooms, &c.roomMost)
	columns.Clone(&c.scale, &c.weight, &c.due, &c.coldPace, &c.abandoned, &c.slowness, &c.part, &c.pace, &c.samples,
		&c.denyShare, &c.rates, &c.retries, &c.copies, &c.within)
	columns.Clone(&c.abandonedSent, &c.runStart, &c.lastSpike, &c.answered, &c.forecast,
		&c.coldSince, &c.interval, &c.usual, &c.base, &c.droppedAt, &c.usedAt)
	columns.Clone(&c.breaks, &c.byType, &c.byKey)
	columns.Clone(&c.shed)
	c.members, c.failures, c.tenants = p.members.Clone(), p.failures.Clone(), p.tenants.Clone()
	c.smoothed = p.smoothed.Clone()
	columns.Clone(&c.onsets)
	columns.Clone(&c.ops)
	c.rotation = p.rotation.Clone()
	c.records, c.busy = p.records.Clone(), p.busy.Clone()
	c.cold, c.shared, c.leaving = p.cold.Clone(), p.shared.Clone(), p.leaving.Clone()
	c.open = p.open.Clone()
	for _, open := range c.open.Items() {
		columns.Clone(&c.ops[open].hops)
	}
	if op < len(c.ops) && c.ops[op].state == closed { // a hop of it may still end
		columns.Clone(&c.ops[op].hops)
	}
	return &c
}
