package distribution

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"
)

// wall is the wall-clock time at the start of the tests.
var wall = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func key(service, name string) Key { return Key{Service: service, Kind: KindServer, Name: name} }

// writeOne writes one value and fails the test if the write is rejected.
func writeOne(t testing.TB, s *Store, at time.Time, k Key, value string) Entry {
	t.Helper()
	entries, err := s.Write(at, []Change{{Key: k, Value: []byte(value)}})
	if err != nil {
		t.Fatalf("write %s: %v", k, err)
	}
	return entries[0]
}

// send delivers all pending batches of the only subscription of a publisher to a receiver, in virtual time.
func send(t testing.TB, p *Publisher, r *Receiver, id SubscriptionID, now time.Duration) (all []BatchResult) {
	t.Helper()
	for range 100_000 {
		to, b, ok, wait := p.NextBatch(now)
		if !ok && wait == WaitForever {
			return all
		}
		if !ok {
			now += wait
			continue
		}
		if to != id {
			t.Fatalf("batch for subscription %d, want %d", to, id)
		}
		got := r.ReceiveBatch(b)
		all = append(all, got)
		p.BatchAcknowledged(now, id, Acknowledgement{BatchNumber: b.Number, Applied: r.store.Vector().Clone()})
	}
	t.Fatal("batches still pending after 100,000 steps")
	return nil
}

func TestSubscriberReceivesServicesAndChanges(t *testing.T) {
	server := NewStore(NewOrigin("root", 1), Limits{})
	writeOne(t, server, wall, key("a", "1"), "one")
	writeOne(t, server, wall, key("b", "1"), "other")
	p := NewPublisher(server, Budget{})
	node := NewStore("", Limits{})
	node.SetScope([]string{"a", ""})
	id := p.Subscribe(0, Subscription{Name: "n", Role: RoleNode, Services: []string{"a", ""}, Vector: node.Vector()})
	r := NewReceiver(node)
	got := send(t, p, r, id, 0)
	if len(got) != 1 || !got[0].IsComplete || len(got[0].Changed) != 1 {
		t.Fatalf("got results %+v, want one complete batch with one entry", got)
	}
	e := writeOne(t, server, wall, key("a", "1"), "two")
	p.EntriesChanged(0, []Entry{e})
	send(t, p, r, id, 0)
	if stored, _ := node.Entry(key("a", "1")); string(stored.Value) != "two" {
		t.Fatalf("got value %q, want two", stored.Value)
	}
	if !node.Vector().CoversAll(server.Vector()) {
		t.Fatalf("got vector %v, want %v", node.Vector(), server.Vector())
	}
	if node.ServiceDigest("a") != server.ServiceDigest("a") || node.ServiceDigest("a") == 0 {
		t.Fatal("digests differ or are zero")
	}
}

