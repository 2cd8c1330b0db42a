package ranktree

import (
	"math/bits"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTreeMatchesSortedSlice compares a tree with a sorted slice.
func TestTreeMatchesSortedSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tree Tree
		var model []int
		keys := map[int]int{}
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			item := rapid.IntRange(0, 40).Draw(t, "item")
			if tree.Has(item) != slices.Contains(model, item) {
				t.Fatalf("Has of item %d: got %v", item, tree.Has(item))
			}
			copied := tree.Clone()
			if at := slices.Index(model, item); at >= 0 {
				if got := tree.Delete(item); got != at {
					t.Fatalf("rank of deleted item: got %d, want %d", got, at)
				}
				model = slices.Delete(model, at, at+1)
			} else {
				keys[item] = rapid.IntRange(0, 9).Draw(t, "key")
				at, _ := slices.BinarySearchFunc(model, keys[item], func(a, key int) int { return keys[a] - key })
				if got := tree.Insert(item, keys[item]); got != at {
					t.Fatalf("rank of inserted item: got %d, want %d", got, at)
				}
				model = slices.Insert(model, at, item)
			}
			if copied.Has(item) == tree.Has(item) {
				t.Fatal("clone changed with the tree")
			}
		}
		for rank, item := range model {
			if tree.At(rank) != item || tree.Rank(item) != rank {
				t.Fatalf("item at rank %d: got %d, want %d, for which Rank returns %d", rank, tree.At(rank), item, tree.Rank(item))
			}
		}
		if start := 3; len(model) > start {
			got := slices.Collect(tree.From(start + len(model)))
			if want := slices.Concat(model[start:], model[:start]); !slices.Equal(got, want) {
				t.Fatalf("items from rank %d: got %v, want %v", start, got, want)
			}
		}
		if tree.Len() != len(model) {
			t.Fatalf("got %d items, want %d", tree.Len(), len(model))
		}
	})
}

// TestStepsAreLogarithmic checks that the steps per item are logarithmic for several insertion orders.
func TestStepsAreLogarithmic(t *testing.T) {
	const items, most = 50_000, 12 // times the logarithm: one insertion, two lookups and one deletion
	for name, key := range map[string]func(i int) int{
		"ascending":  func(i int) int { return i },
		"descending": func(i int) int { return -i },
		"all equal":  func(int) int { return 0 },
		"spread":     func(i int) int { return int(uint32(i) * 2654435761) },
	} {
		t.Run(name, func(t *testing.T) {
			var tree Tree
			for i := range items {
				tree.Insert(i, key(i))
			}
			for i := range items {
				tree.At(tree.Rank(i))
			}
			for i := range items {
				tree.Delete(i)
			}
			if perItem := tree.Steps() / items; perItem > most*bits.Len(items) || tree.Len() != 0 {
				t.Errorf("got %d steps per item and %d items left", perItem, tree.Len())
			} else {
				t.Logf("%d steps per item", perItem)
			}
		})
	}
}
