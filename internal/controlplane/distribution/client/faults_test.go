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

// controlProcess is a real control process that runs inside the test process.
type controlProcess struct {
	t       *testing.T
	file    string
	address string
	stop    func()
}

func startControl(t *testing.T, name, at, dir string, upstreams ...string) *controlProcess {
	t.Helper()
	r := &controlProcess{t: t, address: at, file: filepath.Join(t.TempDir(), name+".toml")}
	text := fmt.Sprintf("name = %q\nlisten = %q\ndisk = %q\nupstreams = %s\nfollow = \"all\"\nplaintext = true\nnode_bytes = 1000000\n",
		name, at, filepath.Join(dir, name+".db"), list(upstreams))
	writeFile(t, r.file, text)
	r.start()
	t.Cleanup(func() { r.stop() })
	return r
}

func (r *controlProcess) start() {
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

// write retries a write until the control process accepts it.
func (r *controlProcess) write(changes ...distribution.Change) {
	r.t.Helper()
	config := commandConfig(r.t, r.address)
	waitUntil(r.t, func() bool {
		s, err := Open(context.Background(), config)
		if err != nil {
			return false
		}
		defer s.Close()
		_, err = s.Write(changes)
		return err == nil
	}, "%s accepts a write", r.address)
}

// commandConfig returns a command's configuration for one control process.
func commandConfig(t *testing.T, at string) *Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "command.toml")
	writeFile(t, path, fmt.Sprintf("control = [%q]\nplaintext = true\n", at))
	c, err := LoadForCommand(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// pair starts two control processes that follow each other.
func pair(t *testing.T) (a, b *controlProcess) {
	t.Helper()
	dir, at := t.TempDir(), []string{address.Free(t), address.Free(t)}
	return startControl(t, "a", at[0], dir, at[1]), startControl(t, "b", at[1], dir, at[0])
}

// TestFaultsOfControlProcessAndNetwork checks that a node applies a change written at the other control process during a fault of
// the network to the one that it follows, and a change written after the fault.
func TestFaultsOfControlProcessAndNetwork(t *testing.T) {
	for name, c := range map[string]struct{ fault, repair func(*faultproxy.Proxy) }{
		"cut towards the node": {func(proxy *faultproxy.Proxy) { proxy.Cut(faultproxy.Down, true) }, func(proxy *faultproxy.Proxy) { proxy.Cut(faultproxy.Down, false) }},
		"cut towards control":  {func(proxy *faultproxy.Proxy) { proxy.Cut(faultproxy.Up, true) }, func(proxy *faultproxy.Proxy) { proxy.Cut(faultproxy.Up, false) }},
		"cut both ways": {func(proxy *faultproxy.Proxy) { proxy.Cut(faultproxy.Up, true); proxy.Cut(faultproxy.Down, true) },
			func(proxy *faultproxy.Proxy) { proxy.Cut(faultproxy.Up, false); proxy.Cut(faultproxy.Down, false) }},
		"garbled":            {func(proxy *faultproxy.Proxy) { proxy.Garble(faultproxy.Down, 3) }, func(*faultproxy.Proxy) {}},
		"connections closed": {func(proxy *faultproxy.Proxy) { proxy.CloseConnections() }, func(*faultproxy.Proxy) {}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := pair(t)
			proxy, err := faultproxy.Listen(a.address)
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			b.write(put("hire", distribution.KindServer, "s", "v1"), put("hire", distribution.KindRoute, "r", "v1"))
			n := startNode(t, nodeConfig(t, "n", []string{"hire"}, proxy.Address(), b.address))
			waitStarted(t, n)
			requireApplied := func(v string) {
				t.Helper()
				waitUntil(t, func() bool {
					return n.value(key("hire", distribution.KindServer, "s")) == v && n.value(key("hire", distribution.KindRoute, "r")) == v
				}, "%s is applied", v)
			}
			requireApplied("v1")
			c.fault(proxy)
			b.write(put("hire", distribution.KindServer, "s", "v2"), put("hire", distribution.KindRoute, "r", "v2"))
			requireApplied("v2")
			c.repair(proxy)
			a.write(put("hire", distribution.KindServer, "s", "v3"), put("hire", distribution.KindRoute, "r", "v3"))
			requireApplied("v3")
			n.recordingApplier.mu.Lock()
			defer n.recordingApplier.mu.Unlock()
			for i, v := range n.history[1:] {
				if v < n.history[i] {
					t.Errorf("got history %v, want ascending values", n.history)
				}
			}
		})
	}
}

