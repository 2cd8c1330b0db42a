package scale

import (
	"sync"
	"time"
)

// ledger records changes of servers and when each node applied them. The latency of a change at a node is the time from the change at
// its source until the node's policy has processed it. The source and the recorder of the node's process read the same clock, that of
// the machine. A ledger is safe for concurrent use.
type ledger struct {
	nodes    int
	isServed func(node, server int) bool

	mu               sync.Mutex
	changes          []*change
	byMarker         map[int][]*change
	partitionEndedAt int64                  // Unix ns: end of the partition between regions; 0: there was none
	startedAt        []int64                // by node, Unix ns: last start
	completeAt       []int64                // by node, Unix ns: when it knew all servers; 0: it does not yet
	isDown           []bool                 // by node: it was killed and does not know all servers again yet
	routesAppliedAt  []int64                // by node, Unix ns: when it last applied routes
	counts           map[int]deliveryCounts // by process of nodes
	endedCounts      deliveryCounts         // sum over processes that have ended
}

// change is one change of a server.
type change struct {
	marker       int // number of the changed server
	draining     bool
	madeAt       int64   // Unix ns: time from which its latency counts
	supersededAt int64   // Unix ns: time of the next change of the same server; 0: none
	appliedAt    []int64 // by node, Unix ns; 0: not applied
	isUnserved   []bool  // by node: it does not serve the server's service
	wasDown      []bool  // by node: it was down when the change was made or later, before it applied the change
}

func newLedger(nodes int, served func(node, server int) bool) *ledger {
	return &ledger{nodes: nodes, isServed: served, byMarker: map[int][]*change{}, startedAt: make([]int64, nodes), completeAt: make([]int64, nodes),
		isDown: make([]bool, nodes), routesAppliedAt: make([]int64, nodes), counts: map[int]deliveryCounts{}}
}

// addChange adds a change that is about to be made. It supersedes the previous change of the same server.
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

// setMadeAt sets the time from which the latency of a change counts.
func (l *ledger) setMadeAt(c *change, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.madeAt = at
}

// recordAnnouncement records an announcement of a process of nodes.
func (l *ledger) recordAnnouncement(worker int, a announcement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Deliveries != nil {
		l.counts[worker] = *a.Deliveries
	}
	for _, r := range a.Records {
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

// recordMarker records which change a node's marker record confirms: one to the same state, made before the record and not
// superseded before it. A record with the state of an earlier change does not confirm a later one.
func (l *ledger) recordMarker(r record) {
	for _, c := range l.byMarker[r.Marker] {
		if c.draining == r.Draining && r.At >= c.madeAt && (c.supersededAt == 0 || r.At < c.supersededAt) && c.appliedAt[r.Node] == 0 {
			c.appliedAt[r.Node] = r.At
		}
	}
}

// nodesKilled records that a process and its nodes were killed. It adds the process's counts to those of ended processes, because
// a process that is started again counts from 0.
func (l *ledger) nodesKilled(worker int, nodes []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := l.counts[worker]
	l.endedCounts.Lists, l.endedCounts.Elements = l.endedCounts.Lists+ended.Lists, l.endedCounts.Elements+ended.Elements
	l.endedCounts.Plans, l.endedCounts.RouteUpdates = l.endedCounts.Plans+ended.Plans, l.endedCounts.RouteUpdates+ended.RouteUpdates
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

// allComplete reports whether each node knows all servers.
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

// deliveries returns the counts of policies' inputs, summed over all processes of nodes, ended ones included.
func (l *ledger) deliveries() (sum deliveryCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum = l.endedCounts
	for _, h := range l.counts {
		sum.Lists, sum.Elements = sum.Lists+h.Lists, sum.Elements+h.Elements
		sum.Plans, sum.RouteUpdates = sum.Plans+h.Plans, sum.RouteUpdates+h.RouteUpdates
	}
	return sum
}

// startLatency returns how long nodes took from a common time until they knew all servers.
func (l *ledger) startLatency(since time.Time, nodes []int) *ChangeLatency {
	return l.completionLatency(nodes, func(int) int64 { return since.UnixNano() })
}

// restartLatency returns how long nodes took from their own last start until they knew all servers.
func (l *ledger) restartLatency(nodes []int) *ChangeLatency {
	return l.completionLatency(nodes, func(node int) int64 { return l.startedAt[node] })
}

// completionLatency returns how long nodes took until they knew all servers, each from its own start.
func (l *ledger) completionLatency(nodes []int, since func(node int) int64) *ChangeLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latencies []time.Duration
	missing := 0
	for _, n := range nodes {
		if l.completeAt[n] == 0 {
			missing++
		} else if from := since(n); l.completeAt[n] >= from {
			latencies = append(latencies, time.Duration(l.completeAt[n]-from))
		}
	}
	return newChangeLatency(1, missing, 0, latencies)
}

// changeLatency returns the latency of the changes from the given index on. A change that was superseded by another one of the
// same server counts only at nodes that applied it.
func (l *ledger) changeLatency(from int) *ChangeLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latencies []time.Duration
	missing, down := 0, 0
	for _, c := range l.changes[from:] {
		for n, at := range c.appliedAt {
			switch {
			case c.isUnserved[n]:
			case c.wasDown[n]: // its latency would measure the downtime
				down++
			case at > 0:
				latencies = append(latencies, time.Duration(max(at-l.effectiveStart(c, at), 0)))
			case c.supersededAt == 0:
				missing++
			}
		}
	}
	return newChangeLatency(len(l.changes)-from, missing, down, latencies)
}

// effectiveStart returns the time from which a change counts at a node that applied it at a given time. A change that was made
// during a partition and applied after it counts from the end of the partition.
func (l *ledger) effectiveStart(c *change, appliedAt int64) int64 {
	if appliedAt > l.partitionEndedAt {
		return max(c.madeAt, l.partitionEndedAt)
	}
	return c.madeAt
}

// partitionEnded records the end of a partition between regions.
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

// reloadLatency returns how long nodes took, from the time of the order to reload, to apply the operator's file.
func (l *ledger) reloadLatency(since time.Time) *ChangeLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latencies []time.Duration
	missing := 0
	for _, at := range l.routesAppliedAt {
		if at >= since.UnixNano() {
			latencies = append(latencies, time.Duration(at-since.UnixNano()))
		} else {
			missing++
		}
	}
	return newChangeLatency(1, missing, 0, latencies)
}
