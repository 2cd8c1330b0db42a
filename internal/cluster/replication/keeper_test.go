package replication

import (
	"testing"
	"time"
)

// Which records a keeper takes, and why not.
func TestRefusals(t *testing.T) {
	const clock = int64(time.Hour)
	s := Stream{Name: "a", Up: 5}
	for name, c := range map[string]struct {
		before func(*Keeper)
		origin bool
		at     int64
		why    string // "": they are taken
		held   bool   // it has them already, and says that they last
	}{
		"a stream": {func(*Keeper) {}, true, clock, "", false},
		"of a life behind a later one": {func(k *Keeper) {
			k.SetIncarnations(0, []Incarnation{{Candidate: Candidate{Name: "a"}, Up: 6, Lives: true}})
		}, true, clock, LaterLife, false},
		"the same, copied on by others": {func(k *Keeper) {
			k.SetIncarnations(0, []Incarnation{{Candidate: Candidate{Name: "a"}, Up: 6, Lives: true}})
		}, false, clock, "", false},
		"a later life offered first": {func(k *Keeper) { k.Offered(0, "a", &Offer{Stream: Stream{Name: "a", Up: 6}, Origin: true}) }, true, clock, LaterLife, false},
		"nine tenths are full":       {func(k *Keeper) { k.Found(Stream{Name: "b", Up: 1}, 1, 2, 950, clock) }, true, clock, "no room is left", false},
		"nine tenths, a stream held": {func(k *Keeper) { k.Found(s, 1, 2, 950, clock) }, true, clock, "", false},
		"all is full":                {func(k *Keeper) { k.Found(s, 1, 2, 1000, clock) }, true, clock, "no room is left", false},
		"too old":                    {func(*Keeper) {}, false, clock - int64(2*time.Minute), "older than what is kept", false},
		"held already":               {func(k *Keeper) { k.Found(s, 1, 20, 1, clock) }, true, clock, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			k := NewKeeper(Candidate{Name: "n"}, 2, 1000, time.Minute)
			c.before(k)
			ok, out := k.Takes("a", &Batch{Stream: s, First: 10, N: 2, Origin: c.origin}, c.at, clock)
			if ok != (c.why == "" && !c.held) || !ok && out[0].What.(*Ack).Refused != c.why {
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
	lives := func(up int64, livesToo bool) (l []Incarnation) {
		for _, p := range all[1:] {
			l = append(l, Incarnation{Candidate: p, Up: 1, Lives: true})
		}
		return append(l, Incarnation{Candidate: all[0], Up: up, Lives: livesToo})
	}
	s := Stream{Name: "n0", Up: 1}
	offered := func(k *Keeper, until time.Duration) (to map[string]bool) {
		to = map[string]bool{}
		for now := time.Duration(0); now <= until; now += time.Second {
			for _, o := range k.Tick(now) {
				if _, ok := o.What.(*Offer); ok {
					to[o.To] = true
				}
			}
		}
		return to
	}
	keeper := func(up int64, livesToo bool) *Keeper {
		k := NewKeeper(all[1], 2, 1<<30, 0)
		k.SetIncarnations(0, lives(1, true))
		k.Found(s, 1, 10, 1, 1)
		k.SetIncarnations(0, lives(up, livesToo))
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
	other := NewKeeper(all[2], 2, 1<<30, 0)
	other.SetIncarnations(0, lives(1, true))
	other.Found(s, 1, 10, 1, 1)
	other.SetIncarnations(0, lives(1, false))
	offered(other, 4*time.Second)
	offered(dead, 4*time.Second)
	begins := func(k *Keeper, partner string) time.Duration {
		k.Offered(0, partner, &Offer{Stream: s, Ranges: Ranges{{From: 1, To: 10}}})
		for _, p := range all {
			k.Got(0, p.Name, &Have{Stream: s})
		}
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			if len(k.Jobs(now)) > 0 {
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
