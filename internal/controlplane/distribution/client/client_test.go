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

func started(t *testing.T, n *node) {
	t.Helper()
	select {
	case <-n.Started():
	case <-time.After(patience):
		t.Fatal("it never starts")
	}
}

// What is written at a control process is applied at all nodes of the service, and its status says so.
func TestChangesAreApplied(t *testing.T) {
	c := newControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("hire", distribution.KindRoute, "r1", "first"), put("", distribution.KindTenant, "dairy", "5"))
	var nodes []*node
	names := []string{"n1", "n2", "n3"}
	for _, name := range names {
		nodes = append(nodes, startNode(t, config(t, name, []string{"hire"}, c.address())))
	}
	for _, n := range nodes {
		started(t, n)
		if s := n.Status(); s.State != distribution.StateCurrent || s.Revision != 3 {
			t.Errorf("starts as %+v", s)
		}
		if n.value(key("hire", distribution.KindServer, "s1")) != "up" || n.value(key("hire", distribution.KindRoute, "r1")) != "first" ||
			n.value(key("", distribution.KindTenant, "dairy")) != "5" || n.count("whole") != 1 {
			t.Errorf("at its start holds %v", n.all())
		}
	}
	c.write(put("hire", distribution.KindRoute, "r1", "second"), distribution.Change{Key: key("hire", distribution.KindServer, "s1"), Deleted: true},
		put("hire", distribution.KindServer, "s2", "up"), distribution.Change{Key: key("", distribution.KindTenant, "dairy"), Deleted: true})
	for i, n := range nodes {
		c.waitApplied(names[i])
		if n.value(key("hire", distribution.KindRoute, "r1")) != "second" || n.value(key("hire", distribution.KindServer, "s2")) != "up" || n.size() != 2 {
			t.Errorf("%s has in force %v", names[i], n.all())
		}
		if s, _ := c.status(names[i]); s.Region != "r" || s.Zone != "z" || len(s.Rejected) > 0 || s.Lag > 0 {
			t.Errorf("seen as %+v", s)
		}
	}
}

// A node receives the entries of its services and nothing of others, by the bytes that are sent.
func TestNodesReceiveTheirServicesOnly(t *testing.T) {
	c := newControl(t, "root/1")
	const size = 40 << 10
	c.write(put("hire", distribution.KindRoute, "small", "x"), put("yard", distribution.KindRoute, "large", strings.Repeat("y", size)))
	small, large := startNode(t, config(t, "small", []string{"hire"}, c.address())), startNode(t, config(t, "large", []string{"yard"}, c.address()))
	started(t, small)
	started(t, large)
	c.write(put("yard", distribution.KindRoute, "large", strings.Repeat("z", size)))
	c.waitApplied("large")
	c.mu.Lock()
	few, many := c.names["small"], c.names["large"]
	c.mu.Unlock()
	if few > 1<<10 || many < 2*size {
		t.Errorf("%d bytes to the one, %d to the other", few, many)
	}
	if small.value(key("yard", distribution.KindRoute, "large")) != "" || large.value(key("hire", distribution.KindRoute, "small")) != "" {
		t.Error("a node holds what is not of its services")
	}
}

// An entry that cannot be used is left out by itself, logged upstream and logged once; the last good value stays, others hold,
// other entries, and a value that can be used ends that.
func TestUnusableEntries(t *testing.T) {
	for name, kind := range map[string]distribution.Kind{"server": distribution.KindServer, "route": distribution.KindRoute, "tenant": distribution.KindTenant} {
		t.Run(name, func(t *testing.T) {
			c := newControl(t, "root/1")
			c.write(put("hire", kind, "a", "good"))
			n := startNode(t, config(t, "n", []string{"hire"}, c.address()))
			started(t, n)
			c.write(put("hire", kind, "a", "bad"), put("hire", kind, "b", "good"))
			c.waitApplied("n")
			c.write(put("hire", distribution.KindPool, "p", "more")) // what else comes does not tell of it again
			c.waitApplied("n")
			if n.value(key("hire", kind, "a")) != "good" || n.value(key("hire", kind, "b")) != "good" {
				t.Errorf("in force: %v", n.all())
			}
			s, _ := c.status("n")
			if len(s.Rejected) != 1 || s.Rejected[0].Key != key("hire", kind, "a") || s.Rejected[0].Reason != "a bad value" {
				t.Errorf("rejected, as seen upstream: %v", s.Rejected)
			}
			if got := n.Status().Rejected; len(got) != 1 {
				t.Errorf("rejected, as the node knows: %v", got)
			}
			n.log.mu.Lock()
			if logged := strings.Count(strings.Join(n.log.lines, ""), "entry rejected"); logged != 1 {
				t.Errorf("logged %d times: %q", logged, n.log.lines)
			}
			n.log.mu.Unlock()
			c.write(put("hire", kind, "a", "better"))
			c.waitApplied("n")
			if s, _ := c.status("n"); len(s.Rejected) != 0 || n.value(key("hire", kind, "a")) != "better" {
				t.Errorf("after a good value: %v in force, rejected %v", n.applied, s.Rejected)
			}
		})
	}
}

