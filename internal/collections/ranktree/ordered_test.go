package ranktree

import (
	"math/bits"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// An index does as a sorted slice does.
func TestIndexIsAsASortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Tree
		var model []int
		keys := map[int]int{}
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			item := rapid.IntRange(0, 40).Draw(t, "item")
			if x.Has(item) != slices.Contains(model, item) {
				t.Fatalf("has %d: %v", item, x.Has(item))
			}
			copied := x.Clone()
			if at := slices.Index(model, item); at >= 0 {
				if got := x.Delete(item); got != at {
					t.Fatalf("deleted at %d, want %d", got, at)
				}
				model = slices.Delete(model, at, at+1)
			} else {
				keys[item] = rapid.IntRange(0, 9).Draw(t, "key")
				at, _ := slices.BinarySearchFunc(model, keys[item], func(a, key int) int { return keys[a] - key })
				if got := x.Insert(item, keys[item]); got != at {
					t.Fatalf("inserted at %d, want %d", got, at)
				}
				model = slices.Insert(model, at, item)
			}
			if copied.Has(item) == x.Has(item) {
				t.Fatal("a copy changes with the index")
			}
		}
		for place, item := range model {
			if x.At(place) != item || x.Rank(item) != place {
				t.Fatalf("at %d stands %d, want %d, whose place is %d", place, x.At(place), item, x.Rank(item))
			}
		}
		if start := 3; len(model) > start {
			got := slices.Collect(x.From(start + len(model)))
			if want := slices.Concat(model[start:], model[:start]); !slices.Equal(got, want) {
				t.Fatalf("from %d: %v, want %v", start, got, want)
			}
		}
		if x.Len() != len(model) {
			t.Fatalf("%d items, want %d", x.Len(), len(model))
		}
	})
}

// Whatever the order in which items come, each costs a small multiple of the logarithm.
func TestStepsAreLogarithmic(t *testing.T) {
	const items, most = 50_000, 12 // times the logarithm: one insertion, two looks and one deletion
	for name, key := range map[string]func(i int) int{
		"ascending":  func(i int) int { return i },
		"descending": func(i int) int { return -i },
		"all equal":  func(int) int { return 0 },
		"spread":     func(i int) int { return int(uint32(i) * 2654435761) },
	} {
		t.Run(name, func(t *testing.T) {
			var x Tree
			for i := range items {
				x.Insert(i, key(i))
			}
			for i := range items {
				x.At(x.Rank(i))
			}
			for i := range items {
				x.Delete(i)
			}
			if per := x.Steps() / items; per > most*bits.Len(items) || x.Len() != 0 {
				t.Errorf("%d steps an item, %d left", per, x.Len())
			} else {
				t.Logf("%d steps an item", per)
			}
		})
	}
}
