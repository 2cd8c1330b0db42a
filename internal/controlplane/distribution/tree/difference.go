package tree

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
)

// Difference is a change that is to be made, with what is held before it.
type Difference struct {
	distribution.Change
	HeldValue []byte
	IsHeld    bool
}

// Differences are the changes of some kinds that bring what is held of the tree's services to what the tree says, in the
// order of their keys.
func (t *Tree) Differences(held []distribution.Entry, kinds []distribution.Kind) []Difference {
	before := map[distribution.Key][]byte{}
	var all []Difference
	for _, e := range held {
		if !slices.Contains(kinds, e.Key.Kind) || !slices.Contains(t.Services, e.Key.Service) {
			continue
		}
		before[e.Key] = e.Value
		if _, stays := t.Values[e.Key]; !stays {
			all = append(all, Difference{Change: distribution.Change{Key: e.Key, Deleted: true}, HeldValue: e.Value, IsHeld: true})
		}
	}
	for key, v := range t.Values {
		was, is := before[key]
		if !slices.Contains(kinds, key.Kind) || is && same(key.Kind, was, v) {
			continue
		}
		all = append(all, Difference{Change: distribution.Change{Key: key, Value: v}, HeldValue: was, IsHeld: is})
	}
	slices.SortFunc(all, func(a, b Difference) int { return distribution.CompareKeys(a.Key, b.Key) })
	return all
}

// same tells whether two values say the same. What a source notes of its own revisions and turns is nothing that a tree says.
func same(kind distribution.Kind, a, b []byte) bool {
	if kind != distribution.KindServer {
		return bytes.Equal(a, b)
	}
	one, errOne := value.DecodeServerValue(a)
	other, errOther := value.DecodeServerValue(b)
	one.Revision, other.Revision, one.Generation, other.Generation = 0, 0, 0, 0
	return errOne == nil && errOther == nil && one == other
}

// Changes are what is to be written.
func Changes(all []Difference) []distribution.Change {
	changes := make([]distribution.Change, 0, len(all))
	for _, d := range all {
		changes = append(changes, d.Change)
	}
	return changes
}

// String is the difference as people read it: a line for the entry, and below it the lines that go and that come.
func (d Difference) String() string {
	sign := "+"
	switch {
	case d.Deleted:
		sign = "-"
	case d.IsHeld:
		sign = "~"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s\n", sign, d.Key)
	before, after := []string(nil), []string(nil)
	if d.IsHeld {
		before = Lines(d.Key.Kind, d.HeldValue)
	}
	if !d.Deleted {
		after = Lines(d.Key.Kind, d.Value)
	}
	for _, line := range before {
		if !slices.Contains(after, line) {
			fmt.Fprintf(&out, "    - %s\n", line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			fmt.Fprintf(&out, "    + %s\n", line)
		}
	}
	return out.String()
}

// Lines are a value as people read it.
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
		s, err := value.DecodeServerValue(v)
		if err != nil {
			return []string{err.Error()}
		}
		lines := []string{fmt.Sprintf("address = %q", s.Address), fmt.Sprintf("size = %v", s.Weight), "condition = " + [...]string{"up", "draining", "gone"}[s.Condition]}
		for name, text := range map[string]string{"zone": s.Zone, "flavor": s.MachineKind} {
			if text != "" {
				lines = append(lines, fmt.Sprintf("%s = %q", name, text))
			}
		}
		if s.Cell != 0 {
			lines = append(lines, fmt.Sprintf("cell = %d", s.Cell))
		}
		if s.StartedUnixMS > 0 {
			lines = append(lines, "started = "+time.UnixMilli(s.StartedUnixMS).UTC().Format(time.RFC3339Nano))
		}
		slices.Sort(lines)
		return lines
	}
	return strings.Split(strings.TrimRight(string(v), "\n"), "\n")
}
