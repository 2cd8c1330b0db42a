package control

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/zookeeper"
)

// A change counts as received by a control process maxToldDelay after its source could be reached, and no new request may follow
// maxDrainDelay later.
const (
	maxToldDelay  = 6 * time.Second
	maxDrainDelay = 500 * time.Millisecond
)

const serverCount = 5 // s1 to s5

// source is a stand-in for a source of servers.
type source interface {
	register(id string)
	remove(ids ...string)
	setReachable(isReachable bool)
	settings() string // lines of a control process's settings file
}

// registrySource is a registry of ephemeral nodes with one session for each server.
type registrySource struct {
	registry *zookeeper.Registry
	server   *zookeeper.Server
	sessions map[string]*zookeeper.OwnedSession
	file     string
}

type ignoredReads struct{}

func (ignoredReads) Announced(int, string, []zookeeper.Child, time.Time) {}
func (ignoredReads) Data(int, string, []byte, time.Time)                 {}

const registryPath = "/services/hire"

func newRegistrySource(t *testing.T) source {
	t.Helper()
	s := &registrySource{registry: zookeeper.New(ignoredReads{}), sessions: map[string]*zookeeper.OwnedSession{}, file: filepath.Join(t.TempDir(), "registry.toml")}
	t.Cleanup(s.registry.Close)
	var err error
	if s.server, err = s.registry.Listen("127.0.0.1:0", 0); err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("servers = [%q]\npath = %q\nsession = \"6s\"\n", s.server.Address(), registryPath)
	if err := os.WriteFile(s.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *registrySource) register(id string) {
	s.sessions[id] = s.registry.OpenSession(6*time.Second, map[string][]byte{registryPath + "/" + id: []byte("127.0.0.1:1")})
}

func (s *registrySource) remove(ids ...string) {
	for _, id := range ids {
		s.sessions[id].End()
	}
}

func (s *registrySource) setReachable(isReachable bool) {
	s.registry.SetRefusing(!isReachable)
	if !isReachable {
		s.server.CloseConnections()
	}
}

func (s *registrySource) settings() string {
	return fmt.Sprintf("registry = %q\nservice = \"hire\"\n", s.file)
}

// discoverySource is a discovery service.
type discoverySource struct {
	service *discovery.Service
	at      string
}

func newDiscoverySource(t *testing.T) source {
	t.Helper()
	s := &discoverySource{discovery.New(discovery.Settings{LinesPerSecond: 1e6, Timeout: time.Second}, 1, ignoredAnnouncements{}), address.Free(t)}
	t.Cleanup(s.service.Close)
	if err := s.service.Serve(0, 0, s.at); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *discoverySource) set(id, condition string) {
	s.service.Set(discovery.Entry{ID: id, Condition: condition, Addresses: []string{"127.0.0.1:1"}})
}

func (s *discoverySource) register(id string) { s.set(id, discovery.Serving) }
func (s *discoverySource) remove(ids ...string) {
	for _, id := range ids {
		s.set(id, discovery.Deleted)
	}
}
func (s *discoverySource) setReachable(isReachable bool) { s.service.SetDown(!isReachable) }
func (s *discoverySource) settings() string {
	return fmt.Sprintf("discovery = %q\nservice = \"hire\"\n", s.at)
}

var sources = map[string]func(*testing.T) source{"registry": newRegistrySource, "discovery": newDiscoverySource}

// sourcedFleet is two control processes that follow each other, of which a writes the servers of a source, and a node at b.
type sourcedFleet struct {
	source  source
	a, b    *process
	node    *subscriber
	stop    chan struct{}
	running sync.WaitGroup
}

func newSourcedFleet(t *testing.T, newSource func(*testing.T) source) *sourcedFleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &sourcedFleet{source: newSource(t), node: node("n", "hire"), stop: make(chan struct{})}
	for n := range serverCount {
		f.source.register(fmt.Sprint("s", n+1))
	}
	dir := t.TempDir()
	for name, p := range map[string]**process{"a": &f.a, "b": &f.b} {
		*p = &process{name: name, at: address.Free(t), disk: filepath.Join(dir, name+".db"), file: filepath.Join(dir, name+".toml"), log: &output{}}
	}
	t.Cleanup(func() { f.close(t) })
	f.configure(t, f.a, f.b, f.source.settings())
	f.configure(t, f.b, f.a, "")
	f.a.start(t)
	f.b.start(t)
	f.running.Go(f.follow)
	wait(t, "all servers at the node", func() bool {
		for n := range serverCount {
			if !f.isUp(fmt.Sprint("s", n+1)) {
				return false
			}
		}
		return true
	})
	return f
}

