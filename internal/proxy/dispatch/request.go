package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/route"
	"fernvane/policy"
)

// Action is the next step of a request.
type Action uint8

// All actions except SendAttempt end the request. Each request receives exactly one of those.
const (
	undecided   Action = iota
	SendAttempt        // send the request to Decision.Server
	Respond            // send Decision.Response to the client
	Reject             // respond that the request was not executed and that the client may retry
	Fail               // send Decision.Response, or if it is empty, respond that the outcome is unknown
	Drop               // send nothing, because the client has disconnected
)

// Decision is the next step of a request with its parameters.
type Decision struct {
	Action Action

	// Set for SendAttempt.
	Attempt   int // index of the attempt within the request, from 0
	Server    string
	Address   netip.AddrPort
	IsFastCGI bool // the server's protocol is FastCGI, otherwise HTTP

	// Duration is the timeout of the attempt (SendAttempt), or the delay after which the client may retry (Reject).
	Duration time.Duration
	// Response is the response to the client (Respond), or a server's response that reports a fault of the request (Fail).
	Response []byte
}

// Request is an accepted request. One goroutine alternates between NextDecision and AttemptEnded. ClientDisconnected may be
// called from another goroutine, and each hedged attempt runs in a separate one.
type Request struct {
	dispatcher   *Dispatcher
	id           uint64
	clientID     string
	trafficType  int // index in the settings
	admission    route.Admission
	startHedge   func(*Request, Decision)
	pending      Decision      // next result of NextDecision
	ready        chan struct{} // signaled when pending is set
	attemptCount int
	possibleRuns int // attempts whose write has begun and whose result does not prove that they have not run
	inFlight     []attempt
	isSettled    bool // the final response is decided, or the client has disconnected
}

// attempt is an attempt in flight.
type attempt struct {
	index      int
	server     string
	sentAt     time.Duration
	isHedge    bool
	cancel     func() // nil until the goroutine of the attempt has registered it
	writeBegun bool   // the first byte may have been written
}

// TrafficType returns the index of the request's traffic type in the settings, even if its route assigns another type.
func (r *Request) TrafficType() int { return r.trafficType }

// NextDecision waits for the next decision about the request. If the decision is SendAttempt and the request is settled by
// other means while the attempt is in flight, cancel is called with the lock held.
func (r *Request) NextDecision(cancel func()) Decision {
	for {
		decision, ok := r.takePending(cancel)
		if ok {
			return decision
		}
		<-r.ready
	}
}

func (r *Request) takePending(cancel func()) (decision Decision, ok bool) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	decision = r.pending
	r.pending.Action = undecided
	switch decision.Action {
	case undecided:
		return decision, false
	case SendAttempt:
		r.setCancel(decision.Attempt, cancel)
	default:
		r.endUnsentAttempts()
		r.removeIfDone()
	}
	return decision, true
}

// endUnsentAttempts ends attempts that were decided but not sent because the request was settled first.
func (r *Request) endUnsentAttempts() {
	for _, a := range slices.Clone(r.inFlight) {
		if a.cancel == nil && !a.isHedge {
			r.endAttempt(a.index, ExpiredUnsent, nil)
		}
	}
}

func (r *Request) setCancel(attempt int, cancel func()) {
	for i := range r.inFlight {
		if r.inFlight[i].index == attempt {
			r.inFlight[i].cancel = cancel
		}
	}
}

// HedgeStarted registers the cancel function of a hedged attempt. The goroutine of the attempt calls it before it sends
// anything. cancel is called with the lock held when the request is settled, or immediately if it already is.
func (r *Request) HedgeStarted(d Decision, cancel func()) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	if r.isSettled {
		cancel()
	}
	r.setCancel(d.Attempt, cancel)
}

