package dispatch

import (
	"slices"
	"testing"
)

// A plan's shares hold until the next plan does not name them. Applying one does not copy all tenants.
func TestApplyPlanCost(t *testing.T) {
	const tenants = 50_000
	d, seen := withTenants(t, tenants)
	for _, named := range []map[string]float64{{"t7": 0.5, "t0": 0.5, "unknown": 0.5}, {"t9": 0.25}, {}} {
		d.ApplyPlan(1, 0, named, nil)
		want := slices.Repeat([]float64{1}, tenants)
		for name, share := range named {
			if tenant, known := d.names.tenants[name]; known && tenant > 0 {
				want[tenant] = share
			}
		}
		if !slices.Equal(seen.shares, want) {
			t.Errorf("%v is followed otherwise", named)
		}
	}
	if d.ApplyPlan(1, 0, nil, nil); seen.shares != nil {
		t.Error("tenants are judged by a plan that says nothing of them")
	}
	before := &d.quotas.planShares.shares[0]
	if d.ApplyPlan(1, 0, map[string]float64{"t7": 0.5}, nil); before != &d.quotas.planShares.shares[0] {
		t.Error("all tenants are copied for a plan")
	}
	d.SetQuotas(map[string]float64{"new": 1})
	if d.ApplyPlan(1, 0, map[string]float64{"new": 0.5}, nil); len(seen.shares) != tenants+1 || seen.shares[tenants] != 0.5 || seen.shares[7] != 1 {
		t.Errorf("one that has come to be known: %d, %v", len(seen.shares), seen.shares[len(seen.shares)-1])
	}
}
