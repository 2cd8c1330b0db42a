package replication

import (
	"testing"
	"time"
)

// Which records a keeper takes, and why not.
func TestRefusals(t *testing.T) {
	const clock = int64(time.Hour)
	s := Stream{Name: "a", Incarnation: 5}
	for name, c := range map[string]struct {
		before func(*ReplicaTable)
		origin bool
		at     int64
		why    string // "": they are taken
		held   bool   // it has them already, and says that they last
	}{
		"a stream": {func(*ReplicaTable) {}, true, clock, "", false},
		"of a life behind a later one": {func(k *ReplicaTable) {
			k.SetNodes(0, []Node{{Candidate: Candidate{Name: "a"}, Incarnation: 6, IsLive: true}})
		}, true, clock, ReasonLaterIncarnation, false},
		"the same, copied on by others": {func(k *ReplicaTable) {
			k.SetNodes(0, []Node{{Candidate: Candidate{Name: "a"}, Incarnation: 6, IsLive: true}})
		}, false, clock, "", false},
		"a later life offered first": {func(k *ReplicaTable) {
			k.HandleOffer(0, "a", &Offer{Stream: Stream{Name: "a", Incarnation: 6}, FromOrigin: true})
		}, true, clock, ReasonLaterIncarnation, false},
		"nine tenths are full":       {func(k *ReplicaTable) { k.RecordsStored(Stream{Name: "b", Incarnation: 1}, 1, 2, 950, clock) }, true, clock, "no room is left", false},
		"nine tenths, a stream held": {func(k *ReplicaTable) { k.RecordsStored(s, 1, 2, 950, clock) }, true, clock, "", false},
		"all is full":                {func(k *ReplicaTable) { k.RecordsStored(s, 1, 2, 1000, clock) }, true, clock, "no room is left", false},
		"too old":                    {func(*ReplicaTable) {}, false, clock - int64(2*time.Minute), "older than what is kept", false},
		"held already":               {func(k *ReplicaTable) { k.RecordsStored(s, 1, 20, 1, clock) }, true, clock, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			k := NewReplicaTable(Candidate{Name: "n"}, 2, 1000, time.Minute)
			c.before(k)
			ok, out := k.AdmitBatch("a", &Batch{Stream: s, First: 10, Count: 2, FromOrigin: c.origin}, c.at, clock)
			if ok != (c.why == "" && !c.held) || !ok && out[0].Message.(*Ack).RejectReason != c.why {
				t.Errorf("taken: %v, %+v", ok, out)
			}
		})
	}
}

// The life of a stream's node ends: who offers it to whom, and when each holder begins to copy it on.
func TestOrphans(t *testing.T) {
	all := candidates(6)
	for i := range all {
		all[i].Machine = all[i].Name
	}
	lives := func(up int64, livesToo bool) (l []Node) {
		for _, p := range all[1:] {
			l = append(l, Node{Candidate: p, Incarnation: 1, IsLive: true})
		}
		return append(l, Node{Candidate: all[0], Incarnation: up, IsLive: livesToo})
	}
	s := Stream{Name: "n0", Incarnation: 1}
	offered := func(k *ReplicaTable, until time.Duration) (to map[string]bool) {
		to = map[string]bool{}
		for now := time.Duration(0); now <= until; now += time.Second {
			for _, o := range k.Tick(now) {
				if _, ok := o.Message.(*Offer); ok {
					to[o.To] = true
				}
			}
		}
		return to
	}
	keeper := func(up int64, livesToo bool) *ReplicaTable {
		k := NewReplicaTable(all[1], 2, 1<<30, 0)
		k.SetNodes(0, lives(1, true))
		k.RecordsStored(s, 1, 10, 1, 1)
		k.SetNodes(0, lives(up, livesToo))
		return k
	}
	if to := offered(keeper(1, true), 10*time.Second); len(to) > 0 {
		t.Errorf("a living node's stream was offered to %v", to)
	}
	if to := offered(keeper(1, false), 2*time.Second); len(to) > 0 {
		t.Errorf("offered to %v before the node could be back", to)
	}
	dead := keeper(1, false)
	if to := offered(dead, 10*time.Second); len(to) < 2 || to["n0"] {
		t.Errorf("a dead node's stream was offered to %v", to)
	}
	if to := offered(keeper(2, true), 10*time.Second); !to["n0"] {
		t.Errorf("a returned node was not offered what it had kept: %v", to)
	}
	// Two holders know of each other: one begins at once, the other after it.
	other := NewReplicaTable(all[2], 2, 1<<30, 0)
	other.SetNodes(0, lives(1, true))
	other.RecordsStored(s, 1, 10, 1, 1)
	other.SetNodes(0, lives(1, false))
	offered(other, 4*time.Second)
	offered(dead, 4*time.Second)
	begins := func(k *ReplicaTable, partner string) time.Duration {
		k.HandleOffer(0, partner, &Offer{Stream: s, Ranges: Ranges{{From: 1, To: 10}}})
		for _, p := range all {
			k.HandleMessage(0, p.Name, &Inventory{Stream: s})
		}
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if len(k.CopyJobs(now)) > 0 {
				return now
			}
		}
		return 0
	}
	a, b := begins(dead, "n2"), begins(other, "n1")
	if a == 0 || b == 0 || a-b < time.Second/2 && b-a < time.Second/2 {
		t.Errorf("one copies from %v on, the other from %v", a, b)
	}
}
