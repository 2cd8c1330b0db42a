package endpoints

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernvane/internal/discovery/incarnation"
)

const ms = time.Millisecond

func registryEntry(id string, owner int64) RegistryEntry {
	return RegistryEntry{ID: id, Address: "127.0.0.1:9", OwnerSession: owner, CreatedZxid: owner, CreatedUnixMS: owner, Weight: 1}
}

// nodeTable is the table of a node that has joined all announced entries.
type nodeTable struct{ table *incarnation.Table }

func (node nodeTable) join(changed []incarnation.Entry) { node.table.Join(0, changed) }
func (node nodeTable) condition(id string) string {
	entry, ok := node.table.Get(id)
	if !ok {
		return "-"
	}
	return []string{"up", "draining", "gone"}[entry.Condition]
}

// TestServerHistories applies events of one server among five and compares its final condition in a node's table, and whether
// the server still has its initial incarnation.
func TestServerHistories(t *testing.T) {
	type event struct {
		at   time.Duration
		what string
	}
	const s = time.Second
	for name, c := range map[string]struct {
		events []event
		want   string
		same   bool
	}{
		"listed":                              {nil, "up", true},
		"removed":                             {[]event{{2 * s, "removed"}}, "draining", true},
		"removed for longer than flapWindow":  {[]event{{2 * s, "removed"}, {9 * s, "wait"}}, "gone", true},
		"flaps, alive":                        {[]event{{1900 * ms, "response"}, {2 * s, "removed"}, {3 * s, "back"}}, "up", true},
		"flaps, not seen alive":               {[]event{{2 * s, "removed"}, {3 * s, "back"}}, "up", false},
		"flaps, and connects fail":            {[]event{{1900 * ms, "response"}, {2 * s, "removed"}, {2100 * ms, "fail"}, {3 * s, "back"}}, "up", false},
		"back too late":                       {[]event{{1900 * ms, "response"}, {2 * s, "removed"}, {9 * s, "wait"}, {10 * s, "back"}}, "up", false},
		"drains":                              {[]event{{2 * s, "drain"}}, "draining", true},
		"a drain is canceled":                 {[]event{{2 * s, "drain"}, {3 * s, "undrain"}}, "up", true},
		"drains and is removed":               {[]event{{2 * s, "drain"}, {3 * s, "removed"}}, "gone", true},
		"dead before the registry removes it": {[]event{{2 * s, "fail"}, {2 * s, "fail"}, {2 * s, "fail"}}, "draining", true},
		"two failures are not enough":         {[]event{{2 * s, "fail"}, {2 * s, "fail"}}, "up", true},
		"suspected, and tried again":          {[]event{{2 * s, "fail"}, {2 * s, "fail"}, {2 * s, "fail"}, {3100 * ms, "wait"}}, "up", true},
		"suspected, and it responds":          {[]event{{2 * s, "fail"}, {2 * s, "fail"}, {2 * s, "fail"}, {2100 * ms, "response"}}, "up", true},
		"all removed":                         {[]event{{2 * s, "all removed"}}, "up", true},
		"all removed, and it is dead":         {[]event{{2 * s, "all removed"}, {3 * s, "fail"}, {3 * s, "fail"}, {3 * s, "fail"}}, "draining", true},
		"all removed, it was draining":        {[]event{{1 * s, "drain"}, {2 * s, "all removed"}}, "gone", true},
		"all removed one by one":              {[]event{{2 * s, "removed"}, {2100 * ms, "all removed"}}, "up", true},
		"all removed, the others come back":   {[]event{{2 * s, "all removed"}, {4 * s, "others back"}}, "draining", true},
	} {
		t.Run(name, func(t *testing.T) {
			set, node := NewSet(), nodeTable{incarnation.NewTable()}
			list := func(which ...RegistryEntry) []RegistryEntry { return which }
			others := list(registryEntry("b", 2), registryEntry("c", 3), registryEntry("d", 4), registryEntry("e", 5))
			entry := registryEntry("a", 1)
			node.join(set.ApplyList(0, append(list(entry), others...)))
			first, _ := node.table.Get("a")
			for at, i := 50*ms, 0; i < len(c.events); at += 50 * ms {
				node.join(set.Tick(at))
				for ; i < len(c.events) && c.events[i].at <= at; i++ {
					switch c.events[i].what {
					case "removed":
						node.join(set.ApplyList(at, others))
					case "all removed":
						node.join(set.ApplyList(at, nil))
					case "others back":
						node.join(set.ApplyList(at, others))
					case "back":
						entry.OwnerSession, entry.CreatedZxid, entry.CreatedUnixMS = 99, 99, 99
						node.join(set.ApplyList(at, append(list(entry), others...)))
					case "drain", "undrain":
						entry.IsDraining = c.events[i].what == "drain"
						node.join(set.ApplyList(at, append(list(entry), others...)))
					case "fail":
						node.join(set.ConnectFailed(at, "a"))
					case "response":
						node.join(set.ResponseReceived(at, "a"))
					}
				}
			}
			last, _ := node.table.Get("a")
			if node.condition("a") != c.want || (last.StartedUnixMS == first.StartedUnixMS) != c.same {
				t.Errorf("got condition %s, started at %d, initially %d", node.condition("a"), last.StartedUnixMS, first.StartedUnixMS)
			}
		})
	}
}

