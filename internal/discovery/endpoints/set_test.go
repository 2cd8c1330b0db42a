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

func (v joined) take(changed []incarnation.Entry) { v.table.Join(0, changed) }
func (v joined) condition(id string) string {
	e, ok := v.table.Get(id)
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
		all  []event
		want string
		same bool
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
			r, v := NewSet(), joined{incarnation.NewTable()}
			list := func(which ...RegistryEntry) []RegistryEntry { return which }
			others := list(registryEntry("b", 2), registryEntry("c", 3), registryEntry("d", 4), registryEntry("e", 5))
			it := registryEntry("a", 1)
			v.take(r.ApplyList(0, append(list(it), others...)))
			first, _ := v.table.Get("a")
			for at, i := 50*ms, 0; i < len(c.all); at += 50 * ms {
				v.take(r.Tick(at))
				for ; i < len(c.all) && c.all[i].at <= at; i++ {
					switch c.all[i].what {
					case "removed":
						v.take(r.ApplyList(at, others))
					case "all removed":
						v.take(r.ApplyList(at, nil))
					case "others back":
						v.take(r.ApplyList(at, others))
					case "back":
						it.OwnerSession, it.CreatedZxid, it.CreatedUnixMS = 99, 99, 99
						v.take(r.ApplyList(at, append(list(it), others...)))
					case "drain", "undrain":
						it.IsDraining = c.all[i].what == "drain"
						v.take(r.ApplyList(at, append(list(it), others...)))
					case "fail":
						v.take(r.ConnectFailed(at, "a"))
					case "answer":
						v.take(r.ResponseReceived(at, "a"))
					}
				}
			}
			last, _ := v.table.Get("a")
			if v.condition("a") != c.want || (last.StartedUnixMS == first.StartedUnixMS) != c.same {
				t.Errorf("%s, up %d, %d at first", v.condition("a"), last.StartedUnixMS, first.StartedUnixMS)
			}
		})
	}
}

// check compares what a node holds with rules that do not use the Set's own states.
func check(t interface{ Fatalf(string, ...any) }, r *Set, v joined, listedNow map[string]bool, draining map[string]bool, history string) {
	for _, id := range []string{"a", "b", "c"} {
		c := v.condition(id)
		switch {
		case draining[id] && c == "up":
			t.Fatalf("%s: %s is listed as draining, and is up", history, id)
		case !listedNow[id] && c == "up" && r.State(id) != StateRetained:
			t.Fatalf("%s: %s is not listed, and is up", history, id)
		case !listedNow[id] && c == "up" && !r.MassRemoval().IsSuspected:
			t.Fatalf("%s: %s is retained without suspicion", history, id)
		case r.State(id) == StatePresent && c != "up", r.State(id) == StateDraining && c == "up":
			t.Fatalf("%s: %s is %s in state %d", history, id, c, r.State(id))
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
	var moves [][2]string
	for _, id := range []string{"a", "b", "c"} {
		for _, e := range []string{"removed", "back", "drain", "fails", "answer", "wait"} {
			moves = append(moves, [2]string{id, e})
		}
	}
	for first := range moves[:6] { // of the first server; the others differ by their names only
		t.Run(moves[first][0]+" "+moves[first][1], func(t *testing.T) {
			t.Parallel()
			pick := make([]int, depth)
			pick[0] = first
			for i := 0; i < depth; {
				play(t, func(i int) ([2]string, bool) { return moves[pick[min(i, depth-1)]], i < depth })
				for i = 1; i < depth; i++ {
					if pick[i]++; pick[i] < len(moves) {
						break
					}
					pick[i] = 0
				}
			}
		})
	}
}

// Random longer ones.
func TestLongInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(5, 60).Draw(t, "length")
		play(t, func(i int) ([2]string, bool) {
			return [2]string{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				rapid.SampledFrom([]string{"removed", "back", "drain", "fails", "answer", "wait"}).Draw(t, "event")}, i < n
		})
	})
}

func play(t interface{ Fatalf(string, ...any) }, next func(i int) ([2]string, bool)) {
	r, v := NewSet(), joined{incarnation.NewTable()}
	now, owner := time.Duration(0), int64(10)
	state := map[string]RegistryEntry{}
	there, draining := map[string]bool{}, map[string]bool{}
	list := func() []RegistryEntry {
		var all []RegistryEntry
		for _, id := range []string{"a", "b", "c"} {
			if there[id] {
				all = append(all, state[id])
			}
		}
		return all
	}
	for i, id := range []string{"a", "b", "c"} {
		state[id], there[id] = registryEntry(id, int64(i+1)), true
	}
	v.take(r.ApplyList(now, list()))
	history := ""
	for i := 0; ; i++ {
		m, more := next(i)
		if !more {
			return
		}
		id := m[0]
		history += fmt.Sprint(" ", id, " ", m[1])
		now += 300 * ms
		v.take(r.Tick(now))
		switch m[1] {
		case "removed":
			there[id] = false
		case "back":
			if !there[id] {
				owner++
				state[id], there[id], draining[id] = registryEntry(id, owner), true, false
			}
		case "drain":
			if there[id] {
				l := state[id]
				l.IsDraining = true
				state[id], draining[id] = l, true
			}
		case "fails":
			for range minConnectFailures {
				v.take(r.ConnectFailed(now, id))
			}
		case "answer":
			v.take(r.ResponseReceived(now, id))
		case "wait":
			now += 6 * time.Second
			v.take(r.Tick(now))
		}
		if m[1] == "removed" || m[1] == "back" || m[1] == "drain" {
			v.take(r.ApplyList(now, list()))
		}
		check(t, r, v, there, draining, history)
	}
}
