package incarnation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawEntry draws an entry from few values, so that entries often differ in one field only.
func drawEntry(t *rapid.T, id string) Entry {
	n := func(limit int, label string) int { return rapid.IntRange(0, limit).Draw(t, label) }
	return Entry{ID: id, StartedUnixMS: int64(n(2, "start")), Generation: uint32(n(1, "generation")), Condition: Condition(n(2, "condition")),
		Revision: uint64(n(3, "revision")), Address: fmt.Sprint("127.0.0.1:", n(1, "port")+1)}
}

// TestJoinIsALattice checks that the result of joining entries does not depend on their order or on repetitions.
func TestJoinIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntry(t, "s"), drawEntry(t, "s"), drawEntry(t, "s")
		if Join(a, b) != Join(b, a) || Join(a, Join(b, c)) != Join(Join(a, b), c) || Join(a, a) != a {
			t.Fatalf("Join is not commutative, associative and idempotent for %+v %+v %+v", a, b, c)
		}
		announced := []Entry{a, b, c}
		x, y := NewTable(), NewTable()
		x.Join(0, announced)
		y.Join(0, append(slices.Clone(announced), rapid.Permutation(announced).Draw(t, "order")...))
		if fmt.Sprint(x.All()) != fmt.Sprint(y.All()) {
			t.Fatalf("got entries %v and %v from two orders of the same entries, want equal ones", x.All(), y.All())
		}
	})
}

// TestApplyDiscovery applies sequences of announcements by discovery and by peers and compares the resulting entry.
func TestApplyDiscovery(t *testing.T) {
	type announcement struct {
		revision uint64
		cond     Condition
		up       int64
		by       string // empty (discovery), whole (a full list without s) or peer
	}
	for name, c := range map[string]struct {
		announcements []announcement
		want          string
	}{
		"drains, and an old announcement":  {[]announcement{{5, Up, 0, ""}, {6, Draining, 0, ""}, {4, Up, 0, ""}}, "draining 0"},
		"drains, and is reinstated":        {[]announcement{{5, Up, 0, ""}, {6, Draining, 0, ""}, {7, Up, 0, ""}}, "up 1"},
		"reinstated, and drains again":     {[]announcement{{6, Draining, 0, ""}, {7, Up, 0, ""}, {8, Draining, 0, ""}}, "draining 1"},
		"a stale peer after a drain":       {[]announcement{{6, Draining, 0, ""}, {9, Up, 0, "peer"}}, "draining 0"},
		"a peer announces the drain first": {[]announcement{{5, Up, 0, ""}, {6, Draining, 0, "peer"}}, "draining 0"},
		"gone, and restarted":              {[]announcement{{6, Gone, 0, ""}, {7, Up, 9, ""}}, "up 0"},
		"a peer announces the new start":   {[]announcement{{6, Gone, 0, ""}, {2, Up, 9, "peer"}}, "up 0"},
		"gone without a start time":        {[]announcement{{5, Up, 9, ""}, {6, Gone, 0, ""}}, "gone 0"},
		"left out of a full list":          {[]announcement{{5, Up, 0, ""}, {6, Up, 0, "whole"}}, "gone 0"},
		"left out of an older full list":   {[]announcement{{5, Up, 0, ""}, {4, Up, 0, "whole"}}, "up 0"},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for _, step := range c.announcements {
				e := Entry{ID: "s", Condition: step.cond, StartedUnixMS: step.up, Revision: step.revision}
				switch step.by {
				case "peer":
					table.Join(0, []Entry{e})
				case "whole":
					table.ApplyDiscovery(0, []Entry{{ID: "other", Revision: step.revision}}, true)
				default:
					table.ApplyDiscovery(0, []Entry{e}, false)
				}
			}
			e, _ := table.Get("s")
			if got := fmt.Sprint([]string{"up", "draining", "gone"}[e.Condition], " ", e.Generation); got != c.want {
				t.Errorf("got condition and generation %s", got)
			}
		})
	}
}

// TestBounds checks that a peer that sends unlimited IDs cannot exhaust the memory, and that tombstones expire.
func TestBounds(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxEntries {
		table.Join(0, []Entry{{ID: fmt.Sprint(i), Condition: Gone}})
	}
	if table.Len() != maxEntries {
		t.Errorf("got %d entries, want maxEntries", table.Len())
	}
	if table.ExpireTombstones(tombstoneRetention + time.Second); table.Len() != 0 {
		t.Errorf("got %d entries after the retention, want 0", table.Len())
	}
}

// TestStalePlannersUndoNoDrain has planners read one discovery with arbitrary delays, stall, resume and restart, while
// forwarders receive their entries in arbitrary order. No forwarder undoes a drain before discovery has announced a later
// incarnation.
func TestStalePlannersUndoNoDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Entry // announcements of discovery, ordered by revision
		planners := []*Table{NewTable(), NewTable(), NewTable()}
		read := make([]int, len(planners)) // number of announcements each planner has read
		forwarders := []*Table{NewTable(), NewTable()}
		newest := func() Entry {
			e := Entry{ID: "s"}
			expected := NewTable()
			for _, h := range history {
				expected.ApplyDiscovery(0, []Entry{h}, false)
			}
			if len(history) > 0 {
				e, _ = expected.Get("s")
			}
			return e
		}
		announce := func(c Condition, up int64) {
			history = append(history, Entry{ID: "s", Condition: c, StartedUnixMS: up, Revision: uint64(len(history) + 1)})
		}
		announce(Up, 0)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			p := rapid.IntRange(0, len(planners)-1).Draw(t, "planner")
			f := rapid.IntRange(0, len(forwarders)-1).Draw(t, "forwarder")
			before, _ := forwarders[f].Get("s")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0: // discovery announces a change
				switch last := history[len(history)-1]; {
				case last.Condition == Up:
					announce(Draining, 0)
				case last.Condition == Draining && rapid.Bool().Draw(t, "reinstated"):
					announce(Up, last.StartedUnixMS)
				case last.Condition == Draining:
					announce(Gone, 0)
				default:
					announce(Up, int64(len(history))) // a later start
				}
			case 1: // a planner reads the next change
				if read[p] < len(history) {
					planners[p].ApplyDiscovery(0, history[read[p]:read[p]+1], false)
					read[p]++
				}
			case 2: // a planner restarts with a full list that may lag
				planners[p], read[p] = NewTable(), rapid.IntRange(1, len(history)).Draw(t, "lag")
				planners[p].ApplyDiscovery(0, history[read[p]-1:read[p]], true)
			case 3, 4: // a forwarder receives the entries of the planner
				forwarders[f].Join(0, planners[p].All())
			case 5: // the planner receives the entries of the forwarder
				planners[p].Join(0, forwarders[f].NewerThan(map[string]Entry{}, 9))
			case 6: // the forwarder polls discovery itself
				forwarders[f].ApplyDiscovery(0, history[len(history)-1:], false)
			}
			after, _ := forwarders[f].Get("s")
			if Compare(after, before) < 0 {
				t.Fatalf("entry regressed from %+v to %+v", before, after)
			}
			if before.Condition != Up && after.Condition == Up && after.StartedUnixMS == before.StartedUnixMS && after.Generation == before.Generation {
				t.Fatalf("drain undone: entry changed from %+v to %+v", before, after)
			}
			if expected := newest(); after.ID != "" && after.StartedUnixMS > expected.StartedUnixMS {
				t.Fatalf("got entry %+v, want a start not later than that announced by discovery: %+v", after, expected)
			}
		}
	})
}
