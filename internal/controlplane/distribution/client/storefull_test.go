package client

import (
	"strings"
	"testing"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// TestFullStoreIsNotCurrent guards against a node with a full store that counts as current. It must log the entry that it cannot
// store, report it to the control process, and stay behind after matching digests as well as after batches.
func TestFullStoreIsNotCurrent(t *testing.T) {
	c := newFakeControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("hire", distribution.KindServer, "s2", "up"))
	cfg := nodeConfig(t, "n", []string{"hire"}, c.address())
	cfg.StoreLimits = distribution.Limits{MaxEntries: 2}
	n := startNode(t, cfg)
	waitStarted(t, n)
	c.write(put("hire", distribution.KindServer, "s3", "up"))
	waitUntil(t, func() bool { return n.Status().State == distribution.StateBehind }, "the node is behind")
	waitUntil(t, func() bool {
		s, _ := c.status("n")
		return len(s.Rejected) == 1 && s.Rejected[0].Key == key("hire", distribution.KindServer, "s3") && strings.Contains(s.Rejected[0].Reason, "full")
	}, "the rejection is reported to the control process")
	c.mu.Lock()
	for _, p := range c.peers {
		wire.Send(p.conn, &wire.Digests{Digests: distribution.Digests{Total: c.store.TotalDigest(), Through: c.store.Vector().Clone()}})
	}
	c.mu.Unlock()
	c.write(put("hire", distribution.KindServer, "s1", "down"))
	waitUntil(t, func() bool { return n.value(key("hire", distribution.KindServer, "s1")) == "down" }, "the change after the digests is applied") // so the digests were handled
	if s := n.Status(); s.State == distribution.StateCurrent {
		t.Errorf("full store: got status %+v, want a state other than current", s)
	}
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	if lines := strings.Join(n.log.lines, ""); strings.Count(lines, "store is full") != 1 {
		t.Errorf("got log %s, want one line on the full store", lines)
	}
}
