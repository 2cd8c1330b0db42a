package control

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/faultproxy"
)

// startTree starts two roots that follow each other, and a relay that follows one of them.
func startTree(t *testing.T) (a, b, r *member) {
	t.Helper()
	disk := disks(t)
	at := map[string]string{"a": address.Free(t), "b": address.Free(t), "r": address.Free(t)}
	first, second := settings(t, "a", at["a"], disk("a"), at["b"]), settings(t, "b", at["b"], disk("b"), at["a"])
	first.Follow, second.Follow = followAll, followAll
	a, b = start(t, first), start(t, second)
	r = start(t, settings(t, "r", at["r"], disk("r"), at["a"], at["b"]))
	wait(t, "all control processes to be current", func() bool { return a.isCurrent() && b.isCurrent() && r.isCurrent() })
	return a, b, r
}

// Writes at any control process reach all of them, and nodes receive those of their services.
func TestWritesReachAllProcesses(t *testing.T) {
	t.Parallel()
	a, b, r := startTree(t)
	n := node("n", "", "s")
	n.subscribe(t, r.at)
	for i, m := range []*member{a, b, r} {
		write(t, m.at, route("s", fmt.Sprint("at-", i)), route("", fmt.Sprint("for-all-", i)), route("other", fmt.Sprint("not-for-n-", i)))
	}
	agree(t, a, b, r)
	for i := range 3 {
		for service, name := range map[string]string{"s": "at-", "": "for-all-"} {
			wait(t, name, func() bool { return n.has(route(service, fmt.Sprint(name, i))) })
		}
		if n.has(route("other", fmt.Sprint("not-for-n-", i))) {
			t.Error("node received an entry of a service that it does not subscribe to")
		}
	}
	deletion := route("s", "at-1")
	deletion.Value, deletion.Deleted = nil, true
	write(t, r.at, deletion)
	wait(t, "the deletion at all processes", func() bool {
		return !a.has("at-1") && !b.has("at-1") && !n.has(route("s", "at-1"))
	})
	agree(t, a, b, r)
}

// An invalid write returns an error and changes nothing.
func TestInvalidWritesAreRejected(t *testing.T) {
	t.Parallel()
	a, _, _ := startTree(t)
	before := a.state()
	for name, changes := range map[string][]distribution.Change{
		"no name":         {{Key: distribution.Key{Service: "s", Kind: distribution.KindRoute}}},
		"no kind":         {{Key: distribution.Key{Service: "s", Name: "x"}}},
		"one of two":      {route("s", "good"), {Key: distribution.Key{Kind: 99, Name: "x"}}},
		"a large value":   {{Key: route("s", "x").Key, Value: make([]byte, distribution.MaxValueBytes+1)}},
		"a value deleted": {{Key: route("s", "x").Key, Value: []byte("v"), Deleted: true}},
	} {
		t.Run(name, func(t *testing.T) {
			if written, err := tryWrite(a.at, changes...); err == nil || strings.Contains(err.Error(), "\n") || written == nil {
				t.Errorf("got result %+v, error %v, want a result with an error of one line", written, err)
			}
		})
	}
	if a.state() != before {
		t.Error("rejected writes changed the store")
	}
}

// A process whose upstreams don't respond rejects writes and serves no subscribers until the start timeout.
func TestStartWaitsForUpstreams(t *testing.T) {
	t.Parallel()
	m := startWith(t, settings(t, "r", address.Free(t), disks(t)("r"), address.Free(t)), zerolog.Nop(), defaultStartTimeout)
	n := node("n", "s")
	n.subscribe(t, m.at)
	if _, err := tryWrite(m.at, route("s", "x")); err == nil || err.Error() != errNotCurrent.Error() {
		t.Errorf("write before the process is current: got error %v, want errNotCurrent", err)
	}
	if self, _, err := query(m.at); err != nil || !self.IsCatchingUp || self.HasAcknowledged {
		t.Errorf("got status %+v, error %v, want catching up and not acknowledged", self, err)
	}
	early := false
	wait(t, "the processes to be current", func() bool {
		n.mu.Lock()
		complete := n.complete
		n.mu.Unlock()
		current := m.isCurrent()
		early = early || complete && !current
		return current
	})
	if early {
		t.Error("node received a complete batch before the process was current")
	}
	if m.now() < defaultStartTimeout {
		t.Errorf("process was current after %v, want at least defaultStartTimeout", m.now())
	}
	wait(t, "a complete batch", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.complete })
	write(t, m.at, route("s", "x"))
	wait(t, "the write at the node", func() bool { return n.has(route("s", "x")) })
}

