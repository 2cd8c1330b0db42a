package policy

import (
	"slices"
	"time"

	"fernvane/internal/collections/columns"
)

// WhatIf returns the effects that an instance with the same state would produce for an input under other settings,
// which must name the same traffic types and tenants. It does not change the instance, so it does not show the later
// consequences of the other decisions. Traffic types of an operator's routes keep their settings.
func (p *Policy) WhatIf(s *Settings, now time.Duration, in *Input, effects []Effect) []Effect {
	c := p.clone(in.Request)
	c.settings, c.quotaUsage.changed = *s, false // QuotasChanged clones the quotas first
	c.quotaUsage.total = columns.Sum(s.TenantQuotas)
	if p.quotaUsage.changed {
		c.settings.TenantQuotas, c.quotaUsage.total = p.settings.TenantQuotas, p.quotaUsage.total
	}
	c.settings.MustRequestEndpoints = p.settings.MustRequestEndpoints
	c.settings.TrafficTypes = slices.Clone(p.settings.TrafficTypes)
	c.settings.Placements = append(slices.Clone(p.settings.Placements), s.Placements...) // traffic types of routes refer to the instance's own placements
	for i := range min(len(s.TrafficTypes), len(c.settings.TrafficTypes)) {
		t := &c.settings.TrafficTypes[i]
		labels := t.PoolLabels
		*t = s.TrafficTypes[i]
		t.PoolLabels = labels
		t.PlacementBit <<= len(p.settings.Placements)
	}
	for server := range c.readiness.Len() {
		c.updatePlacements(server)
	}
	return c.Handle(now, in, effects)
}

// clone returns a copy that shares no memory with p that an input for the request could write to. A test checks each
// field.
func (p *Policy) clone(request int) *Policy {
	c := *p
	c.effects = nil
	c.requests = p.requests.clone(request)
	c.readiness = p.readiness.Clone()
	c.servers = p.servers.clone()
	c.subset = p.subset.clone()
	c.picker = p.picker.clone()
	c.pauses = p.pauses.clone()
	c.outliers = p.outliers.clone()
	c.suspicion = p.suspicion.clone()
	c.attribution = p.attribution.clone()
	c.latency = p.latency.clone()
	c.load = p.load.clone()
	c.slowStart = p.slowStart.clone()
	c.drain = p.drain.clone()
	c.routes = p.routes.clone()
	c.admission = p.admission.clone()
	c.quotaUsage = p.quotaUsage.clone()
	c.budgets = p.budgets.clone()
	c.plan = p.plan.clone()
	return &c
}
