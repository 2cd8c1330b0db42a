package client

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func waitStarted(t *testing.T, n *testNode) {
	t.Helper()
	select {
	case <-n.Started():
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for the node to start")
	}
}

// TestChangesAreApplied checks that all nodes of a service apply what is written at a control process, and that the control process
// reports it.
func TestChangesAreApplied(t *testing.T) {
	c := newFakeControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("hire", distribution.KindRoute, "r1", "first"), put("", distribution.KindTenant, "dairy", "5"))
	var nodes []*testNode
	names := []string{"n1", "n2", "n3"}
	for _, name := range names {
		nodes = append(nodes, startNode(t, nodeConfig(t, name, []string{"hire"}, c.address())))
	}
	for _, n := range nodes {
		waitStarted(t, n)
		if s := n.Status(); s.State != distribution.StateCurrent || s.Revision != 3 {
			t.Errorf("got status %+v at start, want state current and revision 3", s)
		}
		if n.value(key("hire", distribution.KindServer, "s1")) != "up" || n.value(key("hire", distribution.KindRoute, "r1")) != "first" ||
			n.value(key("", distribution.KindTenant, "dairy")) != "5" || n.count("complete") != 1 {
			t.Errorf("got applied %v at start, want server s1 up, route r1 first, tenant dairy 5 and one complete set of servers", n.all())
		}
	}
	c.write(put("hire", distribution.KindRoute, "r1", "second"), distribution.Change{Key: key("hire", distribution.KindServer, "s1"), Deleted: true},
		put("hire", distribution.KindServer, "s2", "up"), distribution.Change{Key: key("", distribution.KindTenant, "dairy"), Deleted: true})
	for i, n := range nodes {
		c.waitApplied(names[i])
		if n.value(key("hire", distribution.KindRoute, "r1")) != "second" || n.value(key("hire", distribution.KindServer, "s2")) != "up" || n.size() != 2 {
			t.Errorf("%s: got applied %v, want only route r1 second and server s2 up", names[i], n.all())
		}
		if s, _ := c.status(names[i]); s.Region != "r" || s.Zone != "z" || len(s.Rejected) > 0 || s.Lag > 0 {
			t.Errorf("got status %+v at the control process, want region r, zone z, no rejections and no lag", s)
		}
	}
}

// TestNodesReceiveTheirServicesOnly checks by the number of sent bytes that a node receives only the entries of its services.
func TestNodesReceiveTheirServicesOnly(t *testing.T) {
	c := newFakeControl(t, "root/1")
	const size = 40 << 10
	c.write(put("hire", distribution.KindRoute, "small", "x"), put("yard", distribution.KindRoute, "large", strings.Repeat("y", size)))
	small, large := startNode(t, nodeConfig(t, "small", []string{"hire"}, c.address())), startNode(t, nodeConfig(t, "large", []string{"yard"}, c.address()))
	waitStarted(t, small)
	waitStarted(t, large)
	c.write(put("yard", distribution.KindRoute, "large", strings.Repeat("z", size)))
	c.waitApplied("large")
	c.mu.Lock()
	few, many := c.sentBytes["small"], c.sentBytes["large"]
	c.mu.Unlock()
	if few > 1<<10 || many < 2*size {
		t.Errorf("got %d bytes to the small node and %d to the large one, want at most 1 KiB and at least 80 KiB", few, many)
	}
	if small.value(key("yard", distribution.KindRoute, "large")) != "" || large.value(key("hire", distribution.KindRoute, "small")) != "" {
		t.Error("entries of another service were applied by a node")
	}
}

