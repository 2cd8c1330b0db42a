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
	c := p.clone(in.Request)
	c.settings, c.quotasChanged = *s, false                          // allowances are cloned ahead of a change
	if c.totalQuota = columns.Sum(s.TenantQuotas); p.quotasChanged { // changed since the start: no setting
		c.settings.TenantQuotas, c.totalQuota = p.settings.TenantQuotas, p.totalQuota
	}
	c.settings.MustRequestEndpoints, c.settings.TrafficTypes = p.settings.MustRequestEndpoints, slices.Clone(p.settings.TrafficTypes)
	c.settings.Placements = append(slices.Clone(p.settings.Placements), s.Placements...) // types of routes keep to the own ones
	for k := range min(len(s.TrafficTypes), len(c.settings.TrafficTypes)) {
		pool := c.settings.TrafficTypes[k].PoolLabels
		c.settings.TrafficTypes[k] = s.TrafficTypes[k]
		c.settings.TrafficTypes[k].PoolLabels = pool
		c.settings.TrafficTypes[k].PlacementBit <<= len(p.settings.Placements)
	}
	for server := range c.readiness.Len() {
		c.matchPlacements(server)
	}
	return c.Handle(now, in, effects)
}

// AttemptCount tells how many hops an operation has had.
func (p *Policy) AttemptCount(op int) int {
	if op >= len(p.requests) {
		return 0
	}
	return len(p.requests[op].attempts)
}

// ServerCount is how many the instance keeps figures of.
func (p *Policy) ServerCount() int { return p.readiness.Len() }

// copied shares no memory with p that an input for the operation could write to; a test looks at each field.
func (p *Policy) clone(op int) *Policy {
	c := *p
	c.effects = nil
	columns.Clone(&c.inSubset, &c.unreachable)
	columns.Clone(&c.suspicion, &c.overloadsInRow, &c.rank, &c.zone, &c.machineKind, &c.cell, &c.inFlight, &c.spikesInRow, &c.pauseCount,
		&c.consecutiveFailures, &c.softFailures, &c.subset, &c.classes, &c.routeInFlight, &c.routeLimits)
	columns.Clone(&c.listedWeight, &c.turnWeight, &c.credit, &c.slowStartTokens, &c.abandoned, &c.slowness, &c.preference, &c.plannedRate, &c.answerCount,
		&c.rejectShare, &c.arrivalRates, &c.retryBudget, &c.hedgeBudget, &c.withinQuotaShares)
	columns.Clone(&c.abandonedSentAt, &c.runStart, &c.lastSpike, &c.lastAnswerAt, &c.nextPause,
		&c.slowStartSince, &c.pauseInterval, &c.typicalLatency, &c.unloadedLatency, &c.lastSignAt, &c.lastActivity)
	columns.Clone(&c.breakingServers, &c.typeFailures, &c.keyFailures)
	columns.Clone(&c.shedEntries)
	c.readiness, c.ejections, c.tenants = p.readiness.Clone(), p.ejections.Clone(), p.tenants.Clone()
	c.smoothedLatency = p.smoothedLatency.Clone()
	columns.Clone(&c.onsets)
	columns.Clone(&c.requests)
	c.rotation = p.rotation.Clone()
	c.serverFailures, c.activeTypes = p.serverFailures.Clone(), p.activeTypes.Clone()
	c.slowStarting, c.assigned, c.closing = p.slowStarting.Clone(), p.assigned.Clone(), p.closing.Clone()
	c.openRequests = p.openRequests.Clone()
	for _, open := range c.openRequests.Items() {
		columns.Clone(&c.requests[open].attempts)
	}
	if op < len(c.requests) && c.requests[op].state == stateDone { // a hop of it may still end
		columns.Clone(&c.requests[op].attempts)
	}
	return &c
}
