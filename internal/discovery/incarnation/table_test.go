package incarnation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func entry(t *rapid.T, id string) Entry {
	n := func(limit int, label string) int { return rapid.IntRange(0, limit).Draw(t, label) }
	return Entry{ID: id, StartedUnixMS: int64(n(2, "up")), Generation: uint32(n(1, "turn")), Condition: Condition(n(2, "condition")),
		Revision: uint64(n(3, "revision")), Address: fmt.Sprint("127.0.0.1:", n(1, "port")+1)}
}

// In whatever order and however often entries are joined, the result is the same.
func TestJoinIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := entry(t, "s"), entry(t, "s"), entry(t, "s")
		if Join(a, b) != Join(b, a) || Join(a, Join(b, c)) != Join(Join(a, b), c) || Join(a, a) != a {
			t.Fatalf("%+v %+v %+v", a, b, c)
		}
		announced := []Entry{a, b, c}
		x, y := NewTable(), NewTable()
		x.Join(0, announced)
		y.Join(0, append(slices.Clone(announced), rapid.Permutation(announced).Draw(t, "order")...))
		if fmt.Sprint(x.All()) != fmt.Sprint(y.All()) {
			t.Fatalf("%v, %v", x.All(), y.All())
		}
	})
}

// Announcements by discovery and by peers, one after another, and the entry that results.
func TestApplyDiscovery(t *testing.T) {
	type announcement struct {
		revision uint64
		cond     Condition
		up       int64
		by       string // discovery (empty), whole (a full list without s) or peer
	}
	for name, c := range map[string]struct {
		announcements []announcement
		want          string
	}{
		"drains, and an old announcement": {[]announcement{{5, Up, 0, ""}, {6, Draining, 0, ""}, {4, Up, 0, ""}}, "draining 0"},
		"drains, and is reinstated":       {[]announcement{{5, Up, 0, ""}, {6, Draining, 0, ""}, {7, Up, 0, ""}}, "up 1"},
		"reinstated, and drains again":    {[]announcement{{6, Draining, 0, ""}, {7, Up, 0, ""}, {8, Draining, 0, ""}}, "draining 1"},
		"a stale peer after a drain":      {[]announcement{{6, Draining, 0, ""}, {9, Up, 0, "peer"}}, "draining 0"},
		"a peer knows of the drain first": {[]announcement{{5, Up, 0, ""}, {6, Draining, 0, "peer"}}, "draining 0"},
		"gone, and started anew":          {[]announcement{{6, Gone, 0, ""}, {7, Up, 9, ""}}, "up 0"},
		"a peer tells of the new start":   {[]announcement{{6, Gone, 0, ""}, {2, Up, 9, "peer"}}, "up 0"},
		"an end without a start":          {[]announcement{{5, Up, 9, ""}, {6, Gone, 0, ""}}, "gone 0"},
		"left out of a full list":         {[]announcement{{5, Up, 0, ""}, {6, Up, 0, "whole"}}, "gone 0"},
		"left out of an older full list":  {[]announcement{{5, Up, 0, ""}, {4, Up, 0, "whole"}}, "up 0"},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, w := range c.announcements {
				e := Entry{ID: "s", Condition: w.cond, StartedUnixMS: w.up, Revision: w.revision}
				switch w.by {
				case "peer":
					table.Join(0, []Entry{e})
				case "whole":
					table.ApplyDiscovery(0, []Entry{{ID: "other", Revision: w.revision}}, true)
				default:
					table.ApplyDiscovery(0, []Entry{e}, false)
				}
			}
			e, _ := table.Get("s")
			if got := fmt.Sprint([]string{"up", "draining", "gone"}[e.Condition], " ", e.Generation); got != c.want {
				t.Errorf("%s", got)
			}
		})
	}
}

// A peer that sends endless IDs does not fill the memory, and tombstones expire.
func TestBounds(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxEntries {
		table.Join(0, []Entry{{ID: fmt.Sprint(i), Condition: Gone}})
	}
	if table.Len() != maxEntries {
		t.Errorf("%d entries", table.Len())
	}
	if table.ExpireTombstones(tombstoneRetention + time.Second); table.Len() != 0 {
		t.Errorf("%d are remembered", table.Len())
	}
}

// Planners read one discovery, each with any delay; they stall, return and restart, and forwarders hear them in any order.
// No forwarder undoes a drain before discovery itself has announced a later incarnation.
func TestStalePlannersUndoNoDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Entry // of discovery, by revision
		planners := []*Table{NewTable(), NewTable(), NewTable()}
		read := make([]int, len(planners)) // of the history
		forwarders := []*Table{NewTable(), NewTable()}
		newest := func() Entry {
			e := Entry{ID: "s"}
			truth := NewTable()
			for _, h := range history {
				truth.ApplyDiscovery(0, []Entry{h}, false)
			}
			if len(history) > 0 {
				e, _ = truth.Get("s")
			}
			return e
		}
		say := func(c Condition, up int64) {
			history = append(history, Entry{ID: "s", Condition: c, StartedUnixMS: up, Revision: uint64(len(history) + 1)})
		}
		say(Up, 0)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			p := rapid.IntRange(0, len(planners)-1).Draw(t, "planner")
			f := rapid.IntRange(0, len(forwarders)-1).Draw(t, "forwarder")
			was, _ := forwarders[f].Get("s")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0: // discovery announces a change
				switch last := history[len(history)-1]; {
				case last.Condition == Up:
					say(Draining, 0)
				case last.Condition == Draining && rapid.Bool().Draw(t, "called back"):
					say(Up, last.StartedUnixMS)
				case last.Condition == Draining:
					say(Gone, 0)
				default:
					say(Up, int64(len(history))) // a later start
				}
			case 1: // a planner reads the next change
				if read[p] < len(history) {
					planners[p].ApplyDiscovery(0, history[read[p]:read[p]+1], false)
					read[p]++
				}
			case 2: // it restarts, from a full list that may lag
				planners[p], read[p] = NewTable(), rapid.IntRange(1, len(history)).Draw(t, "lag")
				planners[p].ApplyDiscovery(0, history[read[p]-1:read[p]], true)
			case 3, 4: // a forwarder hears the planner
				forwarders[f].Join(0, planners[p].All())
			case 5: // the planner hears the forwarder
				planners[p].Join(0, forwarders[f].NewerThan(map[string]Entry{}, 9))
			case 6: // the forwarder polls discovery itself
				forwarders[f].ApplyDiscovery(0, history[len(history)-1:], false)
			}
			now, _ := forwarders[f].Get("s")
			if Compare(now, was) < 0 {
				t.Fatalf("went back from %+v to %+v", was, now)
			}
			if was.Condition != Up && now.Condition == Up && now.StartedUnixMS == was.StartedUnixMS && now.Generation == was.Generation {
				t.Fatalf("a drain was undone: %+v to %+v", was, now)
			}
			if truth := newest(); now.ID != "" && now.StartedUnixMS > truth.StartedUnixMS {
				t.Fatalf("holds %+v, which discovery has not told: %+v", now, truth)
			}
		}
	})
}
