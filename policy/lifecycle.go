package policy

// state is the progress of a request toward its final response.
type state uint8

const (
	stateNew      state = iota // arriving
	stateQueued                // queued for a server, without an attempt in flight
	stateInFlight              // an attempt is in flight
	stateDone                  // has its final response or needs none
	stateCount
)

// signal is an event that may change a request's state.
type signal uint8

const (
	onArrival           signal = iota
	onTick                     // time has passed, or capacity may have become free
	onSuccess                  // an attempt brought the final response
	onFailure                  // an attempt ended without it
	onResponseNotNeeded        // a response is no longer needed
	signalCount
)

// transition is one row of the lifecycle.
type transition struct {
	from   state
	on     signal
	guard  func(*Policy, int) bool // called with the request's index
	to     state
	action func(*Policy, int)
}

// lifecycle returns the transitions of a request. The first transition with a matching state and signal whose guard
// returns true is taken, so each guard may rely on the guards above it having returned false. canSend, canRetry and
// canHedge store the selected server in Policy.picked for the action.
//
// Guards have side effects. isShed, canSend, canRetry and canHedge may draw random numbers even if they return false.
// If canSend returns true, it has changed credits and the round-robin position, and may have grown the subset;
// canHedge may reject the server after that.
//
// The Reject effect carries no reason. The rows below produce it; the right column shows how to distinguish them in a
// debugger or a test. AttemptCount is 0 for the first three, unless a queued request had attempts that got no
// connection.
//
//	new, onArrival, isShed           shed: admission.rejectShare of its class or attributedShedShare above 0
//	new, onArrival, always           no server or slot, and queueing not allowed: subset.readyCount, concurrency.limit
//	queued, onTick, always           queued too long (maxQueueShare, MaxQueueTime) or too close to its objective
//	in flight, onFailure             failed, safe to reject, and canRetry false: maxAttempts, budgets.retries, objectiveAt
//	in flight, onTick, late          attempt still in flight near the client's deadline, and safe to reject
//	none (requestArrived)            unknown traffic type
func lifecycle() []transition {
	return []transition{
		{stateNew, onArrival, (*Policy).isShed, stateDone, (*Policy).reject},
		{stateNew, onArrival, (*Policy).canSend, stateInFlight, (*Policy).sendAttempt},
		{stateNew, onArrival, (*Policy).canQueue, stateQueued, (*Policy).doNothing},
		{stateNew, onArrival, always, stateDone, (*Policy).reject},

		{stateQueued, onTick, (*Policy).canSend, stateInFlight, (*Policy).sendAttempt},
		{stateQueued, onTick, (*Policy).canQueue, stateQueued, (*Policy).doNothing},
		{stateQueued, onTick, always, stateDone, (*Policy).reject},
		{stateQueued, onResponseNotNeeded, always, stateDone, (*Policy).doNothing},

		{stateInFlight, onSuccess, always, stateDone, (*Policy).doNothing},
		{stateInFlight, onFailure, (*Policy).hasAttemptInFlight, stateInFlight, (*Policy).doNothing},
		{stateInFlight, onFailure, (*Policy).canRetry, stateInFlight, (*Policy).sendAttempt},
		{stateInFlight, onFailure, (*Policy).canWaitForConnection, stateQueued, (*Policy).doNothing},
		{stateInFlight, onFailure, (*Policy).isSafeToReject, stateDone, (*Policy).reject},
		{stateInFlight, onFailure, always, stateDone, (*Policy).fail},
		{stateInFlight, onTick, (*Policy).isLateAndSafeToReject, stateDone, (*Policy).reject},
		{stateInFlight, onTick, (*Policy).isClientDeadlineNear, stateDone, (*Policy).fail},
		{stateInFlight, onTick, (*Policy).isPastObjective, stateInFlight, (*Policy).uncountAttempts},
		{stateInFlight, onTick, (*Policy).canHedge, stateInFlight, (*Policy).hedge},
		{stateInFlight, onResponseNotNeeded, always, stateDone, (*Policy).doNothing},
	}
}

// advance takes the first matching transition for a request and a signal, if there is one.
func (p *Policy) advance(request int, on signal) {
	for _, t := range p.transitions[p.requests.all[request].state][on] {
		if t.guard(p, request) {
			p.enterState(request, t.to)
			t.action(p, request)
			return
		}
	}
}

// enterState sets a request's state and updates the set of open requests and the counts of routes.
func (p *Policy) enterState(request int, next state) {
	r := &p.requests.all[request]
	if previous := r.state; previous == stateNew && next != stateDone {
		p.requests.open.Add(request)
	} else if previous != stateNew && next == stateDone {
		p.requests.open.Remove(request)
	}
	if next == stateInFlight && r.state != stateInFlight {
		p.routes.inFlight[r.routeLimit]++
	} else if next != stateInFlight && r.state == stateInFlight {
		p.routes.inFlight[r.routeLimit]--
	}
	r.state = next
}

// always is the guard of an unconditional transition.
func always(*Policy, int) bool { return true }

// doNothing is the action of a transition that changes only the state.
func (p *Policy) doNothing(int) {}
