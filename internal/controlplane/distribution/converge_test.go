package distribution

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var simulatedServices = []string{"", "a", "b"}

// addTwoRegions adds two regions with a root, a relay and two nodes each. The roots subscribe to each other.
func addTwoRegions(w *simulation) {
	var roots []*process
	for _, region := range []string{"east", "west"} {
		root := w.add(region+"-root", region, RoleControl)
		relay := w.add(region+"-relay", region, RoleControl)
		roots = append(roots, root)
		w.connectable(relay, root)
		w.connectable(w.add(region+"-node-1", region, RoleNode, "", "a"), relay, root)
		w.connectable(w.add(region+"-node-2", region, RoleNode, "", "a", "b"), relay)
	}
	w.connectable(roots[0], roots[1])
	w.connectable(roots[1], roots[0])
}

// anyOf draws one of the processes that satisfy a predicate.
func (w *simulation) anyOf(t *rapid.T, fits func(*process) bool) *process {
	var all []*process
	for _, h := range w.processes {
		if fits(h) {
			all = append(all, h)
		}
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
}

func isControl(h *process) bool { return h.role == RoleControl }
func isNode(h *process) bool    { return h.role == RoleNode }
func isAny(*process) bool       { return true }

func drawKey(t *rapid.T) Key {
	return Key{Service: rapid.SampledFrom(simulatedServices).Draw(t, "service"), Kind: KindServer, Name: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "name")}
}

// actions returns the random events of a simulation. The regions are partitioned while cut is true.
func actions(w *simulation, cut *bool) map[string]func(*rapid.T) {
	mayOpen := func(l *link) bool { return !*cut || l.subscriber.region == l.server.region }
	write := func(deleted bool) func(*rapid.T) {
		return func(t *rapid.T) {
			h := w.anyOf(t, isControl)
			c := Change{Key: drawKey(t), Deleted: deleted}
			if !deleted {
				c.Value = []byte(fmt.Sprintf("%s %d", h.name, rapid.IntRange(0, 1000).Draw(t, "value")))
			}
			h.write(c)
		}
	}
	link := func(t *rapid.T) *link { return w.links[rapid.IntRange(0, len(w.links)-1).Draw(t, "link")] }
	deliver := func(t *rapid.T) {
		l := link(t)
		w.deliver(l, rapid.Bool().Draw(t, "to the server"), rapid.IntRange(0, 3).Draw(t, "twice") == 0)
	}
	pump := func(t *rapid.T) { w.anyOf(t, isAny).sendDue(rapid.IntRange(1, 3).Draw(t, "batches")) }
	return map[string]func(*rapid.T){
		"put":       write(false),
		"put 2":     write(false),
		"delete":    write(true),
		"deliver":   deliver,
		"deliver 2": deliver,
		"deliver 3": deliver,
		"deliver 4": deliver,
		"pump":      pump,
		"pump 2":    pump,
		"pump 3":    pump,
		"connect": func(t *rapid.T) {
			if l := link(t); mayOpen(l) {
				w.open(l)
			}
		},
		"connect all": func(t *rapid.T) {
			for _, l := range w.links {
				if mayOpen(l) {
					w.open(l)
				}
			}
		},
		"disconnect": func(t *rapid.T) { w.close(link(t)) },
		"flow": func(t *rapid.T) {
			for range 5 {
				for _, h := range w.processes {
					h.sendDue(5)
				}
				for _, l := range w.links {
					for w.deliver(l, true, false) || w.deliver(l, false, false) {
					}
				}
			}
		},
		"regions apart": func(t *rapid.T) {
			*cut = !*cut
			for _, l := range w.links {
				if !mayOpen(l) {
					w.close(l)
				}
			}
		},
		"time": func(t *rapid.T) {
			w.now += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
		},
		"restart": func(t *rapid.T) {
			h := w.anyOf(t, isAny)
			h.restart(h.disk())
		},
		"disk lost": func(t *rapid.T) { w.anyOf(t, isAny).restart(nil) },
		"save": func(t *rapid.T) {
			h := w.anyOf(t, isAny)
			h.savedDisks = append(h.savedDisks, h.disk())
		},
		"old disk": func(t *rapid.T) {
			if h := w.anyOf(t, isAny); len(h.savedDisks) > 0 {
				h.restart(h.savedDisks[rapid.IntRange(0, len(h.savedDisks)-1).Draw(t, "disk")])
			}
		},
		"node's services": func(t *rapid.T) {
			h := w.anyOf(t, isNode)
			h.services = rapid.SampledFrom([][]string{{""}, {"", "a"}, {"", "b"}, {"", "a", "b"}}).Draw(t, "services")
			for _, l := range w.links {
				if l.subscriber == h {
					w.close(l)
				}
			}
			h.store.SetScope(h.services)
			maps.DeleteFunc(h.newest, func(k Key, _ Entry) bool { return !slices.Contains(h.services, k.Service) })
		},
		"a day": func(t *rapid.T) {
			*cut = false
			w.converge()
			w.now += 25 * time.Hour
			w.discardUncoveredDisks()
			for _, h := range w.processes {
				if rapid.Bool().Draw(t, "prunes") {
					h.prune(ClockAt(w.wall().Add(-24 * time.Hour)))
				}
			}
		},
	}
}

// discardUncoveredDisks discards saved disks with writes that no control process has received: after the retention of deletions,
// convergence is not guaranteed for them.
func (w *simulation) discardUncoveredDisks() {
	vector := Vector{}
	for _, h := range w.processes {
		if h.role == RoleControl {
			vector.Join(h.store.Vector())
		}
	}
	for _, h := range w.processes {
		var kept []*disk
		for _, d := range h.savedDisks {
			covered := true
			for _, e := range d.entries {
				covered = covered && vector.Covers(e)
			}
			if covered {
				kept = append(kept, d)
			}
		}
		h.savedDisks = kept
	}
}

// TestStoresConverge applies writes, message losses and duplicates, lost and old disks, and partitions in random order. No
// process may replace a key's entry by an older version. After healing, each process must have the winning entries of its
// services, and deleted keys must stay deleted.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t.Fatalf)
		addTwoRegions(w)
		cut := false
		t.Repeat(actions(w, &cut))
		best := w.winners()
		w.converge()
		w.check(w.expectedAfter(best))
	})
}

// expectedAfter returns the expected winners, from the winners before healing: entries that were rewritten since have the same values
// with greater versions.
func (w *simulation) expectedAfter(best map[Key]Entry) map[Key]Entry {
	for k, e := range w.winners() {
		if before, ok := best[k]; ok && Compare(before, e) < 0 {
			best[k] = e
		}
	}
	return best
}
