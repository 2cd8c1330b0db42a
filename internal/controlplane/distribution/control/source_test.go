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

type ignoredAnnouncements struct{}

func (ignoredAnnouncements) Announced(int, string, string, int64, time.Time) {}

// startListed starts a discovery service with two servers, and a control process that writes them.
func startListed(t *testing.T) (*discovery.Service, *member) {
	t.Helper()
	list := discovery.New(discovery.Settings{LinesPerSecond: 1e6, Timeout: time.Second}, 1, ignoredAnnouncements{})
	t.Cleanup(list.Close)
	at := address.Free(t)
	if err := list.Serve(0, 0, at); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"s1", "s2"} {
		list.Set(discovery.Entry{ID: id, Condition: discovery.Serving, Addresses: []string{"127.0.0.1:1"}})
	}
	config := settings(t, "a", address.Free(t), disks(t)("a"))
	config.DiscoveryAddress, config.Discovery, config.Service = netip.MustParseAddrPort(at), at, "hire"
	return list, start(t, config)
}

// server returns the stored state and entry of a server.
func (m *member) server(t *testing.T, name string) (e incarnation.Entry, stored distribution.Entry) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	stored, ok := m.store.Entry(distribution.Key{Service: "hire", Kind: distribution.KindServer, Name: name})
	if ok && !stored.Deleted {
		if err := cbor.Unmarshal(stored.Value, &e); err != nil {
			t.Fatal(err)
		}
	}
	return e, stored
}

// Servers that discovery lists are written only when they change. Within one start, a server returns to an earlier condition only
// with a new generation.
func TestListedServersAreWritten(t *testing.T) {
	t.Parallel()
	list, m := startListed(t)
	hasCondition := func(name string, condition incarnation.Condition, hasNewGeneration bool) func() bool {
		return func() bool {
			e, stored := m.server(t, name)
			return e.ID == name && !stored.Deleted && e.Condition == condition && (e.Generation > 0) == hasNewGeneration && e.Address == "127.0.0.1:1"
		}
	}
	wait(t, "both servers", func() bool {
		return hasCondition("s1", incarnation.Up, false)() && hasCondition("s2", incarnation.Up, false)()
	})
	set := func(id, condition string) {
		list.Set(discovery.Entry{ID: id, Condition: condition, Addresses: []string{"127.0.0.1:1"}})
	}
	set("s1", discovery.Draining)
	wait(t, "a drain", hasCondition("s1", incarnation.Draining, false))
	set("s1", discovery.Serving)
	wait(t, "the canceled drain", hasCondition("s1", incarnation.Up, true))
	set("s2", discovery.Deleted)
	wait(t, "the deletion of a server", func() bool { _, stored := m.server(t, "s2"); return stored.Deleted })
	set("s2", discovery.Serving)
	wait(t, "the return of the deleted server", hasCondition("s2", incarnation.Up, true))
	_, stored := m.server(t, "s2")
	list.SetDown(true)
	list.SetDown(false)
	set("s3", discovery.Serving)
	wait(t, "a new server", hasCondition("s3", incarnation.Up, false))
	if _, again := m.server(t, "s2"); again.Clock != stored.Clock {
		t.Error("unchanged server was written again after discovery listed it again")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.store.Vector().Total() != 7 {
		t.Errorf("got %d written changes, want 7", m.store.Vector().Total())
	}
}

// Servers that are missing in a complete list are deleted, even after a restart of the control process.
func TestUnlistedServersAreDeleted(t *testing.T) {
	t.Parallel()
	_, m := startListed(t)
	wait(t, "both servers", func() bool { e, _ := m.server(t, "s1"); f, _ := m.server(t, "s2"); return e.ID+f.ID == "s1s2" })
	_, before := m.server(t, "s2")
	config := *m.config
	m.stop(t)
	rest := discovery.New(discovery.Settings{LinesPerSecond: 1e6, Timeout: time.Second}, 1, ignoredAnnouncements{})
	defer rest.Close()
	at := address.Free(t)
	if err := rest.Serve(0, 0, at); err != nil {
		t.Fatal(err)
	}
	rest.Set(discovery.Entry{ID: "s2", Condition: discovery.Serving, Addresses: []string{"127.0.0.1:1"}})
	config.DiscoveryAddress = netip.MustParseAddrPort(at)
	m = start(t, &config)
	wait(t, "the deletion of the unlisted server", func() bool { _, stored := m.server(t, "s1"); return stored.Deleted })
	e, stored := m.server(t, "s2")
	if e.ID != "s2" {
		t.Error("listed server was deleted too")
	}
	if stored.Clock != before.Clock {
		t.Error("listed server was written again although only its revision changed")
	}
	m.stop(t) // before its discovery service stops
}
