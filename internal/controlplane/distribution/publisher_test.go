package distribution

import (
	"strconv"
	"testing"
	"time"
)

func filled(t testing.TB, services, each, value int) *Store {
	s := NewStore(NewOrigin("root", 1), Limits{})
	for i := range services {
		for j := range each {
			writeOne(t, s, wall, key("s"+strconv.Itoa(i), strconv.Itoa(j)), string(make([]byte, value)))
		}
	}
	return s
}

func nodeOf(services ...string) Subscription {
	return Subscription{Name: "n", Role: RoleNode, Services: services}
}

func TestCatchUpStaysWithinNodeBudget(t *testing.T) {
	p := NewPublisher(filled(t, 1, 4000, 60), Budget{})
	id := p.Subscribe(0, nodeOf("s0"))
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
			t.Fatalf("a piece of %d bytes", b.Size())
		}
		sum += b.Size()
		batches++
		p.BatchAcknowledged(now, to, Acknowledgement{BatchNumber: b.Number})
		if b.IsComplete {
			break
		}
		if allowed := float64(defaultNodeBytes) * (now.Seconds() + 1.6); float64(sum) > allowed {
			t.Fatalf("%d bytes after %v", sum, now)
		}
	}
	if rate := float64(sum) / now.Seconds(); rate < 0.9*defaultNodeBytes || sum < 4000*60 {
		t.Fatalf("%d bytes in %v by %d batches: the budget is not used", sum, now, batches)
	}
	if st, _ := p.SubscriberStatus(now, id); st.IsCatchingUp || st.Lag != 0 || !st.HasAcknowledged {
		t.Fatalf("status %+v", st)
	}
}

// A fresh change waits neither for the catch-ups of other nodes nor for that of its own.
func TestFreshChangesBeforeCatchUps(t *testing.T) {
	store := filled(t, 50, 1000, 60)
	p := NewPublisher(store, Budget{TotalBytesPerSecond: 256 << 10})
	late := map[SubscriptionID]time.Duration{}
	for i := range 50 {
		p.Subscribe(0, nodeOf("", "s"+strconv.Itoa(i)))
	}
	now, pendingWrites, catchUp := time.Duration(0), 3*time.Second, 0
	written := false
	for now < 10*time.Second {
		if !written && now >= pendingWrites {
			pendingWrites, written = now, true
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
				late[id] = now - pendingWrites
			}
		}
		if written && len(late) < 50 {
			catchUp += b.Size()
		}
	}
	if len(late) != 50 {
		t.Fatalf("%d of 50 have the change", len(late))
	}
	for id, after := range late {
		if after > 1500*time.Millisecond {
			t.Errorf("subscription %d has it after %v", id, after)
		}
	}
	if catchUp == 0 {
		t.Error("catch-ups stood still meanwhile")
	}
}

// A node's own catch-up does not delay a fresh change for it.
func TestFreshChangeDuringOwnCatchUp(t *testing.T) {
	store := filled(t, 1, 4000, 60)
	p := NewPublisher(store, Budget{})
	p.Subscribe(0, nodeOf("", "s0"))
	for now := time.Duration(0); now < 5*time.Second; {
		id, b, ok, wait := p.NextBatch(now)
		if ok {
			p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number})
			continue
		}
		p.EntriesChanged(now, []Entry{writeOne(t, store, wall, key("", "all"), now.String())})
		if _, b, ok, _ := p.NextBatch(now); !ok || len(b.Entries) != 1 || b.Entries[0].Key.Name != "all" {
			t.Fatalf("at %v: sent %v, %+v", now, ok, b)
		}
		now += wait
	}
}

// Endless fresh changes leave catch-ups their share.
func TestCatchUpsContinueBesideFreshChanges(t *testing.T) {
	const out = 64 << 10
	store := filled(t, 1, 20_000, 60)
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
		t.Fatalf("catch-ups have %.2f of what was sent, want a quarter: %v", share, sent)
	}
}

func TestSubscribersTakeEqualTurns(t *testing.T) {
	store := filled(t, 2, 20_000, 60)
	p := NewPublisher(store, Budget{TotalBytesPerSecond: 64 << 10, NodeBytesPerSecond: 64 << 10, ControlBytesPerSecond: 64 << 10})
	p.Subscribe(0, nodeOf("s0"))
	p.Subscribe(0, nodeOf("s1"))
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
		t.Fatalf("sent %v", sent)
	}
}

