package staleness

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func serversUp(n int) (all []Server) {
	for i := range n {
		all = append(all, Server{ID: fmt.Sprint("s", i), IsUp: true})
	}
	return all
}

// TestLevels compares the staleness level of a list and the number of its 40 servers that are on trial initially.
func TestLevels(t *testing.T) {
	for name, c := range map[string]struct {
		list   CachedList
		level  int
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
			evaluator := New(c.list, "n", serversUp(40))
			if all, changed := evaluator.Usable(); evaluator.Level() != c.level || len(all) != c.trials || !changed {
				t.Errorf("got level %d, %d servers on trial", evaluator.Level(), len(all))
			}
		})
	}
}

// TestStatuses applies events of one server of a list that is ten minutes old and compares its final status.
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
			evaluator := New(CachedList{10 * time.Minute, true}, "n", []Server{{ID: "a", IsUp: c.up}})
			now := time.Duration(0)
			for _, s := range c.steps {
				switch s {
				case serve:
					evaluator.RequestExecuted(now, "a")
				case reject:
					evaluator.ResponseWithoutProof(now, "a")
				case connectFail:
					evaluator.ConnectFailed(now, "a")
				case other:
					evaluator.WrongServer(now, "a")
				case wait:
					now += time.Minute
					evaluator.Tick(now)
				}
			}
			if got := evaluator.Status("a"); got != c.want {
				t.Errorf("got status %d, want %d", got, c.want)
			}
		})
	}
}

// TestNodesTryDifferentServers checks that nodes that start simultaneously with the same list do not try the same servers
// first.
func TestNodesTryDifferentServers(t *testing.T) {
	trials := map[string]int{}
	for n := range 100 {
		all, _ := New(CachedList{time.Hour, true}, fmt.Sprint("n", n), serversUp(50)).Usable()
		for _, u := range all {
			trials[u.ID]++
		}
	}
	for id, n := range trials { // 500 trials of 50 servers: 10 each on average
		if n > 30 {
			t.Errorf("server %s: got %d of 100 nodes that try it first, want at most 30", id, n)
		}
	}
	if len(trials) < 45 {
		t.Errorf("got %d of 50 servers tried first by some node, want at least 45", len(trials))
	}
}

// TestEvaluatorInvariants checks for random events that excluded servers are never usable, that a server is proven only if it
// has executed a request since the start, that no more servers are on trial than allowed, and that all servers that are not
// excluded are proven once they execute requests.
func TestEvaluatorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Server
		for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
			all = append(all, Server{
				ID:          fmt.Sprint("s", i),
				IsUp:        rapid.Bool().Draw(t, "up"),
				HasExecuted: rapid.Bool().Draw(t, "executed"),
			})
		}
		age := time.Duration(rapid.Int64Range(-1e12, 1e15).Draw(t, "age"))
		evaluator, now := New(CachedList{age, rapid.Bool().Draw(t, "clean")}, "n", all), time.Duration(0)
		hasExecuted, excluded := map[string]bool{}, map[string]bool{}
		maxOnTrial := evaluator.maxTrials // largest limit so far
		for _, s := range all {
			excluded[s.ID] = !s.IsUp
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			id := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")].ID
			now += time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "later"))
			usable, _ := evaluator.Usable()
			wasUsable := slices.ContainsFunc(usable, func(u UsableServer) bool { return u.ID == id })
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				evaluator.RequestExecuted(now, id)
				hasExecuted[id] = hasExecuted[id] || wasUsable
			case 1:
				evaluator.ResponseWithoutProof(now, id)
			case 2:
				evaluator.ConnectFailed(now, id)
			case 3:
				evaluator.WrongServer(now, id)
				excluded[id] = true
			default:
				evaluator.Tick(now)
			}
			usable, _ = evaluator.Usable()
			onTrial := 0
			for _, u := range usable {
				if excluded[u.ID] || u.IsProven && !hasExecuted[u.ID] {
					t.Fatalf("server %s is usable, and proven or excluded: excluded %v, has executed %v", u.ID, excluded[u.ID], hasExecuted[u.ID])
				}
				if !u.IsProven {
					onTrial++
				}
			}
			if maxOnTrial = max(maxOnTrial, evaluator.maxTrials); onTrial > maxOnTrial || evaluator.maxTrials < minTrials {
				t.Fatalf("got %d servers on trial with the current limit %d, want at most the largest limit so far and a limit of at least minTrials", onTrial, evaluator.maxTrials)
			}
		}
		for range 200 {
			now += time.Minute
			evaluator.Tick(now)
			usable, _ := evaluator.Usable()
			for _, u := range usable {
				evaluator.RequestExecuted(now, u.ID)
			}
		}
		for _, s := range all {
			if want := map[bool]Status{true: Excluded, false: Proven}[excluded[s.ID]]; evaluator.Status(s.ID) != want {
				t.Fatalf("server %s: got final status %d, want %d", s.ID, evaluator.Status(s.ID), want)
			}
		}
	})
}
