// Package baseline holds policies for the testbed in the place of the project's own: simple ones to compare results with,
// and broken ones that show that the audit finds each violation. Nodes of the testbed create them by Find; none is used
// in production. A decider is driven by its engine, from one goroutine at a time.
package baseline

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"time"

	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

const (
	sweepInterval       = 20 * time.Millisecond  // of checks of open requests
	resubscribeDelay    = time.Second            // after discovery was unavailable
	sendBeforeTimeout   = 100 * time.Millisecond // when "deaf" sends, before the client's timeout
	lateDelay           = 400 * time.Millisecond // when "late" answers, after the client's timeout and any slack
	answerBeforeTimeout = 5 * time.Millisecond   // before the client's timeout, when a request is answered at the latest
)

// Names lists the baselines.
var Names = []string{"random", "round-robin", "least-in-flight", "two-choices"}

// Broken maps each broken policy to the rule that the audit must find violated.
var Broken = map[string]string{
	"silent":           "answered",
	"late":             "answered",
	"repeats-binding":  "no-second-effect",
	"wrong-group":      "no-second-effect",
	"past-window":      "no-second-effect",
	"denies-after-run": "clean-denial",
	"ignores-drains":   "drains",
	"floods-cold":      "cold",
	"too-many-hops":    "hops",
	"deaf":             "leavers",
	"misplaces":        "placement",
	"hoards":           "closing",
}

// Find returns the factory of a baseline, a broken policy or the project's own; ok is false for any other name.
func Find(name string) (factory engine.DeciderFactory, ok bool) {
	_, broken := Broken[name]
	switch {
	case name == "" || name == "fernvane":
		return engine.NewPolicy, true
	case broken || slices.Contains(Names, name):
		return func(s policy.Settings, seed uint32) engine.Decider {
			return &decider{settings: s, seed: seed, name: name, isBroken: broken}
		}, true
	}
	return nil, false
}

// request is the state of a request.
type request struct {
	isOpen        bool
	isInFlight    bool
	typeIndex     int
	limit         time.Duration // the client's timeout
	target        time.Duration
	attempts      []int
	possiblyRanAt int // server of the first attempt that may have run; -1: none
	firstRunAt    time.Duration
}

// decider is a baseline or broken policy.
type decider struct {
	settings policy.Settings
	seed     uint32
	draws    uint32
	name     string
	isBroken bool

	now      time.Duration
	effects  []policy.Effect
	requests []request

	ready        []bool
	zone         []int
	cell         []int
	machine      []int // kind of machine
	started      []time.Duration
	inFlight     []int
	next         int
	isSubscribed bool
	subscribeAt  time.Duration
}

// breaks reports whether this is the broken policy of a name.
func (d *decider) isBrokenPolicy(broken string) bool { return d.isBroken && d.name == broken }

// chance returns the next random number in [0, 1).
func (d *decider) chance() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], d.seed)
	binary.LittleEndian.PutUint32(b[4:], d.draws)
	d.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// emit adds an effect.
func (d *decider) emit(e policy.Effect) { d.effects = append(d.effects, e) }

// Handle decides on one input.
func (d *decider) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	d.now, d.effects = now, effects
	switch in.Kind {
	case policy.RequestArrived:
		d.requestArrived(in)
	case policy.AttemptEnded:
		d.attemptEnded(in)
	case policy.ClientLeft:
		if in.Request < len(d.requests) {
			d.requests[in.Request].isOpen = false
		}
	case policy.EndpointsUpdated:
		d.endpointsUpdated(in)
	case policy.TimerFired:
		d.sweep()
	}
	return d.effects
}

