package control

import (
	"path/filepath"
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/testbed/standin/address"
)

// A relay fails back to the root that its file names first when that one answers again.
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
		wait(t, "the upstream is followed", func() bool {
			upstream.mu.Lock()
			defer upstream.mu.Unlock()
			return upstream.links.subscribers["relay"] != nil
		})
	}
	follows(root)
	for range 2 { // and once more
		root.stop(t)
		follows(second)
		root = start(t, first)
		follows(root)
	}
}
