package readiness

import (
	"math/bits"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// server is the model of one server.
type server struct {
	ready, listed bool
	labels        uint64
	placements    uint64
}

// compare checks the table against the model, and its counts against a walk over the model.
func compare(t *rapid.T, table *Table, model []server) {
	ready, listed := 0, 0
	var labelled, placed [wordBits]int
	var unlisted []int
	for s, m := range model {
		if table.Ready(s) != m.ready || table.Listed(s) != m.listed || table.Labels(s) != m.labels || table.Placements(s) != m.placements {
			t.Fatalf("server %d: got ready %v, listed %v, labels %x, placements %x, want %v", s, table.Ready(s), table.Listed(s), table.Labels(s), table.Placements(s), m)
		}
		if m.listed {
			listed++
		}
		if !m.ready {
			continue
		}
		ready++
		if !m.listed {
			unlisted = append(unlisted, s)
		}
		for l := m.labels; l != 0; l &= l - 1 {
			labelled[bits.TrailingZeros64(l)]++
		}
		for word := m.placements; word != 0; word &= word - 1 {
			placed[bits.TrailingZeros64(word)]++
		}
	}
	if table.Len() != len(model) || table.ReadyCount() != ready || table.ListedCount() != listed || table.labels.ready != labelled ||
		table.placements.ready != placed {
		t.Fatalf("got %d servers, %d ready, %d listed, labels %v, placements %v; want %d, %d, %d, %v, %v", table.Len(), table.ReadyCount(),
			table.ListedCount(), table.labels.ready, table.placements.ready, len(model), ready, listed, labelled, placed)
	}
	if got := slices.Collect(table.ReadyUnlisted().All()); !slices.Equal(got, unlisted) {
		t.Fatalf("ready and unlisted servers: got %v, want %v", got, unlisted)
	}
}

// TestCountsMatchWalk checks that the counts equal those of a walk over the model after any change.
func TestCountsMatchWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		var model []server
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			s := rapid.IntRange(0, len(model)).Draw(t, "server")
			copied, before := table.Clone(), slices.Clone(model)
			change := rapid.IntRange(0, 5).Draw(t, "change")
			switch {
			case s == len(model):
				table.Add(s)
				model = append(model, server{})
			case change == 0:
				table.Add(s)
				model[s] = server{}
			case change == 1:
				wasReady := model[s].ready
				model[s].ready = rapid.Bool().Draw(t, "ready")
				if got := table.SetReady(s, model[s].ready); got != wasReady {
					t.Fatalf("SetReady of server %d: got previous value %v, want %v", s, got, wasReady)
				}
			case change == 2:
				model[s].listed = rapid.Bool().Draw(t, "listed")
				table.SetListed(s, model[s].listed)
			case change == 3:
				model[s].labels = rapid.SampledFrom([]uint64{0, 1, 1<<63 | 6, 4}).Draw(t, "labels")
				table.SetLabels(s, model[s].labels)
			case change == 4:
				model[s].placements = rapid.SampledFrom([]uint64{0, 1, 1<<63 | 6, 4}).Draw(t, "placements")
				table.SetPlacements(s, model[s].placements)
			default:
				table.BeginUpdate()
				table.UnlistAll()
				for i := range model {
					model[i].listed = false
				}
			}
			compare(t, &table, model)
			compare(t, &copied, before)
		}
	})
}

func TestLabelCount(t *testing.T) {
	var table Table
	for s, labels := range []uint64{1, 2, 3, 8} {
		table.Add(s)
		table.SetReady(s, s < 3)
		table.SetLabels(s, labels)
	}
	for labels, want := range map[uint64]int{0: 0, 1: 2, 2: 2, 3: 4, 8: 0, 9: 2} {
		if got := table.ReadyWithLabels(labels); got != want {
			t.Errorf("ready servers with labels %b: got %d, want %d", labels, got, want)
		}
	}
}

// TestWasListed checks that WasListed reports the state before an update, whatever the update does to the server.
func TestWasListed(t *testing.T) {
	for name, c := range map[string]struct {
		before bool // listed before
		list   func(*Table)
		want   bool
		first  bool // WasListed is first called after the update has changed the server
	}{
		"listed, listed again":        {true, func(t *Table) { t.SetListed(0, true) }, true, false},
		"listed, removed":             {true, func(t *Table) { t.SetListed(0, false) }, true, false},
		"listed, omitted":             {true, func(t *Table) { t.UnlistAll() }, true, true},
		"listed, omitted, listed":     {true, func(t *Table) { t.UnlistAll(); t.SetListed(0, true) }, true, true},
		"listed, index reused":        {true, func(t *Table) { t.Add(0) }, true, true},
		"not listed, listed":          {false, func(t *Table) { t.SetListed(0, true) }, false, false},
		"not listed, listed, omitted": {false, func(t *Table) { t.SetListed(0, true); t.SetListed(0, false) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			var table Table
			table.Add(0)
			table.SetListed(0, c.before)
			table.BeginUpdate()
			if !c.first && table.WasListed(0) != c.before {
				t.Errorf("WasListed at the start of the update: got %v", !c.before)
			}
			if c.list(&table); table.WasListed(0) != c.want {
				t.Errorf("WasListed: got %v, want %v", table.WasListed(0), c.want)
			}
			listed := table.Listed(0)
			if table.BeginUpdate(); table.WasListed(0) != listed || table.WasListed(1) {
				t.Errorf("WasListed in the next update: got %v, want %v", table.WasListed(0), listed)
			}
		})
	}
}
