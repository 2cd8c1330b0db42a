package replication

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Each case is a batch that the table admits, or rejects for a reason.
func TestAdmitBatch(t *testing.T) {
	const clock = int64(time.Hour)
	s := Stream{Name: "a", Incarnation: 5}
	for name, c := range map[string]struct {
		prepare func(*ReplicaTable)
		origin  bool
		at      int64
		reason  string // "" if the batch is admitted or acknowledged
		hasAll  bool   // the records are stored already and are acknowledged again
	}{
		"a new stream": {func(*ReplicaTable) {}, true, clock, "", false},
		"a superseded incarnation": {func(table *ReplicaTable) {
			table.SetNodes(0, []Node{{Candidate: Candidate{Name: "a"}, Incarnation: 6, IsLive: true}})
		}, true, clock, ReasonLaterIncarnation, false},
		"a superseded incarnation, copied by another node": {func(table *ReplicaTable) {
			table.SetNodes(0, []Node{{Candidate: Candidate{Name: "a"}, Incarnation: 6, IsLive: true}})
		}, false, clock, "", false},
		"a later incarnation was offered": {func(table *ReplicaTable) {
			table.HandleOffer(0, "a", &Offer{Stream: Stream{Name: "a", Incarnation: 6}, FromOrigin: true})
		}, true, clock, ReasonLaterIncarnation, false},
		"nine tenths are full, a new stream":   {func(table *ReplicaTable) { table.RecordsStored(Stream{Name: "b", Incarnation: 1}, 1, 2, 950, clock) }, true, clock, "no room is left", false},
		"nine tenths are full, a known stream": {func(table *ReplicaTable) { table.RecordsStored(s, 1, 2, 950, clock) }, true, clock, "", false},
		"full":                                 {func(table *ReplicaTable) { table.RecordsStored(s, 1, 2, 1000, clock) }, true, clock, "no room is left", false},
		"older than the retention":             {func(*ReplicaTable) {}, false, clock - int64(2*time.Minute), "older than what is kept", false},
		"stored already":                       {func(table *ReplicaTable) { table.RecordsStored(s, 1, 20, 1, clock) }, true, clock, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewReplicaTable(Candidate{Name: "n"}, 2, 1000, time.Minute)
			c.prepare(table)
			ok, out := table.AdmitBatch("a", &Batch{Stream: s, First: 10, Count: 2, FromOrigin: c.origin}, c.at, clock)
			if ok != (c.reason == "" && !c.hasAll) || !ok && out[0].Message.(*Ack).RejectReason != c.reason {
				t.Errorf("AdmitBatch: got %v with replies %+v", ok, out)
			}
		})
	}
}

// After the incarnation of a stream ends, its holders offer the stream only when the node had time to restart, and
// start to copy it at staggered times.
func TestOrphanedStream(t *testing.T) {
	all := testCandidates(6)
	for i := range all {
		all[i].Machine = all[i].Name
	}
	nodesWith := func(incarnation int64, isLive bool) (nodes []Node) {
		for _, c := range all[1:] {
			nodes = append(nodes, Node{Candidate: c, Incarnation: 1, IsLive: true})
		}
		return append(nodes, Node{Candidate: all[0], Incarnation: incarnation, IsLive: isLive})
	}
	s := Stream{Name: "n0", Incarnation: 1}
	offered := func(table *ReplicaTable, until time.Duration) (to map[string]bool) {
		to = map[string]bool{}
		for now := time.Duration(0); now <= until; now += time.Second {
			for _, o := range table.Tick(now) {
				if _, ok := o.Message.(*Offer); ok {
					to[o.To] = true
				}
			}
		}
		return to
	}
	newTable := func(incarnation int64, isLive bool) *ReplicaTable {
		table := NewReplicaTable(all[1], 2, 1<<30, 0)
		table.SetNodes(0, nodesWith(1, true))
		table.RecordsStored(s, 1, 10, 1, 1)
		table.SetNodes(0, nodesWith(incarnation, isLive))
		return table
	}
	if to := offered(newTable(1, true), 10*time.Second); len(to) > 0 {
		t.Errorf("stream of a live node: got offers to %v, want none", to)
	}
	if to := offered(newTable(1, false), 2*time.Second); len(to) > 0 {
		t.Errorf("stream of a dead node within 2 s, before a restart is ruled out: got offers to %v, want none", to)
	}
	dead := newTable(1, false)
	if to := offered(dead, 10*time.Second); len(to) < 2 || to["n0"] {
		t.Errorf("stream of a dead node: got offers to %v, want at least 2 nodes without n0", to)
	}
	if to := offered(newTable(2, true), 10*time.Second); !to["n0"] {
		t.Errorf("earlier stream of a restarted node: got offers to %v, want n0 among them", to)
	}
	// Two holders that know each other start at different times.
	other := NewReplicaTable(all[2], 2, 1<<30, 0)
	other.SetNodes(0, nodesWith(1, true))
	other.RecordsStored(s, 1, 10, 1, 1)
	other.SetNodes(0, nodesWith(1, false))
	offered(other, 4*time.Second)
	offered(dead, 4*time.Second)
	begins := func(table *ReplicaTable, partner string) time.Duration {
		table.HandleOffer(0, partner, &Offer{Stream: s, Ranges: Ranges{{From: 1, To: 10}}})
		for _, c := range all {
			table.HandleMessage(0, c.Name, &Inventory{Stream: s})
		}
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if len(table.CopyTasks(now)) > 0 {
				return now
			}
		}
		return 0
	}
	a, b := begins(dead, "n2"), begins(other, "n1")
	if a == 0 || b == 0 || a-b < time.Second/2 && b-a < time.Second/2 {
		t.Errorf("copies by two holders: got starts at %v and %v (0: none), want both, at least 0.5 s apart", a, b)
	}
}

// TestOffersTakeBoundedMemory guards against offers under ever new names, each of which left an entry for good.
func TestOffersTakeBoundedMemory(t *testing.T) {
	table := NewReplicaTable(Candidate{Name: "n"}, 2, 1000, time.Minute)
	offer := func(name string, incarnation int64) {
		table.HandleOffer(0, "f", &Offer{Stream: Stream{Name: name, Incarnation: incarnation}, FromOrigin: true})
	}
	offer(strings.Repeat("x", maxNameBytes+1), 1)
	offer("first", 1)
	for i := range 2 * maxReportedNames {
		offer(fmt.Sprint(i), 1)
	}
	if n := len(table.highestIncarnation); n != maxReportedNames {
		t.Errorf("got %d names, want %d", n, maxReportedNames)
	}
	if offer("first", 2); table.highestIncarnation["first"] != 2 {
		t.Error("later incarnation of a known name ignored")
	}
}
