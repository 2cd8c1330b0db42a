package membership

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// sim is a tier in virtual time: the tables as nodes run them, connections that take a while, ways that are cut.
type sim struct {
	now    time.Duration
	nodes  map[string]*simNode
	names  []string
	queue  events2
	seq    int
	cut    func(from, to string) bool
	bytes  int
	chance *rand.Rand
}

type simNode struct {
	t     *Table
	up    bool // the process runs
	links map[string]bool
}

type event2 struct {
	at  time.Duration
	seq int
	do  func()
}

type events2 []event2

func (q events2) Len() int { return len(q) }
func (q events2) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q events2) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events2) Push(x any)   { *q = append(*q, x.(event2)) }
func (q *events2) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newSim(seed uint64) *sim {
	return &sim{now: time.Second, nodes: map[string]*simNode{}, cut: func(string, string) bool { return false }, chance: rand.New(rand.NewPCG(seed, 1))}
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event2{s.now + d, s.seq, do})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event2)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// start has a node begin that knows of some others by their addresses.
func (s *sim) start(name string, seeds ...string) {
	n := &simNode{t: New(Member{Name: name, Incarnation: int64(s.now), Address: name, Machine: name}), up: true, links: map[string]bool{}}
	if s.nodes[name] == nil {
		s.names = append(s.names, name)
	}
	s.nodes[name] = n
	for _, seed := range seeds {
		s.dial(name, n, seed)
	}
	s.after(time.Duration(s.chance.Int64N(int64(25*time.Millisecond))), func() { s.tick(name, n, seeds) })
}

func (s *sim) tick(name string, n *simNode, seeds []string) {
	if s.nodes[name] != n || !n.up {
		return
	}
	s.send(name, n, n.t.Tick(s.now))
	wanted := n.t.Watched()
	if knock := n.t.ReconnectCandidate(s.now); knock != "" {
		wanted = append(wanted, knock)
	}
	if len(n.links) == 0 {
		wanted = append(wanted, seeds...)
	}
	for _, other := range wanted {
		s.dial(name, n, other)
	}
	s.after(100*time.Millisecond, func() { s.tick(name, n, seeds) })
}

func (s *sim) dial(name string, n *simNode, other string) {
	if n.links[other] || other == name {
		return
	}
	s.after(2*time.Millisecond, func() {
		o := s.nodes[other]
		if o == nil || !o.up || !n.up || s.nodes[name] != n || n.links[other] || s.cut(name, other) || s.cut(other, name) {
			return
		}
		n.links[other], o.links[name] = true, true
		n.t.Connected(s.now, other)
		o.t.Connected(s.now, name)
		n.t.MergeMembers(s.now, other, []Member{o.t.Self()})
		o.t.MergeMembers(s.now, name, []Member{n.t.Self()})
	})
}

// die ends a process without a word; those connected to it notice at once, as by a reset, or not.
func (s *sim) die(name string, reset bool) {
	n := s.nodes[name]
	n.up = false
	for other := range n.links {
		if reset {
			delete(s.nodes[other].links, name)
			s.nodes[other].t.Disconnected(name)
		}
	}
}

func (s *sim) send(name string, n *simNode, out []Outgoing) {
	for _, o := range out {
		if !n.links[o.To] {
			if _, ask := o.Message.(*LivenessQuery); ask { // a connection is made for it
				s.dial(name, n, o.To)
				s.after(5*time.Millisecond, func() {
					if n.links[o.To] {
						s.send(name, n, []Outgoing{o})
					}
				})
			}
			continue
		}
		text, err := cbor.Marshal(o.Message)
		if err != nil {
			panic(err)
		}
		s.bytes += len(text) + 5
		if s.cut(name, o.To) {
			continue
		}
		s.after(time.Duration(1+s.chance.IntN(3))*time.Millisecond, func() {
			if to := s.nodes[o.To]; to != nil && to.up && to.links[name] && s.nodes[name] == n {
				s.send(o.To, to, to.t.HandleMessage(s.now, name, o.Message))
			}
		})
	}
}

