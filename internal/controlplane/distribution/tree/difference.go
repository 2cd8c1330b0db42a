package tree

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
)

// Difference is a change to be made, with what is held before it.
type Difference struct {
	distribution.Change
	HeldValue []byte
	IsHeld    bool
}

// Differences returns the changes of some kinds that make what is held of the tree's services equal to the tree, in the order
// of their keys. What is held and not in the tree is deleted.
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
		heldValue, isHeld := before[key]
		if !slices.Contains(kinds, key.Kind) || isHeld && isEqual(key.Kind, heldValue, v) {
			continue
		}
		all = append(all, Difference{Change: distribution.Change{Key: key, Value: v}, HeldValue: heldValue, IsHeld: isHeld})
	}
	slices.SortFunc(all, func(a, b Difference) int { return distribution.CompareKeys(a.Key, b.Key) })
	return all
}

// isEqual reports whether two values have the same content. Revisions and generations are a source's own, and in no tree.
func isEqual(kind distribution.Kind, a, b []byte) bool {
	if kind != distribution.KindServer {
		return bytes.Equal(a, b)
	}
	one, errOne := value.DecodeServerValue(a)
	other, errOther := value.DecodeServerValue(b)
	one.Revision, other.Revision, one.Generation, other.Generation = 0, 0, 0, 0
	return errOne == nil && errOther == nil && one == other
}

// Changes returns the changes to be written.
func Changes(all []Difference) []distribution.Change {
	changes := make([]distribution.Change, 0, len(all))
	for _, d := range all {
		changes = append(changes, d.Change)
	}
	return changes
}

// String returns the difference for people: a line for the entry, and below it the lines that are removed and added.
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