// requestArrived sends a new request or rejects it.
func (d *decider) requestArrived(in *policy.Input) {
	for in.Request >= len(d.requests) {
		d.requests = append(d.requests, request{})
	}
	t := &d.settings.TrafficTypes[in.TrafficType]
	o := &d.requests[in.Request]
	*o = request{isOpen: true, typeIndex: in.TrafficType, attempts: o.attempts[:0], possiblyRanAt: -1, limit: d.now + in.Timeout,
		target: d.now + min(t.LatencyObjective, in.Timeout)}
	if d.isBrokenPolicy("silent") && d.chance() < 0.05 || d.isBrokenPolicy("late") && d.chance() < 0.05 {
		o.isInFlight = true // as if an attempt were in flight without an outcome
		return
	}
	if d.isBrokenPolicy("deaf") && d.chance() < 0.3 {
		o.target = o.limit
		return // it is sent shortly before the timeout, whether or not its client is connected
	}
	if !d.send(in.Request) {
		d.reject(in.Request)
	}
}

// reject rejects a request.
func (d *decider) reject(request int) {
	d.requests[request].isOpen = false
	d.emit(policy.Effect{Kind: policy.Reject, Request: request})
}

// fail fails a request whose outcome is unknown.
func (d *decider) fail(request int) {
	d.requests[request].isOpen = false
	d.emit(policy.Effect{Kind: policy.Fail, Request: request})
}

// send sends an attempt if there is a server that the request may be sent to.
func (d *decider) send(request int) bool {
	o := &d.requests[request]
	fits := make([]int, 0, len(d.ready))
	for s, ready := range d.ready {
		if ready && !slices.Contains(o.attempts, s) && d.inGroup(o, s) && d.mayPlace(o, s) {
			fits = append(fits, s)
		}
	}
	if len(fits) == 0 {
		return false
	}
	s := d.choose(fits)
	o.attempts = append(o.attempts, s)
	o.isInFlight = true
	d.inFlight[s]++
	d.emit(policy.Effect{Kind: policy.SendAttempt, Request: request, Server: s, Duration: max(o.target-d.now, time.Millisecond)})
	return true
}

// mayPlace reports whether a request's type may be sent to a server.
func (d *decider) mayPlace(o *request, s int) bool {
	for i, to := range d.settings.Placements {
		bound := d.settings.TrafficTypes[o.typeIndex].PlacementBit&(1<<i) != 0 && !d.isBrokenPolicy("misplaces")
		if bound && (to.Zones != nil && !slices.Contains(to.Zones, d.zone[s]) || to.MachineKinds != nil && !slices.Contains(to.MachineKinds, d.machine[s])) {
			return false
		}
	}
	return true
}

// inGroup reports whether a server is in the key scope of the attempt that may have run.
func (d *decider) inGroup(o *request, s int) bool {
	if o.possiblyRanAt < 0 || d.settings.TrafficTypes[o.typeIndex].Idempotency != policy.IdempotentWithKey || d.isBrokenPolicy("wrong-group") {
		return true
	}
	switch d.settings.TrafficTypes[o.typeIndex].KeyScope {
	case policy.KeyScopeZone:
		return d.zone[s] == d.zone[o.possiblyRanAt]
	case policy.KeyScopeCell:
		return d.cell[s] == d.cell[o.possiblyRanAt]
	}
	return true
}

// choose returns one of the servers that fit, which are in ascending order.
func (d *decider) choose(fits []int) int {
	any := func() int { return fits[int(d.chance()*float64(len(fits)))] }
	switch d.name {
	case "random":
		return any()
	case "two-choices":
		a, b := any(), any()
		if d.inFlight[b] < d.inFlight[a] {
			return b
		}
		return a
	case "least-in-flight":
		best, from := -1, int(d.chance()*float64(len(fits)))
		for i := range fits {
			if s := fits[(from+i)%len(fits)]; best < 0 || d.inFlight[s] < d.inFlight[best] {
				best = s
			}
		}
		return best
	case "floods-cold":
		return slices.MaxFunc(fits, func(a, b int) int { return int(d.started[a] - d.started[b]) })
	}
	i, _ := slices.BinarySearch(fits, d.next)
	s := fits[i%len(fits)]
	d.next = s + 1
	return s
}