// Successive changes cost one rebuild of routes in each applyInterval, not one each.
func TestRebuildsAreCoalesced(t *testing.T) {
	c := newControl(t, "root/1")
	n := startNode(t, config(t, "n", []string{"hire"}, c.address()))
	started(t, n)
	before, began := n.count("routes"), time.Now()
	for range 100 {
		c.write(put("hire", distribution.KindRoute, "a", time.Now().String()))
		time.Sleep(5 * time.Millisecond)
	}
	c.waitApplied("n")
	if rebuilds, most := n.count("routes")-before, int(time.Since(began)/applyInterval)+2; rebuilds < 2 || rebuilds > most {
		t.Errorf("%d rebuilds, %d at most", rebuilds, most)
	}
}

// Without a control process a node starts from its disk after its start timeout and says that it is behind; a control
// process that answers later makes it current.
func TestStartsFromDisk(t *testing.T) {
	c := newControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("hire", distribution.KindRoute, "r1", "first"))
	cfg := config(t, "n", []string{"hire"}, c.address())
	n := startNode(t, cfg)
	started(t, n)
	n.stop()
	store, at := c.store, c.address()
	c.kill()

	cfg.StartTimeout = 0
	n = startNode(t, cfg)
	started(t, n)
	if s := n.Status(); s.State != distribution.StateIsolated || s.Revision != 2 || !s.IsStalenessKnown || s.Upstream != "" {
		t.Errorf("starts as %+v", s)
	}
	if n.value(key("hire", distribution.KindServer, "s1")) != "up" || n.value(key("hire", distribution.KindRoute, "r1")) != "first" {
		t.Errorf("in force: %v", n.all())
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	c = controlAt(t, ln, store)
	c.write(put("hire", distribution.KindRoute, "r1", "second"))
	c.waitApplied("n")
	if n.value(key("hire", distribution.KindRoute, "r1")) != "second" || n.Status().State != distribution.StateCurrent {
		t.Errorf("in force: %v, %+v", n.applied, n.Status())
	}
	if c.names["n"] > 500 { // what its disk holds is not sent again
		t.Errorf("%d bytes for one change", c.names["n"])
	}
}

// A control process with an older state, or one that resets services to old entries, does not take a node back.
func TestNodeKeepsNewerEntries(t *testing.T) {
	early := newControl(t, "root/1")
	early.write(put("hire", distribution.KindServer, "s1", "v1"))
	late := newControl(t, "other/1")
	first, _ := early.store.Entry(key("hire", distribution.KindServer, "s1"))
	late.store.Merge([]distribution.Entry{first})
	late.store.AdvanceVector(early.store.Vector())
	second, err := late.store.Write(time.Now(), []distribution.Change{put("hire", distribution.KindServer, "s1", "v2"), put("hire", distribution.KindServer, "s2", "v1")})
	if err != nil || len(second) != 2 {
		t.Fatal(err)
	}
	cfg := config(t, "n", []string{"hire"}, late.address(), early.address())
	n := startNode(t, cfg)
	started(t, n)
	late.kill()
	until(t, func() bool { return n.Status().Upstream == early.address() }, "the older one is followed")
	early.write(put("hire", distribution.KindRoute, "after", "x"))
	until(t, func() bool { return n.value(key("hire", distribution.KindRoute, "after")) == "x" }, "it is logged of what comes after")
	const last = 90 // number of a batch that is the last
	early.mu.Lock()
	for _, p := range early.conns {
		wire.Send(p.conn, &wire.Batch{Batch: distribution.Batch{Number: last, Entries: []distribution.Entry{first}, ResetServices: []string{"hire"}, IsComplete: true,
			Through: distribution.Vector{first.Origin: 1}}})
	}
	early.mu.Unlock()
	until(t, func() bool {
		early.mu.Lock()
		defer early.mu.Unlock()
		return early.acknowledged == last
	}, "the last batch is in force")
	if n.value(key("hire", distribution.KindServer, "s1")) != "v2" || n.value(key("hire", distribution.KindServer, "s2")) != "v1" || n.Status().Revision < 3 {
		t.Errorf("in force: %v, %+v", n.applied, n.Status())
	}
}