// TestUnusableEntries checks that a rejected entry is reported to the control process and logged once, that its last valid value and
// other entries stay in effect, and that a later valid value clears the rejection.
func TestUnusableEntries(t *testing.T) {
	for name, kind := range map[string]distribution.Kind{"server": distribution.KindServer, "route": distribution.KindRoute, "tenant": distribution.KindTenant} {
		t.Run(name, func(t *testing.T) {
			c := newFakeControl(t, "root/1")
			c.write(put("hire", kind, "a", "good"))
			n := startNode(t, nodeConfig(t, "n", []string{"hire"}, c.address()))
			waitStarted(t, n)
			c.write(put("hire", kind, "a", "bad"), put("hire", kind, "b", "good"))
			c.waitApplied("n")
			c.write(put("hire", distribution.KindPool, "p", "more")) // a further change does not log the rejection again
			c.waitApplied("n")
			if n.value(key("hire", kind, "a")) != "good" || n.value(key("hire", kind, "b")) != "good" {
				t.Errorf("got applied %v, want value good of a and b", n.all())
			}
			s, _ := c.status("n")
			if len(s.Rejected) != 1 || s.Rejected[0].Key != key("hire", kind, "a") || s.Rejected[0].Reason != "a bad value" {
				t.Errorf("got rejections %v at the control process, want one of a for a bad value", s.Rejected)
			}
			if got := n.Status().Rejected; len(got) != 1 {
				t.Errorf("got rejections %v in the node's status, want 1", got)
			}
			n.log.mu.Lock()
			if logged := strings.Count(strings.Join(n.log.lines, ""), "entry rejected"); logged != 1 {
				t.Errorf("got %d log lines of the rejection, want 1: %q", logged, n.log.lines)
			}
			n.log.mu.Unlock()
			c.write(put("hire", kind, "a", "better"))
			c.waitApplied("n")
			if s, _ := c.status("n"); len(s.Rejected) != 0 || n.value(key("hire", kind, "a")) != "better" {
				t.Errorf("after a valid value: got applied %v, rejections %v, want value better of a and no rejections", n.applied, s.Rejected)
			}
		})
	}
}

// TestRebuildsAreCoalesced checks that successive changes cause at most one rebuild of routes per applyInterval.
func TestRebuildsAreCoalesced(t *testing.T) {
	c := newFakeControl(t, "root/1")
	n := startNode(t, nodeConfig(t, "n", []string{"hire"}, c.address()))
	waitStarted(t, n)
	before, startedAt := n.count("routes"), time.Now()
	for range 100 {
		c.write(put("hire", distribution.KindRoute, "a", time.Now().String()))
		time.Sleep(5 * time.Millisecond)
	}
	c.waitApplied("n")
	if rebuilds, maximum := n.count("routes")-before, int(time.Since(startedAt)/applyInterval)+2; rebuilds < 2 || rebuilds > maximum {
		t.Errorf("got %d rebuilds, want 2 to %d", rebuilds, maximum)
	}
}

// TestStartsFromDisk checks that a node without a control process starts from its disk after its start timeout with the state
// isolated, and becomes current when a control process responds later.
func TestStartsFromDisk(t *testing.T) {
	c := newFakeControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("hire", distribution.KindRoute, "r1", "first"))
	cfg := nodeConfig(t, "n", []string{"hire"}, c.address())
	n := startNode(t, cfg)
	waitStarted(t, n)
	n.stop()
	store, at := c.store, c.address()
	c.kill()

	cfg.StartTimeout = 0
	n = startNode(t, cfg)
	waitStarted(t, n)
	if s := n.Status(); s.State != distribution.StateIsolated || s.Revision != 2 || !s.IsStalenessKnown || s.Upstream != "" {
		t.Errorf("got status %+v at start, want state isolated, revision 2, a known staleness and no upstream", s)
	}
	if n.value(key("hire", distribution.KindServer, "s1")) != "up" || n.value(key("hire", distribution.KindRoute, "r1")) != "first" {
		t.Errorf("got applied %v, want server s1 up and route r1 first", n.all())
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	c = newFakeControlAt(t, ln, store)
	c.write(put("hire", distribution.KindRoute, "r1", "second"))
	c.waitApplied("n")
	if n.value(key("hire", distribution.KindRoute, "r1")) != "second" || n.Status().State != distribution.StateCurrent {
		t.Errorf("got applied %v, status %+v, want route r1 second and state current", n.applied, n.Status())
	}
	if c.sentBytes["n"] > 500 { // entries that are stored on disk are not re-sent
		t.Errorf("got %d bytes for one change, want at most 500", c.sentBytes["n"])
	}
}

