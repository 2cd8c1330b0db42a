package dispatch

import (
	"math"
	"slices"

	"fernvane/policy"
)

// quotaState is the state of tenant quotas beside the quotas themselves, which Dispatcher.settings contains in requests per
// second over all nodes.
type quotaState struct {
	sum        float64 // sum of all quotas
	isCopied   bool    // the tenant slices in Dispatcher.settings are copies and no longer shared with the caller of New
	planShares planShares
}

// SetQuotas sets quotas by tenant name, in requests per second over all nodes. An unknown name adds a tenant. The quotas of
// other tenants do not change. Negative and infinite values and NaN are ignored.
func (d *Dispatcher) SetQuotas(perSecond map[string]float64) {
	d.mu.Lock()
	defer d.unlock()
	d.copyQuotas()
	changed := make([]policy.Quota, 0, len(perSecond))
	for name, quota := range perSecond {
		if !(quota >= 0) || math.IsInf(quota, 1) {
			continue
		}
		tenant, isKnown := d.names.tenants[name]
		if !isKnown {
			tenant = d.addTenant(name)
		}
		if !isKnown || d.settings.TenantQuotas[tenant] != quota {
			d.quotas.sum += quota - d.settings.TenantQuotas[tenant]
			d.settings.TenantQuotas[tenant] = quota
			changed = append(changed, policy.Quota{Tenant: tenant, PerSecond: quota})
		}
	}
	d.report.grow(len(d.settings.TenantNames))
	if len(changed) > 0 {
		d.engine.QuotasChanged(d.now(), changed, d.effects())
	}
}

// copyQuotas copies the tenant slices before their first change, so that the caller's settings do not change.
func (d *Dispatcher) copyQuotas() {
	if d.quotas.isCopied {
		return
	}
	d.settings.TenantNames = slices.Clone(d.settings.TenantNames)
	d.settings.TenantQuotas = slices.Clone(d.settings.TenantQuotas)
	d.quotas.isCopied = true
}

// addTenant adds a tenant with a quota of 0 and returns its index.
func (d *Dispatcher) addTenant(name string) (tenant int) {
	tenant = len(d.names.tenants)
	d.names.tenants[name] = tenant
	d.settings.TenantNames = append(d.settings.TenantNames, name)
	d.settings.TenantQuotas = append(d.settings.TenantQuotas, 0)
	return tenant
}

// Quota returns a tenant's quota in requests per second over all nodes, or 0 if the tenant has none.
func (d *Dispatcher) Quota(tenant string) float64 {
	d.mu.Lock()
	defer d.unlock()
	if i, isKnown := d.names.tenants[tenant]; isKnown {
		return d.settings.TenantQuotas[i]
	}
	return 0
}
