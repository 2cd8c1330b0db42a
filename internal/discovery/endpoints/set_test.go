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

// joined is what a node holds after joining the announced entries.
type joined struct{ table *incarnation.Table }

func (node joined) take(changed []incarnation.Entry) { node.table.Join(0, changed) }
func (node joined) condition(id string) string {
	e, ok := node.table.Get(id)
	if !ok {
		return "-"
	}
	return []string{"up", "draining", "gone"}[e.Condition]
}

// Events of one server among five, the condition in which a node holds it at the end, and whether that is still the
// incarnation it began with.
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
		"removed for long":                    {[]event{{2 * s, "removed"}, {9 * s, "wait"}}, "gone", true},
		"flaps, alive":                        {[]event{{1900 * ms, "answer"}, {2 * s, "removed"}, {3 * s, "back"}}, "up", true},
		"flaps, not seen alive":               {[]event{{2 * s, "removed"}, {3 * s, "back"}}, "up", false},
		"flaps, and connects fail":            {[]event{{1900 * ms, "answer"}, {2 * s, "removed"}, {2100 * ms, "fail"}, {3 * s, "back"}}, "up", false},
		"back too late":                       {[]event{{1900 * ms, "answer"}, {2 * s, "removed"}, {9 * s, "wait"}, {10 * s, "back"}}, "up", false},
		"drains":                              {[]event{{2 * s, "drain"}}, "draining", true},
		"a drain is canceled":                 {[]event{{2 * s, "drain"}, {3 * s, "undrain"}}, "up", true},
		"drains and is removed":               {[]event{{2 * s, "drain"}, {3 * s, "removed"}}, "gone", true},
		"dead before the registry removes it": {[]event{{2 * s, "fail"}, {2 * s, "fail"}, {2 * s, "fail"}}, "draining", true},
		"two failures are not enough":         {[]event{{2 * s, "fail"}, {2 * s, "fail"}}, "up", true},
		"suspected, and tried again":          {[]event{{2 * s, "fail"}, {2 * s, "fail"}, {2 * s, "fail"}, {3100 * ms, "wait"}}, "up", true},
		"suspected, and it responds":          {[]event{{2 * s, "fail"}, {2 * s, "fail"}, {2 * s, "fail"}, {2100 * ms, "answer"}}, "up", true},
		"all removed":                         {[]event{{2 * s, "all removed"}}, "up", true},
		"all removed, and it is dead":         {[]event{{2 * s, "all removed"}, {3 * s, "fail"}, {3 * s, "fail"}, {3 * s, "fail"}}, "draining", true},
		"all removed, it was draining":        {[]event{{1 * s, "drain"}, {2 * s, "all removed"}}, "gone", true},
		"all removed one by one":              {[]event{{2 * s, "removed"}, {2100 * ms, "all removed"}}, "up", true},
		"all but it come back":                {[]event{{2 * s, "all removed"}, {4 * s, "others back"}}, "draining", true},
	} {
		t.Run(name, func(t *testing.T) {
			set, node := NewSet(), joined{incarnation.NewTable()}
			list := func(which ...RegistryEntry) []RegistryEntry { return which }
			others := list(registryEntry("b", 2), registryEntry("c", 3), registryEntry("d", 4), registryEntry("e", 5))
			entry := registryEntry("a", 1)
			node.take(set.ApplyList(0, append(list(entry), others...)))
			first, _ := node.table.Get("a")
			for at, i := 50*ms, 0; i < len(c.events); at += 50 * ms {
				node.take(set.Tick(at))
				for ; i < len(c.events) && c.events[i].at <= at; i++ {
					switch c.events[i].what {
					case "removed":
						node.take(set.ApplyList(at, others))
					case "all removed":
						node.take(set.ApplyList(at, nil))
					case "others back":
						node.take(set.ApplyList(at, others))
					case "back":
						entry.OwnerSession, entry.CreatedZxid, entry.CreatedUnixMS = 99, 99, 99
						node.take(set.ApplyList(at, append(list(entry), others...)))
					case "drain", "undrain":
						entry.IsDraining = c.events[i].what == "drain"
						node.take(set.ApplyList(at, append(list(entry), others...)))
					case "fail":
						node.take(set.ConnectFailed(at, "a"))
					case "answer":
						node.take(set.ResponseReceived(at, "a"))
					}
				}
			}
			last, _ := node.table.Get("a")
			if node.condition("a") != c.want || (last.StartedUnixMS == first.StartedUnixMS) != c.same {
				t.Errorf("%s, up %d, %d at first", node.condition("a"), last.StartedUnixMS, first.StartedUnixMS)
			}
		})
	}
}