// TestOlderEntriesDoNotReplaceNewer checks that a control process with older entries, or a batch that resets services to older
// entries, does not replace the newer entries of a node.
func TestOlderEntriesDoNotReplaceNewer(t *testing.T) {
	early := newFakeControl(t, "root/1")
	early.write(put("hire", distribution.KindServer, "s1", "v1"))
	late := newFakeControl(t, "other/1")
	first, _ := early.store.Entry(key("hire", distribution.KindServer, "s1"))
	late.store.Merge([]distribution.Entry{first})
	late.store.AdvanceVector(early.store.Vector())
	second, err := late.store.Write(time.Now(), []distribution.Change{put("hire", distribution.KindServer, "s1", "v2"), put("hire", distribution.KindServer, "s2", "v1")})
	if err != nil || len(second) != 2 {
		t.Fatal(err)
	}
	cfg := nodeConfig(t, "n", []string{"hire"}, late.address(), early.address())
	n := startNode(t, cfg)
	waitStarted(t, n)
	late.kill()
	waitUntil(t, func() bool { return n.Status().Upstream == early.address() }, "the control process with older entries is followed")
	early.write(put("hire", distribution.KindRoute, "after", "x"))
	waitUntil(t, func() bool { return n.value(key("hire", distribution.KindRoute, "after")) == "x" }, "a later change is applied")
	const last = 90 // number of the last batch
	early.mu.Lock()
	for _, p := range early.peers {
		wire.Send(p.conn, &wire.Batch{Batch: distribution.Batch{Number: last, Entries: []distribution.Entry{first}, ResetServices: []string{"hire"}, IsComplete: true,
			Through: distribution.Vector{first.Origin: 1}}})
	}
	early.mu.Unlock()
	waitUntil(t, func() bool {
		early.mu.Lock()
		defer early.mu.Unlock()
		return early.acknowledged == last
	}, "the last batch is acknowledged")
	if n.value(key("hire", distribution.KindServer, "s1")) != "v2" || n.value(key("hire", distribution.KindServer, "s2")) != "v1" || n.Status().Revision < 3 {
		t.Errorf("got applied %v, status %+v, want s1 v2, s2 v1 and a revision of at least 3", n.applied, n.Status())
	}
}

// TestStartFromOldOrDamagedDisk checks that a node starts with an older, missing or damaged file of entries or sync mark, that only
// a damaged file of entries is quarantined, and that the node ends with the entries of the control process.
func TestStartFromOldOrDamagedDisk(t *testing.T) {
	copyOf := func(t *testing.T, from, to string) {
		t.Helper()
		text, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, to, string(text))
	}
	for name, c := range map[string]struct {
		damage        func(t *testing.T, dir, old string)
		isQuarantined bool
	}{
		"unchanged": {func(*testing.T, string, string) {}, false},
		"an older copy": {func(t *testing.T, dir, old string) {
			copyOf(t, filepath.Join(old, entriesFile), filepath.Join(dir, entriesFile))
		}, false},
		"no entries file": {func(t *testing.T, dir, _ string) { os.Remove(filepath.Join(dir, entriesFile)) }, false},
		"garbled": {func(t *testing.T, dir, _ string) {
			writeFile(t, filepath.Join(dir, entriesFile), strings.Repeat("garbled", 9000))
		}, true},
		"no sync mark":        {func(t *testing.T, dir, _ string) { os.Remove(filepath.Join(dir, syncMarkFile)) }, false},
		"a garbled sync mark": {func(t *testing.T, dir, _ string) { writeFile(t, filepath.Join(dir, syncMarkFile), "{\"Servi") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctl := newFakeControl(t, "root/1")
			ctl.write(put("hire", distribution.KindServer, "s1", "v1"), put("hire", distribution.KindServer, "s2", "v1"))
			cfg, old := nodeConfig(t, "n", []string{"hire"}, ctl.address()), t.TempDir()
			n := startNode(t, cfg)
			waitStarted(t, n)
			n.stop()
			copyOf(t, filepath.Join(cfg.Directory, entriesFile), filepath.Join(old, entriesFile))
			ctl.write(put("hire", distribution.KindServer, "s1", "v2"), distribution.Change{Key: key("hire", distribution.KindServer, "s2"), Deleted: true})
			n = startNode(t, cfg)
			ctl.waitApplied("n")
			n.stop()
			c.damage(t, cfg.Directory, old)
			ctl.write(put("hire", distribution.KindServer, "s3", "v1"))
			n = startNode(t, cfg)
			waitStarted(t, n)
			ctl.waitApplied("n")
			if n.value(key("hire", distribution.KindServer, "s1")) != "v2" || n.value(key("hire", distribution.KindServer, "s2")) != "" ||
				n.value(key("hire", distribution.KindServer, "s3")) != "v1" {
				t.Errorf("got applied %v, want s1 v2, s3 v1 and no s2", n.all())
			}
			files, _ := filepath.Glob(filepath.Join(cfg.Directory, entriesFile+".damaged-*"))
			if (len(files) > 0) != c.isQuarantined {
				t.Errorf("got quarantined files %v, want some only for garbled entries", files)
			}
		})
	}
}

