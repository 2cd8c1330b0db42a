package testbed

import (
	"testing"
)

// Each fault runs to its end: all nodes apply every change, and none rolls back to an older one.
func TestDistributionTrial(t *testing.T) {
	t.Parallel()
	d := Distribution{Nodes: 4, Relays: 2, Changes: 1, Dir: t.TempDir()}
	rows := 0
	err := d.Run(t.Context(), func(r DistributionRow) {
		rows++
		if r.Rollbacks > 0 || r.Median <= 0 || r.Max < r.Median {
			t.Errorf("got row %+v, want no rollbacks, a positive median and a maximum not below it", r)
		}
	})
	if err != nil || rows != 8 {
		t.Errorf("got %d rows, want 8; error %v", rows, err)
	}
}