func TestWriteIsAtomic(t *testing.T) {
	full := Limits{MaxEntries: 2}
	valid := Change{Key: key("a", "1"), Value: []byte("v")}
	long := Key{Service: "a", Kind: KindServer, Name: strings.Repeat("x", MaxNameBytes+1)}
	tests := []struct {
		name    string
		limits  Limits
		changes []Change
		at      time.Time
		want    error
	}{
		{"none", Limits{}, nil, wall, ErrChangeCount},
		{"too many", Limits{}, make([]Change, MaxChanges+1), wall, ErrChangeCount},
		{"no name", Limits{}, []Change{valid, {Key: key("a", "")}}, wall, ErrInvalidKey},
		{"no kind", Limits{}, []Change{valid, {Key: Key{Service: "a", Name: "1"}}}, wall, ErrInvalidKey},
		{"a long name", Limits{}, []Change{valid, {Key: long}}, wall, ErrInvalidKey},
		{"not UTF-8", Limits{}, []Change{valid, {Key: key("\xff", "1")}}, wall, ErrInvalidKey},
		{"a long value", Limits{}, []Change{valid, {Key: key("a", "2"), Value: make([]byte, MaxValueBytes+1)}}, wall, ErrInvalidValue},
		{"a deletion with a value", Limits{}, []Change{valid, {Key: key("a", "2"), Deleted: true, Value: []byte("v")}}, wall, ErrInvalidValue},
		{"too many entries", full, []Change{valid, {Key: key("a", "2")}, {Key: key("a", "3")}}, wall, ErrStoreFull},
		{"too many bytes", Limits{MaxBytes: 300}, []Change{valid, {Key: key("a", "2"), Value: make([]byte, 200)}}, wall, ErrStoreFull},
		{"a clock ahead", Limits{}, []Change{valid}, wall.Add(-11 * time.Second), ErrClockAhead},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewStore(NewOrigin("root", 1), test.limits)
			writeOne(t, s, wall, key("z", "0"), "")
			_, err := s.Write(test.at, test.changes)
			if !errors.Is(err, test.want) {
				t.Fatalf("got error %v, want %v", err, test.want)
			}
			if entries, _ := s.Size(); entries != 1 || s.Vector().Total() != 1 {
				t.Fatalf("got %d entries, vector %v after a rejected write, want 1 entry and total 1", entries, s.Vector())
			}
		})
	}
	t.Run("a store without an origin", func(t *testing.T) {
		if _, err := NewStore("", Limits{}).Write(wall, []Change{valid}); !errors.Is(err, ErrInvalidOrigin) {
			t.Fatalf("got error %v, want ErrInvalidOrigin", err)
		}
	})
	t.Run("too many services", func(t *testing.T) {
		s := NewStore(NewOrigin("root", 1), Limits{})
		for i := range MaxServices {
			writeOne(t, s, wall, key(strconv.Itoa(i), "1"), "")
		}
		if _, err := s.Write(wall, []Change{{Key: key("one more", "1")}}); !errors.Is(err, ErrStoreFull) {
			t.Fatalf("got error %v, want ErrStoreFull", err)
		}
	})
}

func TestSizeAndDigestFollowEntries(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	s := NewStore(NewOrigin("root", 1), Limits{})
	other := NewStore(NewOrigin("other", 2), Limits{})
	var all []Entry
	for range 2000 {
		k := key(strconv.Itoa(rng.IntN(3)), strconv.Itoa(rng.IntN(30)))
		c := Change{Key: k, Deleted: rng.IntN(4) == 0}
		if !c.Deleted {
			c.Value = make([]byte, rng.IntN(50))
		}
		entries, err := s.Write(wall, []Change{c})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, entries...)
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	other.Merge(all)
	if s.TotalDigest() != other.TotalDigest() {
		t.Error("digests of the same entries in different orders differ")
	}
	entries, size := s.Size()
	otherEntries, otherSize := other.Size()
	if entries != otherEntries || size != otherSize {
		t.Errorf("got %d entries of %d bytes, in another order %d of %d", entries, size, otherEntries, otherSize)
	}
	sum := uint64(0)
	for _, name := range s.Services() {
		sum += s.ServiceDigest(name)
	}
	if sum != s.TotalDigest() || sum == 0 {
		t.Errorf("sum of service digests is %x, total digest %x, want equal and not zero", sum, s.TotalDigest())
	}
	s.PruneDeletions(^uint64(0))
	if s.TotalDigest() != other.TotalDigest() {
		t.Error("pruning of deletions changed the digest")
	}
	for _, e := range allEntries(s) {
		s.remove(e.Key)
	}
	if entries, size := s.Size(); entries != 0 || size != 0 || s.TotalDigest() != 0 {
		t.Errorf("after removal of all keys: got %d entries, %d bytes, digest %x, want 0", entries, size, s.TotalDigest())
	}
}

func TestDigestCoversKeyAndVersion(t *testing.T) {
	seen := map[uint64]bool{}
	for _, e := range []Entry{
		{Key: key("a", "1"), Clock: 5, Origin: "x/1", Sequence: 1},
		{Key: key("b", "1"), Clock: 5, Origin: "x/1", Sequence: 1},
		{Key: key("a", "2"), Clock: 5, Origin: "x/1", Sequence: 1},
		{Key: key("a1", "1"), Clock: 5, Origin: "x/1", Sequence: 1},
		{Key: key("a", "11"), Clock: 5, Origin: "x/1", Sequence: 1},
		{Key: Key{Service: "a", Kind: KindRoute, Name: "1"}, Clock: 5, Origin: "x/1", Sequence: 1},
		{Key: key("a", "1"), Clock: 6, Origin: "x/1", Sequence: 1},
		{Key: key("a", "1"), Clock: 5, Origin: "x/2", Sequence: 1},
		{Key: key("a", "1"), Clock: 5, Origin: "x/1", Sequence: 2},
	} {
		s := NewStore("", Limits{})
		s.Merge([]Entry{e})
		if seen[s.TotalDigest()] {
			t.Errorf("digest of %+v equals that of another entry", e)
		}
		seen[s.TotalDigest()] = true
	}
}