// TestChangedServices checks that a node whose services change receives the added services in full and drops the removed ones.
func TestChangedServices(t *testing.T) {
	c := newFakeControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("yard", distribution.KindServer, "s2", "up"))
	cfg := nodeConfig(t, "n", []string{"hire"}, c.address())
	n := startNode(t, cfg)
	waitStarted(t, n)
	n.stop()
	for _, services := range [][]string{{"hire", "yard"}, {"yard"}, {"hire"}} {
		cfg.Services = services
		n = startNode(t, cfg)
		waitStarted(t, n)
		c.waitApplied("n")
		if n.size() != len(services) {
			t.Errorf("services %v: got applied %v, want one entry of each", services, n.all())
		}
		n.stop()
	}
}

// TestUploadToControlProcessWithLostDisk checks that a node uploads its entries to a control process without them, and then applies
// the changes of that control process.
func TestUploadToControlProcessWithLostDisk(t *testing.T) {
	c := newFakeControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("", distribution.KindTenant, "dairy", "5"), distribution.Change{Key: key("hire", distribution.KindRoute, "r"), Deleted: true})
	emptied := newFakeControl(t, "root/2")
	n := startNode(t, nodeConfig(t, "n", []string{"hire"}, c.address(), emptied.address()))
	waitStarted(t, n)
	c.kill()
	waitUntil(t, func() bool {
		emptied.mu.Lock()
		defer emptied.mu.Unlock()
		_, hasServer := emptied.store.Entry(key("hire", distribution.KindServer, "s1"))
		_, hasTenant := emptied.store.Entry(key("", distribution.KindTenant, "dairy"))
		deleted, isKnown := emptied.store.Entry(key("hire", distribution.KindRoute, "r"))
		return hasServer && hasTenant && isKnown && deleted.Deleted
	}, "storage of all entries at the emptied control process")
	emptied.write(put("hire", distribution.KindServer, "s2", "up"))
	waitUntil(t, func() bool { return n.value(key("hire", distribution.KindServer, "s2")) == "up" }, "application of the change at the emptied control process")
	if n.value(key("hire", distribution.KindServer, "s1")) != "up" {
		t.Errorf("got applied %v, want s1 up", n.all())
	}
}

// TestDigestsRepairDifferences checks that differing digests cause a full sync of the service.
func TestDigestsRepairDifferences(t *testing.T) {
	c := newFakeControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"))
	n := startNode(t, nodeConfig(t, "n", []string{"hire"}, c.address()))
	waitStarted(t, n)
	c.mu.Lock() // an entry missing at the node, as after a fault of either side
	lost := distribution.Entry{Key: key("hire", distribution.KindServer, "s2"), Clock: 1 << 40, Origin: "other/1", Sequence: 1, Value: []byte("up")}
	c.store.Merge([]distribution.Entry{lost})
	c.store.AdvanceVector(distribution.Vector{"other/1": 1})
	for _, p := range c.peers {
		wire.Send(p.conn, &wire.Digests{Digests: distribution.Digests{Services: map[string]uint64{"": c.store.ServiceDigest(""), "hire": c.store.ServiceDigest("hire")},
			Through: c.store.Vector().Clone()}})
	}
	c.mu.Unlock()
	waitUntil(t, func() bool { return n.value(key("hire", distribution.KindServer, "s2")) == "up" }, "the missing entry is applied")
}
