package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/internal/collections/columns"
)

func TestFairShare(t *testing.T) {
	for name, c := range map[string]struct {
		rates  []float64 // of two tenants with a quota of ten a second each over all nodes
		nodes  int
		beyond bool // the first
	}{
		"within its share":                     {[]float64{4, 5}, 2, false},
		"beyond it":                            {[]float64{9, 5}, 2, true},
		"beyond it, all others as far":         {[]float64{9, 10}, 2, false},
		"far beyond, others beyond too":        {[]float64{30, 10}, 2, true},
		"one arrival at one node among many":   {[]float64{0.33, 0.1}, 50, false},
		"many arrivals at one node among many": {[]float64{3, 0.1}, 50, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, func(s *Settings) { s.NodeCount, s.TenantQuotas = c.nodes, []float64{10, 10} })
			for tenant, rate := range c.rates {
				h.quotaUsage.tenants.RecordArrival(tenant, rate)
			}
			if got := h.quotaUsage.tenants.ArrivalRate(0) > h.fairShare(0); got != c.beyond {
				t.Errorf("beyond %v: %.2f of %.2f", got, h.quotaUsage.tenants.ArrivalRate(0), h.fairShare(0))
			}
		})
	}
}

// TestQuotasChange checks that changed quotas hold at once, for new tenants too, and leave the slice of the
// settings alone.
func TestQuotasChange(t *testing.T) {
	for name, c := range map[string]struct {
		changed []Quota
		tenant  int
		beyond  bool // after ten arrivals in a second and a half
	}{
		"none":                       {nil, 0, true},
		"raised":                     {[]Quota{{0, 100}}, 0, false},
		"another's raised":           {[]Quota{{1, 100}}, 0, true},
		"a new tenant's":             {[]Quota{{5, 100}}, 5, false},
		"a new tenant with little":   {[]Quota{{5, 1}}, 5, true},
		"a tenant that is not known": {[]Quota{{5, 1}}, 9, false},
		"raised, and lowered in one": {[]Quota{{0, 100}, {0, 1}}, 0, true},
		"a tenant below the new one": {[]Quota{{5, 1}}, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			given := []float64{1, 1}
			h := newHarness(t, 2, func(s *Settings) { s.NodeCount, s.TenantQuotas = 1, given })
			h.at(0, Input{Kind: QuotasChanged, Quotas: c.changed})
			beyond := false
			for i := range 10 {
				now := time.Duration(i) * 150 * ms
				in := Input{Kind: RequestArrived, Request: i, Tenant: c.tenant, Timeout: time.Second}
				set := h.settings
				set.TenantQuotas = given
				asked := h.WhatIf(&set, now, &in, nil)
				if got := h.at(now, in); len(c.changed) > 0 && !slices.Equal(asked, got) {
					t.Errorf("WhatIf returns %v, Handle %v", asked, got)
				}
				beyond = beyond || h.Policy.requests.all[i].class == 1
			}
			if beyond != c.beyond {
				t.Errorf("beyond its share: %v", beyond)
			}
			if got := columns.Sum(h.settings.TenantQuotas); got != h.quotaUsage.total || !slices.Equal(given, []float64{1, 1}) {
				t.Errorf("the sum is %g, kept %g; given %v", got, h.quotaUsage.total, given)
			}
		})
	}
}
