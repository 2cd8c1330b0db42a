package endpoints

import (
	"slices"
	"testing"
)

// TestSourceValues compares the numeric values of sources, which are stored in list snapshots, and their logged names.
func TestSourceValues(t *testing.T) {
	sources := []Source{SourceConfig, SourceSnapshot, SourceDiscovery, SourceRegistry, SourcePlanners, SourceDistribution}
	want := []string{"configuration", "snapshot", "discovery", "registry", "planners", "distribution"}
	var got []string
	for i, s := range sources {
		if int(s) != i {
			t.Errorf("source %s: got value %d, want %d", s, s, i)
		}
		got = append(got, s.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("got names %q", got)
	}
}
