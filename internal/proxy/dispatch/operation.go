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
	f       *Dispatcher
	id      uint64
	name    string // the client's id
	base    int    // its traffic type by the settings
	grant   route.Admission
	next    Decision
	ready   chan struct{}
	hops    int
	outs    []out
	copying func(*Request, Decision) // leads a second copy, beside the hop that is out
	settled bool                     // the client has its answer, or will get it by the decision at hand, or has left
}

// out is a hop that has not ended.
type out struct {
	hop    int
	server string
	sent   time.Duration
	copy   bool
	giveUp func() // nil until it is led
	begun  bool   // its first byte may have been written
}

// TrafficType finds a traffic type by name.
func (f *Dispatcher) TrafficType(name []byte) (int, bool) {
	t, ok := f.types[string(name)]
	return t, ok
}

// DefaultTimeout is how long clients of a type wait where they do not say.
func (f *Dispatcher) DefaultTimeout(kind int) time.Duration {
	return f.set.TrafficTypes[kind].ClientTimeout
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
	if f.open[string(a.ID)] {
		return nil, ErrDuplicateID
	}
	if a.Routes != f.routes.Table() {
		return nil, ErrRoutesChanged
	}
	if len(f.ops) >= f.room.share {
		f.counts.NoCapacity++
		f.forsake()
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
	f.lastOp++
	o := &Request{f: f, id: f.lastOp, name: string(a.ID), base: a.TrafficType, grant: grant, ready: make(chan struct{}, 1), copying: a.StartHedge}
	f.ops[o.id], f.open[o.name] = o, true
	f.digests.arrived(a.TrafficType, t)
	f.door.RequestArrived(now, o.id, policy.Input{TrafficType: grant.Type, RouteLimit: grant.LimitIndex, Tenant: t,
		Key: policy.HashKey(a.Key), IsClientRetry: a.IsRetry, Timeout: a.Timeout}, (*hands)(f))
	return o, nil
}

// forsake gives up the hops of operations whose clients have left: places are short, and those that wait come first.
func (f *Dispatcher) forsake() {
	for _, o := range f.ops {
		for _, hop := range o.outs {
			if o.settled && hop.giveUp != nil {
				hop.giveUp()
			}
		}
	}
}

// NextDecision waits for the module's decision. While a hop that Next returned is out, giveUp is called if the
// operation gets its answer otherwise.
func (o *Request) NextDecision(giveUp func()) Decision {
	for {
		o.f.mu.Lock()
		d := o.next
		o.next.Action = undecided
		if d.Action != undecided {
			if d.Action == SendAttempt {
				o.lead(d.Attempt, giveUp)
			} else {
				for _, hop := range slices.Clone(o.outs) { // one decided on and overtaken by the answer was never sent
					if hop.giveUp == nil && !hop.copy {
						o.end(hop.hop, ExpiredUnsent, nil)
					}
				}
				o.forget()
			}
			o.f.unlock()
			return d
		}
		o.f.unlock()
		<-o.ready
	}
}

// TrafficType is the operation's traffic type by the settings, whatever its route made of it.
func (o *Request) TrafficType() int { return o.base }

// lead notes how a hop is given up.
func (o *Request) lead(hop int, giveUp func()) {
	for i := range o.outs {
		if o.outs[i].hop == hop {
			o.outs[i].giveUp = giveUp
		}
	}
}

// HedgeStarted tells how a second copy is given up, which may be before it was sent.
func (o *Request) HedgeStarted(d Decision, giveUp func()) {
	o.f.mu.Lock()
	defer o.f.unlock()
	if o.settled {
		giveUp()
	}
	o.lead(d.Attempt, giveUp)
}

// AttemptEnded tells how the hop ended that Next returned, or a copy, and what it brought for the client.
func (o *Request) AttemptEnded(hop int, how AttemptResult, answer []byte) {
	o.f.mu.Lock()
	defer o.f.unlock()
	o.end(hop, how, answer)
	o.forget()
}

// forget lets go of an operation that has its answer and no hop out.
func (o *Request) forget() {
	if o.settled && len(o.outs) == 0 && o.next.Action == undecided {
		delete(o.f.ops, o.id)
	}
}

// Close lets go of the operation. It does something only where a fault of this program kept it from its end,
// and then what it held is free for others.
func (o *Request) Close() {
	o.f.mu.Lock()
	defer o.f.unlock()
	if o.f.ops[o.id] != o {
		return
	}
	if !o.settled {
		o.settle(Decision{Action: Drop})
		o.f.door.ClientLeft(o.f.now(), o.id, (*hands)(o.f))
	}
	o.next.Action = undecided
	for _, hop := range slices.Clone(o.outs) {
		if !hop.copy { // copies end by themselves
			o.end(hop.hop, Abandoned, nil)
		}
	}
	o.forget()
}

func (o *Request) end(hop int, how AttemptResult, answer []byte) {
	i := slices.IndexFunc(o.outs, func(h out) bool { return h.hop == hop })
	if i < 0 {
		return
	}
	ended := o.outs[i]
	o.outs = slices.Delete(o.outs, i, i+1)
	o.f.counts.AttemptResults[how]++
	switch {
	case o.settled:
	case how == Succeeded:
		o.settle(Decision{Action: Respond, Answer: answer})
	case how == RequestFault: // another server would say the same
		o.settle(Decision{Action: Fail, Answer: answer})
	}
	now := o.f.now()
	o.f.tell(ended.server, how)
	o.f.digests.ended(ended.server, o.base, how, now-ended.sent)
	o.f.door.AttemptEnded(now, o.id, ended.server, policy.Input{Attempt: hop, Outcome: how.Outcome(),
		Elapsed: now - ended.sent, ClientAnswered: o.settled}, (*hands)(o.f))
}

// ClientDisconnected tells that the client has gone. An answer that crosses this is not sent; a hop that is out goes on,
// for what it tells about its server.
func (o *Request) ClientDisconnected() {
	o.f.mu.Lock()
	defer o.f.unlock()
	if !o.settled {
		o.settle(Decision{Action: Drop})
		o.f.door.ClientLeft(o.f.now(), o.id, (*hands)(o.f))
	}
}

// BeginWrite tells whether a hop may be written now: not once the operation is settled. From then on it goes on past its
// client's leaving.
func (o *Request) BeginWrite(hop int) bool {
	o.f.mu.Lock()
	defer o.f.unlock()
	for i := range o.outs {
		if o.outs[i].hop == hop && !o.settled {
			o.outs[i].begun = true
		}
	}
	return !o.settled
}

// IsSettled tells that nothing more may be sent for the operation.
func (o *Request) IsSettled() bool {
	o.f.mu.Lock()
	defer o.f.unlock()
	return o.settled
}

// settle sets the one final answer; whatever crosses it finds the operation settled. Hops that are out are given up,
// but for a client that left and hops that are written: what they tell about their servers is still of use.
func (o *Request) settle(d Decision) {
	o.settled = true
	delete(o.f.open, o.name)
	o.f.routes.Release(o.grant)
	o.f.counts.decided(d.Action)
	if d.Action == Reject {
		o.f.digests.turnedAway(o.base)
	}
	o.decide(d)
	for _, hop := range o.outs {
		if hop.giveUp != nil && (d.Action != Drop || !hop.begun) {
			hop.giveUp()
		}
	}
}

func (o *Request) decide(d Decision) {
	o.next = d
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// hands carries out what the module decides; the lock is held.
type hands Dispatcher

func (h *hands) SendAttempt(job uint64, server string, allow time.Duration) {
	o, s := h.ops[job], h.servers[server]
	if o == nil {
		return
	}
	line, _ := h.book.Get(server)
	d := Decision{Action: SendAttempt, Attempt: o.hops, Server: server, Address: line.Address, IsFastCGI: s.cgi, Duration: allow}
	o.outs = append(o.outs, out{hop: o.hops, server: server, sent: time.Since(h.started), copy: len(o.outs) > 0})
	o.hops++
	switch {
	case o.settled:
	case len(o.outs) > 1:
		h.counts.Hedges++
		o.copying(o, d)
	default:
		o.decide(d)
	}
}

func (h *hands) answer(job uint64, d Decision) {
	if o := h.ops[job]; o != nil && !o.settled {
		o.settle(d)
	}
}

func (h *hands) Reject(job uint64, retryIn time.Duration) {
	h.answer(job, Decision{Action: Reject, Duration: retryIn})
}

func (h *hands) Fail(job uint64) { h.answer(job, Decision{Action: Fail}) }

func (h *hands) SetTimer(after time.Duration) { h.wake.Reset(after) }

func (h *hands) Subscribe() {
	select {
	case h.asked <- struct{}{}:
	default:
	}
}

func (h *hands) CloseIdle(server string) { (*Dispatcher)(h).release(h.servers[server]) }

func (h *hands) Forget(server string) {
	h.CloseIdle(server)
	delete(h.servers, server)
	h.book.Forget(server)
}
