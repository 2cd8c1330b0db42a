package distribution

import (
	"testing"
	"time"
)

// pruneDeletion writes and deletes an entry at a root, and prunes the deletion at all processes a day later. Each process's
// disk is saved before the deletion.
func pruneDeletion(sim *simulation, root *process) {
	root.write(Change{Key: key("a", "1"), Value: []byte("v")}, Change{Key: key("a", "2"), Value: []byte("stays")})
	sim.converge()
	for _, p := range sim.processes {
		p.savedDisks = append(p.savedDisks, p.disk())
	}
	root.write(Change{Key: key("a", "1"), Deleted: true})
	sim.converge()
	sim.now += 25 * time.Hour
	for _, p := range sim.processes {
		p.prune(ClockAt(sim.wall().Add(-24 * time.Hour)))
	}
}

func wantOnly(t *testing.T, sim *simulation, name string) {
	t.Helper()
	for _, p := range sim.processes {
		if got := p.store.LiveEntries("a"); len(got) != 1 || got[0].Key.Name != name {
			t.Errorf("%s: got entries %+v, want only %s", p.name, got, name)
		}
	}
}

// A process with a disk older than the retention of deletions receives a pruned deletion by a full sync.
func TestOldDiskReceivesPrunedDeletions(t *testing.T) {
	for _, old := range []string{"relay", "node", "both"} {
		t.Run(old, func(t *testing.T) {
			sim, root, relay, node := chain(t)
			pruneDeletion(sim, root)
			for _, p := range []*process{relay, node} {
				if p.name == old || old == "both" {
					p.restart(p.savedDisks[0])
				}
			}
			sim.converge()
			wantOnly(t, sim, "2")
		})
	}
}

// The node is connected and current before its relay receives the pruned vector.
func TestPrunedDeletionReachesConnectedSubscribers(t *testing.T) {
	sim, root, relay, node := chain(t)
	pruneDeletion(sim, root)
	relay.restart(relay.savedDisks[0])
	node.restart(node.savedDisks[0])
	up := sim.links[0]
	sim.links = sim.links[1:]
	sim.converge()
	if len(node.store.LiveEntries("a")) != 2 {
		t.Fatal("node received the deletion before its relay was connected")
	}
	sim.links = append(sim.links, up)
	sim.converge()
	wantOnly(t, sim, "2")
}

// A service without entries at the sender changes during a full sync of all services: the change must be sent too.
func TestChangeDuringResetOfAll(t *testing.T) {
	sim := newSimulation(t.Fatalf)
	root := sim.add("root", "", RoleControl)
	relay := sim.add("relay", "", RoleControl)
	sim.addLinks(relay, root)
	pruneDeletion(sim, root)
	root.write(Change{Key: key("a", "2"), Deleted: true})
	sim.converge()
	sim.now += 25 * time.Hour
	relay.prune(ClockAt(sim.wall()))
	root.restart(nil)
	l := sim.links[0]
	sim.open(l)
	for sim.deliver(l, true, false) || sim.deliver(l, false, false) { // both are subscribed, no batch was sent
	}
	root.write(Change{Key: key("a", "3"), Value: []byte("new")})
	root.sendDue(10)
	for sim.deliver(l, false, false) { // the relay receives the change before it sends batches
	}
	sim.converge()
	wantOnly(t, sim, "3")
}

// A full sync from a server that has lost its disk does not mark a newly subscribed service as synced.
func TestNewServiceFromServerWithLostDisk(t *testing.T) {
	sim, root, relay, node := chain(t)
	root.write(Change{Key: key("b", "1")}, Change{Key: key("a", "1")})
	sim.converge()
	relay.restart(nil)
	up, down := sim.links[0], sim.links[1]
	sim.close(down)
	node.services = []string{"a", "b"}
	node.store.SetScope(node.services)
	sim.links = sim.links[1:]
	sim.converge()
	if missing := node.store.UnsyncedServices(); len(missing) != 1 {
		t.Fatalf("got unsynced services %v, want b", missing)
	}
	sim.close(down)
	sim.links = append(sim.links, up)
	sim.converge()
	if len(node.store.LiveEntries("b")) != 1 || len(node.store.UnsyncedServices()) != 0 {
		t.Fatalf("got entries %v, unsynced services %v, want one entry and none", node.store.LiveEntries("b"), node.store.UnsyncedServices())
	}
}

// A duplicate batch does not restart a full sync.
func TestDuplicateBatchIsIgnored(t *testing.T) {
	s := NewStore("", Limits{})
	r := NewReceiver(s)
	entry := func(name string, sequence uint64) []Entry {
		return []Entry{{Key: key("a", name), Clock: 5, Origin: "x/1", Sequence: sequence}}
	}
	first := Batch{Number: 1, ResetServices: []string{"a"}, Entries: entry("1", 1)}
	r.ReceiveBatch(first)
	r.ReceiveBatch(Batch{Number: 2, Entries: entry("2", 2), IsComplete: true, Through: Vector{"x/1": 2}})
	r.ReceiveBatch(first)
	r.ReceiveBatch(Batch{Number: 3, IsComplete: true, Through: Vector{"x/1": 2}})
	if got := s.LiveEntries("a"); len(got) != 2 {
		t.Fatalf("got entries %+v, want 2", got)
	}
}
