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
func addTwoRegions(sim *simulation) {
	var roots []*process
	for _, region := range []string{"east", "west"} {
		root := sim.add(region+"-root", region, RoleControl)
		relay := sim.add(region+"-relay", region, RoleControl)
		roots = append(roots, root)
		sim.addLinks(relay, root)
		sim.addLinks(sim.add(region+"-node-1", region, RoleNode, "", "a"), relay, root)
		sim.addLinks(sim.add(region+"-node-2", region, RoleNode, "", "a", "b"), relay)
	}
	sim.addLinks(roots[0], roots[1])
	sim.addLinks(roots[1], roots[0])
}

// anyOf draws one of the processes that satisfy a predicate.
func (sim *simulation) anyOf(t *rapid.T, matches func(*process) bool) *process {
	var all []*process
	for _, p := range sim.processes {
		if matches(p) {
			all = append(all, p)
		}
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(t, "process")]
}

func isControl(p *process) bool { return p.role == RoleControl }
func isNode(p *process) bool    { return p.role == RoleNode }
func isAny(*process) bool       { return true }

func drawKey(t *rapid.T) Key {
	return Key{Service: rapid.SampledFrom(simulatedServices).Draw(t, "service"), Kind: KindServer, Name: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "name")}
}

// actions returns the random events of a simulation. The regions are partitioned while cut is true.
func actions(sim *simulation, cut *bool) map[string]func(*rapid.T) {
	mayOpen := func(l *link) bool { return !*cut || l.subscriber.region == l.server.region }
	write := func(deleted bool) func(*rapid.T) {
		return func(t *rapid.T) {
			p := sim.anyOf(t, isControl)
			c := Change{Key: drawKey(t), Deleted: deleted}
			if !deleted {
				c.Value = []byte(fmt.Sprintf("%s %d", p.name, rapid.IntRange(0, 1000).Draw(t, "value")))
			}
			p.write(c)
		}
	}
	link := func(t *rapid.T) *link { return sim.links[rapid.IntRange(0, len(sim.links)-1).Draw(t, "link")] }
	deliver := func(t *rapid.T) {
		l := link(t)
		sim.deliver(l, rapid.Bool().Draw(t, "to the server"), rapid.IntRange(0, 3).Draw(t, "twice") == 0)
	}
	pump := func(t *rapid.T) { sim.anyOf(t, isAny).sendDue(rapid.IntRange(1, 3).Draw(t, "batches")) }
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
				sim.open(l)
			}
		},
		"connect all": func(t *rapid.T) {
			for _, l := range sim.links {
				if mayOpen(l) {
					sim.open(l)
				}
			}
		},
		"disconnect": func(t *rapid.T) { sim.close(link(t)) },
		"flow": func(t *rapid.T) {
			for range 5 {
				for _, p := range sim.processes {
					p.sendDue(5)
				}
				for _, l := range sim.links {
					for sim.deliver(l, true, false) || sim.deliver(l, false, false) {
					}
				}
			}
		},
		"regions apart": func(t *rapid.T) {
			*cut = !*cut
			for _, l := range sim.links {
				if !mayOpen(l) {
					sim.close(l)
				}
			}
		},
		"time": func(t *rapid.T) {
			sim.now += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
		},
		"restart": func(t *rapid.T) {
			p := sim.anyOf(t, isAny)
			p.restart(p.disk())
		},
		"disk lost": func(t *rapid.T) { sim.anyOf(t, isAny).restart(nil) },
		"save": func(t *rapid.T) {
			p := sim.anyOf(t, isAny)
			p.savedDisks = append(p.savedDisks, p.disk())
		},
		"old disk": func(t *rapid.T) {
			if p := sim.anyOf(t, isAny); len(p.savedDisks) > 0 {
				p.restart(p.savedDisks[rapid.IntRange(0, len(p.savedDisks)-1).Draw(t, "disk")])
			}
		},
		"node's services": func(t *rapid.T) {
			p := sim.anyOf(t, isNode)
			p.services = rapid.SampledFrom([][]string{{""}, {"", "a"}, {"", "b"}, {"", "a", "b"}}).Draw(t, "services")
			for _, l := range sim.links {
				if l.subscriber == p {
					sim.close(l)
				}
			}
			p.store.SetScope(p.services)
			maps.DeleteFunc(p.newest, func(k Key, _ Entry) bool { return !slices.Contains(p.services, k.Service) })
		},
		"a day": func(t *rapid.T) {
			*cut = false
			sim.converge()
			sim.now += 25 * time.Hour
			sim.discardUncoveredDisks()
			for _, p := range sim.processes {
				if rapid.Bool().Draw(t, "prunes") {
					p.prune(ClockAt(sim.wall().Add(-24 * time.Hour)))
				}
			}
		},
	}
}

// discardUncoveredDisks discards saved disks with writes that no control process has received: after the retention of deletions,
// convergence is not guaranteed for them.
func (sim *simulation) discardUncoveredDisks() {
	vector := Vector{}
	for _, p := range sim.processes {
		if p.role == RoleControl {
			vector.Join(p.store.Vector())
		}
	}
	for _, p := range sim.processes {
		var retained []*disk
		for _, d := range p.savedDisks {
			isCovered := true
			for _, e := range d.entries {
				isCovered = isCovered && vector.Covers(e)
			}
			if isCovered {
				retained = append(retained, d)
			}
		}
		p.savedDisks = retained
	}
}

// TestStoresConverge applies writes, message losses and duplicates, lost and old disks, and partitions in random order. No
// process may replace a key's entry by an older version. After healing, each process must have the winning entries of its
// services, and deleted keys must stay deleted.
func TestStoresConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t.Fatalf)
		addTwoRegions(sim)
		cut := false
		t.Repeat(actions(sim, &cut))
		winners := sim.winners()
		sim.converge()
		sim.check(sim.expectedAfter(winners))
	})
}

// expectedAfter returns the expected winners, from the winners before healing: entries that were rewritten since have the same values
// with greater versions.
func (sim *simulation) expectedAfter(winners map[Key]Entry) map[Key]Entry {
	for k, e := range sim.winners() {
		if before, ok := winners[k]; ok && Compare(before, e) < 0 {
			winners[k] = e
		}
	}
	return winners
}
