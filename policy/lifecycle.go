package policy

// state is where a request is on its way to its final answer.
type state uint8

const (
	stateNew      state = iota // arriving
	stateQueued                // waits for a server, without an attempt in flight
	stateInFlight              // an attempt is in flight
	stateDone                  // has its final answer or needs none
	stateCount
)

// signal is what may move a request on.
type signal uint8

const (
	onArrival         signal = iota
	onTick                   // time has passed, or capacity may have become free
	onSuccess                // an attempt brought the answer
	onFailure                // an attempt ended without one
	onAnswerNotNeeded        // no answer is needed any more
	signalCount
)

// transition is one line of the lifecycle.
type transition struct {
	from   state
	on     signal
	guard  func(*Policy, int) bool // given the request's index
	to     state
	action func(*Policy, int)
}

// lifecycle returns the transitions of a request. The first one whose state, signal and guard fit is taken, so each
// guard may rely on those above it having said no. canSend, canRetry and canHedge leave the server that they found in
// Policy.picked for the action.
//
// Guards have side effects. isShed, canSend, canRetry and canHedge may draw random numbers, also when they say no. A
// canSend that says yes has moved credits and the round robin's position, and may have grown the subset; canHedge may
// refuse the server after that.
//
// The Reject effect carries no reason. It comes from these rows; what follows tells them apart in a debugger or a test.
// AttemptCount is 0 for the first three, unless a queued request had attempts that got no connection.
//
//	new, onArrival, isShed           shed: admission.rejectShare of its class or attributedShedShare above 0
//	new, onArrival, always           no server or slot, and it may not wait: subset.readyCount, concurrency.limit
//	queued, onTick, always           waited for too long (maxQueueShare, MaxQueueTime) or until too late for its objective
//	in flight, onFailure             failed, safe to reject, and canRetry refused: maxAttempts, budgets.retries, objectiveAt
//	in flight, onTick, late          no end of the attempt by the client's deadline, and safe to reject
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
		{stateQueued, onAnswerNotNeeded, always, stateDone, (*Policy).doNothing},

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
		{stateInFlight, onAnswerNotNeeded, always, stateDone, (*Policy).doNothing},
	}
}

// advance takes the first transition that fits a request and a signal, if any does.
func (p *Policy) advance(request int, on signal) {
	for _, t := range p.transitions[p.requests.all[request].state][on] {
		if t.guard(p, request) {
			p.enterState(request, t.to)
			t.action(p, request)
			return
		}
	}
}

// enterState keeps the set of open requests and the routes' counts in step with a request's state.
func (p *Policy) enterState(request int, next state) {
	r := &p.requests.all[request]
	if was := r.state; was == stateNew && next != stateDone {
		p.requests.open.Add(request)
	} else if was != stateNew && next == stateDone {
		p.requests.open.Remove(request)
	}
	if next == stateInFlight && r.state != stateInFlight {
		p.routes.inFlight[r.routeLimit]++
	} else if next != stateInFlight && r.state == stateInFlight {
		p.routes.inFlight[r.routeLimit]--
	}
	r.state = next
}

// always is the guard of a transition that any request may take.
func always(*Policy, int) bool { return true }

// doNothing is the action of a transition that only changes the state.
func (p *Policy) doNothing(int) {}