// After a clean shutdown, a process without upstreams is current immediately.
func TestCleanStartWithoutUpstreamsIsCurrent(t *testing.T) {
	t.Parallel()
	disk, at := disks(t), address.Free(t)
	m := start(t, settings(t, "a", at, disk("a")))
	wait(t, "the processes to be current", m.isCurrent)
	origin := write(t, m.at, route("s", "x")).Origin
	m.stop(t)
	m = start(t, settings(t, "a", at, disk("a")))
	if !m.isCurrent() || !m.has("x") {
		t.Errorf("got current %t, stored entry %t, want true for both", m.isCurrent(), m.has("x"))
	}
	if again := write(t, m.at, route("s", "y")); again.Origin == origin || again.Origin.Name() != "a" || again.Sequence != 1 {
		t.Errorf("got result %+v, want sequence 1 of a new origin of a", again)
	}
}

// A control process that has lost its disk receives the entries back from its nodes.
func TestLostDiskIsRestoredFromNodes(t *testing.T) {
	t.Parallel()
	disk, at := disks(t), address.Free(t)
	m := start(t, settings(t, "a", at, disk("a")))
	n := node("n", "", "s")
	n.subscribe(t, m.at)
	wait(t, "the processes to be current", m.isCurrent)
	write(t, m.at, routes("s", 0, 500)...)
	wait(t, "all entries at the node", func() bool { return n.has(route("s", "route-499")) })
	before := m.state()
	m.stop(t)
	n.leave()
	if err := os.Remove(disk("a")); err != nil {
		t.Fatal(err)
	}
	m = start(t, settings(t, "a", at, disk("a")))
	n.subscribe(t, m.at)
	wait(t, "all entries at the control process", func() bool { return m.state() == before })
	for i := range 500 {
		if !n.has(route("s", fmt.Sprint("route-", i))) {
			t.Fatalf("route-%d is missing at the node", i)
		}
	}
}

// A process that starts from an old copy of its disk writes under a new origin.
func TestOldDiskWritesUnderNewOrigin(t *testing.T) {
	t.Parallel()
	for name, clean := range map[string]bool{"copied while in use": false, "copied at rest": true} {
		t.Run(name, func(t *testing.T) {
			disk := disks(t)
			at, bt := address.Free(t), address.Free(t)
			first, second := settings(t, "a", at, disk("a"), bt), settings(t, "b", bt, disk("b"), at)
			a, b := start(t, first), start(t, second)
			wait(t, "the processes to be current", func() bool { return a.isCurrent() && b.isCurrent() })
			write(t, a.at, routes("s", 0, 10)...)
			if clean {
				a.stop(t)
			}
			old, err := os.ReadFile(disk("a"))
			if err != nil {
				t.Fatal(err)
			}
			if clean {
				a = start(t, first)
				wait(t, "the processes to be current", a.isCurrent)
			}
			origin := write(t, a.at, routes("s", 10, 20)...).Origin
			agree(t, a, b)
			a.stop(t)
			if err := os.WriteFile(disk("a"), old, 0o600); err != nil {
				t.Fatal(err)
			}
			a = start(t, first)
			wait(t, "the processes to be current", a.isCurrent)
			again := write(t, a.at, routes("s", 20, 30)...)
			if again.Origin == origin {
				t.Errorf("got origin %q again, want a new one", origin)
			}
			agree(t, a, b)
			if a.size() != 30 || b.size() != 30 {
				t.Errorf("got %d and %d entries, want 30", a.size(), b.size())
			}
		})
	}
}

