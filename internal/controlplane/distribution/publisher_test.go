package distribution

import (
	"strconv"
	"testing"
	"time"
)

func newFilledStore(t testing.TB, services, each, value int) *Store {
	s := NewStore(NewOrigin("root", 1), Limits{})
	for i := range services {
		for j := range each {
			writeOne(t, s, wall, key("s"+strconv.Itoa(i), strconv.Itoa(j)), string(make([]byte, value)))
		}
	}
	return s
}

func nodeSubscription(services ...string) Subscription {
	return Subscription{Name: "n", Role: RoleNode, Services: services}
}

func TestCatchUpStaysWithinNodeBudget(t *testing.T) {
	p := NewPublisher(newFilledStore(t, 1, 4000, 60), Budget{})
	id := p.Subscribe(0, nodeSubscription("s0"))
	now, sum, batches := time.Duration(0), 0, 0
	for {
		to, b, ok, wait := p.NextBatch(now)
		if !ok {
			if wait == WaitForever {
				break
			}
			now += wait
			continue
		}
		if b.Size() > defaultNodeBytes {
			t.Fatalf("got a batch of %d bytes, want at most the budget of a second", b.Size())
		}
		sum += b.Size()
		batches++
		p.BatchAcknowledged(now, to, Acknowledgement{BatchNumber: b.Number})
		if b.IsComplete {
			break
		}
		if allowed := float64(defaultNodeBytes) * (now.Seconds() + 1.6); float64(sum) > allowed {
			t.Fatalf("got %d bytes after %v, above the budget", sum, now)
		}
	}
	if rate := float64(sum) / now.Seconds(); rate < 0.9*defaultNodeBytes || sum < 4000*60 {
		t.Fatalf("got %d bytes in %v by %d batches, want at least 0.9 of the budget and all entries", sum, now, batches)
	}
	if st, _ := p.SubscriberStatus(now, id); st.IsCatchingUp || st.Lag != 0 || !st.HasAcknowledged {
		t.Fatalf("got status %+v after the catch-up, want no lag", st)
	}
}

// A fresh change is delayed neither by the catch-ups of other nodes nor by the catch-up of its own node.
func TestFreshChangesBeforeCatchUps(t *testing.T) {
	store := newFilledStore(t, 50, 1000, 60)
	p := NewPublisher(store, Budget{TotalBytesPerSecond: 256 << 10})
	delays := map[SubscriptionID]time.Duration{}
	for i := range 50 {
		p.Subscribe(0, nodeSubscription("", "s"+strconv.Itoa(i)))
	}
	now, writtenAt, catchUp := time.Duration(0), 3*time.Second, 0
	written := false
	for now < 10*time.Second {
		if !written && now >= writtenAt {
			writtenAt, written = now, true
			p.EntriesChanged(now, []Entry{writeOne(t, store, wall, key("", "all"), "v")})
		}
		id, b, ok, wait := p.NextBatch(now)
		if !ok {
			now += min(wait, 10*time.Millisecond)
			continue
		}
		p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number})
		for _, e := range b.Entries {
			if e.Key.Name == "all" {
				delays[id] = now - writtenAt
			}
		}
		if written && len(delays) < 50 {
			catchUp += b.Size()
		}
	}
	if len(delays) != 50 {
		t.Fatalf("change was sent to %d of 50 nodes", len(delays))
	}
	for id, after := range delays {
		if after > 1500*time.Millisecond {
			t.Errorf("subscription %d: got the change after %v, want at most 1.5s", id, after)
		}
	}
	if catchUp == 0 {
		t.Error("no catch-up batch was sent before the change had reached all nodes")
	}
}

// A node's own catch-up does not delay a fresh change for it.
func TestFreshChangeDuringOwnCatchUp(t *testing.T) {
	store := newFilledStore(t, 1, 4000, 60)
	p := NewPublisher(store, Budget{})
	p.Subscribe(0, nodeSubscription("", "s0"))
	for now := time.Duration(0); now < 5*time.Second; {
		id, b, ok, wait := p.NextBatch(now)
		if ok {
			p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number})
			continue
		}
		p.EntriesChanged(now, []Entry{writeOne(t, store, wall, key("", "all"), now.String())})
		if _, b, ok, _ := p.NextBatch(now); !ok || len(b.Entries) != 1 || b.Entries[0].Key.Name != "all" {
			t.Fatalf("at %v: got batch %v %+v, want a batch with only the fresh change", now, ok, b)
		}
		now += wait
	}
}

