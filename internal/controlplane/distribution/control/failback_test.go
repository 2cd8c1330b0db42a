package control

import (
	"path/filepath"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/testbed/standin/address"
)

// A relay fails back to its first upstream when that is available again.
func TestFailbackToPreferredUpstream(t *testing.T) {
	dir := t.TempDir()
	first := settings(t, "first", address.Free(t), filepath.Join(dir, "first.db"))
	second := start(t, settings(t, "second", address.Free(t), filepath.Join(dir, "second.db")))
	config := settings(t, "relay", address.Free(t), filepath.Join(dir, "relay.db"), first.ListenAddress.String(), second.at)
	config.FailbackDelay = tomlfile.Duration(50 * time.Millisecond)
	root := start(t, first)
	start(t, config)
	follows := func(upstream *member) {
		t.Helper()
		wait(t, "the relay to subscribe to the upstream", func() bool {
			upstream.mu.Lock()
			defer upstream.mu.Unlock()
			return upstream.links.subscribers["relay"] != nil
		})
	}
	follows(root)
	for range 2 { // the second round verifies that failback works repeatedly
		root.stop(t)
		follows(second)
		root = start(t, first)
		follows(root)
	}
}
