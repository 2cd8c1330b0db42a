package staleness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func many(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: fmt.Sprint("s", i), IsUp: true})
	}
	return all
}

// The staleness level of a list, and how many of its 40 servers are on trial at first.
func TestLevels(t *testing.T) {
	for name, c := range map[string]struct {
		known  CachedList
		grade  int
		trials int
	}{
		"just now":             {CachedList{time.Second, true}, 0, 40},
		"just now, a crash":    {CachedList{time.Second, false}, 1, 20},
		"a minute":             {CachedList{time.Minute, true}, 1, 20},
		"ten minutes":          {CachedList{10 * time.Minute, true}, 2, 10},
		"ten minutes, a crash": {CachedList{10 * time.Minute, false}, 3, 4},
		"hours":                {CachedList{3 * time.Hour, true}, 3, 4},
		"a week":               {CachedList{7 * 24 * time.Hour, true}, 4, 2},
		"a week, a crash":      {CachedList{7 * 24 * time.Hour, false}, 4, 2},
		"clocks differ":        {CachedList{-time.Second, true}, 0, 40},
		"from the future":      {CachedList{-time.Hour, true}, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			tr := New(c.known, "n", many(40))
			if all, changed := tr.Usable(); tr.Level() != c.grade || len(all) != c.trials || !changed {
				t.Errorf("level %d, %d on trial", tr.Level(), len(all))
			}
		})
	}
}

// Events of one server of a list that is ten minutes old, and its status after them.
func TestStatuses(t *testing.T) {
	const serve, reject, connectFail, other, wait = "serve", "reject", "connect fail", "other", "wait"
	for name, c := range map[string]struct {
		up    bool
		steps []string
		want  Status
	}{
		"tried":                          {true, nil, OnTrial},
		"draining before":                {false, nil, Excluded},
		"draining before, and responds":  {false, []string{serve, wait}, Excluded},
		"serves":                         {true, []string{serve}, Proven},
		"rejects":                        {true, []string{reject, reject}, OnTrial},
		"serves, then rejects":           {true, []string{serve, reject}, Proven},
		"connect fails":                  {true, []string{connectFail}, Suspected},
		"connect fails, and tried again": {true, []string{connectFail, wait}, OnTrial},
		"serves, one connect fails":      {true, []string{serve, connectFail}, Proven},
		"serves, two connects fail":      {true, []string{serve, connectFail, connectFail}, Suspected},
		"two connects fail, with a response between": {true, []string{serve, connectFail, serve, connectFail}, Proven},
		"another server is there":                    {true, []string{other}, Excluded},
		"served, and now another server is there":    {true, []string{serve, other, wait, serve}, Excluded},
	} {
		t.Run(name, func(t *testing.T) {
			tr, now := New(CachedList{10 * time.Minute, true}, "n", []Server{{ID: "a", IsUp: c.up}}), time.Duration(0)
			for _, s := range c.steps {
				switch s {
				case serve:
					tr.RequestExecuted(now, "a")
				case reject:
					tr.ResponseWithoutProof(now, "a")
				case connectFail:
					tr.ConnectFailed(now, "a")
				case other:
					tr.WrongServer(now, "a")
				case wait:
					now += time.Minute
					tr.Tick(now)
				}
			}
			if got := tr.Status("a"); got != c.want {
				t.Errorf("status %d, not %d", got, c.want)
			}
		})
	}
}

// Nodes that start together on one list do not try the same servers first.
func TestNodesTryDifferentServers(t *testing.T) {
	first := map[string]int{}
	for n := range 100 {
		all, _ := New(CachedList{time.Hour, true}, fmt.Sprint("n", n), many(50)).Usable()
		for _, u := range all {
			first[u.ID]++
		}
	}
	for id, n := range first { // 500 trials over 50 servers: 10 each
		if n > 30 {
			t.Errorf("%s is tried by %d of 100 nodes at first", id, n)
		}
	}
	if len(first) < 45 {
		t.Errorf("only %d of 50 are tried by anybody", len(first))
	}
}

// Whatever happens, excluded servers are never usable, no server is proven that has not executed a request since the start,
// no more are on trial than allowed, and once all servers serve, all are proven.
func TestEvaluatorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Server
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			all = append(all, Server{ID: fmt.Sprint("s", i), IsUp: rapid.Bool().Draw(t, "up"), HasExecuted: rapid.Bool().Draw(t, "served")})
		}
		age := time.Duration(rapid.Int64Range(-1e12, 1e15).Draw(t, "age"))
		tr, now := New(CachedList{age, rapid.Bool().Draw(t, "clean")}, "n", all), time.Duration(0)
		ran, excluded := map[string]bool{}, map[string]bool{}
		most := tr.maxTrials // the most that were allowed
		for _, s := range all {
			excluded[s.ID] = !s.IsUp
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			id := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")].ID
			now += time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "later"))
			usable, _ := tr.Usable()
			used := slices.ContainsFunc(usable, func(u UsableServer) bool { return u.ID == id })
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				tr.RequestExecuted(now, id)
				ran[id] = ran[id] || used
			case 1:
				tr.ResponseWithoutProof(now, id)
			case 2:
				tr.ConnectFailed(now, id)
			case 3:
				tr.WrongServer(now, id)
				excluded[id] = true
			default:
				tr.Tick(now)
			}
			usable, _ = tr.Usable()
			on := 0
			for _, u := range usable {
				if excluded[u.ID] || u.IsProven && !ran[u.ID] {
					t.Fatalf("%s is usable, excluded %v, has executed %v", u.ID, excluded[u.ID], ran[u.ID])
				}
				if !u.IsProven {
					on++
				}
			}
			if most = max(most, tr.maxTrials); on > most || tr.maxTrials < minTrials {
				t.Fatalf("%d on trial, %d are allowed", on, tr.maxTrials)
			}
		}
		for range 200 {
			now += time.Minute
			tr.Tick(now)
			usable, _ := tr.Usable()
			for _, u := range usable {
				tr.RequestExecuted(now, u.ID)
			}
		}
		for _, s := range all {
			if want := map[bool]Status{true: Excluded, false: Proven}[excluded[s.ID]]; tr.Status(s.ID) != want {
				t.Fatalf("%s ends as %d, not %d", s.ID, tr.Status(s.ID), want)
			}
		}
	})
}