// An older copy of the disk, a damaged one and one without a valid sync mark serve for a start, or are quarantined,
// and all end with what the control process holds.
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
		damage func(t *testing.T, dir, old string)
		aside  bool
	}{
		"as it was": {func(*testing.T, string, string) {}, false},
		"an older copy": {func(t *testing.T, dir, old string) {
			copyOf(t, filepath.Join(old, entriesFile), filepath.Join(dir, entriesFile))
		}, false},
		"empty": {func(t *testing.T, dir, _ string) { os.Remove(filepath.Join(dir, entriesFile)) }, false},
		"garbled": {func(t *testing.T, dir, _ string) {
			writeFile(t, filepath.Join(dir, entriesFile), strings.Repeat("garbled", 9000))
		}, true},
		"no mark":        {func(t *testing.T, dir, _ string) { os.Remove(filepath.Join(dir, syncMarkFile)) }, false},
		"a garbled mark": {func(t *testing.T, dir, _ string) { writeFile(t, filepath.Join(dir, syncMarkFile), "{\"Servi") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			ctl := newControl(t, "root/1")
			ctl.write(put("hire", distribution.KindServer, "s1", "v1"), put("hire", distribution.KindServer, "s2", "v1"))
			cfg, old := config(t, "n", []string{"hire"}, ctl.address()), t.TempDir()
			n := startNode(t, cfg)
			started(t, n)
			n.stop()
			copyOf(t, filepath.Join(cfg.Directory, entriesFile), filepath.Join(old, entriesFile))
			ctl.write(put("hire", distribution.KindServer, "s1", "v2"), distribution.Change{Key: key("hire", distribution.KindServer, "s2"), Deleted: true})
			n = startNode(t, cfg)
			ctl.waitApplied("n")
			n.stop()
			c.damage(t, cfg.Directory, old)
			ctl.write(put("hire", distribution.KindServer, "s3", "v1"))
			n = startNode(t, cfg)
			started(t, n)
			ctl.waitApplied("n")
			if n.value(key("hire", distribution.KindServer, "s1")) != "v2" || n.value(key("hire", distribution.KindServer, "s2")) != "" ||
				n.value(key("hire", distribution.KindServer, "s3")) != "v1" {
				t.Errorf("in force: %v", n.all())
			}
			files, _ := filepath.Glob(filepath.Join(cfg.Directory, entriesFile+".damaged-*"))
			if (len(files) > 0) != c.aside {
				t.Errorf("set aside: %v", files)
			}
		})
	}
}

// A node whose services change is sent the new ones whole, and drops the ones that it no longer serves.
func TestChangedServices(t *testing.T) {
	c := newControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("yard", distribution.KindServer, "s2", "up"))
	cfg := config(t, "n", []string{"hire"}, c.address())
	n := startNode(t, cfg)
	started(t, n)
	n.stop()
	for _, services := range [][]string{{"hire", "yard"}, {"yard"}, {"hire"}} {
		cfg.Services = services
		n = startNode(t, cfg)
		started(t, n)
		c.waitApplied("n")
		if n.size() != len(services) {
			t.Errorf("with %v in force: %v", services, n.all())
		}
		n.stop()
	}
}

// A control process that lost its disk is sent what the node holds; one that is ahead in nothing is not asked.
func TestUploadToControlProcessWithLostDisk(t *testing.T) {
	c := newControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"), put("", distribution.KindTenant, "dairy", "5"), distribution.Change{Key: key("hire", distribution.KindRoute, "r"), Deleted: true})
	emptied := newControl(t, "root/2")
	n := startNode(t, config(t, "n", []string{"hire"}, c.address(), emptied.address()))
	started(t, n)
	c.kill()
	until(t, func() bool {
		emptied.mu.Lock()
		defer emptied.mu.Unlock()
		_, server := emptied.store.Entry(key("hire", distribution.KindServer, "s1"))
		_, tenant := emptied.store.Entry(key("", distribution.KindTenant, "dairy"))
		gone, known := emptied.store.Entry(key("hire", distribution.KindRoute, "r"))
		return server && tenant && known && gone.Deleted
	}, "the emptied one holds all")
	emptied.write(put("hire", distribution.KindServer, "s2", "up"))
	until(t, func() bool { return n.value(key("hire", distribution.KindServer, "s2")) == "up" }, "its own changes are in force")
	if n.value(key("hire", distribution.KindServer, "s1")) != "up" {
		t.Errorf("in force: %v", n.all())
	}
}

// Digests that differ have a service sent whole.
func TestDigestsRepairDifferences(t *testing.T) {
	c := newControl(t, "root/1")
	c.write(put("hire", distribution.KindServer, "s1", "up"))
	n := startNode(t, config(t, "n", []string{"hire"}, c.address()))
	started(t, n)
	c.mu.Lock() // an entry that was lost on the way, as by a fault of either side
	lost := distribution.Entry{Key: key("hire", distribution.KindServer, "s2"), Clock: 1 << 40, Origin: "other/1", Sequence: 1, Value: []byte("up")}
	c.store.Merge([]distribution.Entry{lost})
	c.store.AdvanceVector(distribution.Vector{"other/1": 1})
	for _, p := range c.conns {
		wire.Send(p.conn, &wire.Digests{Digests: distribution.Digests{Services: map[string]uint64{"": c.store.ServiceDigest(""), "hire": c.store.ServiceDigest("hire")},
			Through: c.store.Vector().Clone()}})
	}
	c.mu.Unlock()
	until(t, func() bool { return n.value(key("hire", distribution.KindServer, "s2")) == "up" }, "the lost one is in force")
}
