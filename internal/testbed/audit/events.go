package audit

import (
	"fmt"
	"time"
)

// attempt is one attempt at a server, as the server observed it.
type attempt struct {
	server   int
	first    time.Duration // first byte received
	last     time.Duration // last byte received
	ended    time.Duration // time of the response or of the end of the connection; -1: not reported
	neverRan bool          // the server responded that it has not executed it and will not
	ran      time.Duration // start of the execution; -1: not executed
}

// request is one try of a client, with its attempts at servers.
type request struct {
	typeIndex    int
	node         int
	sent         time.Duration // last byte written by the client; -1: never
	ended        time.Duration // end of the try; -1: not ended
	end          End
	status       int
	isForeign    bool // the client received the answer to another request
	hasExtra     bool // the client received bytes after the answer
	isFromClient bool // Sending was reported by a client
	attempts     []attempt
	idle         []idlePeriod
}

// idlePeriod is a period in which a connection to a server was unused after a request.
type idlePeriod struct {
	server int
	from   time.Duration
	to     time.Duration
}

// notification is a change of a server's condition of which a node was notified.
type notification struct {
	at        time.Duration
	condition Condition
	startedAt int64 // start time of the server in the notification; 0: not given
	isReset   bool  // the node lost or must ignore earlier notifications; only at is set
}

// outage is a period in which a node was down after a kill or a crash, or paused.
type outage struct {
	from    time.Duration
	to      time.Duration
	isPause bool
}

// ongoing is the end of an outage that has not ended.
const ongoing = time.Duration(1 << 62)

// Server adds a server. Servers are numbered in the order in which they are added.
func (a *Audit) Server(server Server) { a.servers = append(a.servers, server) }

// request returns the record of a request and creates it on first use.
func (a *Audit) request(id uint64) *request {
	r := a.requests[id]
	if r == nil {
		r = &request{sent: -1, ended: -1}
		a.requests[id] = r
	}
	return r
}

// lastAttempt returns the latest attempt of r at a server. If there is none, it returns an attempt that is not recorded.
func (r *request) lastAttempt(server int) *attempt {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].server == server {
			return &r.attempts[i]
		}
	}
	return &attempt{}
}

// Sending reports that a client starts to write a request to a node. typeIndex is the index of the request's type in
// Settings.Types.
func (a *Audit) Sending(id uint64, typeIndex, node int) {
	r := a.request(id)
	r.typeIndex = typeIndex
	r.node = node
	r.isFromClient = true
}

// Sent reports that the client wrote the last byte of a request.
func (a *Audit) Sent(id uint64, at time.Duration) { a.request(id).sent = at }

// Ended reports how the client's try ended. isForeign: the client received the answer to another request. hasExtra: the
// client received bytes after the answer.
func (a *Audit) Ended(id uint64, end End, status int, at time.Duration, isForeign, hasExtra bool) {
	r := a.request(id)
	r.ended = at
	r.end = end
	r.status = status
	r.isForeign = isForeign
	r.hasExtra = hasExtra
}

// UnsolicitedResponse reports that a node sent bytes on a connection with no request in flight.
func (a *Audit) UnsolicitedResponse(node int) {
	a.unsolicited = append(a.unsolicited, fmt.Sprintf("node %d", node))
}

// AttemptReceived reports that a server received a request. first and last are the times of its first and last byte.
func (a *Audit) AttemptReceived(id uint64, server int, first, last time.Duration) {
	r := a.request(id)
	r.attempts = append(r.attempts, attempt{server: server, first: first, last: last, ended: -1, ran: -1})
}

// ConnectionIdle reports that a connection to a server was unused after the request with the given ID, until it was closed
// or the next request arrived.
func (a *Audit) ConnectionIdle(id uint64, server int, from, to time.Duration) {
	r := a.request(id)
	r.idle = append(r.idle, idlePeriod{server: server, from: from, to: to})
}

// UnknownRequest reports that a server received a request that no client sent.
func (a *Audit) UnknownRequest(server int, id string) {
	a.unknown = append(a.unknown, fmt.Sprintf("%q at %s", id, a.servers[server].Name))
}

