package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// simulation is a cluster in virtual time. Each node runs a Table; connections take time, and paths can be cut.
type simulation struct {
	now   time.Duration
	nodes map[string]*simulatedNode
	names []string
	queue eventQueue
	seq   int                        // of the last queued event, orders events of the same time
	cut   func(from, to string) bool // whether messages on the path are lost
	bytes int                        // sent by all nodes
	rng   *rand.Rand
}

type simulatedNode struct {
	table *Table
	isUp  bool // the process is running
	links map[string]bool
}

type queuedEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return x
}

func newSimulation(seed uint64) *simulation {
	return &simulation{now: time.Second, nodes: map[string]*simulatedNode{}, cut: func(string, string) bool { return false }, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, queuedEvent{s.now + d, s.seq, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(queuedEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// start starts a node with seed addresses.
func (s *simulation) start(name string, seeds ...string) {
	n := &simulatedNode{table: New(Member{Name: name, Incarnation: int64(s.now), Address: name, Machine: name}), isUp: true, links: map[string]bool{}}
	if s.nodes[name] == nil {
		s.names = append(s.names, name)
	}
	s.nodes[name] = n
	for _, seed := range seeds {
		s.dial(name, n, seed)
	}
	s.after(time.Duration(s.rng.Int64N(int64(25*time.Millisecond))), func() { s.tick(name, n, seeds) })
}

func (s *simulation) tick(name string, n *simulatedNode, seeds []string) {
	if s.nodes[name] != n || !n.isUp {
		return
	}
	s.send(name, n, n.table.Tick(s.now))
	wanted := n.table.Watched()
	if dead := n.table.ReconnectCandidate(s.now); dead != "" {
		wanted = append(wanted, dead)
	}
	if len(n.links) == 0 {
		wanted = append(wanted, seeds...)
	}
	for _, other := range wanted {
		s.dial(name, n, other)
	}
	s.after(100*time.Millisecond, func() { s.tick(name, n, seeds) })
}

func (s *simulation) dial(name string, n *simulatedNode, other string) {
	if n.links[other] || other == name {
		return
	}
	s.after(2*time.Millisecond, func() {
		o := s.nodes[other]
		if o == nil || !o.isUp || !n.isUp || s.nodes[name] != n || n.links[other] || s.cut(name, other) || s.cut(other, name) {
			return
		}
		n.links[other], o.links[name] = true, true
		n.table.Connected(s.now, other)
		o.table.Connected(s.now, name)
		n.table.MergeMembers(s.now, other, []Member{o.table.Self()})
		o.table.MergeMembers(s.now, name, []Member{n.table.Self()})
	})
}

// crash terminates a process. With reset the connected nodes notice immediately, as by a connection reset.
func (s *simulation) crash(name string, reset bool) {
	n := s.nodes[name]
	n.isUp = false
	for other := range n.links {
		if reset {
			delete(s.nodes[other].links, name)
			s.nodes[other].table.Disconnected(name)
		}
	}
}

func (s *simulation) send(name string, n *simulatedNode, out []Outgoing) {
	for _, o := range out {
		if !n.links[o.To] {
			if _, isQuery := o.Message.(*LivenessQuery); isQuery { // opens a connection for the query
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
		s.after(time.Duration(1+s.rng.IntN(3))*time.Millisecond, func() {
			if to := s.nodes[o.To]; to != nil && to.isUp && to.links[name] && s.nodes[name] == n {
				s.send(o.To, to, to.table.HandleMessage(s.now, name, o.Message))
			}
		})
	}
}

// countObservers counts the running nodes whose table has another node in a condition.
func (s *simulation) countObservers(of string, c Condition) (n int) {
	for name, x := range s.nodes {
		if m, ok := x.table.Get(of); name != of && x.isUp && ok && m.Condition == c {
			n++
		}
	}
	return n
}

func newCluster(seed uint64, n int) *simulation {
	s := newSimulation(seed)
	for i := range n {
		s.start(fmt.Sprint("n", i), "n0", fmt.Sprint("n", (i+1)%n))
	}
	return s
}
