package dispatch

import (
	"math"
	"slices"

	"fernvane/policy"
)

// quotaState is about tenants' quotas. The quotas themselves, in requests per second over all nodes, are those of
// Dispatcher.settings.
type quotaState struct {
	sum        float64 // of all quotas
	isCopied   bool    // the slices in Dispatcher.settings are the Dispatcher's own, no longer the caller's
	planShares planShares
}

// SetQuotas changes tenants' quotas, by name, in requests per second over all nodes. An unknown name becomes a tenant.
// Tenants that are not named keep their quota. Negative and infinite values and NaN are ignored.
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

// copyQuotas keeps the settings that New was given from being changed.
func (d *Dispatcher) copyQuotas() {
	if d.quotas.isCopied {
		return
	}
	d.settings.TenantNames = slices.Clone(d.settings.TenantNames)
	d.settings.TenantQuotas = slices.Clone(d.settings.TenantQuotas)
	d.quotas.isCopied = true
}

// addTenant makes a name a tenant, with a quota of 0, and returns its index.
func (d *Dispatcher) addTenant(name string) (tenant int) {
	tenant = len(d.names.tenants)
	d.names.tenants[name] = tenant
	d.settings.TenantNames = append(d.settings.TenantNames, name)
	d.settings.TenantQuotas = append(d.settings.TenantQuotas, 0)
	return tenant
}

// Quota returns a tenant's quota in requests per second over all nodes; 0 if it has none.
func (d *Dispatcher) Quota(tenant string) float64 {
	d.mu.Lock()
	defer d.unlock()
	if i, isKnown := d.names.tenants[tenant]; isKnown {
		return d.settings.TenantQuotas[i]
	}
	return 0
}
