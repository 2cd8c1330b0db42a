package client

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"fernvane/internal/controlplane/distribution"
	process "fernvane/internal/controlplane/distribution/control"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/faultproxy"
)

// running is a control process of the program within this one.
type running struct {
	t    *testing.T
	file string
	at   string
	stop func()
}

func startControl(t *testing.T, name, at, dir string, upstreams ...string) *running {
	t.Helper()
	r := &running{t: t, at: at, file: filepath.Join(t.TempDir(), name+".toml")}
	text := fmt.Sprintf("name = %q\nlisten = %q\ndisk = %q\nupstreams = %s\nfollow = \"all\"\nplaintext = true\nnode_bytes = 1000000\n",
		name, at, filepath.Join(dir, name+".db"), list(upstreams))
	writeFile(t, r.file, text)
	r.start()
	t.Cleanup(func() { r.stop() })
	return r
}

func (r *running) start() {
	r.t.Helper()
	c, err := process.Load(r.file)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx, c, zerolog.Nop()) }()
	r.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			r.t.Error(err)
		}
	})
}

// write makes a change there, once the process takes one.
func (r *running) write(changes ...distribution.Change) {
	r.t.Helper()
	access := accessTo(r.t, r.at)
	until(r.t, func() bool {
		s, err := Open(context.Background(), access)
		if err != nil {
			return false
		}
		defer s.Close()
		_, err = s.Write(changes)
		return err == nil
	}, "%s takes a write", r.at)
}

// accessTo is a command's file.
func accessTo(t *testing.T, at string) *Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ask.toml")
	writeFile(t, path, fmt.Sprintf("control = [%q]\nplaintext = true\n", at))
	c, err := LoadAccess(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// pair is two control processes that follow each other.
func pair(t *testing.T) (a, b *running) {
	t.Helper()
	dir, at := t.TempDir(), []string{address.Free(t), address.Free(t)}
	return startControl(t, "a", at[0], dir, at[1]), startControl(t, "b", at[1], dir, at[0])
}

// Whatever happens to the control process that a node follows, or to the network between, what is written at the other is
// applied, and so is what is written after the fault.
func TestFaultsOfControlProcessAndNetwork(t *testing.T) {
	for name, c := range map[string]struct{ fault, repair func(*faultproxy.Proxy) }{
		"cut towards the node": {func(w *faultproxy.Proxy) { w.Cut(faultproxy.Down, true) }, func(w *faultproxy.Proxy) { w.Cut(faultproxy.Down, false) }},
		"cut towards control":  {func(w *faultproxy.Proxy) { w.Cut(faultproxy.Up, true) }, func(w *faultproxy.Proxy) { w.Cut(faultproxy.Up, false) }},
		"cut both ways": {func(w *faultproxy.Proxy) { w.Cut(faultproxy.Up, true); w.Cut(faultproxy.Down, true) },
			func(w *faultproxy.Proxy) { w.Cut(faultproxy.Up, false); w.Cut(faultproxy.Down, false) }},
		"garbled":    {func(w *faultproxy.Proxy) { w.Garble(faultproxy.Down, 3) }, func(*faultproxy.Proxy) {}},
		"broken off": {func(w *faultproxy.Proxy) { w.Break() }, func(*faultproxy.Proxy) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := pair(t)
			proxy, err := faultproxy.Listen(a.at)
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			b.write(put("hire", distribution.KindServer, "s", "v1"), put("hire", distribution.KindRoute, "r", "v1"))
			n := startNode(t, config(t, "n", []string{"hire"}, proxy.Address(), b.at))
			started(t, n)
			holds := func(v string) {
				t.Helper()
				until(t, func() bool {
					return n.value(key("hire", distribution.KindServer, "s")) == v && n.value(key("hire", distribution.KindRoute, "r")) == v
				}, "%s is applied", v)
			}
			holds("v1")
			c.fault(proxy)
			b.write(put("hire", distribution.KindServer, "s", "v2"), put("hire", distribution.KindRoute, "r", "v2"))
			holds("v2")
			c.repair(proxy)
			a.write(put("hire", distribution.KindServer, "s", "v3"), put("hire", distribution.KindRoute, "r", "v3"))
			holds("v3")
			n.recordingApplier.mu.Lock()
			defer n.recordingApplier.mu.Unlock()
			for i, v := range n.history[1:] {
				if v < n.history[i] {
					t.Errorf("went back: %v", n.history)
				}
			}
		})
	}
}

