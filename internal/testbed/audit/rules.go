package audit

import (
	"fmt"
	"slices"
	"time"
)

// disconnectGrace is how long after its client disconnected an attempt may still begin.
const disconnectGrace = 100 * time.Millisecond

// oneAnswer is the rule that unsolicited responses violate too.
const oneAnswer = "one-answer"

// requestRules are checked for each request. violation returns in words how a request violates the rule, "" if it
// does not.
var requestRules = []struct {
	name        string
	description string
	violation   func(*Audit, *request) string
}{
	{"answered", "each request taken gets its final answer in time", (*Audit).unanswered},
	{oneAnswer, "and no second one", (*Audit).answeredTwice},
	{"own-answer", "made by a server for that very request", (*Audit).answeredForAnother},
	{"nothing-after", "nothing is sent for it afterwards", (*Audit).sentAfterAnswer},
	{"leavers", "nor after its client disconnected", (*Audit).sentAfterDisconnect},
	{"no-second-effect", "what may have run is retried only as its type allows", (*Audit).repeatedUnsafely},
	{"clean-denial", "a rejection only where a retry by the client is safe", (*Audit).rejectedUnsafely},
	{"hops", "no more attempts than are allowed", (*Audit).tooManyAttempts},
	{"one-at-a-time", "no second attempt while the first is in flight", (*Audit).sentConcurrently},
	{"drains", "nothing new to a server that this node knows to be draining or removed", (*Audit).sentToDraining},
	{"placement", "a type goes only to servers where its settings allow it", (*Audit).misplaced},
	{"closing", "idle connections to a draining server are closed in time", (*Audit).idleTooLong},
}

// isExempt reports whether a request needs no answer: its node was stopped while it held the request, or the client's
// timeout passed while the node was paused.
func (a *Audit) isExempt(r *request) bool {
	for _, outage := range a.outages[r.node] {
		overlaps := r.sent <= outage.to && r.ended >= outage.from
		if overlaps && !(outage.isPause && r.end == Dropped) {
			return true
		}
	}
	return false
}

// unanswered reports a request that got no answer in time and is not exempt.
func (a *Audit) unanswered(r *request) string {
	if !r.isFromClient || r.sent < 0 || r.ended < 0 || a.isExempt(r) {
		return ""
	}
	switch r.end {
	case Unanswered:
		why := fmt.Sprintf("no answer in %s", (r.ended - r.sent).Round(time.Millisecond))
		for _, outage := range a.outages[r.node] {
			if since := r.sent - outage.to; since > 0 && since < time.Second {
				why += fmt.Sprintf(", sent %s after node %d had come back", since.Round(time.Millisecond), r.node)
			}
		}
		return why
	case Dropped:
		return fmt.Sprintf("connection closed with no answer after %s", (r.ended - r.sent).Round(time.Millisecond))
	}
	return ""
}

// answeredTwice reports a request after whose answer more bytes came.
func (a *Audit) answeredTwice(r *request) string {
	if r.hasExtra {
		return "more than its answer came"
	}
	return ""
}

// answeredForAnother reports an answer that was made for another request, or a success without an execution.
func (a *Audit) answeredForAnother(r *request) string {
	switch {
	case r.isForeign:
		return "answered with what was made for another"
	case r.isFromClient && r.ended >= 0 && r.handled() && !slices.ContainsFunc(r.attempts, hasRun):
		return "handled, and no server has run it"
	}
	return ""
}

// sentAfterAnswer reports an attempt that began after the final answer.
func (a *Audit) sentAfterAnswer(r *request) string {
	if r.end != Answered || r.ended < 0 {
		return ""
	}
	for _, attempt := range r.attempts {
		if attempt.first > r.ended+a.settings.Slack {
			return fmt.Sprintf("sent to %s %s after its answer", a.servers[attempt.server].Name,
				(attempt.first - r.ended).Round(time.Millisecond))
		}
	}
	return ""
}

// sentAfterDisconnect reports an attempt that began after the client disconnected or gave up, whatever the request waited
// for and whatever the client had sent behind it.
func (a *Audit) sentAfterDisconnect(r *request) string {
	if r.end != Disconnected && r.end != Unanswered || r.ended < 0 {
		return ""
	}
	for _, attempt := range r.attempts {
		if attempt.first > r.ended+disconnectGrace+a.settings.Slack {
			return fmt.Sprintf("sent to %s %s after its client had disconnected", a.servers[attempt.server].Name,
				(attempt.first - r.ended).Round(time.Millisecond))
		}
	}
	return ""
}

// hasRun reports whether a server began to execute the attempt.
func hasRun(x attempt) bool { return x.ran >= 0 }

// mayHaveRun reports whether a server may have executed the attempt: it did not say that it never ran.
func (x *attempt) mayHaveRun() bool { return !x.neverRan }

// sameGroup reports whether two servers share the scope of the keys of a type.
func (a *Audit) sameGroup(t *Type, x, y int) bool {
	switch t.KeyScope {
	case Zone:
		return a.servers[x].Site == a.servers[y].Site
	case Cell:
		return a.servers[x].Cell == a.servers[y].Cell
	}
	return true
}

