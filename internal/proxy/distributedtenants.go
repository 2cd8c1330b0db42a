package proxy

import (
	"slices"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
)

// ApplyTenants puts the tenants' quotas in force, beside those of the settings. A tenant that several services name has the sum.
func (a *distributionApplier) ApplyTenants(all []distribution.Entry) (rejected []distribution.Rejection) {
	defer a.saveLastGood()
	a.mu.Lock()
	defer a.mu.Unlock()
	inForce := make(map[distribution.Key]distribution.Entry, len(all))
	rejectedTenants, quotas := map[distribution.Key]bool{}, map[string]float64{}
	for _, e := range all {
		tenant, err := value.DecodeTenant(e)
		if err != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: err.Error()})
			rejectedTenants[e.Key] = true
			lastGood, hasLastGood := a.tenantsInForce[e.Key]
			if tenant, err = value.DecodeTenant(lastGood); !hasLastGood || err != nil {
				continue
			}
			e = lastGood
		}
		inForce[e.Key] = e
		quotas[e.Key.Name] += tenant.Allowance
	}
	a.tenantsInForce, a.rejectedTenants = inForce, rejectedTenants
	a.applyQuotas(quotas)
	return rejected
}

// applyQuotas hands over the quotas that have changed. A tenant that is not named any more has that of the settings again. mu is held.
func (a *distributionApplier) applyQuotas(quotas map[string]float64) {
	changed := map[string]float64{}
	for tenant, quota := range quotas {
		if before, isKnown := a.quotas[tenant]; !isKnown || before != quota {
			changed[tenant] = quota
		}
	}
	for tenant := range a.quotas {
		if _, stays := quotas[tenant]; !stays {
			changed[tenant] = a.settingsQuota(tenant)
		}
	}
	a.quotas = quotas
	if len(changed) > 0 {
		a.dispatcher.SetQuotas(changed)
	}
}

// settingsQuota is a tenant's quota by the settings, 0 where they do not name it.
func (a *distributionApplier) settingsQuota(tenant string) float64 {
	if i := slices.Index(a.settings.TenantNames, tenant); i >= 0 {
		return a.settings.TenantQuotas[i]
	}
	return 0
}
