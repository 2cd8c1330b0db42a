package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/route"
	"fernvane/policy"
)

// Action is what is to be done next about a request.
type Action uint8

// All actions but SendAttempt end the request: each request gets exactly one of them.
const (
	undecided   Action = iota
	SendAttempt        // send the request to Decision.Server
	Respond            // send Decision.Answer to the client
	Reject             // answer that nothing was executed and that the client may retry
	Fail               // send Decision.Answer, or without one answer that the outcome is not known
	Drop               // do nothing: the client has left
)

// Decision is what NextDecision returns.
type Decision struct {
	Action Action

	// Of SendAttempt.
	Attempt   int // which of the request's attempts, from 0
	Server    string
	Address   netip.AddrPort
	IsFastCGI bool // which protocol the server speaks; else HTTP

	// Duration is the timeout of an attempt (SendAttempt) or after how long the client may retry (Reject).
	Duration time.Duration
	// Answer is what the client gets (Respond), or what a server answered to a request that it finds faulty (Fail).
	Answer []byte
}

// Request is a request that was accepted. One goroutine calls NextDecision and AttemptEnded in turns; ClientDisconnected
// may be called from another, and each hedged attempt is run by a goroutine of its own.
type Request struct {
	dispatcher   *Dispatcher
	id           uint64
	clientID     string
	trafficType  int // by the settings
	admission    route.Admission
	startHedge   func(*Request, Decision)
	pending      Decision      // not yet returned by NextDecision
	ready        chan struct{} // receives when pending is set
	attemptCount int
	inFlight     []attempt
	isSettled    bool // the final answer is decided on, or the client has left
}

// attempt is one that has not ended.
type attempt struct {
	index      int
	server     string
	sentAt     time.Duration
	isHedge    bool
	cancel     func() // nil until its goroutine has taken it over
	writeBegun bool   // its first byte may have been written
}

// TrafficType returns the index of the request's traffic type by the settings, whatever its route makes of it.
func (r *Request) TrafficType() int { return r.trafficType }

// NextDecision waits for the next decision about the request. While the attempt of a SendAttempt is in flight, cancel is
// called, with the lock held, if the request is settled by other means.
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
		r.endUnsent()
		r.removeIfDone()
	}
	return decision, true
}

// endUnsent ends attempts that were decided on and not sent, because the final answer came first.
func (r *Request) endUnsent() {
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

// HedgeStarted is called by the goroutine of a hedged attempt before it sends anything. cancel is called, with the lock
// held, as soon as the request is settled; at once if it is settled already.
func (r *Request) HedgeStarted(d Decision, cancel func()) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	if r.isSettled {
		cancel()
	}
	r.setCancel(d.Attempt, cancel)
}

// BeginWrite reports whether an attempt may be written now, which is not so once the request is settled. From then on the
// attempt is not canceled when the client leaves, for what it shows about its server.
func (r *Request) BeginWrite(attempt int) bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	for i := range r.inFlight {
		if r.inFlight[i].index == attempt && !r.isSettled {
			r.inFlight[i].writeBegun = true
		}
	}
	return !r.isSettled
}

// AttemptEnded reports how an attempt ended, hedged or not, and its answer for the client, if any.
func (r *Request) AttemptEnded(attempt int, result AttemptResult, answer []byte) {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	r.endAttempt(attempt, result, answer)
	r.removeIfDone()
}

func (r *Request) endAttempt(index int, result AttemptResult, answer []byte) {
	i := slices.IndexFunc(r.inFlight, func(a attempt) bool { return a.index == index })
	if i < 0 {
		return
	}
	d, ended := r.dispatcher, r.inFlight[i]
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	d.counts.AttemptResults[result]++
	switch {
	case r.isSettled:
	case result == Succeeded:
		r.settle(Decision{Action: Respond, Answer: answer})
	case result == RequestFault: // another server would answer the same
		r.settle(Decision{Action: Fail, Answer: answer})
	}
	now := d.now()
	elapsed := now - ended.sentAt
	d.observe(ended.server, result)
	d.report.recordAttempt(ended.server, r.trafficType, result, elapsed)
	d.engine.AttemptEnded(now, r.id, ended.server, policy.Input{
		Attempt:        index,
		Outcome:        result.Outcome(),
		Elapsed:        elapsed,
		ClientAnswered: r.isSettled,
	}, d.effects())
}

// ClientDisconnected reports that the client has left. An answer that comes later is not sent. An attempt whose write has
// begun goes on, for what it shows about its server.
func (r *Request) ClientDisconnected() {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	r.drop()
}

// drop settles the request without an answer, unless it is settled already.
func (r *Request) drop() {
	if r.isSettled {
		return
	}
	r.settle(Decision{Action: Drop})
	r.dispatcher.engine.ClientLeft(r.dispatcher.now(), r.id, r.dispatcher.effects())
}

// IsSettled reports whether the request has its final answer, or no client any more. Nothing may be sent for it then.
func (r *Request) IsSettled() bool {
	r.dispatcher.mu.Lock()
	defer r.dispatcher.unlock()
	return r.isSettled
}

// Close removes a request whose goroutine ends before the request has, which only a panic can cause, and frees what it
// held. It does nothing to a request that has ended.
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
		if !a.isHedge { // hedged attempts are ended by their own goroutines
			r.endAttempt(a.index, Abandoned, nil)
		}
	}
	r.removeIfDone()
}

// settle decides on the one final answer. Attempts in flight are canceled, except that those whose write has begun go on
// after the client has left.
func (r *Request) settle(decision Decision) {
	d := r.dispatcher
	r.isSettled = true
	delete(d.requests.openClientIDs, r.clientID)
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

// removeIfDone removes a request that is settled, has no attempt in flight and whose final decision has been returned.
func (r *Request) removeIfDone() {
	if r.isSettled && len(r.inFlight) == 0 && r.pending.Action == undecided {
		delete(r.dispatcher.requests.byID, r.id)
	}
}
