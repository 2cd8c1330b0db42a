package endpoints

import (
	"slices"
	"strings"
	"testing"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// TestRestoredServers guards against a restart that keeps servers which left the registry meanwhile, and against one that removes
// most servers because the registry lists nothing or a part.
func TestRestoredServers(t *testing.T) {
	restored := func(id string, condition incarnation.Condition) incarnation.Entry {
		return incarnation.Entry{ID: id, StartedUnixMS: 1, Revision: 7, Condition: condition, Address: "127.0.0.1:9", Weight: 1}
	}
	five := []incarnation.Entry{restored("a", incarnation.Up), restored("b", incarnation.Up), restored("c", incarnation.Up), restored("d", incarnation.Up),
		restored("e", incarnation.Draining)}
	for name, c := range map[string]struct {
		known       []incarnation.Entry
		listed      string // IDs
		up          string // afterwards
		isSuspected bool
	}{
		"one left":                         {five, "bcd", "bcd", false},
		"half left":                        {five, "cd", "cd", false},
		"half replaced":                    {five, "cdxy", "cdxy", false},
		"all replaced":                     {five, "wxyz", "wxyz", false},
		"drain over":                       {five, "abcde", "abcde", false},
		"most left":                        {five, "d", "abcd", true},
		"nothing listed":                   {five, "", "abcd", true},
		"one of two left":                  {five[:2], "a", "a", false},
		"nothing listed of two":            {five[:2], "", "ab", true},
		"nothing listed, nothing restored": {nil, "", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			set, node := NewSet(), nodeTable{incarnation.NewTable()}
			node.join(c.known)
			set.Restore(0, c.known)
			var list []RegistryEntry
			for _, id := range strings.Split(c.listed, "") {
				if id != "" {
					list = append(list, registryEntry(id, 1))
				}
			}
			node.join(set.ApplyList(10*ms, list))
			for at := 50 * ms; at < 6*time.Second; at += 50 * ms {
				node.join(set.Tick(at))
			}
			var up []string
			for _, entry := range node.table.All() {
				if entry.Condition == incarnation.Up {
					up = append(up, entry.ID)
				}
				isKnown := slices.ContainsFunc(c.known, func(k incarnation.Entry) bool { return k.ID == entry.ID })
				if isKnown && entry.StartedUnixMS != 1 || entry.Condition == incarnation.Draining {
					t.Errorf("got %+v, want the restored incarnation, up or gone", entry)
				}
			}
			if got := strings.Join(up, ""); got != c.up || set.MassRemoval().IsSuspected != c.isSuspected {
				t.Errorf("got servers %q up, mass removal %+v, want %q, %t", got, set.MassRemoval(), c.up, c.isSuspected)
			}
		})
	}
}

// TestRestoredServerListed verifies what the first list changes of a restored server.
func TestRestoredServerListed(t *testing.T) {
	known := incarnation.Entry{ID: "a", StartedUnixMS: 50, Generation: 3, Revision: 7, Address: "127.0.0.1:9", Weight: 1}
	for name, c := range map[string]struct {
		change    func(*RegistryEntry)
		want      func(*incarnation.Entry)
		condition incarnation.Condition // before
	}{
		"same node":       {nil, nil, incarnation.Up},
		"same start":      {func(e *RegistryEntry) { e.CreatedUnixMS, e.StartedUnixMS = 90, 50 }, nil, incarnation.Up},
		"later node":      {func(e *RegistryEntry) { e.CreatedUnixMS = 90 }, func(e *incarnation.Entry) { e.StartedUnixMS, e.Generation = 90, 0 }, incarnation.Up},
		"later start":     {func(e *RegistryEntry) { e.StartedUnixMS = 60 }, func(e *incarnation.Entry) { e.StartedUnixMS, e.Generation = 60, 0 }, incarnation.Up},
		"other address":   {func(e *RegistryEntry) { e.Address = "127.0.0.1:8" }, func(e *incarnation.Entry) { e.StartedUnixMS, e.Generation, e.Address = 51, 0, "127.0.0.1:8" }, incarnation.Up},
		"other weight":    {func(e *RegistryEntry) { e.Weight = 2 }, func(e *incarnation.Entry) { e.Weight = 2 }, incarnation.Up},
		"begins to drain": {func(e *RegistryEntry) { e.IsDraining = true }, func(e *incarnation.Entry) { e.Condition = incarnation.Draining }, incarnation.Up},
		"drain canceled":  {nil, func(e *incarnation.Entry) { e.Generation = 4 }, incarnation.Draining},
	} {
		t.Run(name, func(t *testing.T) {
			stored, want := known, known
			stored.Condition = c.condition
			listed := registryEntry("a", 50)
			if c.change != nil {
				c.change(&listed)
			}
			if c.want != nil {
				c.want(&want)
			}
			set := NewSet()
			set.Restore(0, []incarnation.Entry{stored})
			changed := set.ApplyList(0, []RegistryEntry{listed})
			if len(changed) != 1 {
				t.Fatalf("got %d announced entries, want 1", len(changed))
			}
			if want.Revision = changed[0].Revision; changed[0] != want || want.Revision <= known.Revision {
				t.Errorf("got %+v, want %+v with a later revision than %d", changed[0], want, known.Revision)
			}
		})
	}
}

// TestRestoreAfterList guards against servers that other processes still have in use after they left the registry, and against the
// removal of servers that other processes read from the registry earlier.
func TestRestoreAfterList(t *testing.T) {
	reported := []incarnation.Entry{{ID: "a", StartedUnixMS: 1, Address: "127.0.0.1:9"}, {ID: "b", StartedUnixMS: 9, Address: "127.0.0.1:9"}}
	for name, c := range map[string]struct {
		listedLater string
		want        string // condition of a
	}{
		"left":         {"bc", "draining"},
		"listed later": {"abc", "up"},
		"all left":     {"", "up"}, // a mass removal is suspected
	} {
		t.Run(name, func(t *testing.T) {
			set, node := NewSet(), nodeTable{incarnation.NewTable()}
			list := func(ids string) (all []RegistryEntry) {
				for _, id := range ids {
					all = append(all, registryEntry(string(id), int64(id)))
				}
				return all
			}
			node.join(set.ApplyList(0, list("bcd")))
			set.Restore(10*ms, reported)
			node.join(reported[:1])
			node.join(set.Tick(maxListLag))
			if node.condition("a") != "up" {
				t.Error("reported server was removed within maxListLag")
			}
			node.join(set.ApplyList(maxListLag, list(c.listedLater)))
			node.join(set.Tick(maxListLag + 50*ms))
			if got := node.condition("a"); got != c.want {
				t.Errorf("got a %s, want %s", got, c.want)
			}
		})
	}
}