// Catch-ups receive their share of the budget during continuous fresh changes.
func TestCatchUpsContinueBesideFreshChanges(t *testing.T) {
	const out = 64 << 10
	store := newFilledStore(t, 1, 20_000, 60)
	p := NewPublisher(store, Budget{TotalBytesPerSecond: out, ControlBytesPerSecond: 1 << 20})
	fresh := p.Subscribe(0, Subscription{Name: "busy", Role: RoleControl, Services: []string{"busy"}})
	caught := p.Subscribe(0, Subscription{Name: "new", Role: RoleControl, Services: []string{"s0"}})
	sent := map[SubscriptionID]int{}
	for now := time.Duration(0); now < 10*time.Second; {
		for i := range 200 {
			p.EntriesChanged(now, []Entry{writeOne(t, store, wall, key("busy", strconv.Itoa(i)), string(make([]byte, 100)))})
		}
		id, b, ok, wait := p.NextBatch(now)
		if !ok {
			now += wait
			continue
		}
		sent[id] += b.Size()
		p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number})
	}
	share := float64(sent[caught]) / float64(sent[caught]+sent[fresh])
	if share < 0.2 || share > 0.3 {
		t.Fatalf("got a share of %.2f for catch-ups, want from 0.2 to 0.3; bytes by subscription: %v", share, sent)
	}
}

func TestSubscribersTakeEqualTurns(t *testing.T) {
	store := newFilledStore(t, 2, 20_000, 60)
	p := NewPublisher(store, Budget{TotalBytesPerSecond: 64 << 10, NodeBytesPerSecond: 64 << 10, ControlBytesPerSecond: 64 << 10})
	p.Subscribe(0, nodeSubscription("s0"))
	p.Subscribe(0, nodeSubscription("s1"))
	p.Subscribe(0, Subscription{Name: "c", Role: RoleControl, AllServices: true})
	sent := map[SubscriptionID]int{}
	for now := time.Duration(0); now < 20*time.Second; {
		id, b, ok, wait := p.NextBatch(now)
		if !ok {
			now += wait
			continue
		}
		sent[id] += b.Size()
		p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number})
	}
	least, most := min(sent[1], sent[2], sent[3]), max(sent[1], sent[2], sent[3])
	if float64(least) < 0.8*float64(most) {
		t.Fatalf("got bytes by subscription %v, want the least to be at least 0.8 of the most", sent)
	}
}

func TestChangesAreCoalesced(t *testing.T) {
	store := newFilledStore(t, 1, 1, 1)
	p := NewPublisher(store, Budget{})
	node := NewStore("", Limits{})
	r := NewReceiver(node)
	id := p.Subscribe(0, nodeSubscription("s0"))
	send(t, p, r, id, 0)
	for i := range 1000 {
		p.EntriesChanged(time.Duration(i), []Entry{writeOne(t, store, wall, key("s0", "0"), strconv.Itoa(i))})
	}
	if st, _ := p.SubscriberStatus(time.Second, id); st.PendingKeys != 1 || st.Lag != time.Second {
		t.Fatalf("got %d pending keys, lag %v, want 1 and 1s", st.PendingKeys, st.Lag)
	}
	if got := send(t, p, r, id, time.Second); len(got) != 1 || string(got[0].Changed[0].Value) != "999" {
		t.Fatalf("got results %+v, want one batch with the last value", got)
	}
}

func TestSlowSubscribersAreReported(t *testing.T) {
	p := NewPublisher(newFilledStore(t, 1, 1, 1), Budget{})
	id := p.Subscribe(0, nodeSubscription("s0"))
	_, b, _, _ := p.NextBatch(time.Second)
	if slow := p.SlowSubscribers(time.Second + slowTimeout - 1); len(slow) != 0 {
		t.Fatalf("got slow subscribers %v before the timeout, want none", slow)
	}
	if slow := p.SlowSubscribers(time.Second + slowTimeout); len(slow) != 1 || slow[0] != id {
		t.Fatalf("got slow subscribers %v after the timeout, want the only one", slow)
	}
	if st, _ := p.SubscriberStatus(7*time.Second, id); st.HasAcknowledged || st.Lag < 6*time.Second || st.UnacknowledgedBytes == 0 {
		t.Fatalf("got status %+v, want an unacknowledged batch with a lag of at least 6s", st)
	}
	p.BatchAcknowledged(8*time.Second, id, Acknowledgement{BatchNumber: b.Number, Rejected: []Rejection{{Key: key("s0", "0"), Reason: "no"}}})
	if slow := p.SlowSubscribers(time.Minute); len(slow) != 0 {
		t.Fatalf("got slow subscribers %v without unacknowledged batches, want none", slow)
	}
	if st, _ := p.SubscriberStatus(time.Minute, id); !st.HasAcknowledged || len(st.Rejected) != 1 || st.Lag != 0 {
		t.Fatalf("got status %+v, want an acknowledgement with one rejection and no lag", st)
	}
	p.Unsubscribe(id)
	p.EntriesChanged(time.Minute, []Entry{{Key: key("s0", "0"), Clock: 1, Origin: "x/1", Sequence: 1}})
	if _, _, ok, wait := p.NextBatch(time.Minute); ok || wait != WaitForever || len(p.byService) != 0 {
		t.Fatal("state of an ended subscription remains")
	}
}