// checkNode compares a node's table with the registry's list and the Set's states.
func checkNode(t interface{ Fatalf(string, ...any) }, set *Set, node nodeTable, isListed map[string]bool, draining map[string]bool, history string) {
	for _, id := range []string{"a", "b", "c"} {
		c := node.condition(id)
		switch {
		case draining[id] && c == "up":
			t.Fatalf("%s: %s is listed as draining, but its condition is up", history, id)
		case !isListed[id] && c == "up" && set.State(id) != StateRetained:
			t.Fatalf("%s: %s is not listed and not retained, but its condition is up", history, id)
		case !isListed[id] && c == "up" && !set.MassRemoval().IsSuspected:
			t.Fatalf("%s: %s is retained, but no mass removal is suspected", history, id)
		case set.State(id) == StatePresent && c != "up", set.State(id) == StateDraining && c == "up":
			t.Fatalf("%s: got condition of %s %s, which contradicts state %d", history, id, c, set.State(id))
		}
	}
}

// eventKinds are the events of playEvents. A restart replaces the Set by one that restores the entries of the node's table.
var eventKinds = []string{"removed", "back", "drain", "failures", "response", "wait", "restart"}

// TestAllInterleavings applies all sequences of seven kinds of events of three servers: an unlisted server is usable only while
// a mass removal is suspected, no drain is undone without a new entry, and entries never regress. CI runs sequences of four
// events; ROSTER_DEPTH=6 runs sequences of six.
func TestAllInterleavings(t *testing.T) {
	depth := 4
	if n, err := strconv.Atoi(os.Getenv("ROSTER_DEPTH")); err == nil {
		depth = n
	}
	var events [][2]string
	for _, id := range []string{"a", "b", "c"} {
		for _, e := range eventKinds {
			events = append(events, [2]string{id, e})
		}
	}
	for first := range eventKinds { // first events of server a; sequences that begin with another server differ only in names
		t.Run(events[first][0]+" "+events[first][1], func(t *testing.T) {
			t.Parallel()
			indices := make([]int, depth)
			indices[0] = first
			for i := 0; i < depth; {
				playEvents(t, func(i int) ([2]string, bool) { return events[indices[min(i, depth-1)]], i < depth })
				for i = 1; i < depth; i++ {
					if indices[i]++; indices[i] < len(events) {
						break
					}
					indices[i] = 0
				}
			}
		})
	}
}

// TestLongInterleavings applies random sequences of 5 to 60 events.
func TestLongInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 60).Draw(t, "length")
		playEvents(t, func(i int) ([2]string, bool) {
			return [2]string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.SampledFrom(eventKinds).Draw(t, "event")}, i < n
		})
	})
}

func playEvents(t interface{ Fatalf(string, ...any) }, next func(i int) ([2]string, bool)) {
	set, node := NewSet(), nodeTable{incarnation.NewTable()}
	now, owner := time.Duration(0), int64(10)
	entries := map[string]RegistryEntry{}
	isListed, draining := map[string]bool{}, map[string]bool{}
	list := func() []RegistryEntry {
		var all []RegistryEntry
		for _, id := range []string{"a", "b", "c"} {
			if isListed[id] {
				all = append(all, entries[id])
			}
		}
		return all
	}
	for i, id := range []string{"a", "b", "c"} {
		entries[id], isListed[id] = registryEntry(id, int64(i+1)), true
	}
	node.join(set.ApplyList(now, list()))
	history := ""
	for i := 0; ; i++ {
		event, hasMore := next(i)
		if !hasMore {
			return
		}
		id := event[0]
		history += fmt.Sprint(" ", id, " ", event[1])
		now += 300 * ms
		node.join(set.Tick(now))
		switch event[1] {
		case "removed":
			isListed[id] = false
		case "back":
			if !isListed[id] {
				owner++
				entries[id], isListed[id], draining[id] = registryEntry(id, owner), true, false
			}
		case "drain":
			if isListed[id] {
				entry := entries[id]
				entry.IsDraining = true
				entries[id], draining[id] = entry, true
			}
		case "failures":
			for range minConnectFailures {
				node.join(set.ConnectFailed(now, id))
			}
		case "response":
			node.join(set.ResponseReceived(now, id))
		case "wait":
			now += 6 * time.Second
			node.join(set.Tick(now))
		case "restart":
			set = NewSet()
			set.Restore(now, node.table.All())
		}
		if event[1] == "removed" || event[1] == "back" || event[1] == "drain" || event[1] == "restart" {
			node.join(set.ApplyList(now, list()))
		}
		checkNode(t, set, node, isListed, draining, history)
	}
}
