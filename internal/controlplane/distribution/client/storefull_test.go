package client

import (
	"strings"
	"testing"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// Guards against a node whose store is full counting as current: it logs what it cannot hold, tells the control process, and digests make it
// current no more than batches do.
func TestFullStoreIsNotCurrent(t *testing.T) {
	c := newControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("hire", distribution.KindServer, "s2", "up"))
	cfg := config(t, "n", []string{"hire"}, c.address())
	cfg.StoreLimits = distribution.Limits{MaxEntries: 2}
	n := startNode(t, cfg)
	started(t, n)
	c.write(put("hire", distribution.KindServer, "s3", "up"))
	until(t, func() bool { return n.Status().State == distribution.StateBehind }, "the node is behind")
	until(t, func() bool {
		s, _ := c.status("n")
		return len(s.Rejected) == 1 && s.Rejected[0].Key == key("hire", distribution.KindServer, "s3") && strings.Contains(s.Rejected[0].Reason, "full")
	}, "the control process is told")
	c.mu.Lock()
	for _, p := range c.conns {
		wire.Send(p.conn, &wire.Digests{Digests: distribution.Digests{Total: c.store.TotalDigest(), Through: c.store.Vector().Clone()}})
	}
	c.mu.Unlock()
	c.write(put("hire", distribution.KindServer, "s1", "down"))
	until(t, func() bool { return n.value(key("hire", distribution.KindServer, "s1")) == "down" }, "the change behind the digests") // the digests before it were handled
	if s := n.Status(); s.State == distribution.StateCurrent {
		t.Errorf("with a full store its status is %+v", s)
	}
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	if lines := strings.Join(n.log.lines, ""); strings.Count(lines, "store is full") != 1 {
		t.Errorf("logged %s", lines)
	}
}
