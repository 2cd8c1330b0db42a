package testbed

import (
	"testing"

	"fernvane/internal/testbed/scenario"
)

// Each kind of fault that a scenario may ask for is implemented, by one group.
func TestEachFaultKindIsImplemented(t *testing.T) {
	total := 0
	for _, group := range faultGroups {
		total += len(group)
	}
	if total != len(scenario.FaultKinds) {
		t.Errorf("%d faults are implemented, %d are known to scenarios", total, len(scenario.FaultKinds))
	}
	for _, kind := range scenario.FaultKinds {
		groups := 0
		for _, group := range faultGroups {
			if _, ok := group[kind.Name]; ok {
				groups++
			}
		}
		if groups != 1 {
			t.Errorf("%s is in %d groups", kind.Name, groups)
		}
	}
}
