package testbed

import (
	"testing"

	"fernvane/internal/testbed/scenario"
)

// Each kind of fault that scenario files can specify is implemented by exactly one group.
func TestEachFaultKindIsImplemented(t *testing.T) {
	total := 0
	for _, group := range faultGroups {
		total += len(group)
	}
	if total != len(scenario.FaultKinds) {
		t.Errorf("got %d implemented faults, want the %d of scenario.FaultKinds", total, len(scenario.FaultKinds))
	}
	for _, kind := range scenario.FaultKinds {
		groups := 0
		for _, group := range faultGroups {
			if _, ok := group[kind.Name]; ok {
				groups++
			}
		}
		if groups != 1 {
			t.Errorf("fault %s: got %d groups, want 1", kind.Name, groups)
		}
	}
}