// sees counts the living nodes that hold another for something.
func (s *sim) sees(of string, c Condition) (n int) {
	for name, x := range s.nodes {
		if m, ok := x.t.Get(of); name != of && x.up && ok && m.Condition == c {
			n++
		}
	}
	return n
}

func tier(seed uint64, n int) *sim {
	s := newSim(seed)
	for i := range n {
		s.start(fmt.Sprint("n", i), "n0", fmt.Sprint("n", (i+1)%n))
	}
	return s
}

// What befalls a node of a tier of 16, and what the others make of it 8 s later.
func TestWhoLives(t *testing.T) {
	cutOff := func(in, out bool, whom ...string) func(*sim) {
		return func(s *sim) {
			set := map[string]bool{}
			for _, w := range whom {
				set[w] = true
			}
			s.cut = func(from, to string) bool { return set[from] != set[to] && (out && set[from] || in && set[to]) }
		}
	}
	for name, c := range map[string]struct {
		befalls func(*sim)
		is      Condition
	}{
		"nothing":                         {func(*sim) {}, Alive},
		"it dies, and connections break":  {func(s *sim) { s.die("n3", true) }, Dead},
		"its machine dies without a word": {func(s *sim) { s.die("n3", false) }, Dead},
		"it hears nobody and nobody it":   {cutOff(true, true, "n3"), Dead},
		"nobody hears it, it hears all":   {cutOff(false, true, "n3"), Dead},
		"it hears nobody, all hear it":    {cutOff(true, false, "n3"), Alive},
		"one node and it are cut":         {func(s *sim) { s.cut = func(a, b string) bool { return a+b == "n3n7" || a+b == "n7n3" } }, Alive},
		"one way to each of half is cut": {func(s *sim) {
			s.cut = func(a, b string) bool { return a == "n3" && len(b) > 2 } // n10 to n15 do not hear it
		}, Alive},
		"it leaves": {func(s *sim) {
			n := s.nodes["n3"]
			n.t.Leave(s.now)
			s.send("n3", n, n.t.Tick(s.now))
			s.after(20*time.Millisecond, func() { s.die("n3", true) })
		}, Left},
		"it comes again at once": {func(s *sim) { s.die("n3", true); s.after(300*time.Millisecond, func() { s.start("n3", "n0") }) }, Alive},
		"it stands still for 1.5 s": {func(s *sim) {
			n := s.nodes["n3"]
			n.up = false
			s.after(1500*time.Millisecond, func() { n.up = true; s.tick("n3", n, nil) })
		}, Alive},
		"it stands still for 6 s": {func(s *sim) {
			n := s.nodes["n3"]
			n.up = false
			s.after(6*time.Second, func() { n.up = true; s.tick("n3", n, nil) })
		}, Alive},
		"the other half of the tier is cut off": {cutOff(true, true, "n0", "n1", "n2", "n4", "n5", "n6", "n7"), Alive},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := tier(seed, 16)
				s.run(5 * time.Second)
				if n := s.sees("n3", Alive); n != 15 {
					t.Fatalf("%d of 15 know of it at first", n)
				}
				c.befalls(s)
				s.run(13 * time.Second)
				seen := s.sees("n3", c.is)
				if want := 15; name == "the other half of the tier is cut off" && seen >= 8 { // those on its side
				} else if seen != want {
					t.Fatalf("seed %d: %d of %d hold it for %v; suspected by %d, dead to %d", seed, seen, want, c.is, s.sees("n3", Suspected), s.sees("n3", Dead))
				}
				s.cut = func(string, string) bool { return false }
				if s.nodes["n3"].up {
					s.run(23 * time.Second)
					if n := s.sees("n3", Alive); n != 15 {
						t.Errorf("seed %d: %d of 15 hold it for alive 10 s after all is well", seed, n)
					}
				}
			}
		})
	}
}

