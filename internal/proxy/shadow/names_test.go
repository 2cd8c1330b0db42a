package shadow

import (
	"slices"
	"testing"
)

// TestDifferenceNames checks the names of the counts and their order, which operators' tools read from the log.
func TestDifferenceNames(t *testing.T) {
	want := []string{"server", "hop_time", "sent", "waited", "denied", "return_time", "further_hop", "no_further_hop", "written_off", "left_open"}
	var got []string
	Counts{}.Each(func(d Difference, _ int) { got = append(got, d.String()) })
	if !slices.Equal(got, want) {
		t.Errorf("got names %q, want those that operators' tools read", got)
	}
}
