package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/internal/collections/columns"
)

func TestFairShare(t *testing.T) {
	for name, c := range map[string]struct {
		rates []float64 // of two tenants, each with a quota of 10 requests a second over all nodes
		nodes int
		above bool // the first tenant is above its share
	}{
		"within its share":                     {[]float64{4, 5}, 2, false},
		"above its share":                      {[]float64{9, 5}, 2, true},
		"above an even share, as the other is": {[]float64{9, 10}, 2, false},
		"far above its share, the other less":  {[]float64{30, 10}, 2, true},
		"one arrival at one node among many":   {[]float64{0.33, 0.1}, 50, false},
		"many arrivals at one node among many": {[]float64{3, 0.1}, 50, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, func(s *Settings) { s.NodeCount, s.TenantQuotas = c.nodes, []float64{10, 10} })
			for tenant, rate := range c.rates {
				h.quotaUsage.tenants.RecordArrival(tenant, rate)
			}
			if got := h.quotaUsage.tenants.ArrivalRate(0) > h.fairShare(0); got != c.above {
				t.Errorf("above its share: got %v with rate %.2f and share %.2f", got, h.quotaUsage.tenants.ArrivalRate(0), h.fairShare(0))
			}
		})
	}
}

// TestQuotasChange checks that changed quotas apply immediately, also to new tenants, and that the slice of the
// settings does not change.
func TestQuotasChange(t *testing.T) {
	for name, c := range map[string]struct {
		changed []Quota
		tenant  int
		above   bool // above its share after ten arrivals in 1.5 s
	}{
		"none":                              {nil, 0, true},
		"raised":                            {[]Quota{{0, 100}}, 0, false},
		"another tenant's raised":           {[]Quota{{1, 100}}, 0, true},
		"a new tenant's":                    {[]Quota{{5, 100}}, 5, false},
		"a new tenant with a low quota":     {[]Quota{{5, 1}}, 5, true},
		"an unknown tenant":                 {[]Quota{{5, 1}}, 9, false},
		"raised, then lowered in one input": {[]Quota{{0, 100}, {0, 1}}, 0, true},
		"a tenant below the new one":        {[]Quota{{5, 1}}, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			given := []float64{1, 1}
			h := newHarness(t, 2, func(s *Settings) { s.NodeCount, s.TenantQuotas = 1, given })
			h.at(0, Input{Kind: QuotasChanged, Quotas: c.changed})
			isAbove := false
			for i := range 10 {
				now := time.Duration(i) * 150 * ms
				in := Input{Kind: RequestArrived, Request: i, Tenant: c.tenant, Timeout: time.Second}
				set := h.settings
				set.TenantQuotas = given
				whatIf := h.WhatIf(&set, now, &in, nil)
				if got := h.at(now, in); len(c.changed) > 0 && !slices.Equal(whatIf, got) {
					t.Errorf("WhatIf returns %v, Handle returns %v, want equal effects", whatIf, got)
				}
				isAbove = isAbove || h.Policy.requests.all[i].class == 1
			}
			if isAbove != c.above {
				t.Errorf("above its share: got %v", isAbove)
			}
			if got := columns.Sum(h.settings.TenantQuotas); got != h.quotaUsage.total || !slices.Equal(given, []float64{1, 1}) {
				t.Errorf("sum of quotas: got %g, stored total %g; slice passed to New: %v, want [1 1]", got, h.quotaUsage.total, given)
			}
		})
	}
}
