package address

import "testing"

// TestNoAddressTwice guards against the kernel's reuse of ports: of this many ports it would return some twice.
func TestNoAddressTwice(t *testing.T) {
	const count = 2000
	seen := map[string]bool{}
	for range count {
		address := Free(t)
		if seen[address] {
			t.Fatal(address, " was returned twice, want each address once")
		}
		seen[address] = true
	}
}
