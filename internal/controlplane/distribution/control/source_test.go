package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/discovery"
)

type deaf struct{}

func (deaf) Announced(int, string, string, int64, time.Time) {}

// listed is discovery with two servers, and a control process that writes them.
func listed(t *testing.T) (*discovery.Service, *member) {
	t.Helper()
	list := discovery.New(discovery.Settings{LinesPerS: 1e6, Timeout: time.Second}, 1, deaf{})
	t.Cleanup(list.Close)
	at := address.Free(t)
	if err := list.Serve(0, 0, at); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"s1", "s2"} {
		list.Set(discovery.Entry{ID: id, Phase: discovery.Serving, Addresses: []string{"127.0.0.1:1"}})
	}
	config := settings(t, "a", address.Free(t), disks(t)("a"))
	config.DiscoveryAddress, config.Discovery, config.Service = netip.MustParseAddrPort(at), at, "hire"
	return list, start(t, config)
}

// server is what the store holds of one.
func (m *member) server(t *testing.T, name string) (e incarnation.Entry, held distribution.Entry) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	held, ok := m.store.Entry(distribution.Key{Service: "hire", Kind: distribution.KindServer, Name: name})
	if ok && !held.Deleted {
		if err := cbor.Unmarshal(held.Value, &e); err != nil {
			t.Fatal(err)
		}
	}
	return e, held
}

// Servers that discovery lists are written as they change, and only then; within one start a server goes back by a new
// generation only.
func TestListedServersAreWritten(t *testing.T) {
	t.Parallel()
	list, m := listed(t)
	is := func(name string, condition incarnation.Condition, turn bool) func() bool {
		return func() bool {
			e, held := m.server(t, name)
			return e.ID == name && !held.Deleted && e.Condition == condition && (e.Generation > 0) == turn && e.Address == "127.0.0.1:1"
		}
	}
	wait(t, "both servers", func() bool { return is("s1", incarnation.Up, false)() && is("s2", incarnation.Up, false)() })
	set := func(id, phase string) {
		list.Set(discovery.Entry{ID: id, Phase: phase, Addresses: []string{"127.0.0.1:1"}})
	}
	set("s1", discovery.Draining)
	wait(t, "a drain", is("s1", incarnation.Draining, false))
	set("s1", discovery.Serving)
	wait(t, "the drain called off", is("s1", incarnation.Up, true))
	set("s2", discovery.Deleted)
	wait(t, "a server gone", func() bool { _, held := m.server(t, "s2"); return held.Deleted })
	set("s2", discovery.Serving)
	wait(t, "it is back", is("s2", incarnation.Up, true))
	_, held := m.server(t, "s2")
	list.Down(true)
	list.Down(false)
	set("s3", discovery.Serving)
	wait(t, "another one", is("s3", incarnation.Up, false))
	if _, again := m.server(t, "s2"); again.Clock != held.Clock {
		t.Error("a server that was listed again is written again")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store.Vector().Total() != 7 {
		t.Errorf("%d changes were written, not 7", m.store.Vector().Total())
	}
}

// Servers that a complete list no longer names are deleted, also after a restart of this process.
func TestUnlistedServersAreDeleted(t *testing.T) {
	t.Parallel()
	_, m := listed(t)
	wait(t, "both servers", func() bool { e, _ := m.server(t, "s1"); f, _ := m.server(t, "s2"); return e.ID+f.ID == "s1s2" })
	_, before := m.server(t, "s2")
	config := *m.config
	m.stop(t)
	rest := discovery.New(discovery.Settings{LinesPerS: 1e6, Timeout: time.Second}, 1, deaf{})
	defer rest.Close()
	at := address.Free(t)
	if err := rest.Serve(0, 0, at); err != nil {
		t.Fatal(err)
	}
	rest.Set(discovery.Entry{ID: "s2", Phase: discovery.Serving, Addresses: []string{"127.0.0.1:1"}})
	config.DiscoveryAddress = netip.MustParseAddrPort(at)
	m = start(t, &config)
	wait(t, "one is gone", func() bool { _, held := m.server(t, "s1"); return held.Deleted })
	e, held := m.server(t, "s2")
	if e.ID != "s2" {
		t.Error("the other is gone too")
	}
	if held.Clock != before.Clock {
		t.Error("the other is written again, and nothing is new of it but the list's revision")
	}
	m.stop(t) // ahead of its discovery
}