func TestUnacknowledgedBytesAreBounded(t *testing.T) {
	p := NewPublisher(newFilledStore(t, 1, 8000, 100), Budget{ControlBytesPerSecond: 64 << 20})
	p.Subscribe(0, Subscription{Name: "c", Role: RoleControl, AllServices: true})
	sum := 0
	for now := time.Duration(0); ; {
		_, b, ok, wait := p.NextBatch(now)
		if ok {
			sum += b.Size()
			continue
		}
		if wait == WaitForever {
			break
		}
		now += wait
	}
	if sum < maxUnacknowledgedBytes || sum > maxUnacknowledgedBytes+2*maxBatchBytes {
		t.Fatalf("got %d unacknowledged bytes, want from the limit to two batches above it", sum)
	}
}

// A server that has lost its disk does not revert its subscriber to an older state, and receives the missing entries from it.
func TestSubscriberAheadOfServer(t *testing.T) {
	sim := newSimulation(t.Fatalf)
	root := sim.add("root", "", RoleControl)
	node := sim.add("node", "", RoleNode, "a")
	sim.addLinks(node, root)
	root.write(Change{Key: key("a", "1"), Value: []byte("first")}, Change{Key: key("a", "2"), Value: []byte("second")})
	sim.converge()
	root.restart(nil)
	sim.converge()
	for _, member := range sim.processes {
		if got := member.store.LiveEntries("a"); len(got) != 2 || string(got[0].Value) != "first" {
			t.Fatalf("%s: got entries %+v, want both entries", member.name, got)
		}
	}
	root.write(Change{Key: key("a", "1"), Value: []byte("third")})
	sim.converge()
	if e, _ := node.store.Entry(key("a", "1")); string(e.Value) != "third" {
		t.Fatalf("got value %q at the node, want third", e.Value)
	}
}

func TestNewServiceGetsFullSync(t *testing.T) {
	sim := newSimulation(t.Fatalf)
	root := sim.add("root", "", RoleControl)
	node := sim.add("node", "", RoleNode, "a")
	sim.addLinks(node, root)
	root.write(Change{Key: key("a", "1")}, Change{Key: key("b", "1")})
	sim.converge()
	sim.close(sim.links[0])
	node.services = []string{"a", "b"}
	node.store.SetScope(node.services)
	if missing := node.store.UnsyncedServices(); len(missing) != 1 || missing[0] != "b" {
		t.Fatalf("got unsynced services %v, want b", missing)
	}
	sim.converge()
	if len(node.store.LiveEntries("b")) != 1 || len(node.store.UnsyncedServices()) != 0 {
		t.Fatalf("got entries %v, unsynced services %v, want one entry and none", node.store.LiveEntries("b"), node.store.UnsyncedServices())
	}
}

// For an unsynced service, the server also sends entries that the subscriber's vector covers and that the server receives only
// after the subscription.
func TestUnsyncedServiceFromServerThatCaughtUp(t *testing.T) {
	store := NewStore(NewOrigin("root", 2), Limits{})
	p := NewPublisher(store, Budget{})
	p.Subscribe(0, Subscription{Name: "n", Role: RoleNode, Services: []string{"b"}, UnsyncedServices: []string{"b"}, Vector: Vector{"x/1": 5}})
	if _, b, ok, _ := p.NextBatch(0); !ok || !b.IsComplete {
		t.Fatalf("got batch %+v, want a complete one", b)
	}
	changed, _ := store.Merge([]Entry{{Key: key("b", "1"), Clock: 5, Origin: "x/1", Sequence: 3}})
	p.EntriesChanged(0, changed)
	if _, b, ok, _ := p.NextBatch(0); !ok || len(b.Entries) != 1 {
		t.Fatalf("got batch %+v, want one entry", b)
	}
}