// With a full disk the writer receives an error, but the changes take effect and are replicated.
func TestFullDiskServesFromMemory(t *testing.T) {
	t.Parallel()
	disk := disks(t)
	at, bt := address.Free(t), address.Free(t)
	first := settings(t, "a", at, disk("a"), bt)
	first.DiskBytes = 256 << 10
	a, b := start(t, first), start(t, settings(t, "b", bt, disk("b"), at))
	wait(t, "the processes to be current", func() bool { return a.isCurrent() && b.isCurrent() })
	var err error
	for n := 0; err == nil && n < 20_000; n += 1000 {
		_, err = tryWrite(a.at, routes("s", n, n+1000)...)
	}
	if err == nil || !strings.Contains(err.Error(), "in effect from memory") {
		t.Fatalf("got error %v, want one about changes in effect from memory", err)
	}
	agree(t, a, b)
	if _, err := tryWrite(b.at, route("s", "later")); err != nil {
		t.Error(err)
	}
	agree(t, a, b)
}

// Each root reports the status of every node: the applied revision, the process that serves it, and its disconnection.
func TestStatusIsReportedToRoots(t *testing.T) {
	t.Parallel()
	a, b, r := startTree(t)
	n := node("n", "s")
	n.subscribe(t, r.at)
	written := write(t, b.at, route("s", "x"))
	for _, m := range []*member{a, b, r} {
		wait(t, "the node's status at "+m.config.Name, func() bool {
			self, nodes, err := query(m.at)
			status := nodes["n"]
			return err == nil && self.HasAcknowledged && status.IsConnected && status.Via == "r" && status.AcknowledgedClock == written.Clock && status.Lag == 0 &&
				status.Role == distribution.RoleNode && status.Revision == self.Revision && (m == r || nodes["r"].Role == distribution.RoleControl)
		})
	}
	n.leave()
	for _, m := range []*member{a, b, r} {
		wait(t, "the node's disconnection at "+m.config.Name, func() bool {
			_, nodes, err := query(m.at)
			status, known := nodes["n"]
			return err == nil && known && !status.IsConnected
		})
	}
}

// Stores that differ despite equal vectors are repaired by digests, and only the differing services are sent.
func TestDigestsRepairDifferences(t *testing.T) {
	t.Parallel()
	a, b, r := startTree(t)
	write(t, a.at, routes("s", 0, 50)...)
	write(t, a.at, routes("other", 0, 50)...)
	agree(t, a, b, r)
	r.mu.Lock()
	r.store.ReplaceServices([]string{"s"}, nil, r.store.Vector()) // simulates a fault of the disk or of this program
	received := r.counts.mergedEntries
	r.mu.Unlock()
	if r.state() == a.state() {
		t.Fatal("stores are equal, want a difference")
	}
	n := node("n", "s")
	n.subscribe(t, r.at)
	wait(t, "a complete batch at the node", func() bool { n.mu.Lock(); defer n.mu.Unlock(); return n.complete })
	agree(t, a, b, r)
	wait(t, "the repaired entries at the node", func() bool { return n.has(route("s", "route-0")) && n.has(route("s", "route-49")) })
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.counts.mergedEntries - received; n != 50 && received > 0 && n > 50 {
		t.Errorf("got %d entries received during the repair, want at most 50", n)
	}
}

// A silent upstream is disconnected within seconds, and the entries written meanwhile are received from another one.
func TestSilentUpstreamIsDisconnected(t *testing.T) {
	t.Parallel()
	disk := disks(t)
	at, bt := address.Free(t), address.Free(t)
	first, second := settings(t, "a", at, disk("a"), bt), settings(t, "b", bt, disk("b"), at)
	a, b := start(t, first), start(t, second)
	wait(t, "the processes to be current", func() bool { return a.isCurrent() && b.isCurrent() })
	proxy, err := faultproxy.Listen(at)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	r := start(t, settings(t, "r", address.Free(t), disk("r"), proxy.Address(), bt))
	wait(t, "the relay to be current", r.isCurrent)
	proxy.Cut(faultproxy.Down, true)
	write(t, a.at, route("s", "x"))
	wait(t, "the entry from the other upstream", func() bool { return r.has("x") })
	agree(t, a, b, r)
}

