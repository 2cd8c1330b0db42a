package address

import "testing"

// Among so many the system alone deals out some twice.
func TestNoAddressTwice(t *testing.T) {
	const many = 2000
	seen := map[string]bool{}
	for range many {
		at := Free(t)
		if seen[at] {
			t.Fatal(at, " twice")
		}
		seen[at] = true
	}
}