// configure writes the settings file of a process that follows another one.
func (f *sourcedFleet) configure(t *testing.T, p, upstream *process, more string) {
	t.Helper()
	text := fmt.Sprintf("name = %q\nlisten = %q\ndisk = %q\nupstreams = [%q]\nfollow = \"all\"\nplaintext = true\n%s", p.name, p.at, p.disk, upstream.at, more)
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// follow keeps the node connected to b until the fleet stops.
func (f *sourcedFleet) follow() {
	for {
		if f.node.connect(f.b.at) == nil {
			select {
			case <-f.node.done:
			case <-f.stop:
				f.node.leave()
				return
			}
		}
		select {
		case <-f.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *sourcedFleet) close(t *testing.T) {
	close(f.stop)
	for _, p := range []*process{f.a, f.b} {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, p.log)
		}
	}
	f.running.Wait()
}

// server returns what the node holds of a server. ok is false if it holds none, or a deletion.
func (f *sourcedFleet) server(id string) (e incarnation.Entry, ok bool) {
	f.node.mu.Lock()
	defer f.node.mu.Unlock()
	stored, ok := f.node.store.Entry(distribution.Key{Service: "hire", Kind: distribution.KindServer, Name: id})
	if !ok || stored.Deleted {
		return e, false
	}
	return e, cbor.Unmarshal(stored.Value, &e) == nil
}

func (f *sourcedFleet) isUp(id string) bool {
	e, ok := f.server(id)
	return ok && e.Condition == incarnation.Up
}

// waitCurrent waits until a process is current, and the source can be reached.
func (f *sourcedFleet) waitCurrent(t *testing.T, p *process) {
	t.Helper()
	wait(t, p.name+" to be current", func() bool {
		self, _, err := query(p.at)
		return err == nil && self.HasAcknowledged
	})
}

// checkLeft verifies that a server which left the source is out of use in time, and that the other servers stay in use as the same
// incarnations.
func (f *sourcedFleet) checkLeft(t *testing.T, id string) {
	t.Helper()
	limit := time.Now().Add(maxToldDelay + maxDrainDelay)
	for f.isUp(id) {
		if time.Now().After(limit) {
			t.Fatalf("%s has left the source, but the node still has it in use %v after the control process could read the source", id, maxToldDelay+maxDrainDelay)
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // a later change of other servers would have arrived
	for n := range serverCount {
		other := fmt.Sprint("s", n+1)
		if e, _ := f.server(other); other != id && (!f.isUp(other) || e.Generation > 0) {
			t.Errorf("%s is still listed, but the node has %+v", other, e)
		}
	}
}

// Guards against a control process that comes back to its source and keeps servers that left the source while it was away: the
// nodes would send them new requests for as long as they respond.
func TestServersThatLeftBeforeReturn(t *testing.T) {
	t.Parallel()
	for sourceName, newSource := range sources {
		for name, away := range map[string]func(*testing.T, *sourcedFleet){
			"shut down": func(t *testing.T, f *sourcedFleet) {
				f.a.end(t)
				f.source.remove("s5")
				f.a.start(t)
			},
			"killed": func(t *testing.T, f *sourcedFleet) {
				f.a.kill()
				f.source.remove("s5")
				f.a.start(t)
			},
			"killed again before it is current": func(t *testing.T, f *sourcedFleet) {
				f.b.kill() // without an upstream that responds, a is current only after its start timeout
				f.a.kill()
				f.source.remove("s5")
				f.a.start(t)
				time.Sleep(time.Second)
				f.a.kill()
				f.a.start(t)
				f.b.start(t)
			},
			"all killed": func(t *testing.T, f *sourcedFleet) {
				f.a.kill()
				f.b.kill()
				f.source.remove("s5")
				f.a.start(t)
				f.b.start(t)
			},
			"all disks lost": func(t *testing.T, f *sourcedFleet) { // the node alone still has s5
				f.a.kill()
				f.b.kill()
				f.source.remove("s5")
				for _, p := range []*process{f.a, f.b} {
					if err := os.Remove(p.disk); err != nil {
						t.Fatal(err)
					}
					p.start(t)
				}
			},
			"source out of reach at first": func(t *testing.T, f *sourcedFleet) {
				f.a.end(t)
				f.source.remove("s5")
				f.source.setReachable(false)
				f.a.start(t)
				f.waitCurrent(t, f.a)
				time.Sleep(2 * time.Second)
				if !f.isUp("s5") {
					t.Error("s5 is out of use before the source could be read")
				}
				f.source.setReachable(true)
			},
			"source moved to the other process": func(t *testing.T, f *sourcedFleet) {
				f.a.end(t)
				f.source.remove("s5")
				f.configure(t, f.a, f.b, "")
				f.configure(t, f.b, f.a, f.source.settings())
				f.a.start(t)
				f.b.end(t)
				f.b.start(t)
				f.waitCurrent(t, f.b)
			},
			"source moved to a process with an empty disk": func(t *testing.T, f *sourcedFleet) {
				f.a.end(t)
				f.source.remove("s5")
				if err := os.Remove(f.a.disk); err != nil {
					t.Fatal(err)
				}
				f.a.start(t)
			},
		} {
			t.Run(sourceName+" "+name, func(t *testing.T) {
				t.Parallel()
				f := newSourcedFleet(t, newSource)
				away(t, f)
				f.waitCurrent(t, f.a)
				f.checkLeft(t, "s5")
			})
		}
	}
}

// Guards against a control process that overwrites what others have written while its registry was out of reach by what it had stored
// before. The first list of the registry decides.
func TestWritesBeforeFirstList(t *testing.T) {
	t.Parallel()
	f := newSourcedFleet(t, newRegistrySource)
	f.a.end(t)
	drained, ok := f.server("s4")
	if !ok {
		t.Fatal("s4 is missing at the node")
	}
	drained.Condition = incarnation.Draining
	value, err := cbor.Marshal(drained)
	if err != nil {
		t.Fatal(err)
	}
	f.source.setReachable(false)
	f.a.start(t)
	f.waitCurrent(t, f.a)
	write(t, f.b.at, distribution.Change{Key: distribution.Key{Service: "hire", Kind: distribution.KindServer, Name: "s4"}, Value: value})
	wait(t, "the drain at the node", func() bool { return !f.isUp("s4") })
	for by := time.Now().Add(3 * sourceRetry); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		if f.isUp("s4") {
			t.Fatal("control process has undone a drain without a list")
		}
	}
	f.source.remove("s5")
	f.source.setReachable(true)
	wait(t, "the registry's list at the node", func() bool { return f.isUp("s4") && !f.isUp("s5") })
}

// Guards the protection against mass removals: a registry that lists nothing, or less than half of the servers, when a control
// process comes back removes none of them. A server that was draining before is removed.
func TestMassRemovalBeforeReturn(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		removed []string
		back    []string // registered again later
		left    []string // out of use at the end
		deleted []string // by an operator's command, while the last list is retained
	}{
		"nothing listed":                     {[]string{"s1", "s2", "s3", "s4", "s5"}, nil, nil, nil},
		"part listed":                        {[]string{"s1", "s2", "s3"}, nil, []string{"s1"}, []string{"s1"}},
		"nothing listed, most come back":     {[]string{"s1", "s2", "s3", "s4", "s5"}, []string{"s1", "s2", "s3"}, []string{"s4", "s5"}, nil},
		"part listed, all but one come back": {[]string{"s1", "s2", "s3"}, []string{"s1", "s2"}, []string{"s3"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSourcedFleet(t, newRegistrySource)
			f.a.kill()
			f.source.remove(c.removed...)
			f.a.start(t)
			f.waitCurrent(t, f.a)
			f.checkUpFor(t, maxToldDelay+maxDrainDelay)
			f.a.kill() // a second start must not take what the first one retained for listed
			f.a.start(t)
			f.waitCurrent(t, f.a)
			f.checkUpFor(t, 2*time.Second)
			for _, id := range c.back {
				f.source.register(id)
			}
			for _, id := range c.deleted {
				write(t, f.a.at, distribution.Change{Key: distribution.Key{Service: "hire", Kind: distribution.KindServer, Name: id}, Deleted: true})
			}
			for _, id := range c.left {
				wait(t, id+" to be out of use", func() bool { return !f.isUp(id) })
			}
			wait(t, "the listed servers to be in use", func() bool {
				up := 0
				for n := range serverCount {
					if f.isUp(fmt.Sprint("s", n+1)) {
						up++
					}
				}
				return up == serverCount-len(c.left)
			})
			time.Sleep(2 * time.Second) // a server that was deleted or that left must not come back
			for _, id := range c.left {
				if f.isUp(id) {
					t.Errorf("%s is in use again", id)
				}
			}
		})
	}
}

// checkUpFor verifies that all servers stay in use for a time.
func (f *sourcedFleet) checkUpFor(t *testing.T, d time.Duration) {
	t.Helper()
	for by := time.Now().Add(d); time.Now().Before(by); time.Sleep(20 * time.Millisecond) {
		for n := range serverCount {
			if id := fmt.Sprint("s", n+1); !f.isUp(id) {
				t.Fatalf("%s is out of use although most servers are missing in the registry", id)
			}
		}
	}
}
