package membership

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// An event affects one node of a cluster of 16. 8 s later the others must report the node in the expected condition, and,
// if its process is running, as alive 10 s after all paths are restored.
func TestConditions(t *testing.T) {
	cutOff := func(in, out bool, isolated ...string) func(*simulation) {
		return func(s *simulation) {
			set := map[string]bool{}
			for _, name := range isolated {
				set[name] = true
			}
			s.cut = func(from, to string) bool { return set[from] != set[to] && (out && set[from] || in && set[to]) }
		}
	}
	for name, c := range map[string]struct {
		apply func(*simulation)
		want  Condition
	}{
		"nothing":                      {func(*simulation) {}, Alive},
		"crash, connections are reset": {func(s *simulation) { s.crash("n3", true) }, Dead},
		"loss of the machine":          {func(s *simulation) { s.crash("n3", false) }, Dead},
		"partition":                    {cutOff(true, true, "n3"), Dead},
		"outgoing messages are lost":   {cutOff(false, true, "n3"), Dead},
		"incoming messages are lost":   {cutOff(true, false, "n3"), Alive},
		"the path to one node is cut":  {func(s *simulation) { s.cut = func(a, b string) bool { return a+b == "n3n7" || a+b == "n7n3" } }, Alive},
		"one way of the path to half the nodes is cut": {func(s *simulation) {
			s.cut = func(a, b string) bool { return a == "n3" && len(b) > 2 } // n10 to n15 receive nothing from it
		}, Alive},
		"graceful shutdown": {func(s *simulation) {
			n := s.nodes["n3"]
			n.table.Leave(s.now)
			s.send("n3", n, n.table.Tick(s.now))
			s.after(20*time.Millisecond, func() { s.crash("n3", true) })
		}, Left},
		"immediate restart": {func(s *simulation) {
			s.crash("n3", true)
			s.after(300*time.Millisecond, func() { s.start("n3", "n0") })
		}, Alive},
		"process stalls for 1.5 s": {func(s *simulation) {
			n := s.nodes["n3"]
			n.isUp = false
			s.after(1500*time.Millisecond, func() { n.isUp = true; s.tick("n3", n, nil) })
		}, Alive},
		"process stalls for 6 s": {func(s *simulation) {
			n := s.nodes["n3"]
			n.isUp = false
			s.after(6*time.Second, func() { n.isUp = true; s.tick("n3", n, nil) })
		}, Alive},
		"the other half is cut off": {cutOff(true, true, "n0", "n1", "n2", "n4", "n5", "n6", "n7"), Alive},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newCluster(seed, 16)
				s.run(5 * time.Second)
				if n := s.countObservers("n3", Alive); n != 15 {
					t.Fatalf("before the event: got %d nodes that report n3 as alive, want 15", n)
				}
				c.apply(s)
				s.run(13 * time.Second)
				seen := s.countObservers("n3", c.want)
				if want := 15; name == "the other half is cut off" && seen >= 8 { // the nodes on its side of the partition
				} else if seen != want {
					t.Fatalf("seed %d: got %d nodes, want %d, that report n3 as %v; got %d that report it as suspected, %d as dead", seed, seen, want, c.want, s.countObservers("n3", Suspected), s.countObservers("n3", Dead))
				}
				s.cut = func(string, string) bool { return false }
				if s.nodes["n3"].isUp {
					s.run(23 * time.Second)
					if n := s.countObservers("n3", Alive); n != 15 {
						t.Errorf("seed %d: 10 s after all paths are restored: got %d nodes that report n3 as alive, want 15", seed, n)
					}
				}
			}
		})
	}
}

// Stored reports never regress, and the result does not depend on the order of the reports. Only the node itself
// refutes reports of itself.
func TestReportsNeverRegress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(Member{Name: "a", Incarnation: 1}), New(Member{Name: "b", Incarnation: 1})
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), Incarnation: int64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Refutations: uint32(rapid.IntRange(0, 2).Draw(t, "refutations")), Condition: Condition(rapid.IntRange(0, 3).Draw(t, "condition"))}
		}), 1, 12).Draw(t, "reports")
		for _, report := range reports {
			previous, ok := a.Get(report.Name)
			a.MergeMembers(time.Second, "", []Member{report})
			if stored, _ := a.Get(report.Name); ok && Compare(stored, previous) < 0 {
				t.Fatalf("stored entry %+v regressed to %+v", previous, stored)
			}
		}
		for _, report := range rapid.Permutation(reports).Draw(t, "order") {
			b.MergeMembers(time.Second, "", []Member{report})
		}
		for _, name := range []string{"x", "y"} {
			if x, y := a.members[name], b.members[name]; Compare(x, y) != 0 {
				t.Fatalf("got entries %+v and %+v from two orders of the same reports, want equal ones", x, y)
			}
		}
		self := New(Member{Name: "x", Incarnation: 2})
		self.MergeMembers(time.Second, "", reports)
		for _, report := range reports {
			if report.Name == "x" && report.Incarnation == 2 && Compare(report, self.Self()) > 0 {
				t.Fatalf("report %+v of the node itself is not refuted by its entry %+v", report, self.Self())
			}
			if report.Name == "x" && report.Incarnation > 2 && !self.IsReplaced() {
				t.Fatal("IsReplaced after a report of a later incarnation: got false, want true")
			}
		}
	})
}

