package dispatch

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"fernvane/internal/route"
	"fernvane/policy"
)

// DecisionKind is what is to be done next about an operation.
type DecisionKind uint8

const (
	undecided DecisionKind = iota
	Send                   // a hop
	Handled                // the hop's answer is the client's
	Deny
	WriteOff
	Drop // the client has left; nothing is owed
)

// Decision is one step of an operation's life.
type Decision struct {
	Kind    DecisionKind
	Hop     int // which of the operation's, from 0
	Server  string
	Address netip.AddrPort
	FastCGI bool          // what the server speaks; else HTTP
	For     time.Duration // the hop's time, or when a denied client may return
	Answer  []byte        // what the hop brought that is the client's answer
}

// Operation is one that a client waits for. One goroutine leads it from Next to Ended and back until a
// decision other than Send; Left may be called from another, and each second copy is led by one of its own.
type Operation struct {
	f       *Fleet
	id      uint64
	name    string // the client's id
	base    int    // its traffic type by the settings
	grant   route.Grant
	next    Decision
	ready   chan struct{}
	hops    int
	outs    []out
	copying func(*Operation, Decision) // leads a second copy, beside the hop that is out
	settled bool                       // the client has its answer, or will get it by the decision at hand, or has left
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

// Type finds a traffic type by name.
func (f *Fleet) Type(name []byte) (int, bool) {
	t, ok := f.types[string(name)]
	return t, ok
}

// AbandonTime is how long clients of a type wait where they do not say.
func (f *Fleet) AbandonTime(kind int) time.Duration { return f.set.Types[kind].AbandonTime }

// Why an operation is not taken.
var (
	ErrNoRoom = errors.New("as many operations as descriptors allow are in hand")
	ErrOpen   = errors.New("an operation of this id is open")
	ErrRoute  = errors.New("its route takes no more")
	ErrMoved  = errors.New("the routes have changed since it was matched")
)

// Arrival is what is known of a new operation.
type Arrival struct {
	ID     []byte
	Tenant []byte
	Key    []byte     // of what it is about
	Again  bool       // the client says that it repeats it
	Routes *route.Set // that it was matched with
	Route  int        // -1: none
	Kind   int
	Budget time.Duration
	// Copying leads a second copy of the operation; it is called under the fleet's lock and must return at once.
	Copying func(*Operation, Decision)
}

// Arrive hands a new operation to its route and to the module, unless there are as many in hand as descriptors allow:
// those that wait to be accepted could not be answered in time. Nor is one taken under the id of another that is open,
// for whose client the answer is. A tenant that the settings do not name has no share.
func (f *Fleet) Arrive(a Arrival) (*Operation, error) {
	f.mu.Lock()
	defer f.unlock()
	if f.open[string(a.ID)] {
		return nil, ErrOpen
	}
	if a.Routes != f.routes.Set() {
		return nil, ErrMoved
	}
	if len(f.ops) >= f.room.share {
		f.counts.NoRoom++
		f.forsake()
		return nil, ErrNoRoom
	}
	t, ok := f.tenants[string(a.Tenant)]
	if !ok {
		t = len(f.tenants)
	}
	now := f.now()
	grant, why := f.routes.Admit(now, a.Route, a.Kind, t)
	if why != route.Taken {
		f.counts.Limited++
		return nil, ErrRoute
	}
	f.lastOp++
	o := &Operation{f: f, id: f.lastOp, name: string(a.ID), base: a.Kind, grant: grant, ready: make(chan struct{}, 1), copying: a.Copying}
	f.ops[o.id], f.open[o.name] = o, true
	f.digests.arrived(a.Kind, t)
	f.door.Arrive(now, o.id, policy.Input{Type: grant.Kind, Room: grant.Room, Tenant: t,
		Key: policy.KeyOf(a.Key), Again: a.Again, Budget: a.Budget}, (*hands)(f))
	return o, nil
}

// forsake gives up the hops of operations whose clients have left: places are short, and those that wait come first.
func (f *Fleet) forsake() {
	for _, o := range f.ops {
		for _, hop := range o.outs {
			if o.settled && hop.giveUp != nil {
				hop.giveUp()
			}
		}
	}
}

// Next waits for the module's decision. While a hop that Next returned is out, giveUp is called if the
// operation gets its answer otherwise.
func (o *Operation) Next(giveUp func()) Decision {
	for {
		o.f.mu.Lock()
		d := o.next
		o.next.Kind = undecided
		if d.Kind != undecided {
			if d.Kind == Send {
				o.lead(d.Hop, giveUp)
			} else {
				for _, hop := range slices.Clone(o.outs) { // one decided on and overtaken by the answer was never sent
					if hop.giveUp == nil && !hop.copy {
						o.end(hop.hop, NoTime, nil)
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

// Kind is the operation's traffic type by the settings, whatever its route made of it.
func (o *Operation) Kind() int { return o.base }

// lead notes how a hop is given up.
func (o *Operation) lead(hop int, giveUp func()) {
	for i := range o.outs {
		if o.outs[i].hop == hop {
			o.outs[i].giveUp = giveUp
		}
	}
}

// Copying tells how a second copy is given up, which may be before it was sent.
func (o *Operation) Copying(d Decision, giveUp func()) {
	o.f.mu.Lock()
	defer o.f.unlock()
	if o.settled {
		giveUp()
	}
	o.lead(d.Hop, giveUp)
}

// Ended tells how the hop ended that Next returned, or a copy, and what it brought for the client.
func (o *Operation) Ended(hop int, how End, answer []byte) {
	o.f.mu.Lock()
	defer o.f.unlock()
	o.end(hop, how, answer)
	o.forget()
}

// forget lets go of an operation that has its answer and no hop out.
func (o *Operation) forget() {
	if o.settled && len(o.outs) == 0 && o.next.Kind == undecided {
		delete(o.f.ops, o.id)
	}
}

// Close lets go of the operation. It does something only where a fault of this program kept it from its end,
// and then what it held is free for others.
func (o *Operation) Close() {
	o.f.mu.Lock()
	defer o.f.unlock()
	if o.f.ops[o.id] != o {
		return
	}
	if !o.settled {
		o.settle(Decision{Kind: Drop})
		o.f.door.Left(o.f.now(), o.id, (*hands)(o.f))
	}
	o.next.Kind = undecided
	for _, hop := range slices.Clone(o.outs) {
		if !hop.copy { // copies end by themselves
			o.end(hop.hop, GivenUp, nil)
		}
	}
	o.forget()
}

func (o *Operation) end(hop int, how End, answer []byte) {
	i := slices.IndexFunc(o.outs, func(h out) bool { return h.hop == hop })
	if i < 0 {
		return
	}
	ended := o.outs[i]
	o.outs = slices.Delete(o.outs, i, i+1)
	o.f.counts.Ends[how]++
	switch {
	case o.settled:
	case how == Answered:
		o.settle(Decision{Kind: Handled, Answer: answer})
	case how == Declined: // another server would say the same
		o.settle(Decision{Kind: WriteOff, Answer: answer})
	}
	now := o.f.now()
	o.f.tell(ended.server, how)
	o.f.digests.ended(ended.server, o.base, how, now-ended.sent)
	o.f.door.HopEnded(now, o.id, ended.server, policy.Input{Hop: hop, Outcome: how.Outcome(),
		Spent: now - ended.sent, Final: o.settled}, (*hands)(o.f))
}

// Left tells that the client has gone. An answer that crosses this is not sent; a hop that is out goes on,
// for what it tells about its server.
func (o *Operation) Left() {
	o.f.mu.Lock()
	defer o.f.unlock()
	if !o.settled {
		o.settle(Decision{Kind: Drop})
		o.f.door.Left(o.f.now(), o.id, (*hands)(o.f))
	}
}

// Writing tells whether a hop may be written now: not once the operation is settled. From then on it goes on past its
// client's leaving.
func (o *Operation) Writing(hop int) bool {
	o.f.mu.Lock()
	defer o.f.unlock()
	for i := range o.outs {
		if o.outs[i].hop == hop && !o.settled {
			o.outs[i].begun = true
		}
	}
	return !o.settled
}

// Settled tells that nothing more may be sent for the operation.
func (o *Operation) Settled() bool {
	o.f.mu.Lock()
	defer o.f.unlock()
	return o.settled
}

// settle sets the one final answer; whatever crosses it finds the operation settled. Hops that are out are given up,
// but for a client that left and hops that are written: what they tell about their servers is still of use.
func (o *Operation) settle(d Decision) {
	o.settled = true
	delete(o.f.open, o.name)
	o.f.routes.Done(o.grant)
	o.f.counts.decided(d.Kind)
	if d.Kind == Deny {
		o.f.digests.turnedAway(o.base)
	}
	o.decide(d)
	for _, hop := range o.outs {
		if hop.giveUp != nil && (d.Kind != Drop || !hop.begun) {
			hop.giveUp()
		}
	}
}

func (o *Operation) decide(d Decision) {
	o.next = d
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// hands carries out what the module decides; the lock is held.
type hands Fleet

func (h *hands) Forward(job uint64, server string, allow time.Duration) {
	o, s := h.ops[job], h.servers[server]
	if o == nil {
		return
	}
	line, _ := h.book.Line(server)
	d := Decision{Kind: Send, Hop: o.hops, Server: server, Address: line.Address, FastCGI: s.cgi, For: allow}
	o.outs = append(o.outs, out{hop: o.hops, server: server, sent: time.Since(h.started), copy: len(o.outs) > 0})
	o.hops++
	switch {
	case o.settled:
	case len(o.outs) > 1:
		h.counts.Copies++
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

func (h *hands) TurnAway(job uint64, retryIn time.Duration) {
	h.answer(job, Decision{Kind: Deny, For: retryIn})
}

func (h *hands) Lose(job uint64) { h.answer(job, Decision{Kind: WriteOff}) }

func (h *hands) Schedule(after time.Duration) { h.wake.Reset(after) }

func (h *hands) Listen() {
	select {
	case h.asked <- struct{}{}:
	default:
	}
}

func (h *hands) Release(server string) { (*Fleet)(h).release(h.servers[server]) }

func (h *hands) Forget(server string) {
	h.Release(server)
	delete(h.servers, server)
	h.book.Forget(server)
}
