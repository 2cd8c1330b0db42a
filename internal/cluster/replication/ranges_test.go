package replication

import (
	"testing"

	"pgregory.net/rapid"
)

// Ranges are equivalent to sets of record numbers.
func TestRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (r Ranges, set map[uint64]bool) {
			set = map[uint64]bool{}
			for range rapid.IntRange(0, 6).Draw(t, name) {
				from := uint64(rapid.IntRange(1, 30).Draw(t, "from"))
				to := from + uint64(rapid.IntRange(0, 6).Draw(t, "n"))
				r = r.With(from, to)
				for x := from; x < to; x++ {
					set[x] = true
				}
			}
			return r, set
		}
		a, inA := draw("a")
		b, inB := draw("b")
		left := a.Without(b)
		for _, r := range []Ranges{a, b, left} {
			if !r.isValid() {
				t.Fatalf("ranges %v are not valid", r)
			}
		}
		for x := uint64(1); x < 40; x++ {
			if a.Contains(x, x+1) != inA[x] || left.Contains(x, x+1) != (inA[x] && !inB[x]) {
				t.Fatalf("record %d: Contains of %v or Without(%v) = %v differs from the sets of record numbers", x, a, b, left)
			}
		}
		if a.Count() != uint64(len(inA)) {
			t.Fatalf("Count of %v: got another number, want %d", a, len(inA))
		}
	})
}
