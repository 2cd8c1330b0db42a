package indexset

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestSetMatchesMap compares a set with a map, and its walk with the map's sorted keys.
func TestSetMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		model := map[int]bool{}
		element := rapid.SampledFrom([]int{0, 1, 63, 64, 65, 4095, 4096, 5000, 262_143, 262_144, 600_000})
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			i, present := element.Draw(t, "element"), rapid.Bool().Draw(t, "present")
			copied := s.Clone()
			wasPresent := copied.Has(i)
			s.Put(i, present)
			if model[i] = present; !present {
				delete(model, i)
			}
			if copied.Has(i) != wasPresent {
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
			t.Fatalf("got elements %v and length %d, want %v", got, s.Len(), want)
		}
	})
}

// TestWalkVisitsElementsOnly checks that the visits of a walk depend on the number of elements and not on their
// range, and that elements may be removed during it.
func TestWalkVisitsElementsOnly(t *testing.T) {
	var s Set
	s.Add(1_000_000)
	s.Add(7)
	for i := range s.All() {
		s.Remove(i)
	}
	if s.Visits() != 2 || s.Len() != 0 {
		t.Errorf("got %d visits and %d elements left, want 2 and 0", s.Visits(), s.Len())
	}
}
