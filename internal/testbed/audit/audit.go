// Package audit reports whether the rules were kept, from what clients, servers, discovery and the process manager of the nodes saw.
// It is free of I/O: what happened is told to it in any order, and Verdict looks at the whole.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

type attempt struct {
	server  int
	first   time.Duration
	last    time.Duration
	over    time.Duration // -1: not seen
	unbegun bool          // the server said that it has not begun, and never will
	ran     time.Duration // -1: it has not
}

type request struct {
	kind     int
	node     int
	sent     time.Duration // -1: never whole
	ended    time.Duration
	end      End
	status   int
	foreign  bool
	extra    bool
	known    bool // a client has told of it
	attempts []attempt
	idle     []idle
}

// idle is how long a connection stood unused after a request on it.
type idle struct {
	server int
	from   time.Duration
	to     time.Duration
}

type announcement struct {
	at   time.Duration
	cond Condition
	up   int64 // when the server was said to have started; 0: not said
	anew bool  // the node has forgotten what was before
}

type span struct {
	from  time.Duration
	to    time.Duration
	still bool // it stood still, and lived
}

// Audit gathers what happened.
type Audit struct {
	f              Settings
	servers        []Server
	requests       map[uint64]*request
	announcements  map[[2]int][]announcement // by node and server
	down           map[int][]span            // by node
	extras         []string
	fallen         []string
	crashed        []string
	invented       []string
	owed           []string
	brokenPromises []string
	active         map[[2]int][]time.Duration // by node and server: sends and outcomes, in order; nil: not worked out
}

// New gathers from nothing.
func New(f Settings) *Audit {
	return &Audit{f: f, requests: map[uint64]*request{}, announcements: map[[2]int][]announcement{}, down: map[int][]span{}}
}

// Server makes the next server known; they are numbered from 0.
func (a *Audit) Server(b Server) { a.servers = append(a.servers, b) }

func (a *Audit) request(id uint64) *request {
	r := a.requests[id]
	if r == nil {
		r = &request{sent: -1, ended: -1}
		a.requests[id] = r
	}
	return r
}

// Sending reports that a client is about to write a request of a type to a node.
func (a *Audit) Sending(id uint64, kind, node int) {
	r := a.request(id)
	r.kind, r.node, r.known = kind, node, true
}

// Sent reports that its last byte was written.
func (a *Audit) Sent(id uint64, at time.Duration) { a.request(id).sent = at }

// Ended tells how the client's try ended; foreign, that the answer was made for another request; extra, that more came.
func (a *Audit) Ended(id uint64, end End, status int, at time.Duration, foreign, extra bool) {
	r := a.request(id)
	r.ended, r.end, r.status, r.foreign, r.extra = at, end, status, foreign, extra
}

// Extra reports that a node sent something on a connection on which nothing was asked.
func (a *Audit) Extra(node int) { a.extras = append(a.extras, fmt.Sprintf("node %d", node)) }

// Attempt reports that a server was sent a request, by when its first and its last byte came.
func (a *Audit) Attempt(id uint64, box int, first, last time.Duration) {
	r := a.request(id)
	r.attempts = append(r.attempts, attempt{server: box, first: first, last: last, over: -1, ran: -1})
}

// Idle reports that a connection to a server on which a request was the last stood unused, until it ended or the next one came.
func (a *Audit) Idle(id uint64, box int, from, to time.Duration) {
	r := a.request(id)
	r.idle = append(r.idle, idle{server: box, from: from, to: to})
}

// Invented reports that a server was sent what no client has sent.
func (a *Audit) Invented(box int, what string) {
	a.invented = append(a.invented, fmt.Sprintf("%q at %s", what, a.servers[box].Name))
}

// last is the latest attempt of a request at a server.
func (r *request) last(box int) *attempt {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].server == box {
			return &r.attempts[i]
		}
	}
	return &attempt{}
}

// Ran reports that a server has begun the work of its latest attempt of a request.
func (a *Audit) Ran(id uint64, box int, at time.Duration) { a.request(id).last(box).ran = at }

// Over reports that the attempt is out no more: it was answered, or its connection ended. unbegun: by a response that it never ran.
func (a *Audit) Over(id uint64, box int, at time.Duration, unbegun bool) {
	if h := a.request(id).last(box); h.over < 0 {
		h.over, h.unbegun = at, unbegun
	}
}

// Announced reports that a node was told of a server, by discovery or by any planner, and when that server was said to have started.
func (a *Audit) Announced(node, box int, c Condition, up int64, at time.Duration) {
	k := [2]int{node, box}
	a.announcements[k] = append(a.announcements[k], announcement{at: at, cond: c, up: up})
}

