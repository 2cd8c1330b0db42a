package dispatch

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/route"
	"fernvane/policy"
)

// Action is what is to be done next about an operation.
type Action uint8

const (
	undecided   Action = iota
	SendAttempt        // a hop
	Respond            // the hop's answer is the client's
	Reject
	Fail
	Drop // the client has left; nothing is owed
)

// Decision is one step of an operation's life.
type Decision struct {
	Action    Action
	Attempt   int // which of the operation's, from 0
	Server    string
	Address   netip.AddrPort
	IsFastCGI bool          // what the server speaks; else HTTP
	Duration  time.Duration // the hop's time, or when a denied client may return
	Answer    []byte        // what the hop brought that is the client's answer
}

// Request is one that a client waits for. One goroutine leads it from Next to Ended and back until a
// decision other than Send; Left may be called from another, and each second copy is led by one of its own.
type Request struct {
	dispatcher   *Dispatcher
	id           uint64
	clientID     string // the client's id
	trafficType  int    // its traffic type by the settings
	grant        route.Admission
	pending      Decision
	ready        chan struct{}
	attemptCount int
	inFlight     []attempt
	startHedge   func(*Request, Decision) // leads a second copy, beside the hop that is out
	isSettled    bool                     // the client has its answer, or will get it by the decision at hand, or has left
}

// out is a hop that has not ended.
type attempt struct {
	index      int
	server     string
	sentAt     time.Duration
	isHedge    bool
	cancel     func() // nil until it is led
	writeBegun bool   // its first byte may have been written
}

// TrafficType finds a traffic type by name.
func (f *Dispatcher) TrafficType(name []byte) (int, bool) {
	t, ok := f.trafficTypes[string(name)]
	return t, ok
}

// DefaultTimeout is how long clients of a type wait where they do not say.
func (f *Dispatcher) DefaultTimeout(kind int) time.Duration {
	return f.settings.TrafficTypes[kind].ClientTimeout
}

// Why an operation is not taken.
var (
	ErrNoCapacity    = errors.New("as many operations as descriptors allow are in hand")
	ErrDuplicateID   = errors.New("an operation of this id is open")
	ErrRouteLimit    = errors.New("its route takes no more")
	ErrRoutesChanged = errors.New("the routes have changed since it was matched")
)

// Arrival is what is known of a new operation.
type Arrival struct {
	ID          []byte
	Tenant      []byte
	Key         []byte       // of what it is about
	IsRetry     bool         // the client says that it repeats it
	Routes      *route.Table // that it was matched with
	RouteIndex  int          // -1: none
	TrafficType int
	Timeout     time.Duration
	// Copying leads a second copy of the operation; it is called under the fleet's lock and must return at once.
	StartHedge func(*Request, Decision)
}

// Submit hands a new operation to its route and to the module, unless there are as many in hand as descriptors allow:
// those that wait to be accepted could not be answered in time. Nor is one taken under the id of another that is open,
// for whose client the answer is. A tenant that the settings do not name has no share.
func (f *Dispatcher) Submit(a Arrival) (*Request, error) {
	f.mu.Lock()
	defer f.unlock()
	if f.openClientIDs[string(a.ID)] {
		return nil, ErrDuplicateID
	}
	if a.Routes != f.routes.Table() {
		return nil, ErrRoutesChanged
	}
	if len(f.requests) >= f.budget.perSide {
		f.counts.NoCapacity++
		f.abandonDisconnected()
		return nil, ErrNoCapacity
	}
	t, ok := f.tenants[string(a.Tenant)]
	if !ok {
		t = len(f.tenants)
	}
	now := f.now()
	grant, why := f.routes.Admit(now, a.RouteIndex, a.TrafficType, t)
	if why != route.Admitted {
		f.counts.RouteLimited++
		return nil, ErrRouteLimit
	}
	f.lastRequestID++
	o := &Request{dispatcher: f, id: f.lastRequestID, clientID: string(a.ID), trafficType: a.TrafficType, grant: grant, ready: make(chan struct{}, 1), startHedge: a.StartHedge}
	f.requests[o.id], f.openClientIDs[o.clientID] = o, true
	f.report.recordArrival(a.TrafficType, t)
	f.engine.RequestArrived(now, o.id, policy.Input{TrafficType: grant.Type, RouteLimit: grant.LimitIndex, Tenant: t,
		Key: policy.HashKey(a.Key), IsClientRetry: a.IsRetry, Timeout: a.Timeout}, (*effectHandler)(f))
	return o, nil
}