// check compares what a node holds with rules that do not use the Set's own states.
func check(t interface{ Fatalf(string, ...any) }, set *Set, node joined, isListed map[string]bool, draining map[string]bool, history string) {
	for _, id := range []string{"a", "b", "c"} {
		c := node.condition(id)
		switch {
		case draining[id] && c == "up":
			t.Fatalf("%s: %s is listed as draining, and is up", history, id)
		case !isListed[id] && c == "up" && set.State(id) != StateRetained:
			t.Fatalf("%s: %s is not listed, and is up", history, id)
		case !isListed[id] && c == "up" && !set.MassRemoval().IsSuspected:
			t.Fatalf("%s: %s is retained without suspicion", history, id)
		case set.State(id) == StatePresent && c != "up", set.State(id) == StateDraining && c == "up":
			t.Fatalf("%s: %s is %s in state %d", history, id, c, set.State(id))
		}
	}
}

// All interleavings of six events of three servers: a server that is not listed is usable only while a mass removal is
// suspected, no drain is undone without a new entry, and entries never go back. CI plays sequences of four events,
// ROSTER_DEPTH=6 those of six.
func TestAllInterleavings(t *testing.T) {
	depth := 4
	if n, err := strconv.Atoi(os.Getenv("ROSTER_DEPTH")); err == nil {
		depth = n
	}
	var events [][2]string
	for _, id := range []string{"a", "b", "c"} {
		for _, e := range []string{"removed", "back", "drain", "fails", "answer", "wait"} {
			events = append(events, [2]string{id, e})
		}
	}
	for first := range events[:6] { // of the first server; the others differ by their names only
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

// Random longer ones.
func TestLongInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 60).Draw(t, "length")
		playEvents(t, func(i int) ([2]string, bool) {
			return [2]string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.SampledFrom([]string{"removed", "back", "drain", "fails", "answer", "wait"}).Draw(t, "event")}, i < n
		})
	})
}

func playEvents(t interface{ Fatalf(string, ...any) }, next func(i int) ([2]string, bool)) {
	set, node := NewSet(), joined{incarnation.NewTable()}
	now, owner := time.Duration(0), int64(10)
	state := map[string]RegistryEntry{}
	isListed, draining := map[string]bool{}, map[string]bool{}
	list := func() []RegistryEntry {
		var all []RegistryEntry
		for _, id := range []string{"a", "b", "c"} {
			if isListed[id] {
				all = append(all, state[id])
			}
		}
		return all
	}
	for i, id := range []string{"a", "b", "c"} {
		state[id], isListed[id] = registryEntry(id, int64(i+1)), true
	}
	node.take(set.ApplyList(now, list()))
	history := ""
	for i := 0; ; i++ {
		m, more := next(i)
		if !more {
			return
		}
		id := m[0]
		history += fmt.Sprint(" ", id, " ", m[1])
		now += 300 * ms
		node.take(set.Tick(now))
		switch m[1] {
		case "removed":
			isListed[id] = false
		case "back":
			if !isListed[id] {
				owner++
				state[id], isListed[id], draining[id] = registryEntry(id, owner), true, false
			}
		case "drain":
			if isListed[id] {
				l := state[id]
				l.IsDraining = true
				state[id], draining[id] = l, true
			}
		case "fails":
			for range minConnectFailures {
				node.take(set.ConnectFailed(now, id))
			}
		case "answer":
			node.take(set.ResponseReceived(now, id))
		case "wait":
			now += 6 * time.Second
			node.take(set.Tick(now))
		}
		if m[1] == "removed" || m[1] == "back" || m[1] == "drain" {
			node.take(set.ApplyList(now, list()))
		}
		check(t, set, node, isListed, draining, history)
	}
}