// attemptEnded retries or answers a request after an attempt.
func (d *decider) attemptEnded(in *policy.Input) {
	d.inFlight[in.Server]--
	o := &d.requests[in.Request]
	o.isInFlight = false
	ran := in.Outcome != policy.Overloaded && in.Outcome != policy.Unreachable && in.Outcome != policy.NotStarted
	if ran && o.possiblyRanAt < 0 {
		o.possiblyRanAt, o.firstRunAt = in.Server, d.now-in.Elapsed
	}
	if !o.isOpen || in.Outcome == policy.Success || in.ClientAnswered {
		o.isOpen = false
		return
	}
	t := &d.settings.TrafficTypes[o.typeIndex]
	may := o.possiblyRanAt < 0 || t.Idempotency == policy.Idempotent || d.isBrokenPolicy("repeats-binding") ||
		t.Idempotency == policy.IdempotentWithKey && (d.now < o.firstRunAt+t.KeyRetention-2*sweepInterval || d.isBrokenPolicy("past-window"))
	most := d.settings.MaxAttempts
	if d.isBrokenPolicy("too-many-hops") {
		most = 1 << 30
	}
	if may && len(o.attempts) < most && d.now < o.target && d.send(in.Request) {
		return
	}
	if d.isSafeToRetry(o) || d.isBrokenPolicy("denies-after-run") {
		d.reject(in.Request)
	} else {
		d.fail(in.Request)
	}
}

// isSafeToRetry reports whether a rejected request may be retried by the client.
func (d *decider) isSafeToRetry(o *request) bool {
	t := &d.settings.TrafficTypes[o.typeIndex]
	return o.possiblyRanAt < 0 && !o.isInFlight || t.Idempotency == policy.Idempotent || t.Idempotency == policy.IdempotentWithKey && t.KeyScope == policy.KeyScopeAll
}

// endpointsUpdated takes over an endpoint list.
func (d *decider) endpointsUpdated(in *policy.Input) {
	if in.Scope == policy.Unavailable {
		d.isSubscribed, d.subscribeAt = false, d.now+resubscribeDelay
		return
	}
	if in.Scope != policy.Incremental && !d.isBrokenPolicy("ignores-drains") {
		clear(d.ready)
	}
	for _, l := range in.Endpoints {
		for l.Server >= len(d.ready) {
			d.ready, d.inFlight = append(d.ready, false), append(d.inFlight, 0)
			d.zone, d.cell, d.machine = append(d.zone, 0), append(d.cell, 0), append(d.machine, 0)
			d.started = append(d.started, 0)
		}
		d.zone[l.Server], d.cell[l.Server], d.machine[l.Server] = l.Zone, l.Cell, l.MachineKind
		if l.HasStartTime {
			d.started[l.Server] = l.StartedAt
		} else {
			d.started[l.Server] = -time.Hour
		}
		if l.Condition == policy.Up || !d.isBrokenPolicy("ignores-drains") {
			d.ready[l.Server] = l.Condition == policy.Up
		}
	}
}

// sweep answers requests near their timeout and subscribes to discovery.
func (d *decider) sweep() {
	d.emit(policy.Effect{Kind: policy.SetTimer, Duration: sweepInterval})
	for i := range d.requests {
		o := &d.requests[i]
		limit := o.limit - answerBeforeTimeout - sweepInterval
		if d.isBrokenPolicy("late") && len(o.attempts) == 0 {
			limit = o.limit + lateDelay
		}
		if d.isBrokenPolicy("deaf") && o.isOpen && len(o.attempts) == 0 && d.now >= limit-sendBeforeTimeout && d.send(i) {
			continue
		}
		if !o.isOpen || d.now < limit || d.isBrokenPolicy("silent") {
			continue
		}
		if d.isSafeToRetry(o) || len(o.attempts) == 0 {
			d.reject(i)
		} else {
			d.fail(i)
		}
	}
	if !d.isSubscribed && d.now >= d.subscribeAt {
		d.isSubscribed = true
		d.emit(policy.Effect{Kind: policy.Subscribe})
	}
}
