package dispatch

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// withTenants is a fleet with so many tenants of one request a second each, but for the first, which has no allowance.
func withTenants(t *testing.T, tenants int) (f *Dispatcher, seen *within) {
	s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"},
		Settings: policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour, PriorityWeight: 1}}}}
	for tenant := range tenants {
		s.TenantNames = append(s.TenantNames, fmt.Sprint("t", tenant))
		s.TenantQuotas = append(s.TenantQuotas, min(float64(tenant), 1))
	}
	seen = &within{}
	f = New(s, 1, limits, func(s policy.Settings, seed uint32) engine.Decider {
		seen.Decider = policy.New(s, seed)
		return seen
	})
	t.Cleanup(f.Stop)
	f.EnableReports()
	return f, seen
}

// within notes what a plan tells the module of tenants.
type within struct {
	engine.Decider
	shares []float64
}

func (m *within) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	if in.Kind == policy.PlanChanged {
		m.shares = slices.Clone(in.WithinQuotaShares)
	}
	return m.Decider.Handle(now, in, effects)
}

// A report names the tenants with traffic since the last one, however many others there are.
func TestReportNamesTenantsWithTraffic(t *testing.T) {
	const tenants, most = 50_000, 200 // bytes of a report of three tenants
	f, _ := withTenants(t, tenants)
	for i, tenant := range []int{7, 40_000, 7, 0, 12, tenants} { // the first has no allowance, the last is not known
		f.Submit(Arrival{ID: fmt.Append(nil, "r", i), Tenant: fmt.Append(nil, "t", tenant), RouteIndex: -1, Timeout: time.Hour})
	}
	r := f.Report()
	told := map[string]int{}
	for _, tenant := range r.Tenants {
		told[tenant.Name] = tenant.Requests
	}
	if !maps.Equal(told, map[string]int{"t7": 2, "t12": 1, "t40000": 1}) {
		t.Errorf("%d tenants are named", len(r.Tenants))
	}
	if r.Settings.TotalAllowance != tenants-1 {
		t.Errorf("the allowances of all are %g", r.Settings.TotalAllowance)
	}
	if frame, err := planwire.Append(nil, planwire.ReportKind, r); err != nil || len(frame) > most {
		t.Errorf("%d bytes, %v", len(frame), err)
	}
	if r := f.Report(); len(r.Tenants) != 0 {
		t.Errorf("%d tenants are named without traffic", len(r.Tenants))
	}
	f.SetQuotas(map[string]float64{"t7": 3, "another": 5})
	if got := f.Report().Settings.TotalAllowance; got != tenants-1+2+5 {
		t.Errorf("the allowances of all are %g after a change", got)
	}
}

// A report that more tenants had traffic for than a planner keeps names the busiest, and can be read.
func TestReportNamesTheBusiest(t *testing.T) {
	const tenants = 3 * maxReportedTenants
	f, _ := withTenants(t, tenants)
	for tenant := range tenants {
		f.report.recordArrival(0, tenant)
	}
	f.report.recordArrival(0, tenants-1)
	r := f.Report()
	if len(r.Tenants) != maxReportedTenants || r.Tenants[0].Name != fmt.Sprint("t", tenants-1) {
		t.Errorf("%d tenants, the first is %v", len(r.Tenants), r.Tenants[0])
	}
	frame, err := planwire.Append(nil, planwire.ReportKind, r)
	if err != nil {
		t.Fatal(err)
	}
	_, body, err := planwire.Read(bytes.NewReader(frame), nil)
	if err != nil {
		t.Fatal(err)
	}
	var back plan.Report
	if err := planwire.Decode(body, &back); err != nil || len(back.Tenants) != len(r.Tenants) {
		t.Errorf("read as %d tenants, %v", len(back.Tenants), err)
	}
}

// What a plan names is followed, until the next one does not name it; that costs no copy of all tenants.
func TestPlannedCostsWhatThePlanNames(t *testing.T) {
	const tenants = 50_000
	f, seen := withTenants(t, tenants)
	for _, named := range []map[string]float64{{"t7": 0.5, "t0": 0.5, "unknown": 0.5}, {"t9": 0.25}, {}} {
		f.ApplyPlan(1, 0, named, nil)
		want := slices.Repeat([]float64{1}, tenants)
		for name, share := range named {
			if tenant, known := f.names.tenants[name]; known && tenant > 0 {
				want[tenant] = share
			}
		}
		if !slices.Equal(seen.shares, want) {
			t.Errorf("%v is followed otherwise", named)
		}
	}
	if f.ApplyPlan(1, 0, nil, nil); seen.shares != nil {
		t.Error("tenants are judged by a plan that says nothing of them")
	}
	before := &f.quotas.planShares.shares[0]
	if f.ApplyPlan(1, 0, map[string]float64{"t7": 0.5}, nil); before != &f.quotas.planShares.shares[0] {
		t.Error("all tenants are copied for a plan")
	}
	f.SetQuotas(map[string]float64{"new": 1})
	if f.ApplyPlan(1, 0, map[string]float64{"new": 0.5}, nil); len(seen.shares) != tenants+1 || seen.shares[tenants] != 0.5 || seen.shares[7] != 1 {
		t.Errorf("one that has come to be known: %d, %v", len(seen.shares), seen.shares[len(seen.shares)-1])
	}
}
