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
const maxComparisonsPerSecond = 100

// serversEach is how many servers a comparison may copy at the price of one; more cost as many more, so that watching
// takes no more of a node with many servers.
const serversPerComparison = 1_000

// Difference is in what the other settings would have decided otherwise.
type Difference int

const (
	ServerDiffers     Difference = iota // sent to another server
	TimeoutDiffers                      // the hop given another time
	WouldSend                           // sent, where it was denied or waits
	WouldQueue                          // waits, where it was sent or denied
	WouldReject                         // denied, where it was sent, waits or is written off
	RetryAfterDiffers                   // denied too, with another time to come back
	WouldRetry                          // a further hop or a copy, where there was none
	WouldNotRetry                       // the reverse
	WouldFail                           // written off, where it was not
	WouldKeepWaiting                    // the hop still out waited for, where it was answered
	differenceCount
)

var differenceNames = [differenceCount]string{"server", "hop_time", "sent", "waited", "denied", "return_time", "further_hop", "no_further_hop",
	"written_off", "left_open"}

func (k Difference) String() string { return differenceNames[k] }

// Module is a module that hands on what another decides, to the byte, and counts where settings would differ.
type Module struct {
	live       *policy.Policy
	candidate  *Candidate
	budget     float64 // comparisons that may still be made
	budgetAt   time.Duration
	effects    []policy.Effect
	byRequest  map[int]policy.Effect
	isDisabled bool
}

// Candidate is what is watched and what was counted; both may be reached while the module decides.
type Candidate struct {
	settings atomic.Pointer[settings.Settings]
	compared atomic.Int64
	failed   atomic.Int64
	counts   [differenceCount]atomic.Int64
}

// Counts since the last call.
type Counts struct {
	Compared     int
	HasFailed    bool // the other decision could not be had; nothing is watched any more
	ByDifference [differenceCount]int
}

// NewCandidate watches settings, which must fit the node's own.
func NewCandidate(s *settings.Settings) *Candidate {
	w := new(Candidate)
	w.SetSettings(s)
	return w
}

// SetSettings has other settings watched from now on.
func (t *Candidate) SetSettings(s *settings.Settings) { t.settings.Store(s) }

// Settings are the settings that are watched now.
func (t *Candidate) Settings() *settings.Settings { return t.settings.Load() }

// TakeCounts returns the counts since the last call.
func (t *Candidate) TakeCounts() (c Counts) {
	c.Compared, c.HasFailed = int(t.compared.Swap(0)), t.failed.Load() > 0
	for k := range t.counts {
		c.ByDifference[k] = int(t.counts[k].Swap(0))
	}
	return c
}

// Each calls f for each kind, also for those that did not occur.
func (c Counts) Each(f func(k Difference, n int)) {
	for k, n := range c.ByDifference {
		f(Difference(k), n)
	}
}

// NewModule is a module that decides as live does.
func NewModule(live *policy.Policy, watch *Candidate) *Module {
	return &Module{live: live, candidate: watch, budget: maxComparisonsPerSecond, byRequest: map[int]policy.Effect{}}
}

// Handle has the module decide. The other settings are asked before, on a copy, since the module then knows what it knows
// as it decides.
func (w *Module) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	asked := w.shouldCompare(now, in) && w.evaluateCandidate(now, in)
	from := len(effects)
	effects = w.live.Handle(now, in, effects)
	if asked {
		w.compare(effects[from:])
	}
	return effects
}

// due: it is a decision on operations, and fewer were compared than may be.
func (w *Module) shouldCompare(now time.Duration, in *policy.Input) bool {
	price := max(float64(w.live.ServerCount())/serversPerComparison, 1)
	w.budget, w.budgetAt = min(w.budget+maxComparisonsPerSecond*(now-w.budgetAt).Seconds(), max(maxComparisonsPerSecond, price)), now
	switch in.Kind {
	case policy.EndpointsUpdated, policy.TrafficTypesChanged, policy.PlanChanged, policy.QuotasChanged:
		return false
	}
	if w.isDisabled || w.budget < price {
		return false
	}
	w.budget -= price
	return true
}

func (w *Module) evaluateCandidate(now time.Duration, in *policy.Input) (ok bool) {
	defer func() { // settings that are only watched must not end a node
		if recover() != nil {
			w.isDisabled, ok = true, false
			w.candidate.failed.Add(1)
		}
	}()
	w.effects = w.live.WhatIf(&w.candidate.Settings().Settings, now, in, w.effects[:0])
	return true
}

func (w *Module) compare(live []policy.Effect) {
	w.candidate.compared.Add(1)
	clear(w.byRequest)
	for _, e := range w.effects {
		if isDecision(e.Kind) {
			w.byRequest[e.Request] = e
		}
	}
	for _, e := range live {
		if !isDecision(e.Kind) {
			continue
		}
		other, both := w.byRequest[e.Request]
		delete(w.byRequest, e.Request)
		had := w.live.AttemptCount(e.Request)
		if e.Kind == policy.SendAttempt {
			had--
		}
		if k, differs := difference(&e, &other, both, had > 0); differs {
			w.candidate.counts[k].Add(1)
		}
	}
	for op, other := range w.byRequest {
		k, _ := difference(nil, &other, true, w.live.AttemptCount(op) > 0)
		w.candidate.counts[k].Add(1)
	}
}

func isDecision(k policy.EffectKind) bool {
	return k == policy.SendAttempt || k == policy.Reject || k == policy.Fail
}

// differ tells in what the other decision on an operation differs; further: it has had a hop before.
func difference(live, other *policy.Effect, decided, further bool) (Difference, bool) {
	either := func(first, again Difference) (Difference, bool) {
		if further {
			return again, true
		}
		return first, true
	}
	switch {
	case !decided && live.Kind == policy.SendAttempt:
		return either(WouldQueue, WouldNotRetry)
	case !decided:
		return either(WouldQueue, WouldKeepWaiting)
	case live == nil || live.Kind != other.Kind:
		switch other.Kind {
		case policy.SendAttempt:
			return either(WouldSend, WouldRetry)
		case policy.Reject:
			return WouldReject, true
		}
		return WouldFail, true
	case live.Kind == policy.SendAttempt && live.Server != other.Server:
		return ServerDiffers, true
	case live.Kind == policy.SendAttempt:
		return TimeoutDiffers, live.Duration != other.Duration
	case live.Kind == policy.Reject:
		return RetryAfterDiffers, live.Duration != other.Duration
	}
	return 0, false
}