// Partitioned regions both accept changes. After the partition, the later change of the same key wins everywhere, and changes of
// different keys are all in effect.
func TestPartitionedRegionsConverge(t *testing.T) {
	t.Parallel()
	disk := disks(t)
	at, bt := address.Free(t), address.Free(t)
	var proxies [2]*faultproxy.Proxy
	for i, to := range []string{bt, at} {
		var err error
		if proxies[i], err = faultproxy.Listen(to); err != nil {
			t.Fatal(err)
		}
		defer proxies[i].Close()
	}
	a := start(t, settings(t, "a", at, disk("a"), proxies[0].Address()))
	b := start(t, settings(t, "b", bt, disk("b"), proxies[1].Address()))
	wait(t, "the processes to be current", func() bool { return a.isCurrent() && b.isCurrent() })
	write(t, a.at, route("s", "both"))
	agree(t, a, b)
	for _, proxy := range proxies {
		proxy.Cut(faultproxy.Up, true)
		proxy.Cut(faultproxy.Down, true)
	}
	withValue := func(value string) distribution.Change {
		c := route("s", "both")
		c.Value = []byte(value)
		return c
	}
	write(t, a.at, withValue("first"), route("s", "of-a"))
	write(t, b.at, withValue("second"), route("s", "of-b"))
	if a.state() == b.state() {
		t.Fatal("stores are equal during the partition, want a difference")
	}
	for _, proxy := range proxies {
		proxy.Cut(faultproxy.Up, false)
		proxy.Cut(faultproxy.Down, false)
	}
	agree(t, a, b)
	for _, m := range []*member{a, b} {
		m.mu.Lock()
		e, _ := m.store.Entry(withValue("").Key)
		m.mu.Unlock()
		if string(e.Value) != "second" || !m.has("of-a") || !m.has("of-b") {
			t.Errorf("%s: got value %q, entry of a %t, entry of b %t, want second and both entries", m.config.Name, e.Value, m.has("of-a"), m.has("of-b"))
		}
	}
}

// A relay sends the missing entries to an upstream that has lost its disk.
func TestRelayAheadOfRoot(t *testing.T) {
	t.Parallel()
	disk, at := disks(t), address.Free(t)
	a := start(t, settings(t, "a", at, disk("a")))
	r := start(t, settings(t, "r", address.Free(t), disk("r"), at))
	wait(t, "the processes to be current", func() bool { return a.isCurrent() && r.isCurrent() })
	write(t, a.at, routes("s", 0, 300)...)
	agree(t, a, r)
	before := r.state()
	a.stop(t)
	if err := os.Remove(disk("a")); err != nil {
		t.Fatal(err)
	}
	a = start(t, settings(t, "a", at, disk("a")))
	wait(t, "all entries at the root", func() bool { return a.state() == before })
	if r.state() != before {
		t.Error("entries of the relay changed, want the state before the restart")
	}
	wait(t, "the root to be current again", a.isCurrent)
	write(t, a.at, route("s", "later"))
	agree(t, a, r)
}

// A shutdown closes all connections and saves all entries to disk.
func TestShutdownSavesEverything(t *testing.T) {
	t.Parallel()
	disk, at := disks(t), address.Free(t)
	m := start(t, settings(t, "a", at, disk("a")))
	wait(t, "the processes to be current", m.isCurrent)
	conns := []*framing.Conn{openCommand(t, at, nil), openCommand(t, at, nil)}
	n := node("n", "s")
	n.subscribe(t, at)
	write(t, at, routes("s", 0, 100)...)
	before := m.state()
	m.stop(t)
	for _, conn := range conns {
		if _, err := receiveMessage(conn, waitTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("connection after the shutdown: got error %v, want a close", err)
		}
	}
	if m = start(t, settings(t, "a", at, disk("a"))); m.state() != before || !m.isCurrent() {
		t.Errorf("after the next start: got digest %s, want %s; current %t, want true", m.state(), before, m.isCurrent())
	}
}
