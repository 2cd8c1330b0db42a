package client

import (
	"testing"
	"time"

	"fernvane/internal/config/tomlfile"
	"fernvane/internal/controlplane/distribution"
)

// A node goes back to the control process that its file names first once that one answers again, and no change is missed on the way.
func TestFailbackToPreferredControlProcess(t *testing.T) {
	t.Parallel()
	a, b := pair(t)
	c := config(t, "n", []string{"hire"}, a.at, b.at)
	c.FailbackDelay = tomlfile.Duration(50 * time.Millisecond)
	n := startNode(t, c)
	follows := func(r *running, value string) {
		t.Helper()
		until(t, func() bool { return n.Status().Upstream == r.at }, "%s is followed", r.at)
		until(t, func() bool { return n.value(key("hire", distribution.KindServer, "s")) == value }, "%s is in force", value)
	}
	a.write(put("hire", distribution.KindServer, "s", "v1"))
	started(t, n)
	follows(a, "v1")
	for _, value := range []string{"v2", "v3"} { // and once more
		a.stop()
		b.write(put("hire", distribution.KindServer, "s", value))
		follows(b, value)
		a.start()
		follows(a, value)
	}
	b.write(put("hire", distribution.KindServer, "s", "v4"))
	follows(a, "v4")
}