// Excused reports that what a node was told of a server's end is not to be believed.
func (a *Audit) Excused(node, box int, at time.Duration) {
	k := [2]int{node, box}
	a.announcements[k] = append(a.announcements[k], announcement{at: at, anew: true})
}

// NodeDown reports that a node was ended on purpose; what it held is its clients' to retry.
func (a *Audit) NodeDown(node int, at time.Duration) {
	a.down[node] = append(a.down[node], span{from: at, to: 1 << 62})
}

// NodeStill reports that a node stands still, up to NodeUp. It gives no answers then, and loses nothing that it has.
func (a *Audit) NodeStill(node int, at time.Duration) {
	a.down[node] = append(a.down[node], span{from: at, to: 1 << 62, still: true})
}

// NodeUp reports that it was started again, or goes on. What it was told before its end it does not know any more.
func (a *Audit) NodeUp(node int, at time.Duration) {
	d := a.down[node]
	if len(d) > 0 && d[len(d)-1].to > at {
		d[len(d)-1].to = at
	}
	if len(d) > 0 && d[len(d)-1].still { // what it was told meanwhile it could not read before
		for box := range a.servers {
			told := a.announcements[[2]int{node, box}]
			for i := range told {
				if told[i].at > d[len(d)-1].from {
					told[i].at = max(told[i].at, at)
				}
			}
		}
		return
	}
	for box := range a.servers {
		if k := [2]int{node, box}; len(a.announcements[k]) > 0 {
			a.announcements[k] = append(a.announcements[k], announcement{at: at, anew: true})
		}
	}
}

// Crashed reports that a node ended by itself.
func (a *Audit) Crashed(node int, why string) {
	a.crashed = append(a.crashed, fmt.Sprintf("node %d: %s", node, why))
}

// Owed reports that a client which sent what cannot be read got neither an error nor a close in time.
func (a *Audit) Owed(what string) { a.owed = append(a.owed, what) }

// BrokenPromise reports that a journal of non-idempotent requests lacks what a server has run, or claims what is not so.
func (a *Audit) BrokenPromise(what string) { a.brokenPromises = append(a.brokenPromises, what) }

// Fell reports that a cold server was sent too much.
func (a *Audit) Fell(box int, at time.Duration) {
	a.fallen = append(a.fallen, fmt.Sprintf("%s at %s", a.servers[box].Name, at.Round(time.Millisecond)))
}

// Rule is what the audit says of one rule.
type Rule struct {
	Name   string `json:"name"`
	About  string `json:"about"`
	Broken int    `json:"broken"`
	Worst  string `json:"worst,omitempty"`
}

// EachRan calls f for each work that a server has begun, of types that ask says yes to.
func (a *Audit) EachRan(ask func(kind int) bool, f func(id uint64, node, box int)) {
	for id, r := range a.requests {
		for _, h := range r.attempts {
			if r.known && h.ran >= 0 && ask(r.kind) {
				f(id, r.node, h.server)
			}
		}
	}
}

// Verdict says of each rule how often it was broken, and gives the first case.
func (a *Audit) Verdict() []Rule {
	ids := make([]uint64, 0, len(a.requests))
	for id := range a.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	a.active = nil
	var out []Rule
	for _, r := range rules {
		v := Rule{Name: r.name, About: r.about}
		for _, id := range ids {
			q := a.requests[id]
			slices.SortStableFunc(q.attempts, func(x, y attempt) int { return cmp.Compare(x.first, y.first) })
			if why := r.breaks(a, q); why != "" {
				if v.Broken++; v.Worst == "" {
					v.Worst = fmt.Sprintf("request %016x (%s): %s", id, a.f.Types[q.kind].Name, why)
				}
			}
		}
		out = append(out, v)
	}
	out[1].add(a.extras)
	for _, whole := range []struct {
		name  string
		about string
		all   []string
	}{
		{"known", "servers are sent only what clients have sent", a.invented},
		{"cold", "no cold server is pushed over", a.fallen},
		{"bad-clients", "what cannot be read is ended with an error or a close", a.owed},
		{"lives", "no node ends by itself", a.crashed},
		{"journal", "what bindings' servers have run stands in the journal, and none of it as not sent", a.brokenPromises},
	} {
		v := Rule{Name: whole.name, About: whole.about}
		v.add(whole.all)
		out = append(out, v)
	}
	return out
}

func (r *Rule) add(cases []string) {
	if r.Broken += len(cases); len(cases) > 0 && r.Worst == "" {
		r.Worst = cases[0]
	}
}