// A life cannot go back, whatever order words come in; only the node itself refutes what is said of it.
func TestLivesCannotGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(Member{Name: "a", Incarnation: 1}), New(Member{Name: "b", Incarnation: 1})
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{Name: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name"), Incarnation: int64(rapid.IntRange(1, 3).Draw(t, "up")),
				Refutations: uint32(rapid.IntRange(0, 2).Draw(t, "turn")), Condition: Condition(rapid.IntRange(0, 3).Draw(t, "condition"))}
		}), 1, 12).Draw(t, "words")
		for _, w := range words {
			was, ok := a.Get(w.Name)
			a.MergeMembers(time.Second, "", []Member{w})
			if is, _ := a.Get(w.Name); ok && Compare(is, was) < 0 {
				t.Fatalf("%+v went back to %+v", was, is)
			}
		}
		for _, i := range rapid.Permutation(words).Draw(t, "order") {
			b.MergeMembers(time.Second, "", []Member{i})
		}
		for _, name := range []string{"x", "y"} {
			if x, y := a.members[name], b.members[name]; Compare(x, y) != 0 {
				t.Fatalf("%+v or %+v, by the order", x, y)
			}
		}
		self := New(Member{Name: "x", Incarnation: 2})
		self.MergeMembers(time.Second, "", words)
		for _, w := range words {
			if w.Name == "x" && w.Incarnation == 2 && Compare(w, self.Self()) > 0 {
				t.Fatalf("%+v is not refuted by %+v", w, self.Self())
			}
			if w.Name == "x" && w.Incarnation > 2 && !self.IsReplaced() {
				t.Fatal("a later life was not noticed")
			}
		}
	})
}

var large = flag.Bool("large", false, "3,000 nodes as well, which takes minutes")

// What watching costs and how long it takes, by the size of the tier. Run with -v for the figures.
func TestWatchingAtScale(t *testing.T) {
	sizes := []int{16, 220}
	if *large {
		sizes = append(sizes, 3000)
	}
	for _, n := range sizes {
		s := newSim(7)
		s.start("n0")
		for i := 1; i < n; i++ { // all at once
			s.start(fmt.Sprint("n", i), "n0")
		}
		joined := time.Duration(0)
		for joined == 0 && s.now < 60*time.Second {
			s.run(s.now + 100*time.Millisecond)
			all := true
			for _, x := range s.nodes {
				all = all && len(x.t.members) == n
			}
			if all {
				joined = s.now - time.Second
			}
		}
		if joined == 0 {
			t.Fatalf("%d nodes do not all know each other", n)
		}
		atJoin := s.bytes
		s.run(s.now + 5*time.Second)
		s.bytes = 0
		from := s.now
		s.run(s.now + 4*time.Second)
		calm := float64(s.bytes) / (s.now - from).Seconds() / float64(n)
		s.die("n5", false)
		from, s.bytes = s.now, 0
		suspected, dead := time.Duration(0), time.Duration(0)
		for dead == 0 && s.now < from+20*time.Second {
			s.run(s.now + 50*time.Millisecond)
			if suspected == 0 && s.sees("n5", Suspected)+s.sees("n5", Dead) >= n-1 {
				suspected = s.now - from
			}
			if s.sees("n5", Dead) == n-1 {
				dead = s.now - from
			}
		}
		t.Logf("%4d nodes: all joined at once know each other after %v (%.0f kB each); calm %.0f bytes a second each; a death is suspected by all after %v, known after %v",
			n, joined, float64(atJoin)/float64(n)/1000, calm, suspected, dead)
		if dead == 0 || dead > 8*time.Second || calm > 4000 {
			t.Errorf("%d nodes: a death takes %v, calm %.0f bytes a second", n, dead, calm)
		}
		for name, x := range s.nodes {
			for _, m := range x.t.Members() {
				if m.Name != "n5" && m.Condition != Alive {
					t.Fatalf("%s holds %s for %v, and it lives", name, m.Name, m.Condition)
				}
			}
		}
	}
}