// repeatedUnsafely reports an attempt after one that may have run, beyond what the type allows.
func (a *Audit) repeatedUnsafely(r *request) string {
	t := &a.settings.Types[r.typeIndex]
	if t.Idempotency == Idempotent {
		return ""
	}
	for i, attempt := range r.attempts {
		for _, earlier := range r.attempts[:i] {
			if !earlier.mayHaveRun() {
				continue
			}
			from, to := a.servers[earlier.server].Name, a.servers[attempt.server].Name
			switch {
			case t.Idempotency == NonIdempotent:
				return fmt.Sprintf("sent to %s though it may have run at %s", to, from)
			case !a.sameGroup(t, earlier.server, attempt.server):
				return fmt.Sprintf("sent to %s though it may have run in another group, at %s", to, from)
			case attempt.first > earlier.last+t.KeyRetention:
				return fmt.Sprintf("sent to %s %s after %s, which keeps keys for %s", to,
					(attempt.first - earlier.last).Round(time.Millisecond), from, t.KeyRetention)
			}
		}
	}
	return ""
}

// rejectedUnsafely reports a rejection of a request that may have run and that the client cannot safely retry.
func (a *Audit) rejectedUnsafely(r *request) string {
	t := &a.settings.Types[r.typeIndex]
	isSafe := t.Idempotency == Idempotent || t.Idempotency == IdempotentWithKey && t.KeyScope == All
	if !r.rejected() || isSafe {
		return ""
	}
	for _, attempt := range r.attempts {
		if attempt.mayHaveRun() {
			return fmt.Sprintf("rejected though it may have run at %s", a.servers[attempt.server].Name)
		}
	}
	return ""
}

// tooManyAttempts reports a request with more attempts than are allowed.
func (a *Audit) tooManyAttempts(r *request) string {
	if len(r.attempts) > a.settings.MaxAttempts {
		return fmt.Sprintf("%d attempts", len(r.attempts))
	}
	return ""
}

// sentConcurrently reports an attempt that began while an earlier one was in flight, unless hedging is allowed.
func (a *Audit) sentConcurrently(r *request) string {
	if a.settings.AllowsHedging {
		return ""
	}
	for i, attempt := range r.attempts {
		for _, earlier := range r.attempts[:i] {
			if earlier.ended >= 0 && attempt.first+a.settings.Slack < earlier.ended {
				return fmt.Sprintf("sent to %s while %s still had it for %s", a.servers[attempt.server].Name, a.servers[earlier.server].Name,
					(earlier.ended - attempt.first).Round(time.Millisecond))
			}
		}
	}
	return ""
}

// sentToDraining reports an attempt at a server of whose drain or removal the node was notified more than the grace before.
// A notification that the server serves ends a drain only if it names a later start: an old one may come from a planner
// that was unreachable.
func (a *Audit) sentToDraining(r *request) string {
	for _, attempt := range r.attempts {
		since, _ := a.drainingSince(r.node, attempt.server, attempt.first)
		if since >= 0 && attempt.first > since+a.settings.DrainGrace+a.settings.Slack {
			return fmt.Sprintf("sent to %s %s after node %d was notified that it is draining or removed", a.servers[attempt.server].Name,
				(attempt.first - since).Round(time.Millisecond), r.node)
		}
	}
	return ""
}

// drainingSince returns since when a node knew, at a given time, that a server is draining or removed, -1 if it did not,
// and of which of the two it was notified first.
func (a *Audit) drainingSince(node, server int, at time.Duration) (since time.Duration, first Condition) {
	since = -1
	startedAt := int64(0)
	for _, n := range a.notifications[[2]int{node, server}] {
		switch {
		case n.at > at: // not yet
		case n.isReset:
			since = -1
			startedAt = 0
		case n.startedAt > startedAt:
			since = -1
			startedAt = n.startedAt
			if n.condition != Serving {
				since, first = n.at, n.condition
			}
		case n.condition != Serving && since < 0 && (n.startedAt == startedAt || n.startedAt == 0):
			since, first = n.at, n.condition
		}
	}
	return since, first
}

// misplaced reports an attempt at a server that its type may not be sent to.
func (a *Audit) misplaced(r *request) string {
	t := &a.settings.Types[r.typeIndex]
	for _, attempt := range r.attempts {
		server := &a.servers[attempt.server]
		if t.Sites != nil && !slices.Contains(t.Sites, server.Site) || t.Kinds != nil && !slices.Contains(t.Kinds, server.Kind) {
			return fmt.Sprintf("sent to %s, of kind %q at site %d, which is not open to its type", server.Name, server.Kind, server.Site)
		}
	}
	return ""
}

// idleTooLong reports a connection to a draining server that stayed open unused for longer than DrainClose. The limit
// counts from the notification or, if later, from the node's last send to the server or outcome from it.
func (a *Audit) idleTooLong(r *request) string {
	if !a.settings.ClosesOnDrain {
		return ""
	}
	for _, idle := range r.idle {
		since, first := a.drainingSince(r.node, idle.server, idle.to)
		if since < 0 || first != Draining {
			continue
		}
		last := max(since, idle.from)
		for _, at := range a.activity(r.node, idle.server) {
			if at <= idle.to {
				last = max(last, at)
			}
		}
		if idle.to > last+a.settings.DrainClose+a.settings.Slack {
			return fmt.Sprintf("a connection of node %d to %s was idle for %s after the limit of its drain began",
				r.node, a.servers[idle.server].Name, (idle.to - last).Round(time.Millisecond))
		}
	}
	return ""
}

// activity returns when a node sent attempts to a server and when they ended.
func (a *Audit) activity(node, server int) []time.Duration {
	if a.activityTimes == nil {
		a.activityTimes = map[[2]int][]time.Duration{}
		for _, r := range a.requests {
			for _, attempt := range r.attempts {
				k := [2]int{r.node, attempt.server}
				a.activityTimes[k] = append(a.activityTimes[k], attempt.first, attempt.ended)
			}
		}
	}
	return a.activityTimes[[2]int{node, server}]
}
