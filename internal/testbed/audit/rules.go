package audit

import (
	"fmt"
	"slices"
	"time"
)

// disconnectGrace is the time after a client's disconnect, also one at the end of its timeout, within which attempts of its
// request may still begin.
const disconnectGrace = 100 * time.Millisecond

// oneAnswer is the rule that unsolicited responses violate, too.
const oneAnswer = "one-answer"

// requestRules are the rules that are checked for each request. violation returns a description of how a request violates
// the rule, "" if it does not.
var requestRules = []struct {
	name        string
	description string
	violation   func(*Audit, *request) string
}{
	{"answered", "each accepted request gets its final answer in time", (*Audit).unanswered},
	{oneAnswer, "no request gets a second answer", (*Audit).answeredTwice},
	{"own-answer", "each answer was produced by a server for the same request", (*Audit).answeredForAnother},
	{"nothing-after", "no attempt begins after the final answer", (*Audit).sentAfterAnswer},
	{"leavers", "no attempt begins after the client disconnected", (*Audit).sentAfterDisconnect},
	{"no-second-effect", "requests that may have run are retried only as their type allows", (*Audit).repeatedUnsafely},
	{"clean-denial", "requests are rejected only if the client can safely retry them", (*Audit).rejectedUnsafely},
	{"hops", "no request has more attempts than allowed", (*Audit).tooManyAttempts},
	{"one-at-a-time", "no attempt begins while another is in flight", (*Audit).sentConcurrently},
	{"drains", "no new attempts at servers that the node knows to be draining or removed", (*Audit).sentToDraining},
	{"placement", "requests are sent only to servers that their type allows", (*Audit).misplaced},
	{"closing", "idle connections to a draining server are closed in time", (*Audit).idleTooLong},
}

// isExempt reports whether a request needs no answer, because its node was killed, crashed or was paused while the request
// was in flight. A pause does not exempt a request whose connection was closed: a paused node closes no connections.
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
		violation := fmt.Sprintf("no answer within %s", (r.ended - r.sent).Round(time.Millisecond))
		for _, outage := range a.outages[r.node] {
			if since := r.sent - outage.to; since > 0 && since < time.Second {
				violation += fmt.Sprintf(", sent %s after node %d was up again", since.Round(time.Millisecond), r.node)
			}
		}
		return violation
	case Dropped:
		return fmt.Sprintf("connection closed without an answer after %s", (r.ended - r.sent).Round(time.Millisecond))
	}
	return ""
}

// answeredTwice reports a request whose client received more bytes after the answer.
func (a *Audit) answeredTwice(r *request) string {
	if r.hasExtra {
		return "extra bytes received after the answer"
	}
	return ""
}

// answeredForAnother reports a request that got the answer to another request, or a success without an execution.
func (a *Audit) answeredForAnother(r *request) string {
	switch {
	case r.isForeign:
		return "got the answer to another request"
	case r.isFromClient && r.ended >= 0 && r.handled() && !slices.ContainsFunc(r.attempts, hasRun):
		return "answered with success, but executed by no server"
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
			return fmt.Sprintf("sent to %s %s after the final answer", a.servers[attempt.server].Name,
				(attempt.first - r.ended).Round(time.Millisecond))
		}
	}
	return ""
}

// sentAfterDisconnect reports an attempt that began after the client disconnected or its timeout expired. The rule applies
// whether the request is queued, waits for a retry or is in flight, and also if the client pipelined bytes after it.
func (a *Audit) sentAfterDisconnect(r *request) string {
	if r.end != Disconnected && r.end != Unanswered || r.ended < 0 {
		return ""
	}
	for _, attempt := range r.attempts {
		if attempt.first > r.ended+disconnectGrace+a.settings.Slack {
			return fmt.Sprintf("sent to %s %s after the client disconnected", a.servers[attempt.server].Name,
				(attempt.first - r.ended).Round(time.Millisecond))
		}
	}
	return ""
}

// hasRun reports whether a server began to execute the attempt.
func hasRun(x attempt) bool { return x.ran >= 0 }

// mayHaveRun reports whether a server may have executed the attempt: the server did not respond that it never ran.
func (x *attempt) mayHaveRun() bool { return !x.neverRan }

// sameGroup reports whether two servers share the idempotency keys of a type.
func (a *Audit) sameGroup(t *Type, first, second int) bool {
	switch t.KeyScope {
	case Zone:
		return a.servers[first].Site == a.servers[second].Site
	case Cell:
		return a.servers[first].Cell == a.servers[second].Cell
	}
	return true
}

// repeatedUnsafely reports an attempt that follows one that may have run, if the type does not allow it.
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
				return fmt.Sprintf("sent to %s, which is outside the key scope of %s, where it may have run", to, from)
			case attempt.first > earlier.last+t.KeyRetention:
				return fmt.Sprintf("sent to %s %s after the attempt at %s, where keys expire after %s", to,
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

// tooManyAttempts reports a request with more attempts than Settings.MaxAttempts.
func (a *Audit) tooManyAttempts(r *request) string {
	if len(r.attempts) > a.settings.MaxAttempts {
		return fmt.Sprintf("%d attempts sent", len(r.attempts))
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
				return fmt.Sprintf("sent to %s while the attempt at %s was in flight for another %s", a.servers[attempt.server].Name, a.servers[earlier.server].Name,
					(earlier.ended - attempt.first).Round(time.Millisecond))
			}
		}
	}
	return ""
}

// sentToDraining reports an attempt at a draining or removed server that began more than the drain grace after the node was
// notified of that condition. A notification that the server is serving ends the condition only if its start time is later
// than the known one: a planner that was unreachable may send an outdated notification.
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

// drainingSince returns the time of the first notification by which, at a given time, a node knew that a server was
// draining or removed, with the condition in it. since is -1 if the node did not know it.
func (a *Audit) drainingSince(node, server int, at time.Duration) (since time.Duration, first Condition) {
	since = -1
	startedAt := int64(0)
	for _, n := range a.notifications[[2]int{node, server}] {
		switch {
		case n.at > at: // not yet received
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

// misplaced reports an attempt at a server that the request's type does not allow.
func (a *Audit) misplaced(r *request) string {
	t := &a.settings.Types[r.typeIndex]
	for _, attempt := range r.attempts {
		server := &a.servers[attempt.server]
		if t.Sites != nil && !slices.Contains(t.Sites, server.Site) || t.Kinds != nil && !slices.Contains(t.Kinds, server.Kind) {
			return fmt.Sprintf("sent to %s, of kind %q at site %d, which the traffic type does not allow", server.Name, server.Kind, server.Site)
		}
	}
	return ""
}

// idleTooLong reports a connection to a draining server that stayed open and unused for longer than DrainClose. This time
// counts from the latest of these: the notification of the drain, the start of the idle period, and the start or end of the
// node's last attempt at the server. Servers that were removed without a drain are exempt.
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
			return fmt.Sprintf("connection of node %d to draining server %s was idle for %s since the drain notification or its last activity",
				r.node, a.servers[idle.server].Name, (idle.to - last).Round(time.Millisecond))
		}
	}
	return ""
}

// activity returns the start and end times of all attempts of a node at a server.
func (a *Audit) activity(node, server int) []time.Duration {
	if a.activityTimes == nil {
		a.activityTimes = map[[2]int][]time.Duration{}
		for _, r := range a.requests {
			for _, attempt := range r.attempts {
				key := [2]int{r.node, attempt.server}
				a.activityTimes[key] = append(a.activityTimes[key], attempt.first, attempt.ended)
			}
		}
	}
	return a.activityTimes[[2]int{node, server}]
}
