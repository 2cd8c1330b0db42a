package intset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A bag does as a slice whose last element fills each gap.
func TestBagIsAsASlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Set
		var model []int
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			item := rapid.IntRange(0, 20).Draw(t, "item")
			copied := b.Clone()
			before := slices.Clone(model)
			if at := slices.Index(model, item); at >= 0 {
				model[at] = model[len(model)-1]
				model = model[:len(model)-1]
				b.Remove(item)
			} else {
				model = append(model, item)
				b.Add(item)
			}
			if !slices.Equal(b.Items(), model) || b.Len() != len(model) {
				t.Fatalf("%v, want %v", b.Items(), model)
			}
			if !slices.Equal(copied.Items(), before) {
				t.Fatal("a clone changes with the bag")
			}
		}
	})
}
