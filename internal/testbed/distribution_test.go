package testbed

import (
	"testing"
)

// Every fault is played to its end, with each change in force at all nodes, none of which goes back.
func TestDistributionTrial(t *testing.T) {
	t.Parallel()
	d := Distribution{Nodes: 4, Relays: 2, Changes: 1, Dir: t.TempDir()}
	rows := 0
	err := d.Run(t.Context(), func(r DistributionRow) {
		rows++
		if r.Rollbacks > 0 || r.Median <= 0 || r.Max < r.Median {
			t.Errorf("%+v", r)
		}
	})
	if err != nil || rows != 8 {
		t.Errorf("%d faults played: %v", rows, err)
	}
}
