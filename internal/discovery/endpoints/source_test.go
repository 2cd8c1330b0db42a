package endpoints

import (
	"slices"
	"testing"
)

// TestSourceValues compares the numbers of sources, which list snapshots hold, and their names in the log.
func TestSourceValues(t *testing.T) {
	sources := []Source{SourceConfig, SourceSnapshot, SourceDiscovery, SourceRegistry, SourcePlanners, SourceDistribution}
	want := []string{"configuration", "snapshot", "discovery", "registry", "planners", "distribution"}
	var got []string
	for i, s := range sources {
		if int(s) != i {
			t.Errorf("%s is %d, not %d", s, s, i)
		}
		got = append(got, s.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("the names are %q", got)
	}
}
