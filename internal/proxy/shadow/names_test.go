package shadow

import (
	"slices"
	"testing"
)

// TestNamesOfCounts compares the names of the counts, in their order, with those that operators' tools read from the log.
func TestNamesOfCounts(t *testing.T) {
	want := []string{"server", "hop_time", "sent", "waited", "denied", "return_time", "further_hop", "no_further_hop", "written_off", "left_open"}
	var got []string
	Counts{}.Each(func(k Difference, _ int) { got = append(got, k.String()) })
	if !slices.Equal(got, want) {
		t.Errorf("the names are %q", got)
	}
}
