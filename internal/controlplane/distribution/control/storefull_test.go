package control

import (
	"testing"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
	"fernvane/internal/testbed/standin/address"
)

// Guards against a control process with a full store that reports to be current after a comparison of digests.
func TestFullRelayIsNotCurrent(t *testing.T) {
	t.Parallel()
	disk, at := disks(t), address.Free(t)
	a := start(t, settings(t, "a", at, disk("a")))
	small := settings(t, "r", address.Free(t), disk("r"), at)
	small.StoreLimits = distribution.Limits{MaxEntries: 2}
	r := start(t, small)
	wait(t, "the root to be current", a.isCurrent)
	write(t, a.at, route("s", "1"), route("s", "2"))
	agree(t, a, r)
	status := func() distribution.NodeStatus {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.processStatus()
	}
	wait(t, "the processes to be current", func() bool { return r.isCurrent() && !status().IsCatchingUp })
	write(t, a.at, route("s", "3"))
	wait(t, "a status with the rejected entry", func() bool {
		s := status()
		return s.IsCatchingUp && len(s.Rejected) == 1 && s.Rejected[0].Key == route("s", "3").Key
	})
	state := func() distribution.State {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.followers[0].subscriber.State()
	}
	wait(t, "the state behind", func() bool { return state() == distribution.StateBehind })
	a.mu.Lock()
	a.links.subscribers["r"].enqueue(&wire.Digests{Digests: distribution.Digests{Total: a.store.TotalDigest(), Through: a.store.Vector().Clone()}})
	a.mu.Unlock()
	changed := route("s", "1")
	changed.Value = []byte("changed")
	write(t, a.at, changed)
	wait(t, "the change that follows the digests", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		e, _ := r.store.Entry(changed.Key)
		return string(e.Value) == "changed"
	})
	if got := state(); got != distribution.StateBehind {
		t.Errorf("got state %s with a full store, want behind", got)
	}
	if s := status(); !s.IsCatchingUp || len(s.Rejected) != 1 {
		t.Errorf("got status %+v, want catching up with one rejection", s)
	}
}
