package tenants

import "testing"

// Tenants with traffic lately are held, whatever their numbers, and nothing of the others.
func TestFadeDropsThoseWithoutTraffic(t *testing.T) {
	const most, half, least = 389_999, 0.5, 0.2
	var table Table
	table.Arrive(most, 1)
	table.Arrive(5, 0.25)
	table.Record(7).Add(1, 10)
	if got := table.Arrive(most, 1); got != 2 || table.Rate(most) != 2 || table.Total() != 2.25 || table.Len() != 3 {
		t.Fatalf("rate %g, in all %g of %d tenants", got, table.Total(), table.Len())
	}
	copied := table.Clone()
	table.Fade(half, least, half, least)
	if table.Rate(most) != 1 || table.Rate(5) != 0 || table.Total() != 1 || table.Len() != 2 || table.Visits() != 3 {
		t.Errorf("%g and %g, in all %g of %d tenants, %d come to", table.Rate(most), table.Rate(5), table.Total(), table.Len(), table.Visits())
	}
	if got := table.Record(7).Failed; got != half {
		t.Errorf("the record of one without arrivals: %g", got)
	}
	for range 3 {
		table.Fade(half, least, half, least)
	}
	if table.Len() != 0 || table.Total() != 0 || table.Rate(most) != 0 || table.Rate(most+1) != 0 {
		t.Errorf("%d tenants are left, %g in all", table.Len(), table.Total())
	}
	if copied.Rate(most) != 2 || copied.Len() != 3 || copied.Record(7).Failed != 1 {
		t.Error("a clone changes with the table")
	}
}

// What is left of a table finds its tenants wherever one was dropped.
func TestPlacesStayRight(t *testing.T) {
	const tenants = 10
	for drop := range tenants {
		var table Table
		for tenant := range tenants {
			table.Arrive(tenant, 1+float64(tenant))
			if tenant == drop {
				table.Arrive(tenant, -float64(tenant)-1)
			}
		}
		table.Fade(1, 0.5, 1, 0.5)
		for tenant := range tenants {
			want := 1 + float64(tenant)
			if tenant == drop {
				want = 0
			}
			if got := table.Rate(tenant); got != want || table.Len() != tenants-1 {
				t.Errorf("without %d: the rate of %d is %g, want %g; %d held", drop, tenant, got, want, table.Len())
			}
		}
	}
}

func TestUnknownTenantsShareARecord(t *testing.T) {
	var table Table
	table.Record(Unknown).Add(1, 10)
	if got := *table.Record(Unknown); got.Failed != 1 || table.Len() != 0 {
		t.Errorf("%v, %d tenants held", got, table.Len())
	}
	if table.Fade(0, 0, 0.5, 0); table.Record(Unknown).Failed != 0.5 {
		t.Error("it does not fade")
	}
}