// Batches and digests contain only the part of the vector that has advanced since the last ones.
func TestVectorIsSentOnce(t *testing.T) {
	store := newFilledStore(t, 1, 1, 1)
	p := NewPublisher(store, Budget{})
	id := p.Subscribe(0, nodeSubscription("s0"))
	_, b, _, _ := p.NextBatch(0)
	if len(b.Through) != 1 {
		t.Fatalf("got vector %v, want one origin", b.Through)
	}
	p.BatchAcknowledged(0, id, Acknowledgement{BatchNumber: b.Number})
	if _, d, ok := p.NextDigests(digestInterval); !ok || len(d.Through) != 0 || len(d.Services) != 1 {
		t.Fatalf("got digests %+v, want no vector and one service", d)
	}
	writeOne(t, store, wall, key("other", "1"), "v")
	if _, d, ok := p.NextDigests(2 * digestInterval); !ok || d.Through[store.Origin()] != 2 {
		t.Fatalf("got digests %+v, want sequence 2 of the store's origin", d)
	}
}

// Entries that a process has lost without a change of its vector are restored by digests, at either end of a connection.
// Entries that only a node has are removed.
func TestDigestsRepairDifferences(t *testing.T) {
	for _, lost := range []string{"root", "relay", "node"} {
		t.Run(lost, func(t *testing.T) {
			sim, root, _, node := chain(t)
			root.write(Change{Key: key("a", "1")}, Change{Key: key("a", "2")})
			sim.converge()
			for _, member := range sim.processes {
				if member.name == lost {
					member.store.remove(key("a", "1"))
					delete(member.newest, key("a", "1"))
				}
			}
			sim.converge()
			for _, member := range sim.processes {
				if len(member.store.LiveEntries("a")) != 2 {
					t.Errorf("%s: got entries %v, want 2", member.name, member.store.LiveEntries("a"))
				}
			}
			node.store.put(Entry{Key: key("a", "3"), Clock: 1, Origin: root.store.Origin(), Sequence: 1})
			sim.converge()
			if stored := node.store.LiveEntries("a"); len(stored) != 2 {
				t.Errorf("got entries %v at the node, want 2", stored)
			}
		})
	}
}

// The cost of a change depends on the subscriptions and entries of its service, not on the size of the fleet.
func TestCostOfChangeDependsOnlyOnItsService(t *testing.T) {
	cost := func(otherNodes, otherServices int) (visits, allocs float64) {
		store := newFilledStore(t, 1+otherServices, 20, 20)
		p := NewPublisher(store, Budget{TotalBytesPerSecond: 1 << 30, NodeBytesPerSecond: 1 << 30})
		for i := range otherNodes {
			p.Subscribe(0, nodeSubscription("s"+strconv.Itoa(1+i%otherServices)))
		}
		for range 3 {
			p.Subscribe(0, nodeSubscription("s0"))
		}
		now := time.Duration(0)
		drain := func() {
			for {
				now += time.Millisecond
				id, b, ok, wait := p.NextBatch(now)
				if !ok && wait == WaitForever {
					return
				}
				p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number})
			}
		}
		drain()
		p.visited = 0
		const changes = 100
		allocs = testing.AllocsPerRun(changes-1, func() {
			p.EntriesChanged(now, []Entry{writeOne(t, store, wall, key("s0", "0"), "v")})
			drain()
		})
		return float64(p.visited) / changes, allocs
	}
	visits, allocs := cost(10, 2)
	manyVisits, manyAllocs := cost(3000, 300)
	if visits != 3 || manyVisits != 3 {
		t.Errorf("change visits %.0f subscriptions in a small fleet and %.0f in a large one, want 3", visits, manyVisits)
	}
	if manyAllocs > 1.2*allocs {
		t.Errorf("change makes %.0f allocations in a small fleet and %.0f in a large one, want at most 1.2 times as many", allocs, manyAllocs)
	}
}

// A reset sends each entry exactly once.
func TestResetSendsEachEntryOnce(t *testing.T) {
	count := func(entries int) (sent int, allocs float64) {
		store := newFilledStore(t, 10, entries/10, 20)
		allocs = testing.AllocsPerRun(1, func() {
			sent = 0
			p := NewPublisher(store, Budget{TotalBytesPerSecond: 1 << 40, ControlBytesPerSecond: 1 << 40})
			p.Subscribe(0, Subscription{Name: "c", Role: RoleControl, AllServices: true})
			for {
				id, b, ok, _ := p.NextBatch(0)
				if !ok {
					return
				}
				sent += len(b.Entries)
				p.BatchAcknowledged(0, id, Acknowledgement{BatchNumber: b.Number})
			}
		})
		return sent, allocs
	}
	few, fewAllocs := count(2_000)
	many, manyAllocs := count(20_000)
	if few != 2_000 || many != 20_000 {
		t.Fatalf("got %d of 2,000 and %d of 20,000 entries", few, many)
	}
	if manyAllocs > 12*fewAllocs {
		t.Errorf("got %.0f allocations for 2,000 entries and %.0f for 20,000, want at most 12 times as many", fewAllocs, manyAllocs)
	}
}
