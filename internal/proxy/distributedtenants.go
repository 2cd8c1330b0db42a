package proxy

import (
	"slices"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
)

// ApplyTenants puts the quotas of tenants in effect. A tenant without an entry has its quota of the settings. If several services name a
// tenant, its quotas add up. An invalid entry is returned, and its last good version stays in effect.
func (a *distributionApplier) ApplyTenants(all []distribution.Entry) (rejected []distribution.Rejection) {
	defer a.saveLastGood()
	a.mu.Lock()
	defer a.mu.Unlock()
	effective := make(map[distribution.Key]distribution.Entry, len(all))
	rejectedTenants, quotas := map[distribution.Key]bool{}, map[string]float64{}
	for _, e := range all {
		tenant, err := value.DecodeTenant(e)
		if err != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: err.Error()})
			rejectedTenants[e.Key] = true
			lastGood, hasLastGood := a.effectiveTenants[e.Key]
			if tenant, err = value.DecodeTenant(lastGood); !hasLastGood || err != nil {
				continue
			}
			e = lastGood
		}
		effective[e.Key] = e
		quotas[e.Key.Name] += tenant.Allowance
	}
	a.effectiveTenants, a.rejectedTenants = effective, rejectedTenants
	a.applyQuotas(quotas)
	return rejected
}

// applyQuotas applies the quotas that have changed. A tenant that is no longer named gets the quota of the settings again. The caller holds
// mu.
func (a *distributionApplier) applyQuotas(quotas map[string]float64) {
	changed := map[string]float64{}
	for tenant, quota := range quotas {
		if before, isKnown := a.quotas[tenant]; !isKnown || before != quota {
			changed[tenant] = quota
		}
	}
	for tenant := range a.quotas {
		if _, isNamed := quotas[tenant]; !isNamed {
			changed[tenant] = a.settingsQuota(tenant)
		}
	}
	a.quotas = quotas
	if len(changed) > 0 {
		a.dispatcher.SetQuotas(changed)
	}
}

// settingsQuota returns a tenant's quota of the settings, 0 if they do not name the tenant.
func (a *distributionApplier) settingsQuota(tenant string) float64 {
	if i := slices.Index(a.settings.TenantNames, tenant); i >= 0 {
		return a.settings.TenantQuotas[i]
	}
	return 0
}