// forsake gives up the hops of operations whose clients have left: places are short, and those that wait come first.
func (f *Dispatcher) abandonDisconnected() {
	for _, o := range f.requests {
		for _, hop := range o.inFlight {
			if o.isSettled && hop.cancel != nil {
				hop.cancel()
			}
		}
	}
}

// NextDecision waits for the module's decision. While a hop that Next returned is out, giveUp is called if the
// operation gets its answer otherwise.
func (o *Request) NextDecision(giveUp func()) Decision {
	for {
		o.dispatcher.mu.Lock()
		d := o.pending
		o.pending.Action = undecided
		if d.Action != undecided {
			if d.Action == SendAttempt {
				o.setCancel(d.Attempt, giveUp)
			} else {
				for _, hop := range slices.Clone(o.inFlight) { // one decided on and overtaken by the answer was never sent
					if hop.cancel == nil && !hop.isHedge {
						o.endAttempt(hop.index, ExpiredUnsent, nil)
					}
				}
				o.removeIfDone()
			}
			o.dispatcher.unlock()
			return d
		}
		o.dispatcher.unlock()
		<-o.ready
	}
}

// TrafficType is the operation's traffic type by the settings, whatever its route made of it.
func (o *Request) TrafficType() int { return o.trafficType }

// lead notes how a hop is given up.
func (o *Request) setCancel(hop int, giveUp func()) {
	for i := range o.inFlight {
		if o.inFlight[i].index == hop {
			o.inFlight[i].cancel = giveUp
		}
	}
}

// HedgeStarted tells how a second copy is given up, which may be before it was sent.
func (o *Request) HedgeStarted(d Decision, giveUp func()) {
	o.dispatcher.mu.Lock()
	defer o.dispatcher.unlock()
	if o.isSettled {
		giveUp()
	}
	o.setCancel(d.Attempt, giveUp)
}

// AttemptEnded tells how the hop ended that Next returned, or a copy, and what it brought for the client.
func (o *Request) AttemptEnded(hop int, how AttemptResult, answer []byte) {
	o.dispatcher.mu.Lock()
	defer o.dispatcher.unlock()
	o.endAttempt(hop, how, answer)
	o.removeIfDone()
}

// forget lets go of an operation that has its answer and no hop out.
func (o *Request) removeIfDone() {
	if o.isSettled && len(o.inFlight) == 0 && o.pending.Action == undecided {
		delete(o.dispatcher.requests, o.id)
	}
}

// Close lets go of the operation. It does something only where a fault of this program kept it from its end,
// and then what it held is free for others.
func (o *Request) Close() {
	o.dispatcher.mu.Lock()
	defer o.dispatcher.unlock()
	if o.dispatcher.requests[o.id] != o {
		return
	}
	if !o.isSettled {
		o.settle(Decision{Action: Drop})
		o.dispatcher.engine.ClientLeft(o.dispatcher.now(), o.id, (*effectHandler)(o.dispatcher))
	}
	o.pending.Action = undecided
	for _, hop := range slices.Clone(o.inFlight) {
		if !hop.isHedge { // copies end by themselves
			o.endAttempt(hop.index, Abandoned, nil)
		}
	}
	o.removeIfDone()
}

func (o *Request) endAttempt(hop int, how AttemptResult, answer []byte) {
	i := slices.IndexFunc(o.inFlight, func(h attempt) bool { return h.index == hop })
	if i < 0 {
		return
	}
	ended := o.inFlight[i]
	o.inFlight = slices.Delete(o.inFlight, i, i+1)
	o.dispatcher.counts.AttemptResults[how]++
	switch {
	case o.isSettled:
	case how == Succeeded:
		o.settle(Decision{Action: Respond, Answer: answer})
	case how == RequestFault: // another server would say the same
		o.settle(Decision{Action: Fail, Answer: answer})
	}
	now := o.dispatcher.now()
	o.dispatcher.observe(ended.server, how)
	o.dispatcher.report.recordAttempt(ended.server, o.trafficType, how, now-ended.sentAt)
	o.dispatcher.engine.AttemptEnded(now, o.id, ended.server, policy.Input{Attempt: hop, Outcome: how.Outcome(),
		Elapsed: now - ended.sentAt, ClientAnswered: o.isSettled}, (*effectHandler)(o.dispatcher))
}

