package distribution

import (
	"testing"
	"time"
)

// pruneDeletion has a root write and delete an entry, and prune the deletion a day later. Before the deletion each
// holder's disk was saved.
func pruneDeletion(w *world, root *holder) {
	root.write(Change{Key: key("a", "1"), Value: []byte("v")}, Change{Key: key("a", "2"), Value: []byte("stays")})
	w.converge()
	for _, h := range w.holders {
		h.saved = append(h.saved, h.disk())
	}
	root.write(Change{Key: key("a", "1"), Deleted: true})
	w.converge()
	w.now += 25 * time.Hour
	for _, h := range w.holders {
		h.prune(ClockAt(w.wall().Add(-24 * time.Hour)))
	}
}

func wantOnly(t *testing.T, w *world, name string) {
	t.Helper()
	for _, h := range w.holders {
		if got := h.store.LiveEntries("a"); len(got) != 1 || got[0].Key.Name != name {
			t.Errorf("%s holds %+v, want %s alone", h.name, got, name)
		}
	}
}

// A holder whose disk is older than the retention of deletions receives one by a reset.
func TestOldDiskReceivesPrunedDeletions(t *testing.T) {
	for _, old := range []string{"relay", "node", "both"} {
		t.Run(old, func(t *testing.T) {
			w, root, relay, node := chain(t)
			pruneDeletion(w, root)
			for _, h := range []*holder{relay, node} {
				if h.name == old || old == "both" {
					h.restart(h.saved[0])
				}
			}
			w.converge()
			wantOnly(t, w, "2")
		})
	}
}

// The node is connected and current before its relay learns that a deletion was pruned.
func TestPrunedDeletionReachesConnectedSubscribers(t *testing.T) {
	w, root, relay, node := chain(t)
	pruneDeletion(w, root)
	relay.restart(relay.saved[0])
	node.restart(node.saved[0])
	up := w.links[0]
	w.links = w.links[1:]
	w.converge()
	if len(node.store.LiveEntries("a")) != 2 {
		t.Fatal("the node is not yet to know")
	}
	w.links = append(w.links, up)
	w.converge()
	wantOnly(t, w, "2")
}

// A service that its sender no longer holds anything of changes during a reset of all: the change is sent too.
func TestChangeDuringResetOfAll(t *testing.T) {
	w := newWorld(t.Fatalf)
	root := w.add("root", "", RoleControl)
	relay := w.add("relay", "", RoleControl)
	w.connectable(relay, root)
	pruneDeletion(w, root)
	root.write(Change{Key: key("a", "2"), Deleted: true})
	w.converge()
	w.now += 25 * time.Hour
	relay.prune(ClockAt(w.wall()))
	root.restart(nil)
	l := w.links[0]
	w.open(l)
	for w.deliver(l, true, false) || w.deliver(l, false, false) { // both have subscribed, nothing is sent
	}
	root.write(Change{Key: key("a", "3"), Value: []byte("new")})
	root.sendDue(10)
	for w.deliver(l, false, false) { // the relay has the change before it sends
	}
	w.converge()
	wantOnly(t, w, "3")
}

// A server that has lost its disk has nothing of a newly subscribed service: that does not complete the service.
func TestNewServiceFromServerWithLostDisk(t *testing.T) {
	w, root, relay, node := chain(t)
	root.write(Change{Key: key("b", "1")}, Change{Key: key("a", "1")})
	w.converge()
	relay.restart(nil)
	up, down := w.links[0], w.links[1]
	w.close(down)
	node.services = []string{"a", "b"}
	node.store.SetScope(node.services)
	w.links = w.links[1:]
	w.converge()
	if missing := node.store.UnsyncedServices(); len(missing) != 1 {
		t.Fatalf("missing %v, want b", missing)
	}
	w.close(down)
	w.links = append(w.links, up)
	w.converge()
	if len(node.store.LiveEntries("b")) != 1 || len(node.store.UnsyncedServices()) != 0 {
		t.Fatalf("holds %v, missing %v", node.store.LiveEntries("b"), node.store.UnsyncedServices())
	}
}

// A batch that is received twice does not restart a reset.
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
		t.Fatalf("holds %+v", got)
	}
}