func TestChangesAreCoalesced(t *testing.T) {
	store := filled(t, 1, 1, 1)
	p := NewPublisher(store, Budget{})
	node := NewStore("", Limits{})
	r := NewReceiver(node)
	id := p.Subscribe(0, nodeOf("s0"))
	send(t, p, r, id, 0)
	for i := range 1000 {
		p.EntriesChanged(time.Duration(i), []Entry{writeOne(t, store, wall, key("s0", "0"), strconv.Itoa(i))})
	}
	if st, _ := p.SubscriberStatus(time.Second, id); st.PendingKeys != 1 || st.Lag != time.Second {
		t.Fatalf("pending %d, lag %v", st.PendingKeys, st.Lag)
	}
	if got := send(t, p, r, id, time.Second); len(got) != 1 || string(got[0].Changed[0].Value) != "999" {
		t.Fatalf("sent %+v", got)
	}
}

func TestSlowSubscribersAreReported(t *testing.T) {
	p := NewPublisher(filled(t, 1, 1, 1), Budget{})
	id := p.Subscribe(0, nodeOf("s0"))
	_, b, _, _ := p.NextBatch(time.Second)
	if slow := p.SlowSubscribers(time.Second + slowTimeout - 1); len(slow) != 0 {
		t.Fatalf("%v are slow too early", slow)
	}
	if slow := p.SlowSubscribers(time.Second + slowTimeout); len(slow) != 1 || slow[0] != id {
		t.Fatalf("slow are %v", slow)
	}
	if st, _ := p.SubscriberStatus(7*time.Second, id); st.HasAcknowledged || st.Lag < 6*time.Second || st.UnacknowledgedBytes == 0 {
		t.Fatalf("status %+v", st)
	}
	p.BatchAcknowledged(8*time.Second, id, Acknowledgement{BatchNumber: b.Number, Rejected: []Rejection{{Key: key("s0", "0"), Reason: "no"}}})
	if slow := p.SlowSubscribers(time.Minute); len(slow) != 0 {
		t.Fatalf("%v are slow with nothing sent", slow)
	}
	if st, _ := p.SubscriberStatus(time.Minute, id); !st.HasAcknowledged || len(st.Rejected) != 1 || st.Lag != 0 {
		t.Fatalf("status %+v", st)
	}
	p.Unsubscribe(id)
	p.EntriesChanged(time.Minute, []Entry{{Key: key("s0", "0"), Clock: 1, Origin: "x/1", Sequence: 1}})
	if _, _, ok, wait := p.NextBatch(time.Minute); ok || wait != WaitForever || len(p.byService) != 0 {
		t.Fatal("something is left of a subscription")
	}
}

func TestUnacknowledgedBytesAreBounded(t *testing.T) {
	p := NewPublisher(filled(t, 1, 8000, 100), Budget{ControlBytesPerSecond: 64 << 20})
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
		t.Fatalf("%d bytes under way", sum)
	}
}

// A server that has lost its disk does not take its subscriber back, and receives from it what it lacks.
func TestSubscriberAheadOfServer(t *testing.T) {
	w := newWorld(t.Fatalf)
	root := w.add("root", "", RoleControl)
	node := w.add("node", "", RoleNode, "a")
	w.connectable(node, root)
	root.write(Change{Key: key("a", "1"), Value: []byte("first")}, Change{Key: key("a", "2"), Value: []byte("second")})
	w.converge()
	root.restart(nil)
	w.converge()
	for _, h := range w.holders {
		if got := h.store.LiveEntries("a"); len(got) != 2 || string(got[0].Value) != "first" {
			t.Fatalf("%s holds %+v", h.name, got)
		}
	}
	root.write(Change{Key: key("a", "1"), Value: []byte("third")})
	w.converge()
	if e, _ := node.store.Entry(key("a", "1")); string(e.Value) != "third" {
		t.Fatalf("the node holds %q", e.Value)
	}
}

func TestNewServiceGetsFullSync(t *testing.T) {
	w := newWorld(t.Fatalf)
	root := w.add("root", "", RoleControl)
	node := w.add("node", "", RoleNode, "a")
	w.connectable(node, root)
	root.write(Change{Key: key("a", "1")}, Change{Key: key("b", "1")})
	w.converge()
	w.close(w.links[0])
	node.services = []string{"a", "b"}
	node.store.SetScope(node.services)
	if missing := node.store.UnsyncedServices(); len(missing) != 1 || missing[0] != "b" {
		t.Fatalf("missing %v", missing)
	}
	w.converge()
	if len(node.store.LiveEntries("b")) != 1 || len(node.store.UnsyncedServices()) != 0 {
		t.Fatalf("holds %v, missing %v", node.store.LiveEntries("b"), node.store.UnsyncedServices())
	}
}

