package testbed

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/load"
	"fernvane/internal/testbed/scenario"
	"fernvane/internal/testbed/standin/discovery"
	"fernvane/internal/testbed/standin/server"
)

// observer tells the audit what clients, servers, discovery and planners see; it is safe for concurrent use. All times count since
// the start of the load.
type observer struct {
	start    time.Time
	s        *scenario.Scenario
	requests []load.Request

	mu      sync.Mutex
	audit   *audit.Audit
	servers map[string]int       // numbers by id
	listed  map[int]map[int]bool // by reader of the registry: servers that it was told of last
	missing map[int]map[int]time.Duration
	drained map[[2]int]bool
	since   []time.Duration // by node: when it was started; while it is down, never
}

const never = time.Duration(1<<62 - 1)

func newObserver(s *scenario.Scenario, ops []load.Request, start time.Time) *observer {
	f := audit.Settings{DrainGrace: s.Rules.DrainGrace.Std(), Slack: s.Rules.Slack.Std(), MaxAttempts: s.Rules.MaxAttempts, AllowsHedging: s.Rules.Copies,
		ClosesOnDrain: s.Rules.DrainClose > 0, DrainClose: s.Rules.DrainClose.Std()}
	for _, t := range s.Types {
		var sites []int
		for _, site := range t.OnlySites {
			sites = append(sites, slices.Index(s.Sites, site))
		}
		f.Types = append(f.Types, audit.Type{Name: t.Name, KeyRetention: t.Window.Std(), Sites: sites, Kinds: t.OnlyKinds,
			Idempotency: map[string]audit.Idempotency{"fingerprinted": audit.IdempotentWithKey, "binding": audit.NonIdempotent}[t.Repeat],
			KeyScope:    map[string]audit.KeyScope{"zone": audit.Zone, "cell": audit.Cell}[t.Group]})
	}
	return &observer{start: start, s: s, requests: ops, audit: audit.New(f), servers: map[string]int{}, listed: map[int]map[int]bool{}, missing: map[int]map[int]time.Duration{}, drained: map[[2]int]bool{}, since: make([]time.Duration, s.Nodes.Count)}
}

// record tells the audit something, under the lock.
func (o *observer) record(tell func(a *audit.Audit, now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	tell(o.audit, time.Since(o.start))
}

func (o *observer) Sending(t *load.Try) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.Sending(t.ID, o.requests[t.Request].Type, t.Endpoint.Node) })
}

func (o *observer) Sent(t *load.Try) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.Sent(t.ID, t.Sent) })
}

func (o *observer) Unread(t *load.Try) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.Sent(t.ID, -1) })
}

var tryEnds = [...]audit.End{load.Answered: audit.Answered, load.Late: audit.Late, load.Unanswered: audit.Unanswered,
	load.Dropped: audit.Dropped, load.Unsent: audit.Unsent, load.Disconnected: audit.Disconnected}

func (o *observer) Ended(t *load.Try) {
	o.record(func(a *audit.Audit, _ time.Duration) {
		a.Ended(t.ID, tryEnds[t.End], t.Status, t.Ended, t.IsForeign, t.HasExtra)
	})
}

func (o *observer) UnsolicitedResponse(w load.Endpoint) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.UnsolicitedResponse(w.Node) })
}

func (o *observer) HasRunSince(w load.Endpoint, since time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.since[w.Node] <= since
}

// nodeDown and nodeUp keep the lives of nodes.
func (o *observer) nodeDown(n int, onPurpose bool) {
	o.record(func(a *audit.Audit, now time.Duration) {
		o.since[n] = never
		if onPurpose {
			a.NodeDown(n, now)
		}
	})
}

// nodeStill and nodeOn tell of one that stands still, and lives all along.
func (o *observer) nodeStill(n int) {
	o.record(func(a *audit.Audit, now time.Duration) { a.NodePaused(n, now) })
}

func (o *observer) nodeOn(n int) {
	o.record(func(a *audit.Audit, now time.Duration) { a.NodeUp(n, now) })
}

func (o *observer) nodeUp(n int) {
	o.record(func(a *audit.Audit, now time.Duration) {
		o.since[n] = now
		a.NodeUp(n, now)
	})
}

func (o *observer) Asked(id uint64) (server.Asked, bool) {
	op, number := load.FromID(id)
	if op < 0 || op >= len(o.requests) || number > o.s.Clients.Retries {
		return server.Asked{}, false
	}
	operation := &o.requests[op]
	return server.Asked{Work: operation.Work, Key: operation.Key}, true
}

func (o *observer) Attempt(id uint64, b int, first, last time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) {
		if _, ok := o.Asked(id); !ok {
			a.UnknownRequest(b, fmt.Sprintf("%016x", id))
			return
		}
		a.AttemptReceived(id, b, first, last)
	})
}

func (o *observer) Ran(id uint64, b int, at time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.AttemptRan(id, b, at) })
}

func (o *observer) Over(id uint64, b int, at time.Duration, unbegun bool) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.AttemptEnded(id, b, at, unbegun) })
}

func (o *observer) Fell(b int, at time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.ServerOverloaded(b, at) })
}

func (o *observer) Idle(id uint64, b int, from, to time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.ConnectionIdle(id, b, from, to) })
}

var conditions = map[string]audit.Condition{discovery.Serving: audit.Serving, discovery.Draining: audit.Draining, discovery.Deleted: audit.Removed}

// Announced reports what discovery has told a node. What it tells a planner reaches nodes by that planner only.
func (o discovered) Announced(node int, id, phase string, up int64, at time.Time) {
	if node >= o.s.Nodes.Count {
		return
	}
	o.record(func(a *audit.Audit, _ time.Duration) {
		if b, ok := o.servers[id]; ok {
			a.NodeNotified(node, b, conditions[phase], up, at.Sub(o.start))
		}
	})
}

// discovered is what discovery tells.
type discovered struct{ *observer }

var incarnations = [...]audit.Condition{incarnation.Up: audit.Serving, incarnation.Draining: audit.Draining, incarnation.Gone: audit.Removed}

// Planned tells what a planner has told a node.
func (o *observer) Planned(forwarder string, told []incarnation.Entry, at time.Time) {
	var node int
	if _, err := fmt.Sscanf(forwarder, "n%d", &node); err != nil {
		return
	}
	o.record(func(a *audit.Audit, _ time.Duration) {
		for _, l := range told {
			if b, ok := o.servers[l.ID]; ok {
				a.NodeNotified(node, b, incarnations[l.Condition], l.StartedUnixMS, at.Sub(o.start))
			}
		}
	})
}
