package plan

import "time"

const minTenantRate = 1e-9 // requests per second; tenants with a lower rate are removed, since they are within their allowance

// tenant tracks one tenant's traffic over all forwarders in requests per second.
type tenant struct {
	allowance float64
	rate      float64 // decays with rateTimeConstant
}

// tenantReported adds one forwarder's traffic of a tenant. It ignores new tenants once maxEntriesPerTable are stored, and long names.
func (p *Planner) tenantReported(reported TenantReport) {
	t := p.tenants[reported.Name]
	if t == nil {
		if len(p.tenants) >= maxEntriesPerTable || len(reported.Name) > maxTextBytes {
			return
		}
		t = &tenant{}
		p.tenants[reported.Name] = t
	}
	t.allowance = max(t.allowance, reported.Allowance)
	t.rate += float64(max(reported.Requests, 0)) / rateTimeConstant.Seconds()
}

func (p *Planner) decayTenants(elapsed time.Duration) {
	retained := decayFactor(elapsed, rateTimeConstant)
	for name, t := range p.tenants {
		if t.rate *= retained; t.rate < minTenantRate {
			delete(p.tenants, name)
		}
	}
}

// withinAllowance returns the share of each tenant's requests that is within its allowance. As in package policy, a tenant's
// effective allowance grows in proportion when the other tenants' traffic exceeds the sum of their allowances, including the
// allowances of tenants without traffic. A general excess over the sum of allowances is therefore not attributed to one tenant.
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
