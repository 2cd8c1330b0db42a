package dispatch

import (
	"fmt"
	"slices"
	"testing"
)

// TestNamesOfEnds compares the names of attempts' ends with those that stored journals and log lines have: neither a name
// nor its place may change.
func TestNamesOfEnds(t *testing.T) {
	want := []string{"answered", "erred", "declined", "turned away", "refused", "never up", "unsent", "stale", "no room", "no time", "cut off",
		"garbled", "silent", "not kept", "given up"}
	var got []string
	for e := range attemptResultCount {
		got = append(got, e.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("the names are %q", got)
	}
	if values := fmt.Sprintf("%d %d %d", Succeeded, NotStarted, Abandoned); values != "0 3 14" {
		t.Errorf("the values are %s", values)
	}
}
