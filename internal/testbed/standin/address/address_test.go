package address

import "testing"

// The system alone would return some of so many addresses twice.
func TestNoAddressTwice(t *testing.T) {
	const many = 2000
	seen := map[string]bool{}
	for range many {
		address := Free(t)
		if seen[address] {
			t.Fatal(address, " twice")
		}
		seen[address] = true
	}
}
