package distribution

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var worldServices = []string{"", "a", "b"}

// twoRegions is two regions of a root, a relay and two nodes each; the roots know each other.
func twoRegions(w *world) {
	var roots []*holder
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

// anyOf draws a holder that is of a kind.
func (w *world) anyOf(t *rapid.T, fits func(*holder) bool) *holder {
	var all []*holder
	for _, h := range w.holders {
		if fits(h) {
			all = append(all, h)
		}
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, "holder")]
}

func isControl(h *holder) bool { return h.role == RoleControl }
func isNode(h *holder) bool    { return h.role == RoleNode }
func isAny(*holder) bool       { return true }

func drawKey(t *rapid.T) Key {
	return Key{Service: rapid.SampledFrom(worldServices).Draw(t, "service"), Kind: KindServer, Name: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "name")}
}

// actions are what happens in a world. The regions are apart while cut is true.
func actions(w *world, cut *bool) map[string]func(*rapid.T) {
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
				for _, h := range w.holders {
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
			h.saved = append(h.saved, h.disk())
		},
		"old disk": func(t *rapid.T) {
			if h := w.anyOf(t, isAny); len(h.saved) > 0 {
				h.restart(h.saved[rapid.IntRange(0, len(h.saved)-1).Draw(t, "disk")])
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
			maps.DeleteFunc(h.floor, func(k Key, _ Entry) bool { return !slices.Contains(h.services, k.Service) })
		},
		"a day": func(t *rapid.T) {
			*cut = false
			w.converge()
			w.now += 25 * time.Hour
			w.keepCoveredDisks()
			for _, h := range w.holders {
				if rapid.Bool().Draw(t, "prunes") {
					h.prune(ClockAt(w.wall().Add(-24 * time.Hour)))
				}
			}
		},
	}
}

// keepCoveredDisks drops old disks with writes that nobody received: beyond the retention of deletions these
// are outside of what is promised.
func (w *world) keepCoveredDisks() {
	vector := Vector{}
	for _, h := range w.holders {
		if h.role == RoleControl {
			vector.Join(h.store.Vector())
		}
	}
	for _, h := range w.holders {
		var kept []*disk
		for _, d := range h.saved {
			covered := true
			for _, e := range d.entries {
				covered = covered && vector.Covers(e)
			}
			if covered {
				kept = append(kept, d)
			}
		}
		h.saved = kept
	}
}

// TestStoresConverge has writes, losses, duplicates, lost and old disks and regions apart in any order. No holder goes back in
// any key; after healing each holds the winners of its services, and what was deleted stays so.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf)
		twoRegions(w)
		cut := false
		t.Repeat(actions(w, &cut))
		best := w.winners()
		w.converge()
		w.check(w.after(best))
	})
}

// after returns the winners expected by those of before: writes that were made again since hold the same values in greater
// versions.
func (w *world) after(best map[Key]Entry) map[Key]Entry {
	for k, e := range w.winners() {
		if before, ok := best[k]; ok && Compare(before, e) < 0 {
			best[k] = e
		}
	}
	return best
}