// What a subscriber's vector covers and its server has yet to receive is sent for an unsynced service when it arrives.
func TestUnsyncedServiceFromServerThatCaughtUp(t *testing.T) {
	store := NewStore(NewOrigin("root", 2), Limits{})
	p := NewPublisher(store, Budget{})
	p.Subscribe(0, Subscription{Name: "n", Role: RoleNode, Services: []string{"b"}, UnsyncedServices: []string{"b"}, Vector: Vector{"x/1": 5}})
	if _, b, ok, _ := p.NextBatch(0); !ok || !b.IsComplete {
		t.Fatalf("sent %+v", b)
	}
	changed, _ := store.Merge([]Entry{{Key: key("b", "1"), Clock: 5, Origin: "x/1", Sequence: 3}})
	p.EntriesChanged(0, changed)
	if _, b, ok, _ := p.NextBatch(0); !ok || len(b.Entries) != 1 {
		t.Fatalf("sent %+v", b)
	}
}

// A vector is sent as far as it has advanced.
func TestVectorIsSentOnce(t *testing.T) {
	store := filled(t, 1, 1, 1)
	p := NewPublisher(store, Budget{})
	id := p.Subscribe(0, nodeOf("s0"))
	_, b, _, _ := p.NextBatch(0)
	if len(b.Through) != 1 {
		t.Fatalf("sent %v", b.Through)
	}
	p.BatchAcknowledged(0, id, Acknowledgement{BatchNumber: b.Number})
	if _, d, ok := p.NextDigests(digestInterval); !ok || len(d.Through) != 0 || len(d.Services) != 1 {
		t.Fatalf("digests %+v", d)
	}
	writeOne(t, store, wall, key("other", "1"), "v")
	if _, d, ok := p.NextDigests(2 * digestInterval); !ok || d.Through[store.Origin()] != 2 {
		t.Fatalf("digests %+v", d)
	}
}

// What a holder has lost without noticing is restored from the others, on whichever side of the connection it is; what a
// node alone holds is removed.
func TestDigestsRepairDifferences(t *testing.T) {
	for _, lost := range []string{"root", "relay", "node"} {
		t.Run(lost, func(t *testing.T) {
			w, root, _, node := chain(t)
			root.write(Change{Key: key("a", "1")}, Change{Key: key("a", "2")})
			w.converge()
			for _, h := range w.holders {
				if h.name == lost {
					h.store.remove(key("a", "1"))
					delete(h.floor, key("a", "1"))
				}
			}
			w.converge()
			for _, h := range w.holders {
				if len(h.store.LiveEntries("a")) != 2 {
					t.Errorf("%s holds %v", h.name, h.store.LiveEntries("a"))
				}
			}
			node.store.put(Entry{Key: key("a", "3"), Clock: 1, Origin: root.store.Origin(), Sequence: 1})
			w.converge()
			if held := node.store.LiveEntries("a"); len(held) != 2 {
				t.Errorf("the node keeps %v", held)
			}
		})
	}
}

// The cost of a change is by the subscriptions and entries of its service, not by the fleet.
func TestCostOfAChangeIsThatOfItsService(t *testing.T) {
	cost := func(otherNodes, otherServices int) (touched, allocs float64) {
		store := filled(t, 1+otherServices, 20, 20)
		p := NewPublisher(store, Budget{TotalBytesPerSecond: 1 << 30, NodeBytesPerSecond: 1 << 30})
		for i := range otherNodes {
			p.Subscribe(0, nodeOf("s"+strconv.Itoa(1+i%otherServices)))
		}
		for range 3 {
			p.Subscribe(0, nodeOf("s0"))
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
	touched, allocs := cost(10, 2)
	manyTouched, manyAllocs := cost(3000, 300)
	if touched != 3 || manyTouched != 3 {
		t.Errorf("a change looks at %.0f and %.0f subscriptions, want 3", touched, manyTouched)
	}
	if manyAllocs > 1.2*allocs {
		t.Errorf("a change makes %.0f allocations with few others, %.0f with many", allocs, manyAllocs)
	}
}

// A reset sends each entry exactly once.
func TestResetSendsEachEntryOnce(t *testing.T) {
	count := func(entries int) (sent int, allocs float64) {
		store := filled(t, 10, entries/10, 20)
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
		t.Fatalf("sent %d of 2,000 and %d of 20,000", few, many)
	}
	if manyAllocs > 12*fewAllocs {
		t.Errorf("%.0f and %.0f allocations", fewAllocs, manyAllocs)
	}
}
