package intset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSetMatchesSlice compares a set with a slice in which the last element replaces a removed one.
func TestSetMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		var model []int
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			item := rapid.IntRange(0, 20).Draw(t, "item")
			copied := s.Clone()
			before := slices.Clone(model)
			if at := slices.Index(model, item); at >= 0 {
				model[at] = model[len(model)-1]
				model = model[:len(model)-1]
				s.Remove(item)
			} else {
				model = append(model, item)
				s.Add(item)
			}
			if !slices.Equal(s.Items(), model) || s.Len() != len(model) {
				t.Fatalf("got items %v, want %v", s.Items(), model)
			}
			if !slices.Equal(copied.Items(), before) {
				t.Fatal("clone changed with the set")
			}
		}
	})
}
