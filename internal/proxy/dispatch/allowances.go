package dispatch

import (
	"math"
	"slices"

	"fernvane/policy"
)

// SetQuotas has tenants' allowances, in requests a second over all nodes, be others from now on. A name that is not
// known yet is a tenant from now on; those that are not named keep theirs. What is negative or no number is left out.
func (f *Dispatcher) SetQuotas(perS map[string]float64) {
	f.mu.Lock()
	defer f.unlock()
	if !f.hasOwnQuotas { // the settings stay as they were read
		f.settings.TenantNames, f.settings.TenantQuotas = slices.Clone(f.settings.TenantNames), slices.Clone(f.settings.TenantQuotas)
		f.hasOwnQuotas = true
	}
	changed := make([]policy.Quota, 0, len(perS))
	for name, allowance := range perS {
		if !(allowance >= 0) || math.IsInf(allowance, 1) {
			continue
		}
		tenant, known := f.tenants[name]
		if !known {
			tenant = len(f.tenants)
			f.tenants[name] = tenant
			f.settings.TenantNames, f.settings.TenantQuotas = append(f.settings.TenantNames, name), append(f.settings.TenantQuotas, 0)
		}
		if !known || f.settings.TenantQuotas[tenant] != allowance {
			f.quotaSum += allowance - f.settings.TenantQuotas[tenant]
			f.settings.TenantQuotas[tenant] = allowance
			changed = append(changed, policy.Quota{Tenant: tenant, PerSecond: allowance})
		}
	}
	f.report.grow(len(f.settings.TenantNames))
	if len(changed) > 0 {
		f.engine.QuotasChanged(f.now(), changed, (*effectHandler)(f))
	}
}

// Quota is what a tenant may ask for, in requests a second over all nodes, as it holds now; 0 where none is set.
func (f *Dispatcher) Quota(tenant string) float64 {
	f.mu.Lock()
	defer f.unlock()
	if t, known := f.tenants[tenant]; known {
		return f.settings.TenantQuotas[t]
	}
	return 0
}