func TestMergeIsOrderIndependent(t *testing.T) {
	k := key("a", "1")
	early := Entry{Key: k, Clock: 5, Origin: "x/1", Sequence: 1, Value: []byte("early")}
	late := Entry{Key: k, Clock: 6, Origin: "a/1", Sequence: 2, Value: []byte("z")}
	tied := Entry{Key: k, Clock: 6, Origin: "b/1", Sequence: 1, Value: []byte("a")}
	for i, order := range [][]Entry{{early, late, tied}, {tied, late, early}, {late, early, tied, late}, {tied, tied, early, late}} {
		s := NewStore("", Limits{})
		for _, e := range order {
			s.Merge([]Entry{e})
		}
		if got, _ := s.Entry(k); Compare(got, tied) != 0 {
			t.Errorf("order %d: got %+v, want the entry of origin b/1", i, got)
		}
	}
}

func TestMergeRejectsEntriesOutOfBounds(t *testing.T) {
	s := NewStore("", Limits{MaxEntries: 1})
	valid := Entry{Key: key("a", "1"), Clock: 5, Origin: "x/1", Sequence: 1}
	second := valid
	second.Key.Name = "2"
	unnumbered := valid
	unnumbered.Sequence = 0
	changed, rejected := s.Merge([]Entry{valid, second, unnumbered})
	if len(changed) != 1 || len(rejected) != 2 || !rejected[0].IsStoreFull || rejected[1].IsStoreFull {
		t.Fatalf("got changed %v, rejected %+v, want 1 changed, 2 rejected and the first one by a full store", changed, rejected)
	}
}

func TestVectorDoesNotAdvanceWhileStoreIsFull(t *testing.T) {
	server := NewStore(NewOrigin("root", 1), Limits{})
	writeOne(t, server, wall, key("a", "1"), "v")
	writeOne(t, server, wall, key("a", "2"), "v")
	node := NewStore("", Limits{MaxEntries: 1})
	p := NewPublisher(server, Budget{})
	id := p.Subscribe(0, Subscription{Name: "n", Role: RoleNode, Services: []string{"a"}})
	send(t, p, NewReceiver(node), id, 0)
	if node.Vector().Total() != 0 {
		t.Fatalf("got vector %v with a full store, want none", node.Vector())
	}
}

func TestClockExceedsReceivedClocks(t *testing.T) {
	s := NewStore(NewOrigin("root", 1), Limits{})
	ahead := ClockAt(wall.Add(9*time.Second)) + 7
	s.Merge([]Entry{{Key: key("a", "1"), Clock: ahead, Origin: "x/1", Sequence: 1}})
	if e := writeOne(t, s, wall, key("a", "1"), "v"); e.Clock <= ahead {
		t.Fatalf("got clock %d, want more than the received %d", e.Clock, ahead)
	}
}

func TestReplaceRetainsEntriesNotCoveredBySender(t *testing.T) {
	s := NewStore("", Limits{})
	entry := func(name string, sequence uint64) Entry {
		return Entry{Key: key("a", name), Clock: 5, Origin: "x/1", Sequence: sequence}
	}
	elsewhere := entry("4", 1)
	elsewhere.Key.Service = "b"
	s.Merge([]Entry{entry("1", 1), entry("2", 2), entry("3", 3), elsewhere})
	removed := s.ReplaceServices([]string{"a"}, map[Key]bool{key("a", "1"): true}, Vector{"x/1": 2})
	if len(removed) != 1 || removed[0].Key.Name != "2" {
		t.Fatalf("removed %+v, want entry 2", removed)
	}
	if entries, _ := s.Size(); entries != 3 {
		t.Fatalf("got %d remaining entries, want 3", entries)
	}
}

