package audit

import (
	"fmt"
	"slices"
	"time"
)

// leftGrace is how long after its client has left an attempt, first or further, may still begin.
const disconnectGrace = 100 * time.Millisecond

// rules are looked at for each request; each tells what is wrong with it, "" for nothing.
var rules = []struct {
	name   string
	about  string
	breaks func(*Audit, *request) string
}{
	{"answered", "each operation taken gets its final answer in time", (*Audit).unanswered},
	{"one-answer", "and no second one", (*Audit).twice},
	{"own-answer", "made by a server for that very request", (*Audit).foreign},
	{"nothing-after", "nothing is sent for it afterwards", (*Audit).after},
	{"leavers", "nor for a client that left a while ago", (*Audit).deserted},
	{"no-second-effect", "what may have run goes on only within what its type allows", (*Audit).repeated},
	{"clean-denial", "a denial only where trying again does no harm", (*Audit).unclean},
	{"hops", "no more hops than are allowed", (*Audit).tooMany},
	{"one-at-a-time", "no second copy while the first is out", (*Audit).copied},
	{"drains", "nothing new to a server that this node knows to drain or be gone", (*Audit).undrained},
	{"placement", "a type goes only to servers where its settings let it", (*Audit).misplaced},
	{"closing", "idle connections to a draining server are closed in time", (*Audit).unclosed},
}

// exempt: the node was ended on purpose while it held the request, or its client's time was over while it stood still.
func (a *Audit) exempt(r *request) bool {
	for _, d := range a.down[r.node] {
		if r.sent <= d.to && r.ended >= d.from && !(d.still && r.end == Dropped) {
			return true
		}
	}
	return false
}

func (a *Audit) unanswered(r *request) string {
	if !r.known || r.sent < 0 || r.ended < 0 || a.exempt(r) {
		return ""
	}
	switch r.end {
	case Unanswered:
		why := fmt.Sprintf("no answer in %s", (r.ended - r.sent).Round(time.Millisecond))
		for _, d := range a.down[r.node] {
			if since := r.sent - d.to; since > 0 && since < time.Second {
				why += fmt.Sprintf(", sent %s after node %d had come back", since.Round(time.Millisecond), r.node)
			}
		}
		return why
	case Dropped:
		return fmt.Sprintf("connection closed with no answer after %s", (r.ended - r.sent).Round(time.Millisecond))
	}
	return ""
}

func (a *Audit) twice(r *request) string {
	if r.extra {
		return "more than its answer came"
	}
	return ""
}

func (a *Audit) foreign(r *request) string {
	switch {
	case r.foreign:
		return "answered with what was made for another"
	case r.end == Answered && r.known && r.ended >= 0 && r.status == 200 && !slices.ContainsFunc(r.attempts, func(h attempt) bool { return h.ran >= 0 }):
		return "handled, and no server has run it"
	}
	return ""
}

func (a *Audit) after(r *request) string {
	if r.end != Answered || r.ended < 0 {
		return ""
	}
	for _, h := range r.attempts {
		if h.first > r.ended+a.f.Slack {
			return fmt.Sprintf("sent to %s %s after its answer", a.servers[h.server].Name, (h.first - r.ended).Round(time.Millisecond))
		}
	}
	return ""
}

// deserted looks at whatever the request waited for, and whatever its client had sent behind it.
func (a *Audit) deserted(r *request) string {
	if r.end != Disconnected && r.end != Unanswered || r.ended < 0 {
		return ""
	}
	for _, h := range r.attempts {
		if h.first > r.ended+disconnectGrace+a.f.Slack {
			return fmt.Sprintf("sent to %s %s after its client had left", a.servers[h.server].Name, (h.first - r.ended).Round(time.Millisecond))
		}
	}
	return ""
}

// mayHaveRun: it came whole, and its server has not said that it never began.
func (h *attempt) mayHaveRun() bool { return !h.unbegun }

func (a *Audit) sameGroup(t *Type, x, y int) bool {
	switch t.KeyScope {
	case Zone:
		return a.servers[x].Site == a.servers[y].Site
	case Cell:
		return a.servers[x].Cell == a.servers[y].Cell
	}
	return true
}

func (a *Audit) repeated(r *request) string {
	t := &a.f.Types[r.kind]
	if t.Idempotency == Idempotent {
		return ""
	}
	for i, h := range r.attempts {
		for _, earlier := range r.attempts[:i] {
			if !earlier.mayHaveRun() {
				continue
			}
			from, to := a.servers[earlier.server].Name, a.servers[h.server].Name
			switch {
			case t.Idempotency == NonIdempotent:
				return fmt.Sprintf("sent to %s though it may have run at %s", to, from)
			case !a.sameGroup(t, earlier.server, h.server):
				return fmt.Sprintf("sent to %s though it may have run in another group, at %s", to, from)
			case h.first > earlier.last+t.KeyRetention:
				return fmt.Sprintf("sent to %s %s after %s, which forgets after %s", to, (h.first - earlier.last).Round(time.Millisecond), from, t.KeyRetention)
			}
		}
	}
	return ""
}

