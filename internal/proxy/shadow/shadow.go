// Package shadow watches what the decision module would decide under other settings, while it decides as before.
package shadow

import (
	"sync/atomic"
	"time"

	"fernvane/internal/config/settings"
	"fernvane/policy"
)

// perSecond bounds the decisions that are compared, and with them the time that watching takes: a comparison copies what
// the module knows, some 50 microseconds with a hundred servers and as many operations.
const perSecond = 100

// serversEach is how many servers a comparison may copy at the price of one; more cost as many more, so that watching
// takes no more of a node with many servers.
const serversEach = 1_000

// Kind is in what the other settings would have decided otherwise.
type Kind int

const (
	Server       Kind = iota // sent to another server
	HopTime                  // the hop given another time
	Sent                     // sent, where it was denied or waits
	Waited                   // waits, where it was sent or denied
	Denied                   // denied, where it was sent, waits or is written off
	ReturnTime               // denied too, with another time to come back
	FurtherHop               // a further hop or a copy, where there was none
	NoFurtherHop             // the reverse
	WrittenOff               // written off, where it was not
	LeftOpen                 // the hop still out waited for, where it was answered
	kinds
)

var names = [kinds]string{"server", "hop_time", "sent", "waited", "denied", "return_time", "further_hop", "no_further_hop",
	"written_off", "left_open"}

func (k Kind) String() string { return names[k] }

// Watcher is a module that hands on what another decides, to the byte, and counts where settings would differ.
type Watcher struct {
	live     *policy.Policy
	watch    *Watch
	left     float64 // comparisons that may still be made
	last     time.Duration
	effects  []policy.Effect
	byOp     map[int]policy.Effect
	disabled bool
}

// Watch is what is watched and what was counted; both may be reached while the module decides.
type Watch struct {
	set      atomic.Pointer[settings.Settings]
	compared atomic.Int64
	failed   atomic.Int64
	counts   [kinds]atomic.Int64
}

// Counts since the last call.
type Counts struct {
	Compared int
	Failed   bool // the other decision could not be had; nothing is watched any more
	By       [kinds]int
}

// NewWatch watches settings, which must fit the node's own.
func NewWatch(s *settings.Settings) *Watch {
	w := new(Watch)
	w.Set(s)
	return w
}

// Set has other settings watched from now on.
func (t *Watch) Set(s *settings.Settings) { t.set.Store(s) }

// Watched are the settings that are watched now.
func (t *Watch) Watched() *settings.Settings { return t.set.Load() }

// Take returns the counts since the last call.
func (t *Watch) Take() (c Counts) {
	c.Compared, c.Failed = int(t.compared.Swap(0)), t.failed.Load() > 0
	for k := range t.counts {
		c.By[k] = int(t.counts[k].Swap(0))
	}
	return c
}

// Each calls f for each kind, also for those that did not occur.
func (c Counts) Each(f func(k Kind, n int)) {
	for k, n := range c.By {
		f(Kind(k), n)
	}
}

// New is a module that decides as live does.
func New(live *policy.Policy, watch *Watch) *Watcher {
	return &Watcher{live: live, watch: watch, left: perSecond, byOp: map[int]policy.Effect{}}
}

// Handle has the module decide. The other settings are asked before, on a copy, since the module then knows what it knows
// as it decides.
func (w *Watcher) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	asked := w.due(now, in) && w.ask(now, in)
	from := len(effects)
	effects = w.live.Handle(now, in, effects)
	if asked {
		w.compare(effects[from:])
	}
	return effects
}

// due: it is a decision on operations, and fewer were compared than may be.
func (w *Watcher) due(now time.Duration, in *policy.Input) bool {
	price := max(float64(w.live.Servers())/serversEach, 1)
	w.left, w.last = min(w.left+perSecond*(now-w.last).Seconds(), max(perSecond, price)), now
	switch in.Kind {
	case policy.List, policy.Retyped, policy.Planned, policy.AllowancesChanged:
		return false
	}
	if w.disabled || w.left < price {
		return false
	}
	w.left -= price
	return true
}

func (w *Watcher) ask(now time.Duration, in *policy.Input) (ok bool) {
	defer func() { // settings that are only watched must not end a node
		if recover() != nil {
			w.disabled, ok = true, false
			w.watch.failed.Add(1)
		}
	}()
	w.effects = w.live.WhatIf(&w.watch.Watched().Settings, now, in, w.effects[:0])
	return true
}

func (w *Watcher) compare(live []policy.Effect) {
	w.watch.compared.Add(1)
	clear(w.byOp)
	for _, e := range w.effects {
		if decides(e.Kind) {
			w.byOp[e.Op] = e
		}
	}
	for _, e := range live {
		if !decides(e.Kind) {
			continue
		}
		other, both := w.byOp[e.Op]
		delete(w.byOp, e.Op)
		had := w.live.Hops(e.Op)
		if e.Kind == policy.SendHop {
			had--
		}
		if k, differs := differ(&e, &other, both, had > 0); differs {
			w.watch.counts[k].Add(1)
		}
	}
	for op, other := range w.byOp {
		k, _ := differ(nil, &other, true, w.live.Hops(op) > 0)
		w.watch.counts[k].Add(1)
	}
}

func decides(k policy.EffectKind) bool {
	return k == policy.SendHop || k == policy.Deny || k == policy.WriteOff
}

// differ tells in what the other decision on an operation differs; further: it has had a hop before.
func differ(live, other *policy.Effect, decided, further bool) (Kind, bool) {
	either := func(first, again Kind) (Kind, bool) {
		if further {
			return again, true
		}
		return first, true
	}
	switch {
	case !decided && live.Kind == policy.SendHop:
		return either(Waited, NoFurtherHop)
	case !decided:
		return either(Waited, LeftOpen)
	case live == nil || live.Kind != other.Kind:
		switch other.Kind {
		case policy.SendHop:
			return either(Sent, FurtherHop)
		case policy.Deny:
			return Denied, true
		}
		return WrittenOff, true
	case live.Kind == policy.SendHop && live.Server != other.Server:
		return Server, true
	case live.Kind == policy.SendHop:
		return HopTime, live.For != other.For
	case live.Kind == policy.Deny:
		return ReturnTime, live.For != other.For
	}
	return 0, false
}
