package tree

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/incarnation"
)

// conditionNames are the displayed names of the conditions, by value.
var conditionNames = [...]string{"up", "draining", "gone"}

// Lines formats a value for display, with one line per field. For a value that fails to decode it returns the error as the only
// line.
func Lines(kind distribution.Kind, v []byte) []string {
	e := distribution.Entry{Value: v}
	switch kind {
	case distribution.KindTenant:
		t, err := value.DecodeTenant(e)
		if err != nil {
			return []string{err.Error()}
		}
		return []string{fmt.Sprintf("allowance = %v", t.Allowance)}
	case distribution.KindServer:
		return serverLines(v)
	}
	return strings.Split(strings.TrimRight(string(v), "\n"), "\n")
}

func serverLines(v []byte) []string {
	s, err := value.DecodeServerValue(v)
	if err != nil {
		return []string{err.Error()}
	}
	lines := []string{
		fmt.Sprintf("address = %q", s.Address),
		fmt.Sprintf("size = %v", s.Weight),
		"condition = " + conditionNames[s.Condition],
	}
	for name, text := range map[string]string{"zone": s.Zone, "flavor": s.MachineKind} {
		if text != "" {
			lines = append(lines, fmt.Sprintf("%s = %q", name, text))
		}
	}
	if s.Cell != incarnation.UnknownCell {
		lines = append(lines, fmt.Sprintf("cell = %d", s.Cell))
	}
	if s.StartedUnixMS > 0 {
		lines = append(lines, "started = "+time.UnixMilli(s.StartedUnixMS).UTC().Format(time.RFC3339Nano))
	}
	slices.Sort(lines)
	return lines
}