// ClientDisconnected tells that the client has gone. An answer that crosses this is not sent; a hop that is out goes on,
// for what it tells about its server.
func (o *Request) ClientDisconnected() {
	o.dispatcher.mu.Lock()
	defer o.dispatcher.unlock()
	if !o.isSettled {
		o.settle(Decision{Action: Drop})
		o.dispatcher.engine.ClientLeft(o.dispatcher.now(), o.id, (*effectHandler)(o.dispatcher))
	}
}

// BeginWrite tells whether a hop may be written now: not once the operation is settled. From then on it goes on past its
// client's leaving.
func (o *Request) BeginWrite(hop int) bool {
	o.dispatcher.mu.Lock()
	defer o.dispatcher.unlock()
	for i := range o.inFlight {
		if o.inFlight[i].index == hop && !o.isSettled {
			o.inFlight[i].writeBegun = true
		}
	}
	return !o.isSettled
}

// IsSettled tells that nothing more may be sent for the operation.
func (o *Request) IsSettled() bool {
	o.dispatcher.mu.Lock()
	defer o.dispatcher.unlock()
	return o.isSettled
}

// settle sets the one final answer; whatever crosses it finds the operation settled. Hops that are out are given up,
// but for a client that left and hops that are written: what they tell about their servers is still of use.
func (o *Request) settle(d Decision) {
	o.isSettled = true
	delete(o.dispatcher.openClientIDs, o.clientID)
	o.dispatcher.routes.Release(o.grant)
	o.dispatcher.counts.decided(d.Action)
	if d.Action == Reject {
		o.dispatcher.report.recordRejection(o.trafficType)
	}
	o.setPending(d)
	for _, hop := range o.inFlight {
		if hop.cancel != nil && (d.Action != Drop || !hop.writeBegun) {
			hop.cancel()
		}
	}
}

func (o *Request) setPending(d Decision) {
	o.pending = d
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// hands carries out what the module decides; the lock is held.
type effectHandler Dispatcher

func (h *effectHandler) SendAttempt(job uint64, server string, allow time.Duration) {
	o, s := h.requests[job], h.servers[server]
	if o == nil {
		return
	}
	line, _ := h.view.Get(server)
	d := Decision{Action: SendAttempt, Attempt: o.attemptCount, Server: server, Address: line.Address, IsFastCGI: s.isFastCGI, Duration: allow}
	o.inFlight = append(o.inFlight, attempt{index: o.attemptCount, server: server, sentAt: time.Since(h.started), isHedge: len(o.inFlight) > 0})
	o.attemptCount++
	switch {
	case o.isSettled:
	case len(o.inFlight) > 1:
		h.counts.Hedges++
		o.startHedge(o, d)
	default:
		o.setPending(d)
	}
}

func (h *effectHandler) settle(job uint64, d Decision) {
	if o := h.requests[job]; o != nil && !o.isSettled {
		o.settle(d)
	}
}

func (h *effectHandler) Reject(job uint64, retryIn time.Duration) {
	h.settle(job, Decision{Action: Reject, Duration: retryIn})
}

func (h *effectHandler) Fail(job uint64) { h.settle(job, Decision{Action: Fail}) }

func (h *effectHandler) SetTimer(after time.Duration) { h.timer.Reset(after) }

func (h *effectHandler) Subscribe() {
	select {
	case h.pollRequested <- struct{}{}:
	default:
	}
}

func (h *effectHandler) CloseIdle(server string) { (*Dispatcher)(h).closeIdleConns(h.servers[server]) }

func (h *effectHandler) Forget(server string) {
	h.CloseIdle(server)
	delete(h.servers, server)
	h.view.Forget(server)
}
