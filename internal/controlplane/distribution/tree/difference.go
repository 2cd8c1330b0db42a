package tree

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
)

// Difference is a change to write, with the stored value that it replaces.
type Difference struct {
	distribution.Change
	StoredValue []byte
	IsStored    bool
}

// Differences returns the changes, sorted by key, that make the stored entries of the tree's services equal to the tree. It
// considers only the given kinds. Stored entries that the tree lacks are deleted.
func (t *Tree) Differences(stored []distribution.Entry, kinds []distribution.Kind) []Difference {
	before := map[distribution.Key][]byte{}
	var all []Difference
	for _, e := range stored {
		if !slices.Contains(kinds, e.Key.Kind) || !slices.Contains(t.Services, e.Key.Service) {
			continue
		}
		before[e.Key] = e.Value
		if _, isInTree := t.Values[e.Key]; !isInTree {
			all = append(all, Difference{Change: distribution.Change{Key: e.Key, Deleted: true}, StoredValue: e.Value, IsStored: true})
		}
	}
	for key, v := range t.Values {
		storedValue, isStored := before[key]
		if !slices.Contains(kinds, key.Kind) || isStored && isEqual(key.Kind, storedValue, v) {
			continue
		}
		all = append(all, Difference{Change: distribution.Change{Key: key, Value: v}, StoredValue: storedValue, IsStored: isStored})
	}
	slices.SortFunc(all, func(a, b Difference) int { return distribution.CompareKeys(a.Key, b.Key) })
	return all
}

// isEqual reports whether two values have the same content. It ignores a server's revision and generation, which the source of
// a write assigns and which operators' files do not contain.
func isEqual(kind distribution.Kind, a, b []byte) bool {
	if kind != distribution.KindServer {
		return bytes.Equal(a, b)
	}
	serverA, errA := value.DecodeServerValue(a)
	serverB, errB := value.DecodeServerValue(b)
	serverA.Revision, serverB.Revision, serverA.Generation, serverB.Generation = 0, 0, 0, 0
	return errA == nil && errB == nil && serverA == serverB
}

// Changes returns the changes of a list of differences.
func Changes(all []Difference) []distribution.Change {
	changes := make([]distribution.Change, 0, len(all))
	for _, d := range all {
		changes = append(changes, d.Change)
	}
	return changes
}

// String formats the difference for display: one line for the entry, followed by the removed and the added lines.
func (d Difference) String() string {
	sign := "+"
	switch {
	case d.Deleted:
		sign = "-"
	case d.IsStored:
		sign = "~"
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s\n", sign, d.Key)
	before, after := []string(nil), []string(nil)
	if d.IsStored {
		before = Lines(d.Key.Kind, d.StoredValue)
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