func TestPrunedDeletionsAreNotRevertedByMerge(t *testing.T) {
	s := NewStore(NewOrigin("root", 1), Limits{})
	e := writeOne(t, s, wall, key("a", "1"), "v")
	if _, err := s.Write(wall, []Change{{Key: key("a", "1"), Deleted: true}}); err != nil {
		t.Fatal(err)
	}
	if dropped := s.PruneDeletions(ClockAt(wall)); len(dropped) != 0 {
		t.Fatalf("pruned %v before the cutoff", dropped)
	}
	if dropped := s.PruneDeletions(ClockAt(wall.Add(time.Second))); len(dropped) != 1 {
		t.Fatalf("pruned %v, want 1 key", dropped)
	}
	if changed, _ := s.Merge([]Entry{e}); len(changed) != 0 {
		t.Fatalf("pruned key was stored again: %v", changed)
	}
	if (Vector{s.Origin(): 1}).CoversAll(s.Pruned()) || !s.Vector().CoversAll(s.Pruned()) {
		t.Fatal("pruned vector must exceed vectors without the deletion, and must be covered by vectors with it")
	}
	foreign := NewStore("", Limits{}) // with a deletion that its vector does not cover
	foreign.Merge([]Entry{{Key: key("a", "1"), Clock: 5, Origin: "x/1", Sequence: 1, Deleted: true}})
	if dropped := foreign.PruneDeletions(^uint64(0)); len(dropped) != 0 {
		t.Fatalf("pruned %v, which the vector does not cover", dropped)
	}
}

func TestOriginOfOldDiskIsStale(t *testing.T) {
	origin := NewOrigin("root", 1)
	s := NewStore(origin, Limits{})
	e := writeOne(t, s, wall, key("a", "1"), "v")
	old := NewStore(origin, Limits{})
	old.Restore([]Entry{e}, s.Vector(), nil)
	if _, err := old.Write(wall, []Change{{Key: key("a", "2")}}); !errors.Is(err, ErrStaleOrigin) {
		t.Fatalf("write under a restored origin: got error %v, want ErrStaleOrigin", err)
	}
	old.RenewOrigin(wall, NewOrigin("root", 2))
	if e := writeOne(t, old, wall, key("a", "2"), "v"); e.Origin == origin || e.Sequence != 1 {
		t.Fatalf("got origin %s, sequence %d, want a new origin and 1", e.Origin, e.Sequence)
	}
	if old.Vector()[origin] != 1 {
		t.Fatalf("got vector %v, want 1 for the restored origin", old.Vector())
	}
	// A store that wrote before its origin was found to be stale rewrites its entries.
	blind := NewStore(origin, Limits{})
	writeOne(t, blind, wall, key("a", "3"), "mine")
	blind.ObserveVector(Vector{origin: 5})
	if !blind.IsStale() {
		t.Fatal("origin is not stale after another store's vector exceeded it")
	}
	again := blind.RenewOrigin(wall, NewOrigin("root", 3))
	if len(again) != 1 || again[0].Origin == origin || string(again[0].Value) != "mine" || blind.Vector()[origin] != 0 {
		t.Fatalf("got rewritten entries %+v, vector %v, want one entry under a new origin", again, blind.Vector())
	}
}

// The sequences of overwritten entries count as covered, although the entries are never sent.
func TestOverwrittenSequencesAreCovered(t *testing.T) {
	server := NewStore(NewOrigin("root", 1), Limits{})
	for i := range 10 {
		writeOne(t, server, wall, key("a", "1"), strconv.Itoa(i))
	}
	node := NewStore("", Limits{})
	p := NewPublisher(server, Budget{})
	got := send(t, p, NewReceiver(node), p.Subscribe(0, Subscription{Name: "n", Role: RoleNode, Services: []string{"a"}}), 0)
	if len(got[0].Changed) != 1 || node.Vector()[server.Origin()] != 10 {
		t.Fatalf("got %d entries, vector %v, want 1 entry and sequence 10", len(got[0].Changed), node.Vector())
	}
	if keys := server.KeysSince(node.Vector(), []string{"a"}, false); len(keys) != 0 {
		t.Fatalf("got missing keys %v, want none", keys)
	}
}

// BenchmarkStoreMemory reports the memory of an entry with a name of 16 bytes and a value of 60 bytes.
func BenchmarkStoreMemory(b *testing.B) {
	const entries = 480_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewStore(NewOrigin("root", 1), Limits{})
		for i := range entries {
			writeOne(b, s, wall, key("service-"+strconv.Itoa(i%6000), fmt.Sprintf("server-%09d", i)), string(make([]byte, 60)))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		runtime.KeepAlive(s)
	}
}
