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
	if !f.reallowed { // the settings stay as they were read
		f.set.TenantNames, f.set.TenantQuotas = slices.Clone(f.set.TenantNames), slices.Clone(f.set.TenantQuotas)
		f.reallowed = true
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
			f.set.TenantNames, f.set.TenantQuotas = append(f.set.TenantNames, name), append(f.set.TenantQuotas, 0)
		}
		if !known || f.set.TenantQuotas[tenant] != allowance {
			f.allowances += allowance - f.set.TenantQuotas[tenant]
			f.set.TenantQuotas[tenant] = allowance
			changed = append(changed, policy.Quota{Tenant: tenant, PerSecond: allowance})
		}
	}
	f.digests.grow(len(f.set.TenantNames))
	if len(changed) > 0 {
		f.door.QuotasChanged(f.now(), changed, (*hands)(f))
	}
}

// Quota is what a tenant may ask for, in requests a second over all nodes, as it holds now; 0 where none is set.
func (f *Dispatcher) Quota(tenant string) float64 {
	f.mu.Lock()
	defer f.unlock()
	if t, known := f.tenants[tenant]; known {
		return f.set.TenantQuotas[t]
	}
	return 0
}
