package client

import (
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
)

// TestFailbackToPreferredControlProcess checks that a node returns to the first control process of its file once that one responds
// again, and that it misses no change.
func TestFailbackToPreferredControlProcess(t *testing.T) {
	t.Parallel()
	a, b := pair(t)
	c := nodeConfig(t, "n", []string{"hire"}, a.address, b.address)
	c.FailbackDelay = tomlfile.Duration(50 * time.Millisecond)
	n := startNode(t, c)
	requireFollows := func(r *controlProcess, value string) {
		t.Helper()
		waitUntil(t, func() bool { return n.Status().Upstream == r.address }, "%s is followed", r.address)
		waitUntil(t, func() bool { return n.value(key("hire", distribution.KindServer, "s")) == value }, "value %s is applied", value)
	}
	a.write(put("hire", distribution.KindServer, "s", "v1"))
	waitStarted(t, n)
	requireFollows(a, "v1")
	for _, value := range []string{"v2", "v3"} { // failback also works repeatedly
		a.stop()
		b.write(put("hire", distribution.KindServer, "s", value))
		requireFollows(b, value)
		a.start()
		requireFollows(a, value)
	}
	b.write(put("hire", distribution.KindServer, "s", "v4"))
	requireFollows(a, "v4")
}
