package policy

import (
	"math"
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/policy/internal/tenants"
)

// quotaUsage holds the arrivals of tenants at this node. The quotas themselves are in Settings.TenantQuotas.
type quotaUsage struct {
	tenants           tenants.Table
	total             float64   // of all quotas, in requests a second over all nodes
	known             int       // tenants with a lower index have a quota
	changed           bool      // Settings.TenantQuotas is a modified copy, no longer the slice passed to New
	withinQuotaShares []float64 // of a plan, by tenant; nil without one
}

func newQuotaUsage(perSecond []float64) quotaUsage {
	return quotaUsage{known: len(perSecond), total: columns.Sum(perSecond)}
}

func (q *quotaUsage) clone() quotaUsage {
	c := *q
	c.tenants = q.tenants.Clone()
	c.withinQuotaShares = slices.Clone(q.withinQuotaShares)
	return c
}

// updateQuotas applies changed quotas. The slice passed to New is not modified.
func (p *Policy) updateQuotas(changed []Quota) {
	if !p.quotaUsage.changed {
		p.settings.TenantQuotas, p.quotaUsage.changed = slices.Clone(p.settings.TenantQuotas), true
	}
	for _, q := range changed {
		columns.Extend(q.Tenant+1, &p.settings.TenantQuotas)
		p.quotaUsage.total += q.PerSecond - p.settings.TenantQuotas[q.Tenant]
		p.settings.TenantQuotas[q.Tenant] = q.PerSecond
	}
	p.quotaUsage.known = len(p.settings.TenantQuotas)
}

// countArrivalOverQuota counts an arrival of a tenant and reports whether it counts as above the tenant's quota. The
// decision is random; on average it marks the part of the tenant's rate that exceeds its share. A quota or a plan's
// share of 0 means unlimited.
func (p *Policy) countArrivalOverQuota(tenant int) bool {
	within := p.fairShare(tenant) / p.quotaUsage.tenants.RecordArrival(tenant, 1/rateMemory.Seconds())
	if tenant < len(p.quotaUsage.withinQuotaShares) {
		within = p.quotaUsage.withinQuotaShares[tenant]
	}
	return within > 0 && within < 1 && p.randomFloat() > within
}

// fairShare returns the requests a second of a tenant at this node that are within its quota. Traffic is not spread
// evenly over nodes, so the share rises with the ratio of the other tenants' traffic to their shares; it has slack
// for the random variation of few arrivals.
func (p *Policy) fairShare(tenant int) float64 {
	nodes, quota := float64(p.settings.NodeCount), p.settings.TenantQuotas[tenant]
	otherShares := (p.quotaUsage.total - quota) / nodes
	otherRates := p.quotaUsage.tenants.TotalRate() - p.quotaUsage.tenants.ArrivalRate(tenant)
	share := quota / nodes * max(1, otherRates/max(otherShares, minDivisor))
	return share + math.Sqrt(share/rateMemory.Seconds())
}
