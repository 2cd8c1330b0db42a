package dispatch

import (
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// ApplyPlan passes a plan of the control plane to the decision module: the number of nodes, the share of requests to admit,
// the servers' shares, and by tenant name the share of requests within the quota. If withinQuota is nil, the decision module
// determines the tenants' shares.
func (d *Dispatcher) ApplyPlan(
	nodes int, admittedShare float64, withinQuota map[string]float64, servers []plan.ServerShare,
) {
	d.mu.Lock()
	defer d.unlock()
	in := policy.Input{NodeCount: max(nodes, 1), MaxAdmittedShare: admittedShare}
	if withinQuota != nil {
		in.WithinQuotaShares = d.quotas.planShares.update(withinQuota, d.names.tenants, d.settings.TenantQuotas)
	}
	d.engine.PlanChanged(d.now(), in, assignments(servers), d.effects())
}

const (
	// avoidPreference is the policy.Assignment.Preference of a server to avoid.
	avoidPreference = -1
	// minGreatestShare prevents a division by zero if all servers have a share of 0.
	minGreatestShare = 1e-9
)

// assignments converts servers' shares to the decision module's representation, relative to the greatest share.
func assignments(servers []plan.ServerShare) []engine.Assignment[string] {
	greatest := 0.0
	for _, s := range servers {
		greatest = max(greatest, s.Share)
	}
	all := make([]engine.Assignment[string], 0, len(servers))
	for _, s := range servers {
		info := policy.Assignment{
			Preference:    s.Share / max(greatest, minGreatestShare),
			SlowStartRate: s.SlowStartRate,
			EjectFor:      s.EjectionRemaining,
		}
		if s.IsAvoided {
			info.Preference = avoidPreference
		}
		all = append(all, engine.Assignment[string]{Server: s.ID, Info: info})
	}
	return all
}

// planShares stores the share of requests within the quota by tenant, from the last plan. The decision module retains a
// reference to the slice, which changes only with the lock held, directly before the module receives the next plan.
type planShares struct {
	shares    []float64
	lastNamed []int // tenants in the last plan
}

// update applies the tenants' shares of a plan. All other tenants, and those without a quota, have a share of 1. The cost is
// proportional to the number of tenants in the plans, not to the number of all tenants.
func (p *planShares) update(plan map[string]float64, tenants map[string]int, quotas []float64) []float64 {
	for _, tenant := range p.lastNamed {
		p.shares[tenant] = 1
	}
	p.lastNamed = p.lastNamed[:0]
	for len(p.shares) < len(quotas) {
		p.shares = append(p.shares, 1)
	}
	for name, share := range plan {
		if tenant, isKnown := tenants[name]; isKnown && quotas[tenant] > 0 {
			p.shares[tenant] = share
			p.lastNamed = append(p.lastNamed, tenant)
		}
	}
	return p.shares
}
