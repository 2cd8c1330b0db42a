package scale

import (
	"sync"
	"time"
)

// ledger holds what was changed, and when each node had it in force.
type ledger struct {
	nodes    int
	isServed func(node, server int) bool

	mu               sync.Mutex
	changes          []*change
	byMarker         map[int][]*change
	partitionEndedAt int64   // when regions that were apart reached each other again; 0: they were not apart
	startedAt        []int64 // by node, of its present life
	completeAt       []int64 // likewise; 0: it does not know all servers yet
	isDown           []bool
	routesAppliedAt  []int64 // when it last took in routes
	counts           map[int]deliveryCounts
	endedCounts      deliveryCounts // of processes that have ended
}

// change is one change of a server.
type change struct {
	marker       int
	draining     bool
	madeAt       int64
	supersededAt int64 // when the same server changed again; 0: it has not
	appliedAt    []int64
	isUnserved   []bool // nodes that are not told of the server
	wasDown      []bool // nodes that were down at some time from then on
}

func newLedger(nodes int, served func(node, server int) bool) *ledger {
	return &ledger{nodes: nodes, isServed: served, byMarker: map[int][]*change{}, startedAt: make([]int64, nodes), completeAt: make([]int64, nodes),
		isDown: make([]bool, nodes), routesAppliedAt: make([]int64, nodes), counts: map[int]deliveryCounts{}}
}

// changed notes a change that is being made.
func (l *ledger) addChange(marker int, draining bool, now time.Time) *change {
	at := now.UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &change{marker: marker, draining: draining, madeAt: at, appliedAt: make([]int64, l.nodes), isUnserved: make([]bool, l.nodes), wasDown: append([]bool(nil), l.isDown...)}
	for n := range c.isUnserved {
		c.isUnserved[n] = !l.isServed(n, marker)
	}
	if all := l.byMarker[marker]; len(all) > 0 {
		all[len(all)-1].supersededAt = at
	}
	l.byMarker[marker] = append(l.byMarker[marker], c)
	l.changes = append(l.changes, c)
	return c
}

// counts says from when on a change counts as made.
func (l *ledger) setMadeAt(c *change, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.madeAt = at
}

// heard takes in what a process of nodes says.
func (l *ledger) recordAnnouncement(worker int, t announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.Handed != nil {
		l.counts[worker] = *t.Handed
	}
	for _, r := range t.Records {
		switch r.Kind {
		case nodeStarted:
			l.startedAt[r.Node], l.completeAt[r.Node] = r.At, 0
		case completeApplied:
			l.completeAt[r.Node], l.isDown[r.Node] = r.At, false
		case completeLost:
			l.completeAt[r.Node] = 0
		case routesApplied:
			l.routesAppliedAt[r.Node] = r.At
		case markerApplied:
			l.recordMarker(r)
		}
	}
}

// took books a change by the state that it leads to: what was told of the one before says nothing of it.
func (l *ledger) recordMarker(r record) {
	for _, c := range l.byMarker[r.Marker] {
		if c.draining == r.Draining && r.At >= c.madeAt && (c.supersededAt == 0 || r.At < c.supersededAt) && c.appliedAt[r.Node] == 0 {
			c.appliedAt[r.Node] = r.At
		}
	}
}

// lost notes that nodes were killed.
func (l *ledger) nodesKilled(worker int, nodes []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.counts[worker]
	l.endedCounts.Lists, l.endedCounts.Elements = l.endedCounts.Lists+h.Lists, l.endedCounts.Elements+h.Elements
	l.endedCounts.Plans, l.endedCounts.Reroutes = l.endedCounts.Plans+h.Plans, l.endedCounts.Reroutes+h.Reroutes
	delete(l.counts, worker)
	for _, n := range nodes {
		l.completeAt[n], l.isDown[n] = 0, true
		for _, c := range l.changes {
			if c.appliedAt[n] == 0 {
				c.wasDown[n] = true
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
	for _, at := range l.completeAt {
		if at > 0 {
			n++
		}
	}
	return n
}

// handed are the sums over all processes of nodes.
func (l *ledger) handed() (sum deliveryCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum = l.endedCounts
	for _, h := range l.counts {
		sum.Lists, sum.Elements = sum.Lists+h.Lists, sum.Elements+h.Elements
		sum.Plans, sum.Reroutes = sum.Plans+h.Plans, sum.Reroutes+h.Reroutes
	}
	return sum
}

// start is how long nodes took, from a moment on, until they knew all servers.
func (l *ledger) startLatency(since time.Time, nodes []int) *ChangeLatency {
	return l.completionLatency(nodes, func(int) int64 { return since.UnixNano() })
}

// restarted is the same for each node from its own last start on.
func (l *ledger) restartLatency(nodes []int) *ChangeLatency {
	return l.completionLatency(nodes, func(node int) int64 { return l.startedAt[node] })
}

// knew is how long nodes took until they knew all servers, each from a moment of its own on.
func (l *ledger) completionLatency(nodes []int, since func(node int) int64) *ChangeLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	missing := 0
	for _, n := range nodes {
		if l.completeAt[n] == 0 {
			missing++
		} else if from := since(n); l.completeAt[n] >= from {
			took = append(took, time.Duration(l.completeAt[n]-from))
		}
	}
	return newChangeLatency(1, missing, 0, took)
}

// inForce is how long the changes since the n-th took. One that was overtaken by another of the same server counts only
// where it was taken.
func (l *ledger) changeLatency(from int) *ChangeLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	missing, down := 0, 0
	for _, c := range l.changes[from:] {
		for n, at := range c.appliedAt {
			switch {
			case c.isUnserved[n]:
			case c.wasDown[n]: // whenever it had it then: that says how long it was down
				down++
			case at > 0:
				took = append(took, time.Duration(max(at-l.effectiveStart(c, at), 0)))
			case c.supersededAt == 0:
				missing++
			}
		}
	}
	return newChangeLatency(len(l.changes)-from, missing, down, took)
}

// since is from when on a change counts at a node that took it at a moment: what was made while regions were apart, and
// came to a node only after that, counts from when they reached each other again.
func (l *ledger) effectiveStart(c *change, taken int64) int64 {
	if taken > l.partitionEndedAt {
		return max(c.madeAt, l.partitionEndedAt)
	}
	return c.madeAt
}

// together notes that regions reach each other again.
func (l *ledger) partitionEnded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitionEndedAt = now.UnixNano()
}

func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.changes)
}

// rerouted is how long nodes took to have the operator's file of a moment in force.
func (l *ledger) reloadLatency(since time.Time) *ChangeLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var took []time.Duration
	missing := 0
	for _, at := range l.routesAppliedAt {
		if at >= since.UnixNano() {
			took = append(took, time.Duration(at-since.UnixNano()))
		} else {
			missing++
		}
	}
	return newChangeLatency(1, missing, 0, took)
}