// TestControlProcessesLoseTheirDisks checks that a node uploads its entries to a control process that lost its disk.
func TestControlProcessesLoseTheirDisks(t *testing.T) {
	dir, at := t.TempDir(), address.Free(t)
	a := startControl(t, "a", at, dir)
	a.write(put("hire", distribution.KindServer, "s", "v1"), put("", distribution.KindTenant, "dairy", "5"))
	n := startNode(t, nodeConfig(t, "n", []string{"hire"}, at))
	waitStarted(t, n)
	waitUntil(t, func() bool { return n.size() == 2 }, "all entries are applied")
	a.stop()
	if err := os.Remove(filepath.Join(dir, "a.db")); err != nil {
		t.Fatal(err)
	}
	a.start()
	other := startNode(t, nodeConfig(t, "other", []string{"hire"}, at))
	waitStarted(t, other)
	waitUntil(t, func() bool {
		return other.size() == 2 && other.value(key("hire", distribution.KindServer, "s")) == "v1"
	}, "another node receives the entries of the first")
	a.write(put("hire", distribution.KindServer, "s", "v2"))
	for _, m := range []*testNode{n, other} {
		waitUntil(t, func() bool { return m.value(key("hire", distribution.KindServer, "s")) == "v2" }, "the next change is applied")
		if m.size() != 2 {
			t.Errorf("got applied %v, want 2 entries", m.all())
		}
	}
}

// TestStatusAtControl checks that control processes report a connected node with its rejections, and a disconnected one with the
// time of its disconnection.
func TestStatusAtControl(t *testing.T) {
	a, b := pair(t)
	n := startNode(t, nodeConfig(t, "n", []string{"hire"}, a.address))
	a.write(put("hire", distribution.KindRoute, "r", "bad"))
	waitStarted(t, n)
	for _, r := range []*controlProcess{a, b} {
		waitUntil(t, func() bool {
			s, err := Open(context.Background(), commandConfig(t, r.address))
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
		}, "%s reports the node", r.address)
	}
	n.stop()
	waitUntil(t, func() bool {
		s, err := Open(context.Background(), commandConfig(t, b.address))
		if err != nil {
			return false
		}
		defer s.Close()
		self, nodes, err := s.Status()
		for _, status := range nodes {
			if status.Name == "n" && !status.IsConnected && time.Since(time.UnixMilli(status.DisconnectedMs)) < testTimeout && len(nodes) == 2 {
				return err == nil && self.HasAcknowledged
			}
		}
		return false
	}, "the other control process reports when the node disconnected")
}

// TestSessionReadsMoreThanOneBatch checks that a session reads exactly the entries of the requested services, across several
// batches.
func TestSessionReadsMoreThanOneBatch(t *testing.T) {
	a := startControl(t, "a", address.Free(t), t.TempDir())
	var changes []distribution.Change
	for i := range 5000 {
		changes = append(changes, put("hire", distribution.KindRoute, fmt.Sprint("r", i), fmt.Sprintf("%0100d", i)))
	}
	a.write(changes...)
	a.write(put("yard", distribution.KindRoute, "r", "x"), distribution.Change{Key: key("hire", distribution.KindRoute, "r7"), Deleted: true})
	s, err := Open(context.Background(), commandConfig(t, a.address))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	all, err := s.Read([]string{"hire"})
	if err != nil || len(all) != 4999 {
		t.Errorf("got %d entries, error %v, want 4999, nil", len(all), err)
	}
}
