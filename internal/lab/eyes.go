package lab

import (
	"fmt"
	"sync"
	"time"

	"fernvane/internal/audit"
	"fernvane/internal/life"
	"fernvane/internal/load"
	"fernvane/internal/scenario"
	"fernvane/internal/standin/box"
	"fernvane/internal/standin/discovery"
)

// eyes see what clients, boxes and discovery see, and tell the audit. All times count since the start of the load.
type eyes struct {
	start time.Time
	s     *scenario.Scenario
	ops   []load.Operation

	mu      sync.Mutex
	audit   *audit.Audit
	boxes   map[string]int       // numbers by id
	listed  map[int]map[int]bool // by reader of the registry: boxes that it was told of last
	missing map[int]map[int]time.Duration
	drained map[[2]int]bool
	since   []time.Duration // by node: when it was started; while it is down, never
}

const never = time.Duration(1<<62 - 1)

func newEyes(s *scenario.Scenario, ops []load.Operation, start time.Time) *eyes {
	f := audit.Figures{DrainGrace: s.Rules.DrainGrace.D(), Slack: s.Rules.Slack.D(), MostHops: s.Rules.MostHops, Copies: s.Rules.Copies}
	for _, t := range s.Types {
		f.Types = append(f.Types, audit.Type{Name: t.Name, Window: t.Window.D(),
			Repeat: map[string]audit.Repeat{"fingerprinted": audit.Fingerprinted, "binding": audit.Binding}[t.Repeat],
			Group:  map[string]audit.Group{"zone": audit.Zone, "cell": audit.Cell}[t.Group]})
	}
	return &eyes{start: start, s: s, ops: ops, audit: audit.New(f), boxes: map[string]int{}, listed: map[int]map[int]bool{}, missing: map[int]map[int]time.Duration{}, drained: map[[2]int]bool{}, since: make([]time.Duration, s.Nodes.Count)}
}

// see tells the audit something.
func (e *eyes) see(tell func(a *audit.Audit, now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tell(e.audit, time.Since(e.start))
}

func (e *eyes) Sending(t *load.Try) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Sending(t.ID, e.ops[t.Op].Type, t.Way.Node) })
}

func (e *eyes) Sent(t *load.Try) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Sent(t.ID, t.Sent) })
}

func (e *eyes) Unread(t *load.Try) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Sent(t.ID, -1) })
}

var tryEnds = [...]audit.End{load.Answered: audit.Answered, load.Late: audit.Late, load.Unanswered: audit.Unanswered,
	load.Dropped: audit.Dropped, load.Unsent: audit.Unsent, load.Left: audit.Left}

func (e *eyes) Ended(t *load.Try) {
	e.see(func(a *audit.Audit, _ time.Duration) {
		a.Ended(t.ID, tryEnds[t.End], t.Status, t.Ended, t.Foreign, t.Extra)
	})
}

func (e *eyes) Extra(w load.Way) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Extra(w.Node) })
}

func (e *eyes) Lives(w load.Way, since time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.since[w.Node] <= since
}

// nodeDown and nodeUp keep the lives of nodes.
func (e *eyes) nodeDown(n int, onPurpose bool) {
	e.see(func(a *audit.Audit, now time.Duration) {
		e.since[n] = never
		if onPurpose {
			a.NodeDown(n, now)
		}
	})
}

// nodeStill and nodeOn tell of one that stands still, and lives all along.
func (e *eyes) nodeStill(n int) {
	e.see(func(a *audit.Audit, now time.Duration) { a.NodeStill(n, now) })
}

func (e *eyes) nodeOn(n int) {
	e.see(func(a *audit.Audit, now time.Duration) { a.NodeUp(n, now) })
}

func (e *eyes) nodeUp(n int) {
	e.see(func(a *audit.Audit, now time.Duration) {
		e.since[n] = now
		a.NodeUp(n, now)
	})
}

func (e *eyes) Asked(id uint64) (box.Asked, bool) {
	op, number := load.FromID(id)
	if op < 0 || op >= len(e.ops) || number > e.s.Clients.Retries {
		return box.Asked{}, false
	}
	o := &e.ops[op]
	return box.Asked{Work: o.Work, Key: o.Key}, true
}

func (e *eyes) Hop(id uint64, b int, first, last time.Duration) {
	e.see(func(a *audit.Audit, _ time.Duration) {
		if _, ok := e.Asked(id); !ok {
			a.Invented(b, fmt.Sprintf("%016x", id))
			return
		}
		a.Hop(id, b, first, last)
	})
}

func (e *eyes) Ran(id uint64, b int, at time.Duration) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Ran(id, b, at) })
}

func (e *eyes) Over(id uint64, b int, at time.Duration, unbegun bool) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Over(id, b, at, unbegun) })
}

func (e *eyes) Fell(b int, at time.Duration) {
	e.see(func(a *audit.Audit, _ time.Duration) { a.Fell(b, at) })
}

var conditions = map[string]audit.Condition{discovery.Serving: audit.Serving, discovery.Draining: audit.Draining, discovery.Deleted: audit.Gone}

// Told tells what discovery has told a node. What it tells a planner reaches nodes by that planner only.
func (e discovered) Told(node int, id, phase string, up int64, at time.Time) {
	if node >= e.s.Nodes.Count {
		return
	}
	e.see(func(a *audit.Audit, _ time.Duration) {
		if b, ok := e.boxes[id]; ok {
			a.Told(node, b, conditions[phase], up, at.Sub(e.start))
		}
	})
}

// discovered is what discovery tells.
type discovered struct{ *eyes }

var lives = [...]audit.Condition{life.Up: audit.Serving, life.Draining: audit.Draining, life.Gone: audit.Gone}

// Planned tells what a planner has told a node.
func (e *eyes) Planned(forwarder string, told []life.Entry, at time.Time) {
	var node int
	if _, err := fmt.Sscanf(forwarder, "n%d", &node); err != nil {
		return
	}
	e.see(func(a *audit.Audit, _ time.Duration) {
		for _, l := range told {
			if b, ok := e.boxes[l.ID]; ok {
				a.Told(node, b, lives[l.Condition], l.Up, at.Sub(e.start))
			}
		}
	})
}
