package tenants

import "testing"

// TestDecayDropsTenantsWithoutTraffic checks that the table stores only tenants with recent traffic, whatever their
// indices.
func TestDecayDropsTenantsWithoutTraffic(t *testing.T) {
	const lastTenant, half, minimum = 389_999, 0.5, 0.2
	var table Table
	table.RecordArrival(lastTenant, 1)
	table.RecordArrival(5, 0.25)
	table.FailureRate(7).Observe(1, 10)
	if got := table.RecordArrival(lastTenant, 1); got != 2 || table.ArrivalRate(lastTenant) != 2 || table.TotalRate() != 2.25 || table.Len() != 3 {
		t.Fatalf("got rate %g, and total rate %g of %d tenants, want 2, 2.25 and 3", got, table.TotalRate(), table.Len())
	}
	copied := table.Clone()
	table.Decay(half, minimum, half, minimum)
	if table.ArrivalRate(lastTenant) != 1 || table.ArrivalRate(5) != 0 || table.TotalRate() != 1 || table.Len() != 2 || table.Visits() != 3 {
		t.Errorf("after decay: got rates %g and %g, total rate %g of %d tenants and %d visits, want 1, 0, 1, 2 and 3", table.ArrivalRate(lastTenant), table.ArrivalRate(5), table.TotalRate(), table.Len(), table.Visits())
	}
	if got := table.FailureRate(7).Failed; got != half {
		t.Errorf("failures of a tenant without arrivals: got %g, want 0.5", got)
	}
	for range 3 {
		table.Decay(half, minimum, half, minimum)
	}
	if table.Len() != 0 || table.TotalRate() != 0 || table.ArrivalRate(lastTenant) != 0 || table.ArrivalRate(lastTenant+1) != 0 {
		t.Errorf("after full decay: got %d tenants and total rate %g, want 0", table.Len(), table.TotalRate())
	}
	if copied.ArrivalRate(lastTenant) != 2 || copied.Len() != 3 || copied.FailureRate(7).Failed != 1 {
		t.Error("clone changed with the table")
	}
}

// TestSlotsStayRight checks that lookups of the other tenants are correct after any one tenant is removed.
func TestSlotsStayRight(t *testing.T) {
	const tenants = 10
	for removed := range tenants {
		var table Table
		for tenant := range tenants {
			table.RecordArrival(tenant, 1+float64(tenant))
			if tenant == removed {
				table.RecordArrival(tenant, -float64(tenant)-1)
			}
		}
		table.Decay(1, 0.5, 1, 0.5)
		for tenant := range tenants {
			want := 1 + float64(tenant)
			if tenant == removed {
				want = 0
			}
			if got := table.ArrivalRate(tenant); got != want || table.Len() != tenants-1 {
				t.Errorf("tenant %d removed: rate of tenant %d: got %g, want %g; %d tenants stored", removed, tenant, got, want, table.Len())
			}
		}
	}
}

func TestUnknownTenantsShareAFailureRate(t *testing.T) {
	var table Table
	table.FailureRate(Unknown).Observe(1, 10)
	if got := *table.FailureRate(Unknown); got.Failed != 1 || table.Len() != 0 {
		t.Errorf("got failure rate %v and %d tenants, want one failure and 0", got, table.Len())
	}
	if table.Decay(0, 0, 0.5, 0); table.FailureRate(Unknown).Failed != 0.5 {
		t.Error("failure rate of unknown tenants after decay: want 0.5 failures")
	}
}
