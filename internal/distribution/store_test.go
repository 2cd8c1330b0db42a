package distribution

import (
	"testing"
	"time"
)

// wall is where the tests' clocks begin.
var wall = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func key(service, name string) Key { return Key{Service: service, Kind: Server, Name: name} }

// writeOne writes one change that must be taken.
func writeOne(t testing.TB, s *Store, at time.Time, k Key, value string) Entry {
	t.Helper()
	entries, err := s.Write(at, []Change{{Key: k, Value: []byte(value)}})
	if err != nil {
		t.Fatalf("write %s: %v", k, err)
	}
	return entries[0]
}

// send has a publisher send all that waits for one subscriber, in virtual time, and the receiver take it in.
func send(t testing.TB, p *Publisher, r *Receiver, id SubscriptionID, now time.Duration) (all []Received) {
	t.Helper()
	for range 100_000 {
		to, b, ok, wait := p.Next(now)
		if !ok && wait == Never {
			return all
		}
		if !ok {
			now += wait
			continue
		}
		if to != id {
			t.Fatalf("batch for subscription %d, want %d", to, id)
		}
		got := r.Receive(b)
		all = append(all, got)
		p.Acknowledged(now, id, Acknowledgement{Batch: b.Number, InForce: r.store.Vector().Clone()})
	}
	t.Fatal("it never ends")
	return nil
}

func TestSubscriberGetsItsServicesAndChanges(t *testing.T) {
	server := NewStore(NewOrigin("root", 1), Limits{})
	writeOne(t, server, wall, key("a", "1"), "one")
	writeOne(t, server, wall, key("b", "1"), "other")
	p := NewPublisher(server, Budget{})
	node := NewStore("", Limits{})
	node.SetScope([]string{"a", ""})
	id := p.Subscribe(0, Subscription{Name: "n", Role: Node, Services: []string{"a", ""}, Vector: node.Vector()})
	r := NewReceiver(node)
	got := send(t, p, r, id, 0)
	if len(got) != 1 || !got[0].Complete || len(got[0].Changed) != 1 {
		t.Fatalf("received %+v, want one complete batch of one entry", got)
	}
	e := writeOne(t, server, wall, key("a", "1"), "two")
	p.Changed(0, []Entry{e})
	send(t, p, r, id, 0)
	if held, _ := node.Entry(key("a", "1")); string(held.Value) != "two" {
		t.Fatalf("holds %q, want two", held.Value)
	}
	if !node.Vector().AtLeast(server.Vector()) {
		t.Fatalf("vector %v, want %v", node.Vector(), server.Vector())
	}
	if node.Digest("a") != server.Digest("a") || node.Digest("a") == 0 {
		t.Fatal("digests differ")
	}
}
