package scale

import (
	"sync"
	"time"
)

// ledger holds what was changed, and when each node had it in force.
type ledger struct {
	nodes  int
	served func(node, server int) bool

	mu       sync.Mutex
	changes  []*change
	byMark   map[int][]*change
	reached  int64   // when regions that were apart reached each other again; 0: they were not apart
	started  []int64 // by node, of its present life
	complete []int64 // likewise; 0: it does not know all servers yet
	down     []bool
	routed   []int64 // when it last took in routes
	modules  map[int]handed
	earlier  handed // of processes that have ended
}

// change is one change of a server.
type change struct {
	marker   int
	draining bool
	at       int64
	next     int64 // when the same server changed again; 0: it has not
	taken    []int64
	apart    []bool // nodes that are not told of the server
	down     []bool // nodes that were down at some time from then on
}

func newLedger(nodes int, served func(node, server int) bool) *ledger {
	return &ledger{nodes: nodes, served: served, byMark: map[int][]*change{}, started: make([]int64, nodes), complete: make([]int64, nodes),
		down: make([]bool, nodes), routed: make([]int64, nodes), modules: map[int]handed{}}
}

// changed notes a change that is being made.
func (l *ledger) changed(marker int, draining bool, now time.Time) *change {
	at := now.UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &change{marker: marker, draining: draining, at: at, taken: make([]int64, l.nodes), apart: make([]bool, l.nodes), down: append([]bool(nil), l.down...)}
	for n := range c.apart {
		c.apart[n] = !l.served(n, marker)
	}
	if all := l.byMark[marker]; len(all) > 0 {
		all[len(all)-1].next = at
	}
	l.byMark[marker] = append(l.byMark[marker], c)
	l.changes = append(l.changes, c)
	return c
}

// counts says from when on a change counts as made.
func (l *ledger) counts(c *change, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.at = at
}

// heard takes in what a process of nodes says.
func (l *ledger) heard(worker int, t announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Handed != nil {
		l.modules[worker] = *t.Handed
	}
	for _, r := range t.Records {
		switch r.Kind {
		case nodeStarted:
			l.started[r.Node], l.complete[r.Node] = r.At, 0
		case completeApplied:
			l.complete[r.Node], l.down[r.Node] = r.At, false
		case completeLost:
			l.complete[r.Node] = 0
		case routesTaken:
			l.routed[r.Node] = r.At
		case markerTaken:
			l.took(r)
		}
	}
}

// took books a change by the state that it leads to: what was told of the one before says nothing of it.
func (l *ledger) took(r record) {
	for _, c := range l.byMark[r.Marker] {
		if c.draining == r.Draining && r.At >= c.at && (c.next == 0 || r.At < c.next) && c.taken[r.Node] == 0 {
			c.taken[r.Node] = r.At
		}
	}
}

// lost notes that nodes were killed.
func (l *ledger) lost(worker int, nodes []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.modules[worker]
	l.earlier.Lists, l.earlier.Elements = l.earlier.Lists+h.Lists, l.earlier.Elements+h.Elements
	l.earlier.Plans, l.earlier.Reroutes = l.earlier.Plans+h.Plans, l.earlier.Reroutes+h.Reroutes
	delete(l.modules, worker)
	for _, n := range nodes {
		l.complete[n], l.down[n] = 0, true
		for _, c := range l.changes {
			if c.taken[n] == 0 {
				c.down[n] = true
			}
		}
	}
}

// allWhole reports whether each node knows all servers.
func (l *ledger) allComplete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countComplete() == l.nodes
}

func (l *ledger) countComplete() (n int) {
	for _, at := range l.complete {
		if at > 0 {
			n++
		}
	}
	return n
}

// handed are the sums over all processes of nodes.
func (l *ledger) handed() (sum handed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum = l.earlier
	for _, h := range l.modules {
		sum.Lists, sum.Elements = sum.Lists+h.Lists, sum.Elements+h.Elements
		sum.Plans, sum.Reroutes = sum.Plans+h.Plans, sum.Reroutes+h.Reroutes
	}
	return sum
}

// start is how long nodes took, from a moment on, until they knew all servers.
func (l *ledger) start(since time.Time, nodes []int) *InForce {
	return l.knew(nodes, func(int) int64 { return since.UnixNano() })
}

// restarted is the same for each node from its own last start on.
func (l *ledger) restarted(nodes []int) *InForce {
	return l.knew(nodes, func(node int) int64 { return l.started[node] })
}

// knew is how long nodes took until they knew all servers, each from a moment of its own on.
func (l *ledger) knew(nodes []int, since func(node int) int64) *InForce {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	missing := 0
	for _, n := range nodes {
		if l.complete[n] == 0 {
			missing++
		} else if from := since(n); l.complete[n] >= from {
			took = append(took, time.Duration(l.complete[n]-from))
		}
	}
	return newInForce(1, missing, 0, took)
}

// inForce is how long the changes since the n-th took. One that was overtaken by another of the same server counts only
// where it was taken.
func (l *ledger) inForce(from int) *InForce {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	missing, down := 0, 0
	for _, c := range l.changes[from:] {
		for n, at := range c.taken {
			switch {
			case c.apart[n]:
			case c.down[n]: // whenever it had it then: that says how long it was down
				down++
			case at > 0:
				took = append(took, time.Duration(max(at-l.since(c, at), 0)))
			case c.next == 0:
				missing++
			}
		}
	}
	return newInForce(len(l.changes)-from, missing, down, took)
}

// since is from when on a change counts at a node that took it at a moment: what was made while regions were apart, and
// came to a node only after that, counts from when they reached each other again.
func (l *ledger) since(c *change, taken int64) int64 {
	if taken > l.reached {
		return max(c.at, l.reached)
	}
	return c.at
}

// together notes that regions reach each other again.
func (l *ledger) together(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reached = now.UnixNano()
}

func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.changes)
}

// rerouted is how long nodes took to have the operator's file of a moment in force.
func (l *ledger) rerouted(since time.Time) *InForce {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	missing := 0
	for _, at := range l.routed {
		if at >= since.UnixNano() {
			took = append(took, time.Duration(at-since.UnixNano()))
		} else {
			missing++
		}
	}
	return newInForce(1, missing, 0, took)
}