// TestLongTextsAreIgnored guards against reports that take memory without bound by the length of their texts.
func TestLongTextsAreIgnored(t *testing.T) {
	long, longest := strings.Repeat("x", maxTextBytes+1), strings.Repeat("x", maxTextBytes)
	for name, c := range map[string]struct {
		member Member
		want   bool
	}{
		"short":        {Member{Name: "b", Address: "127.0.0.1:1", Site: "s", Machine: "m"}, true},
		"longest":      {Member{Name: longest, Address: longest, Site: longest, Machine: longest}, true},
		"long name":    {Member{Name: long}, false},
		"long address": {Member{Name: "b", Address: long}, false},
		"long site":    {Member{Name: "b", Site: long}, false},
		"long machine": {Member{Name: "b", Machine: long}, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(Member{Name: "a", Incarnation: 1})
			c.member.Incarnation = 1
			table.MergeMembers(time.Second, "", []Member{c.member})
			if _, got := table.Get(c.member.Name); got != c.want {
				t.Errorf("got stored %v, want %v", got, c.want)
			}
		})
	}
}

var large = flag.Bool("large", false, "also simulate 3,000 nodes, which takes minutes")

// The traffic of an idle node and the time to detect a dead node stay within bounds at each cluster size. -v prints the
// measured values.
func TestWatchingAtScale(t *testing.T) {
	sizes := []int{16, 220}
	if *large {
		sizes = append(sizes, 3000)
	}
	for _, n := range sizes {
		s := newSimulation(7)
		s.start("n0")
		for i := 1; i < n; i++ { // all nodes join simultaneously
			s.start(fmt.Sprint("n", i), "n0")
		}
		joined := time.Duration(0)
		for joined == 0 && s.now < 60*time.Second {
			s.run(s.now + 100*time.Millisecond)
			all := true
			for _, x := range s.nodes {
				all = all && len(x.table.members) == n
			}
			if all {
				joined = s.now - time.Second
			}
		}
		if joined == 0 {
			t.Fatalf("%d nodes: membership not complete at all nodes within 60 s", n)
		}
		atJoin := s.bytes
		s.run(s.now + 5*time.Second)
		s.bytes = 0
		from := s.now
		s.run(s.now + 4*time.Second)
		idleBytesPerSecond := float64(s.bytes) / (s.now - from).Seconds() / float64(n)
		s.crash("n5", false)
		from, s.bytes = s.now, 0
		suspected, dead := time.Duration(0), time.Duration(0)
		for dead == 0 && s.now < from+20*time.Second {
			s.run(s.now + 50*time.Millisecond)
			if suspected == 0 && s.countObservers("n5", Suspected)+s.countObservers("n5", Dead) >= n-1 {
				suspected = s.now - from
			}
			if s.countObservers("n5", Dead) == n-1 {
				dead = s.now - from
			}
		}
		t.Logf("%4d nodes: membership complete %v after a simultaneous join (%.0f kB per node); idle traffic %.0f bytes/s per node; failure suspected by all after %v, declared dead after %v",
			n, joined, float64(atJoin)/float64(n)/1000, idleBytesPerSecond, suspected, dead)
		if dead == 0 || dead > 8*time.Second || idleBytesPerSecond > 4000 {
			t.Errorf("%d nodes: failure declared dead after %v, want at most 8 s; idle traffic %.0f bytes/s per node, want at most 4000", n, dead, idleBytesPerSecond)
		}
		for name, x := range s.nodes {
			for _, m := range x.table.Members() {
				if m.Name != "n5" && m.Condition != Alive {
					t.Fatalf("%s reports the running node %s as %v, want alive", name, m.Name, m.Condition)
				}
			}
		}
	}
}
