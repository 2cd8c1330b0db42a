package dispatch

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// quotaRecorder is a Decider that records the quotas and the requests' tenants that it receives.
type quotaRecorder struct {
	engine.Decider
	changed []policy.Quota
	tenants []int
}

func (m *quotaRecorder) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	m.changed = append(m.changed, in.Quotas...)
	if in.Kind == policy.RequestArrived {
		m.tenants = append(m.tenants, in.Tenant)
	}
	return m.Decider.Handle(now, in, effects)
}

// TestSetQuotas checks that a known tenant retains its index and a new one is assigned the next, that reports contain all of
// them, and that the caller's settings do not change.
func TestSetQuotas(t *testing.T) {
	var module *quotaRecorder
	s := settings.Settings{ConnIdle: time.Hour, TypeNames: []string{"check"}, TenantNames: []string{"a", "b"},
		Settings: policy.Settings{NodeCount: 1, MaxAttempts: 1, TenantQuotas: []float64{1, 2},
			TrafficTypes: []policy.TrafficType{{LatencyObjective: time.Minute, ClientTimeout: time.Hour, PriorityWeight: 1}}}}
	d := New(s, 1, limits, func(s policy.Settings, seed uint32) engine.Decider {
		module = &quotaRecorder{Decider: policy.New(s, seed)}
		return module
	})
	t.Cleanup(d.Stop)
	d.ApplyList(fullList(loopbackEndpoint("server", 1)), endpoints.SourceConfig)
	d.EnableReports()
	submit := func(tenant string) int {
		lastRequestID++
		d.Submit(Arrival{ID: fmt.Append(nil, lastRequestID), Tenant: []byte(tenant), RouteIndex: -1, Timeout: time.Hour})
		return module.tenants[len(module.tenants)-1]
	}
	d.SetQuotas(map[string]float64{"b": 3})
	if !slices.Equal(module.changed, []policy.Quota{{Tenant: 1, PerSecond: 3}}) || s.TenantQuotas[1] != 2 {
		t.Errorf("got quotas %v, caller's settings %v, want only tenant 1 with 3 per second and unchanged settings", module.changed, s.TenantQuotas)
	}
	module.changed = nil
	before := submit("c")
	d.SetQuotas(map[string]float64{"b": 5, "a": 1, "c": 7, "negative": -1, "not a number": math.NaN(), "infinite": math.Inf(1)})
	want := map[int]float64{1: 5, 2: 7} // the quota of a has not changed
	got := map[int]float64{}
	for _, c := range module.changed {
		got[c.Tenant] = c.PerSecond
	}
	if !maps.Equal(got, want) || len(module.changed) != 2 {
		t.Errorf("got changed quotas %v, want %v", module.changed, want)
	}
	if indices := []int{submit("a"), submit("b"), submit("c"), submit("negative")}; before != 2 || !slices.Equal(indices, []int{0, 1, 2, 3}) {
		t.Errorf("got index %d for the unknown tenant and then indices %v, want 2 and [0 1 2 3]", before, indices)
	}
	d.SetQuotas(map[string]float64{"b": 5})
	if len(module.changed) != 2 {
		t.Error("decision module received an unchanged quota")
	}
	reported := map[string]float64{}
	for _, tenant := range d.Report().Tenants {
		reported[tenant.Name] = tenant.Allowance
	}
	if !maps.Equal(reported, map[string]float64{"a": 1, "b": 5, "c": 7}) {
		t.Errorf("got reported quotas %v", reported)
	}
	d.ApplyPlan(1, 0, map[string]float64{"c": 0.5}, nil)
	if !slices.Equal(s.TenantQuotas, []float64{1, 2}) || len(s.TenantNames) != 2 {
		t.Errorf("caller's settings changed: quotas %v of tenants %v", s.TenantQuotas, s.TenantNames)
	}
}
