package dispatch

import (
	"slices"
	"testing"
)

// TestApplyPlanCost checks that a tenant's share is in effect until a plan omits it, and that applying a plan does not copy
// the shares of all tenants.
func TestApplyPlanCost(t *testing.T) {
	const tenants = 50_000
	d, recorder := withTenants(t, tenants)
	for _, named := range []map[string]float64{{"t7": 0.5, "t0": 0.5, "unknown": 0.5}, {"t9": 0.25}, {}} {
		d.ApplyPlan(1, 0, named, nil)
		want := slices.Repeat([]float64{1}, tenants)
		for name, share := range named {
			if tenant, isKnown := d.names.tenants[name]; isKnown && tenant > 0 {
				want[tenant] = share
			}
		}
		if !slices.Equal(recorder.shares, want) {
			t.Errorf("plan %v: decision module received other shares", named)
		}
	}
	if d.ApplyPlan(1, 0, nil, nil); recorder.shares != nil {
		t.Error("plan without shares: got shares, want nil")
	}
	before := &d.quotas.planShares.shares[0]
	if d.ApplyPlan(1, 0, map[string]float64{"t7": 0.5}, nil); before != &d.quotas.planShares.shares[0] {
		t.Error("plan with one share: shares of all tenants were copied")
	}
	d.SetQuotas(map[string]float64{"new": 1})
	if d.ApplyPlan(1, 0, map[string]float64{"new": 0.5}, nil); len(recorder.shares) != tenants+1 || recorder.shares[tenants] != 0.5 || recorder.shares[7] != 1 {
		t.Errorf("plan with a new tenant: got %d shares, the last %v, want one more share, the last 0.5", len(recorder.shares), recorder.shares[len(recorder.shares)-1])
	}
}