func (a *Audit) unclean(r *request) string {
	t := &a.f.Types[r.kind]
	if r.end != Answered || r.status != 429 && r.status != 503 || t.Idempotency == Idempotent || t.Idempotency == IdempotentWithKey && t.KeyScope == All {
		return ""
	}
	for _, h := range r.attempts {
		if h.mayHaveRun() {
			return fmt.Sprintf("denied though it may have run at %s", a.servers[h.server].Name)
		}
	}
	return ""
}

func (a *Audit) tooMany(r *request) string {
	if len(r.attempts) > a.f.MaxAttempts {
		return fmt.Sprintf("%d hops", len(r.attempts))
	}
	return ""
}

func (a *Audit) copied(r *request) string {
	if a.f.AllowsHedging {
		return ""
	}
	for i, h := range r.attempts {
		for _, earlier := range r.attempts[:i] {
			if earlier.over >= 0 && h.first+a.f.Slack < earlier.over {
				return fmt.Sprintf("sent to %s while %s still had it, for %s more", a.servers[h.server].Name, a.servers[earlier.server].Name,
					(earlier.over - h.first).Round(time.Millisecond))
			}
		}
	}
	return ""
}

// undrained looks at what the node knew of the server when the attempt began. An attempt on its way is given the grace. That a server
// serves undoes a drain only if it is said of a later start: an old word of it may come from a planner that was away.
func (a *Audit) undrained(r *request) string {
	for _, h := range r.attempts {
		since, _ := a.disconnecting(r.node, h.server, h.first)
		if since >= 0 && h.first > since+a.f.DrainGrace+a.f.Slack {
			return fmt.Sprintf("sent to %s %s after node %d was told that it drains or is gone", a.servers[h.server].Name,
				(h.first - since).Round(time.Millisecond), r.node)
		}
	}
	return ""
}

// parting is since when a node knew at some time that a server drains or is gone, -1 if it did not, and which of them it was
// told first.
func (a *Audit) disconnecting(node, box int, at time.Duration) (since time.Duration, first Condition) {
	since, up := time.Duration(-1), int64(0)
	for _, t := range a.announcements[[2]int{node, box}] {
		switch {
		case t.at > at:
		case t.anew:
			since, up = -1, 0
		case t.up > up:
			if since, up = -1, t.up; t.cond != Serving {
				since, first = t.at, t.cond
			}
		case t.cond != Serving && since < 0 && (t.up == up || t.up == 0):
			since, first = t.at, t.cond
		}
	}
	return since, first
}

func (a *Audit) misplaced(r *request) string {
	t := &a.f.Types[r.kind]
	for _, h := range r.attempts {
		b := &a.servers[h.server]
		if t.Sites != nil && !slices.Contains(t.Sites, b.Site) || t.Kinds != nil && !slices.Contains(t.Kinds, b.Kind) {
			return fmt.Sprintf("sent to %s, of kind %q at site %d, which is not open to its type", b.Name, b.Kind, b.Site)
		}
	}
	return ""
}

// unclosed looks at the time that connections stood unused. The limit counts from the notice or, if later, from the last
// send or outcome of the node there.
func (a *Audit) unclosed(r *request) string {
	if !a.f.ClosesOnDrain {
		return ""
	}
	for _, c := range r.idle {
		since, first := a.disconnecting(r.node, c.server, c.to)
		if since < 0 || first != Draining {
			continue
		}
		last := max(since, c.from)
		for _, at := range a.activity(r.node, c.server) {
			if at <= c.to {
				last = max(last, at)
			}
		}
		if c.to > last+a.f.DrainClose+a.f.Slack {
			return fmt.Sprintf("a connection of node %d to %s stood idle for %s after the last that counts of its drain",
				r.node, a.servers[c.server].Name, (c.to - last).Round(time.Millisecond))
		}
	}
	return ""
}

// activity is when a node sent to a server and got outcomes from it.
func (a *Audit) activity(node, box int) []time.Duration {
	if a.active == nil {
		a.active = map[[2]int][]time.Duration{}
		for _, r := range a.requests {
			for _, h := range r.attempts {
				k := [2]int{r.node, h.server}
				a.active[k] = append(a.active[k], h.first, h.over)
			}
		}
	}
	return a.active[[2]int{node, box}]
}
