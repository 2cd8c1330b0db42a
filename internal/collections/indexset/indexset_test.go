package indexset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSetMatchesMap compares a set with a map, and the order of its walk.
func TestSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		model := map[int]bool{}
		element := rapid.SampledFrom([]int{0, 1, 63, 64, 65, 4095, 4096, 5000, 262_143, 262_144, 600_000})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i, in := element.Draw(t, "element"), rapid.Bool().Draw(t, "in")
			copied := s.Clone()
			had := copied.Has(i)
			s.Put(i, in)
			if model[i] = in; !in {
				delete(model, i)
			}
			if copied.Has(i) != had {
				t.Fatal("clone changed with the set")
			}
		}
		want := []int{}
		for i := range model {
			want = append(want, i)
		}
		slices.Sort(want)
		got := slices.AppendSeq([]int{}, s.All())
		if !slices.Equal(got, want) || s.Len() != len(want) {
			t.Fatalf("%v, %d of them, want %v", got, s.Len(), want)
		}
	})
}

// TestWalkVisitsElementsOnly checks that a walk costs its elements, however wide their range, and that they may be removed
// during it.
func TestWalkVisitsElementsOnly(t *testing.T) {
	var s Set
	s.Add(1_000_000)
	s.Add(7)
	for i := range s.All() {
		s.Remove(i)
	}
	if s.Visits() != 2 || s.Len() != 0 {
		t.Errorf("%d visits, %d left", s.Visits(), s.Len())
	}
}