// BeginWrite reports whether an attempt may be written, which is false once the request is settled. If it is true, a
// disconnect of the client no longer cancels the attempt, because its result gives information about the server. The attempt
// is still canceled if new requests lack capacity (abandonDisconnected).
func (r *Request) BeginWrite(attempt int) bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	for i := range r.inFlight {
		if r.inFlight[i].index == attempt && !r.isSettled {
			r.inFlight[i].writeBegun = true
			r.possibleRuns++
		}
	}
	return !r.isSettled
}

// AttemptEnded reports the result of an attempt, hedged or not, and its response for the client, if any.
func (r *Request) AttemptEnded(attempt int, result AttemptResult, response []byte) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	r.endAttempt(attempt, result, response)
	r.removeIfDone()
}

func (r *Request) endAttempt(index int, result AttemptResult, response []byte) {
	i := slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.index == index })
	if i < 0 {
		return
	}
	d, ended := r.dispatcher, r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	d.counts.AttemptResults[result]++
	if ended.writeBegun && result.ProvesNotRun() {
		r.possibleRuns--
	}
	switch {
	case r.isSettled:
	case result == Succeeded:
		r.settle(Decision{Action: Respond, Response: response})
	case result == RequestFault: // a retry at another server would have the same result
		r.settle(Decision{Action: Fail, Response: response})
	}
	now := d.now()
	elapsed := now - ended.sentAt
	d.observe(ended.server, result)
	d.report.recordAttempt(ended.server, r.trafficType, result, elapsed)
	d.engine.AttemptEnded(now, r.id, ended.server, policy.Input{
		Attempt:   index,
		Outcome:   result.Outcome(),
		Elapsed:   elapsed,
		IsSettled: r.isSettled,
	}, d.effects())
}

// ClientDisconnected reports that the client has disconnected. A later response is discarded. An attempt whose write has
// begun continues, because its result gives information about the server, until new requests lack capacity.
func (r *Request) ClientDisconnected() {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	r.drop()
}

// drop settles the request without a response, unless it is already settled.
func (r *Request) drop() {
	if r.isSettled {
		return
	}
	r.settle(Decision{Action: Drop})
	r.dispatcher.engine.ClientLeft(r.dispatcher.now(), r.id, r.dispatcher.effects())
}

// IsSettled reports whether the final response is decided or the client has disconnected. No attempt of a settled request
// may be sent.
func (r *Request) IsSettled() bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	return r.isSettled
}

// Close removes a request whose goroutine terminates before the request has ended, which only a panic can cause, and
// releases its resources. It has no effect on a request that has ended.
func (r *Request) Close() {
	d := r.dispatcher
	d.mu.Lock()
	defer d.unlock()
	if d.requests.byID[r.id] != r {
		return
	}
	r.drop()
	r.pending.Action = undecided
	for _, a := range slices.Clone(r.inFlight) {
		if !a.isHedge { // the goroutine of a hedged attempt ends it
			r.endAttempt(a.index, Abandoned, nil)
		}
	}
	r.removeIfDone()
}

// settle sets the final decision about the request and cancels its attempts in flight. After Drop, attempts whose write has
// begun continue.
func (r *Request) settle(decision Decision) {
	d := r.dispatcher
	r.isSettled = true
	delete(d.requests.openClientIDs, r.clientID)
	r.rememberID()
	d.routes.Release(r.admission)
	d.counts.recordFinal(decision.Action)
	if decision.Action == Reject {
		d.report.recordRejection(r.trafficType)
	}
	r.setPending(decision)
	for _, a := range r.inFlight {
		if a.cancel != nil && (decision.Action != Drop || !a.writeBegun) {
			a.cancel()
		}
	}
}

func (r *Request) setPending(decision Decision) {
	r.pending = decision
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// removeIfDone removes a request that is settled and has no attempt in flight, once NextDecision has returned its final
// decision.
func (r *Request) removeIfDone() {
	if r.isSettled && len(r.inFlight) == 0 && r.pending.Action == undecided {
		delete(r.dispatcher.requests.byID, r.id)
	}
}
