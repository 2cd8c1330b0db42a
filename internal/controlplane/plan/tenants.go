package plan

import "time"

const minTenantRate = 1e-9 // requests per second below which a tenant is forgotten: it is within its allowance

// tenant is one tenant's traffic over all forwarders, in requests per second.
type tenant struct {
	allowance float64
	rate      float64 // decaying with rateTimeConstant
}

// tenantReported takes in one forwarder's traffic of a tenant. A tenant beyond maxEntriesPerTable is ignored.
func (p *Planner) tenantReported(reported TenantReport) {
	t := p.tenants[reported.Name]
	if t == nil {
		if len(p.tenants) >= maxEntriesPerTable {
			return
		}
		t = &tenant{}
		p.tenants[reported.Name] = t
	}
	t.allowance = max(t.allowance, reported.Allowance)
	t.rate += float64(max(reported.Requests, 0)) / rateTimeConstant.Seconds()
}

func (p *Planner) decayTenants(passed time.Duration) {
	keep := decay(passed, rateTimeConstant)
	for name, t := range p.tenants {
		if t.rate *= keep; t.rate < minTenantRate {
			delete(p.tenants, name)
		}
	}
}

// withinAllowance returns the share of each tenant's requests that is within its allowance. As in package policy an allowance
// grows with the other tenants' traffic where that exceeds their allowances, those without traffic included: what all send
// beyond the sum of allowances is no one tenant's excess.
func (p *Planner) withinAllowance() (shares []TenantShare) {
	names := sortedKeys(p.tenants)
	totalAllowance, totalRate := 0.0, 0.0
	for _, name := range names {
		t := p.tenants[name]
		totalAllowance += t.allowance
		totalRate += t.rate
	}
	for _, f := range p.forwarders {
		totalAllowance = max(totalAllowance, f.settings.TotalAllowance)
	}
	for _, name := range names {
		t := p.tenants[name]
		if t.allowance <= 0 {
			continue
		}
		othersRate, othersAllowance := totalRate-t.rate, totalAllowance-t.allowance
		effective := t.allowance * max(1, othersRate/max(othersAllowance, minDivisor))
		shares = append(shares, TenantShare{Tenant: name, Share: min(1, effective/max(t.rate, minDivisor))})
	}
	return shares
}
