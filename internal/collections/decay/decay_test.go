package decay

import (
	"math"
	"reflect"
	"slices"
	"testing"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestFailureRate(t *testing.T) {
	for name, c := range map[string]struct {
		ends   []float64
		memory float64
		prior  float64
		want   float64
	}{
		"none":                                   {nil, 10, 3, 0},
		"one failure among the prior":            {[]float64{1}, 10, 3, 0.25},
		"half":                                   {[]float64{1, 0}, math.Inf(1), 0, 0.5},
		"older attempts count less":              {[]float64{1, 0}, 2, 0, 0.5 / 1.5},
		"the last attempt counts most":           {[]float64{0, 1}, 2, 0, 1 / 1.5},
		"many successes outweigh an old failure": {append([]float64{1}, make([]float64, 500)...), 10, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var r FailureRate
			for _, failed := range c.ends {
				r.Observe(failed, c.memory)
			}
			if got := r.Rate(c.prior); !near(got, c.want) {
				t.Errorf("rate: got %g, want %g", got, c.want)
			}
			if r.Total > c.memory {
				t.Errorf("total: got %g, want at most %g", r.Total, c.memory)
			}
		})
	}
}

func TestDecayClearsBelowMinCount(t *testing.T) {
	r := FailureRate{Failed: 1, Total: 8, LastSource: 3}
	r.Decay(0.5, 1)
	if want := (FailureRate{Failed: 0, Total: 4, LastSource: 3}); r != want {
		t.Errorf("got %v, want %v", r, want)
	}
}

// TestTableDecaysActiveRates checks that Decay visits only observed failure rates, until they are 0.
func TestTableDecaysActiveRates(t *testing.T) {
	var table Table
	for i := range 1_000 {
		table.Reset(i)
	}
	table.Observe(7, 1, 10)
	table.Observe(500, 0, 10)
	table.At(9).Total = 1 // set without Observe, so Decay does not visit it
	before := table.Clone()
	table.Decay(0.5, 0.4)
	if got := slices.Collect(table.Active().All()); !slices.Equal(got, []int{7, 500}) || table.At(9).Total != 1 || table.At(7).Failed != 0.5 {
		t.Errorf("after decay: got active %v, and failure rates %v at 9 and %v at 7", got, table.At(9), table.At(7))
	}
	if before.At(7).Failed != 1 {
		t.Error("clone changed with the table")
	}
	from := table.Active().Visits()
	table.Decay(0.5, 0.4)
	if visited := table.Active().Visits() - from; table.Active().Len() != 0 || visited != 2 || *table.At(7) != (FailureRate{}) {
		t.Errorf("after full decay: got %d active and %d visits, want 0 and 2", table.Active().Len(), visited)
	}
	table.Observe(3, 1, 10)
	table.Reset(3)
	if !reflect.DeepEqual(*table.At(3), FailureRate{}) || table.Active().Has(3) {
		t.Error("failure rate is not empty or still active after Reset")
	}
}