// AttemptRan reports that a server began to execute the latest attempt of a request that it received.
func (a *Audit) AttemptRan(id uint64, server int, at time.Duration) {
	a.request(id).lastAttempt(server).ran = at
}

// AttemptEnded reports that a server responded to the latest attempt of a request, or that its connection ended. neverRan:
// the response was a rejection before execution. Later reports for the same attempt are ignored.
func (a *Audit) AttemptEnded(id uint64, server int, at time.Duration, neverRan bool) {
	if attempt := a.request(id).lastAttempt(server); attempt.ended < 0 {
		attempt.ended = at
		attempt.neverRan = neverRan
	}
}

// NodeNotified reports that discovery or a planner notified a node of a server's condition. startedAt is the start time of
// the server in the notification, 0 if it has none.
func (a *Audit) NodeNotified(node, server int, condition Condition, startedAt int64, at time.Duration) {
	key := [2]int{node, server}
	a.notifications[key] = append(a.notifications[key], notification{at: at, condition: condition, startedAt: startedAt})
}

// NotificationsDiscarded reports that a node must ignore earlier notifications that a server is draining or removed.
func (a *Audit) NotificationsDiscarded(node, server int, at time.Duration) {
	key := [2]int{node, server}
	a.notifications[key] = append(a.notifications[key], notification{at: at, isReset: true})
}

// NodeDown reports that a node's process was killed or crashed. Requests in flight at it are exempt from the rule that each
// request is answered. It is not called for a graceful shutdown, in which the node must answer its requests.
func (a *Audit) NodeDown(node int, at time.Duration) {
	a.outages[node] = append(a.outages[node], outage{from: at, to: ongoing})
}

// NodePaused reports that a node's process was paused. Until NodeUp it answers no requests, but it loses no state.
func (a *Audit) NodePaused(node int, at time.Duration) {
	a.outages[node] = append(a.outages[node], outage{from: at, to: ongoing, isPause: true})
}

// NodeUp reports that a node was restarted or resumed. A restarted node has lost its notifications. A resumed node reads
// the notifications that arrived during the pause only now.
func (a *Audit) NodeUp(node int, at time.Duration) {
	outages := a.outages[node]
	if len(outages) == 0 {
		a.resetNotifications(node, at)
		return
	}
	last := &outages[len(outages)-1]
	last.to = min(last.to, at)
	if last.isPause {
		a.delayNotifications(node, last.from, at)
		return
	}
	a.resetNotifications(node, at)
}

// delayNotifications moves the notifications of a node after a given time to the time at which it could read them.
func (a *Audit) delayNotifications(node int, since, readAt time.Duration) {
	for server := range a.servers {
		notifications := a.notifications[[2]int{node, server}]
		for i := range notifications {
			if notifications[i].at > since {
				notifications[i].at = max(notifications[i].at, readAt)
			}
		}
	}
}

// resetNotifications records that a node lost its notifications.
func (a *Audit) resetNotifications(node int, at time.Duration) {
	for server := range a.servers {
		if len(a.notifications[[2]int{node, server}]) > 0 {
			a.NotificationsDiscarded(node, server, at)
		}
	}
}

// Crashed reports that a node's or planner's process exited without being stopped, or did not shut down gracefully. The
// testbed also reports its own failures as crashes of node -1.
func (a *Audit) Crashed(node int, reason string) {
	a.crashed = append(a.crashed, fmt.Sprintf("node %d: %s", node, reason))
}

// BadClientUnanswered reports that a client received neither an error response nor a close in time for malformed input.
func (a *Audit) BadClientUnanswered(description string) {
	a.badClients = append(a.badClients, description)
}

// JournalError reports that an execution is missing in a node's journal of non-idempotent requests, or contradicts it, or
// that entries were not replicated in time.
func (a *Audit) JournalError(description string) {
	a.journalErrors = append(a.journalErrors, description)
}

// ServerOverloaded reports that a server in slow start was overloaded.
func (a *Audit) ServerOverloaded(server int, at time.Duration) {
	a.overloaded = append(a.overloaded, fmt.Sprintf("%s at %s", a.servers[server].Name, at.Round(time.Millisecond)))
}
