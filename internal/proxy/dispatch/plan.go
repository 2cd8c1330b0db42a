package dispatch

import (
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// ApplyPlan passes a plan of the control plane to the decision module: the number of nodes, the share of requests to be
// admitted, the servers' shares, and by tenant name the share of requests within the quota. A nil withinQuota leaves
// tenants to the decision module.
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
	// avoidPreference is policy.Assignment.Preference of a server that is to be avoided.
	avoidPreference = -1
	// minGreatestShare keeps the division by the greatest share defined if no server has one.
	minGreatestShare = 1e-9
)

// assignments are servers' shares in the decision module's terms, relative to the greatest share.
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

// planShares holds by tenant the share of requests within the quota that the last plan names. The decision module keeps a
// reference to the slice, which is changed only with the lock held and before the module gets the next plan.
type planShares struct {
	shares    []float64
	lastNamed []int // tenants that the last plan named
}

// update takes over what a plan names. All other tenants are within their quota (1), as are those without a quota. Its
// cost grows with the tenants named, not with all.
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
