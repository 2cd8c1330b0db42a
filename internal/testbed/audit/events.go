package audit

import (
	"fmt"
	"time"
)

// attempt is a request that a server received.
type attempt struct {
	server   int
	first    time.Duration // first byte received
	last     time.Duration // last byte received
	ended    time.Duration // answered or connection ended; -1: not seen
	neverRan bool          // the server answered that it did not and will not execute it
	ran      time.Duration // execution started; -1: it did not
}

// request is one try of a client, with what servers saw of it.
type request struct {
	typeIndex    int
	node         int
	sent         time.Duration // last byte written by the client; -1: never
	ended        time.Duration // -1: not yet
	end          End
	status       int
	isForeign    bool // its answer was made for another request
	hasExtra     bool // bytes came after its answer
	isFromClient bool // a client reported that it sends it
	attempts     []attempt
	idle         []idle
}

// idle is how long a connection to a server was unused after a request on it.
type idle struct {
	server int
	from   time.Duration
	to     time.Duration
}

// notification is what a node was notified of about a server.
type notification struct {
	at        time.Duration
	condition Condition
	startedAt int64 // start of the server that the notification is about; 0: not given
	isReset   bool  // the node lost or must ignore earlier notifications; the other fields are unset
}

// outage is a time in which a node was stopped or paused.
type outage struct {
	from    time.Duration
	to      time.Duration
	isPause bool
}

// ongoing is the end of an outage that has not ended.
const ongoing = time.Duration(1 << 62)

// Server adds the next server.
func (a *Audit) Server(server Server) { a.servers = append(a.servers, server) }

// request returns the record of a request, made on first use.
func (a *Audit) request(id uint64) *request {
	r := a.requests[id]
	if r == nil {
		r = &request{sent: -1, ended: -1}
		a.requests[id] = r
	}
	return r
}

// lastAttempt returns the latest attempt of r at a server, or an unused one if there is none.
func (r *request) lastAttempt(server int) *attempt {
	for i := len(r.attempts) - 1; i >= 0; i-- {
		if r.attempts[i].server == server {
			return &r.attempts[i]
		}
	}
	return &attempt{}
}

// Sending reports that a client is about to write a request to a node. typeIndex is its place in Settings.Types.
func (a *Audit) Sending(id uint64, typeIndex, node int) {
	r := a.request(id)
	r.typeIndex = typeIndex
	r.node = node
	r.isFromClient = true
}

// Sent reports that the client wrote the last byte of a request.
func (a *Audit) Sent(id uint64, at time.Duration) { a.request(id).sent = at }

// Ended reports how the client's try ended. isForeign says that the answer was made for another request, hasExtra that
// bytes came after it.
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

// AttemptReceived reports that a server received a request, with the times of its first and last byte.
func (a *Audit) AttemptReceived(id uint64, server int, first, last time.Duration) {
	r := a.request(id)
	r.attempts = append(r.attempts, attempt{server: server, first: first, last: last, ended: -1, ran: -1})
}

// ConnectionIdle reports that a connection to a server was unused after request id, until it ended or the next request
// came.
func (a *Audit) ConnectionIdle(id uint64, server int, from, to time.Duration) {
	r := a.request(id)
	r.idle = append(r.idle, idle{server: server, from: from, to: to})
}

// UnknownRequest reports that a server received a request that no client sent.
func (a *Audit) UnknownRequest(server int, what string) {
	a.unknown = append(a.unknown, fmt.Sprintf("%q at %s", what, a.servers[server].Name))
}

// AttemptRan reports that a server began to execute its latest attempt of a request.
func (a *Audit) AttemptRan(id uint64, server int, at time.Duration) {
	a.request(id).lastAttempt(server).ran = at
}

// AttemptEnded reports that a server's latest attempt of a request was answered or its connection ended. neverRan says
// that the answer was a rejection before execution. Only the first report counts.
func (a *Audit) AttemptEnded(id uint64, server int, at time.Duration, neverRan bool) {
	if attempt := a.request(id).lastAttempt(server); attempt.ended < 0 {
		attempt.ended = at
		attempt.neverRan = neverRan
	}
}

// NodeNotified reports that discovery or a planner notified a node of a server's condition. startedAt is the start of
// the server that the notification names, 0 if none.
func (a *Audit) NodeNotified(node, server int, condition Condition, startedAt int64, at time.Duration) {
	key := [2]int{node, server}
	a.notifications[key] = append(a.notifications[key], notification{at: at, condition: condition, startedAt: startedAt})
}

// NotificationsDiscarded reports that a node must ignore earlier notifications that a server drains or was removed.
func (a *Audit) NotificationsDiscarded(node, server int, at time.Duration) {
	key := [2]int{node, server}
	a.notifications[key] = append(a.notifications[key], notification{at: at, isReset: true})
}

// NodeDown reports that a node was stopped on purpose. Requests that it held are exempt from the rule of an answer.
func (a *Audit) NodeDown(node int, at time.Duration) {
	a.outages[node] = append(a.outages[node], outage{from: at, to: ongoing})
}

// NodePaused reports that a node's process was paused until NodeUp. It answers nothing meanwhile and loses no state.
func (a *Audit) NodePaused(node int, at time.Duration) {
	a.outages[node] = append(a.outages[node], outage{from: at, to: ongoing, isPause: true})
}

// NodeUp reports that a node was started again or resumed. A restarted node has lost its notifications; a resumed one
// reads those that came during the pause only now.
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

// delayNotifications moves a node's notifications since a time to when it could read them.
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

// resetNotifications marks that a node lost its notifications.
func (a *Audit) resetNotifications(node int, at time.Duration) {
	for server := range a.servers {
		if len(a.notifications[[2]int{node, server}]) > 0 {
			a.NotificationsDiscarded(node, server, at)
		}
	}
}

// Crashed reports that a node's process ended without being stopped.
func (a *Audit) Crashed(node int, why string) {
	a.crashed = append(a.crashed, fmt.Sprintf("node %d: %s", node, why))
}

// BadClientUnanswered reports that a client that sent malformed input got neither an error nor a close in time.
func (a *Audit) BadClientUnanswered(what string) { a.badClients = append(a.badClients, what) }

// JournalError reports that a node's journal of non-idempotent requests lacks an execution or contradicts one.
func (a *Audit) JournalError(what string) { a.journalErrors = append(a.journalErrors, what) }

// ServerOverloaded reports that a server in slow start was overloaded.
func (a *Audit) ServerOverloaded(server int, at time.Duration) {
	a.overloaded = append(a.overloaded, fmt.Sprintf("%s at %s", a.servers[server].Name, at.Round(time.Millisecond)))
}
