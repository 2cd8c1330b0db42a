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

// withTenants returns a Dispatcher with the given number of tenants. Each has a quota of one request per second, except the
// first, which has none.
func withTenants(t *testing.T, tenants int) (d *Dispatcher, recorder *planRecorder) {
	s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"},
		Settings: policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour, PriorityWeight: 1}}}}
	for tenant := range tenants {
		s.TenantNames = append(s.TenantNames, fmt.Sprint("t", tenant))
		s.TenantQuotas = append(s.TenantQuotas, min(float64(tenant), 1))
	}
	recorder = &planRecorder{}
	d = New(s, 1, limits, func(s policy.Settings, seed uint32) engine.Decider {
		recorder.Decider = policy.New(s, seed)
		return recorder
	})
	t.Cleanup(d.Stop)
	d.EnableReports()
	return d, recorder
}

// planRecorder is a Decider that records the tenants' shares of the last plan that it received.
type planRecorder struct {
	engine.Decider
	shares []float64
}

func (m *planRecorder) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	if in.Kind == policy.PlanChanged {
		m.shares = slices.Clone(in.WithinQuotaShares)
	}
	return m.Decider.Handle(now, in, effects)
}

// TestReportNamesTenantsWithTraffic checks that a report contains only the tenants with requests since the previous one.
func TestReportNamesTenantsWithTraffic(t *testing.T) {
	const (
		tenants       = 50_000
		maxFrameBytes = 200 // limit for a report with three tenants
	)
	d, _ := withTenants(t, tenants)
	for i, tenant := range []int{7, 40_000, 7, 0, 12, tenants} { // tenant 0 has no quota, the last one is unknown
		d.Submit(Arrival{ID: fmt.Append(nil, "r", i), Tenant: fmt.Append(nil, "t", tenant), RouteIndex: -1, Timeout: time.Hour})
	}
	r := d.Report()
	reported := map[string]int{}
	for _, tenant := range r.Tenants {
		reported[tenant.Name] = tenant.Requests
	}
	if !maps.Equal(reported, map[string]int{"t7": 2, "t12": 1, "t40000": 1}) {
		t.Errorf("got %d tenants in the report, want t7 with 2 requests, t12 with 1 and t40000 with 1", len(r.Tenants))
	}
	if r.Settings.TotalAllowance != tenants-1 {
		t.Errorf("got a total quota of %g per second", r.Settings.TotalAllowance)
	}
	if frame, err := planwire.Append(nil, planwire.ReportKind, r); err != nil || len(frame) > maxFrameBytes {
		t.Errorf("encode report: got %d bytes and error %v", len(frame), err)
	}
	if r := d.Report(); len(r.Tenants) != 0 {
		t.Errorf("without requests: got %d tenants in the report, want 0", len(r.Tenants))
	}
	d.SetQuotas(map[string]float64{"t7": 3, "another": 5})
	if got := d.Report().Settings.TotalAllowance; got != tenants-1+2+5 {
		t.Errorf("after a change of quotas: got a total quota of %g per second", got)
	}
}

// TestReportNamesTheBusiest checks that a report contains the tenants with the most requests if there are more tenants than
// planners store, and that it can be decoded.
func TestReportNamesTheBusiest(t *testing.T) {
	const tenants = 3 * maxReportedTenants
	d, _ := withTenants(t, tenants)
	for tenant := range tenants {
		d.report.recordArrival(0, tenant)
	}
	d.report.recordArrival(0, tenants-1)
	r := d.Report()
	if len(r.Tenants) != maxReportedTenants || r.Tenants[0].Name != fmt.Sprint("t", tenants-1) {
		t.Errorf("got %d tenants in the report, the first is %v", len(r.Tenants), r.Tenants[0])
	}
	frame, err := planwire.Append(nil, planwire.ReportKind, r)
	if err != nil {
		t.Fatal(err)
	}
	_, body, err := planwire.Read(bytes.NewReader(frame), nil)
	if err != nil {
		t.Fatal(err)
	}
	var decodedReport plan.Report
	if err := planwire.Decode(body, &decodedReport); err != nil || len(decodedReport.Tenants) != len(r.Tenants) {
		t.Errorf("decode report: got %d tenants and error %v", len(decodedReport.Tenants), err)
	}
}