// A node that is ahead of all control processes, which have lost their disks, sends them what it holds.
func TestControlProcessesLoseTheirDisks(t *testing.T) {
	dir, at := t.TempDir(), address.Free(t)
	a := startControl(t, "a", at, dir)
	a.write(put("hire", distribution.KindServer, "s", "v1"), put("", distribution.KindTenant, "dairy", "5"))
	n := startNode(t, config(t, "n", []string{"hire"}, at))
	started(t, n)
	until(t, func() bool { return n.size() == 2 }, "all is in force")
	a.stop()
	if err := os.Remove(filepath.Join(dir, "a.db")); err != nil {
		t.Fatal(err)
	}
	a.start()
	other := startNode(t, config(t, "other", []string{"hire"}, at))
	started(t, other)
	until(t, func() bool {
		return other.size() == 2 && other.value(key("hire", distribution.KindServer, "s")) == "v1"
	}, "another node gets what the first held")
	a.write(put("hire", distribution.KindServer, "s", "v2"))
	for _, m := range []*node{n, other} {
		until(t, func() bool { return m.value(key("hire", distribution.KindServer, "s")) == "v2" }, "the next change is in force")
		if m.size() != 2 {
			t.Errorf("in force: %v", m.all())
		}
	}
}

// The status of nodes at their control process names what they reject.
func TestStatusAtControl(t *testing.T) {
	a, b := pair(t)
	n := startNode(t, config(t, "n", []string{"hire"}, a.at))
	a.write(put("hire", distribution.KindRoute, "r", "bad"))
	started(t, n)
	for _, r := range []*running{a, b} {
		until(t, func() bool {
			s, err := Open(context.Background(), accessTo(t, r.at))
			if err != nil {
				return false
			}
			defer s.Close()
			_, nodes, err := s.Status()
			for _, status := range nodes {
				if status.Name == "n" && status.IsConnected && len(status.Rejected) == 1 && status.Rejected[0].Reason == "a bad value" && status.Via == "a" {
					return err == nil
				}
			}
			return false
		}, "%s tells of the node", r.at)
	}
	n.stop()
	until(t, func() bool {
		s, err := Open(context.Background(), accessTo(t, b.at))
		if err != nil {
			return false
		}
		defer s.Close()
		self, nodes, err := s.Status()
		for _, status := range nodes {
			if status.Name == "n" && !status.IsConnected && time.Since(time.UnixMilli(status.DisconnectedMs)) < patience && len(nodes) == 2 {
				return err == nil && self.HasAcknowledged
			}
		}
		return false
	}, "the other tells since when it is gone")
}

// Entries of a session are those of the services asked for, many more than one batch takes.
func TestSessionReadsMoreThanOneBatch(t *testing.T) {
	a := startControl(t, "a", address.Free(t), t.TempDir())
	var changes []distribution.Change
	for i := range 5000 {
		changes = append(changes, put("hire", distribution.KindRoute, fmt.Sprint("r", i), fmt.Sprintf("%0100d", i)))
	}
	a.write(changes...)
	a.write(put("yard", distribution.KindRoute, "r", "x"), distribution.Change{Key: key("hire", distribution.KindRoute, "r7"), Deleted: true})
	s, err := Open(context.Background(), accessTo(t, a.at))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	all, err := s.Read([]string{"hire"})
	if err != nil || len(all) != 4999 {
		t.Errorf("%d entries, %v", len(all), err)
	}
}
