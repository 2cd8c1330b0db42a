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

// observer reports the events of clients, servers, discovery and planners to the audit. It implements load.Watcher and the
// observer interface of each stand-in. It is safe for concurrent use. Times count from start.
type observer struct {
	start    time.Time
	scenario *scenario.Scenario
	requests []load.Request

	mu           sync.Mutex
	audit        *audit.Audit
	servers      map[string]int                // server numbers by ID
	lastListed   map[int]map[int]bool          // by node: servers in the last list that the registry sent to it
	missingSince map[int]map[int]time.Duration // by node: when servers disappeared from that list
	drained      map[[2]int]bool               // by node and server: the registry notified the node of a drain
	runningSince []time.Duration               // by node: time of its last start; never while it is down
}

// never is a time after the end of every run.
const never = time.Duration(1<<62 - 1)

func newObserver(s *scenario.Scenario, requests []load.Request, start time.Time) *observer {
	return &observer{
		start:        start,
		scenario:     s,
		requests:     requests,
		audit:        audit.New(auditSettings(s)),
		servers:      map[string]int{},
		lastListed:   map[int]map[int]bool{},
		missingSince: map[int]map[int]time.Duration{},
		drained:      map[[2]int]bool{},
		runningSince: make([]time.Duration, s.Nodes.Count),
	}
}

// Idempotencies and key scopes by their names in scenario files.
var (
	idempotencies = map[string]audit.Idempotency{"fingerprinted": audit.IdempotentWithKey, "binding": audit.NonIdempotent}
	keyScopes     = map[string]audit.KeyScope{"zone": audit.Zone, "cell": audit.Cell}
)

// auditSettings returns the limits that the audit checks in a scenario.
func auditSettings(s *scenario.Scenario) audit.Settings {
	settings := audit.Settings{
		DrainGrace:    s.Rules.DrainGrace.Std(),
		Slack:         s.Rules.Slack.Std(),
		MaxAttempts:   s.Rules.MaxAttempts,
		AllowsHedging: s.Rules.AllowsHedging,
		ClosesOnDrain: s.Rules.DrainClose > 0,
		DrainClose:    s.Rules.DrainClose.Std(),
	}
	for _, t := range s.Types {
		var sites []int
		for _, site := range t.OnlySites {
			sites = append(sites, slices.Index(s.Sites, site))
		}
		settings.Types = append(settings.Types, audit.Type{
			Name:         t.Name,
			Idempotency:  idempotencies[t.Idempotency],
			KeyScope:     keyScopes[t.KeyScope],
			KeyRetention: t.KeyRetention.Std(),
			Sites:        sites,
			Kinds:        t.OnlyKinds,
		})
	}
	return settings
}

// record calls report with the audit and the current time, under the lock.
func (o *observer) record(report func(a *audit.Audit, now time.Duration)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	report(o.audit, time.Since(o.start))
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

func (o *observer) UnsolicitedResponse(endpoint load.Endpoint) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.UnsolicitedResponse(endpoint.Node) })
}

func (o *observer) HasRunSince(endpoint load.Endpoint, since time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runningSince[endpoint.Node] <= since
}

// nodeDown records that a node's process exited or is being killed. exemptsRequests exempts the requests in flight at it
// from the rule that each request is answered; a graceful shutdown does not.
func (o *observer) nodeDown(n int, exemptsRequests bool) {
	o.record(func(a *audit.Audit, now time.Duration) {
		o.runningSince[n] = never
		if exemptsRequests {
			a.NodeDown(n, now)
		}
	})
}

func (o *observer) nodePaused(n int) {
	o.record(func(a *audit.Audit, now time.Duration) { a.NodePaused(n, now) })
}

func (o *observer) nodeResumed(n int) {
	o.record(func(a *audit.Audit, now time.Duration) { a.NodeUp(n, now) })
}

func (o *observer) nodeUp(n int) {
	o.record(func(a *audit.Audit, now time.Duration) {
		o.runningSince[n] = now
		a.NodeUp(n, now)
	})
}

func (o *observer) FindRequest(id uint64) (server.RequestInfo, bool) {
	index, try := load.FromID(id)
	if index < 0 || index >= len(o.requests) || try > o.scenario.Clients.Retries {
		return server.RequestInfo{}, false
	}
	request := &o.requests[index]
	return server.RequestInfo{Work: request.Work, Key: request.Key}, true
}

func (o *observer) Attempt(id uint64, serverNumber int, first, last time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) {
		if _, ok := o.FindRequest(id); !ok {
			a.UnknownRequest(serverNumber, fmt.Sprintf("%016x", id))
			return
		}
		a.AttemptReceived(id, serverNumber, first, last)
	})
}

func (o *observer) Ran(id uint64, serverNumber int, at time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.AttemptRan(id, serverNumber, at) })
}

func (o *observer) AttemptEnded(id uint64, serverNumber int, at time.Duration, neverRan bool) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.AttemptEnded(id, serverNumber, at, neverRan) })
}

func (o *observer) Overloaded(serverNumber int, at time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.ServerOverloaded(serverNumber, at) })
}

func (o *observer) Idle(id uint64, serverNumber int, from, to time.Duration) {
	o.record(func(a *audit.Audit, _ time.Duration) { a.ConnectionIdle(id, serverNumber, from, to) })
}

// discoveryConditions maps the conditions of the discovery stand-in to conditions of the audit.
var discoveryConditions = map[string]audit.Condition{discovery.Serving: audit.Serving, discovery.Draining: audit.Draining, discovery.Deleted: audit.Removed}

// Announced records that discovery notified a node of a server's condition. Notifications of planners are ignored, because
// nodes receive them only through the planner.
func (o discoveryObserver) Announced(node int, id, condition string, startedAt int64, at time.Time) {
	if node >= o.scenario.Nodes.Count {
		return
	}
	o.record(func(a *audit.Audit, _ time.Duration) {
		if number, ok := o.servers[id]; ok {
			a.NodeNotified(node, number, discoveryConditions[condition], startedAt, at.Sub(o.start))
		}
	})
}

// discoveryObserver is the observer of the discovery stand-in. Its method Announced has other parameters than that of
// the registry stand-in.
type discoveryObserver struct{ *observer }

// plannerConditions maps the conditions in notifications of planners to conditions of the audit.
var plannerConditions = [...]audit.Condition{incarnation.Up: audit.Serving, incarnation.Draining: audit.Draining, incarnation.Gone: audit.Removed}

// Planned records that a planner notified a node of servers' conditions.
func (o *observer) Planned(forwarder string, entries []incarnation.Entry, at time.Time) {
	var node int
	if _, err := fmt.Sscanf(forwarder, "n%d", &node); err != nil {
		return
	}
	o.record(func(a *audit.Audit, _ time.Duration) {
		for _, entry := range entries {
			if number, ok := o.servers[entry.ID]; ok {
				a.NodeNotified(node, number, plannerConditions[entry.Condition], entry.StartedUnixMS, at.Sub(o.start))
			}
		}
	})
}
