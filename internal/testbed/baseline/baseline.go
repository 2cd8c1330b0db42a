// Package baseline contains alternative policies for nodes in the testbed: simple ones, whose results are compared with
// those of the project's policy, and broken ones, which show that the audit detects each kind of violation. Nodes of the
// testbed create them with Find; production nodes do not use them. A decider is called by its engine, from one goroutine
// at a time.
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
	sweepInterval       = 20 * time.Millisecond  // between checks of open requests
	resubscribeDelay    = time.Second            // after discovery became unavailable
	sendBeforeTimeout   = 100 * time.Millisecond // "deaf" sends this long before sweep would answer the request
	lateDelay           = 400 * time.Millisecond // time after the client's timeout, beyond the slack of scenario "proof", at which "late" answers
	answerBeforeTimeout = 5 * time.Millisecond   // time before the client's timeout by which each request must be answered
)

// Names lists the baseline policies.
var Names = []string{"random", "round-robin", "least-in-flight", "two-choices"}

// Broken maps the name of each broken policy to the name of the rule that the audit must report as violated.
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

// Find returns the factory of a baseline, of a broken policy, or of the project's policy if name is "" or "fernvane". ok is
// false for an unknown name.
func Find(name string) (factory engine.DeciderFactory, ok bool) {
	_, isBroken := Broken[name]
	switch {
	case name == "" || name == "fernvane":
		return engine.NewPolicy, true
	case isBroken || slices.Contains(Names, name):
		return func(s policy.Settings, seed uint32) engine.Decider {
			return &decider{settings: s, seed: seed, name: name, isBroken: isBroken}
		}, true
	}
	return nil, false
}

// request is the state of a client request.
type request struct {
	isOpen        bool
	isInFlight    bool
	typeIndex     int
	limit         time.Duration // time at which the client's timeout expires
	target        time.Duration // end of the latency objective, at which attempts time out
	attempts      []int         // servers, in the order of the attempts
	possiblyRanAt int           // server of the first attempt that may have run; -1: none
	firstRunAt    time.Duration // start of that attempt
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

	ready        []bool // this and the following slices are indexed by server
	zone         []int
	cell         []int
	machine      []int // machine kind
	started      []time.Duration
	inFlight     []int
	next         int // lowest server that round-robin selects next
	isSubscribed bool
	subscribeAt  time.Duration
}

// isBrokenPolicy reports whether this is the broken policy with the given name.
func (d *decider) isBrokenPolicy(name string) bool { return d.isBroken && d.name == name }

// randomFloat returns the next pseudo-random number in [0, 1).
func (d *decider) randomFloat() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], d.seed)
	binary.LittleEndian.PutUint32(b[4:], d.draws)
	d.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// emit appends an effect to the effects of the current input.
func (d *decider) emit(e policy.Effect) { d.effects = append(d.effects, e) }

// Handle processes one input and returns effects with the resulting effects appended.
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

// requestArrived sends the first attempt of a new request, or rejects the request.
func (d *decider) requestArrived(in *policy.Input) {
	for in.Request >= len(d.requests) {
		d.requests = append(d.requests, request{})
	}
	t := &d.settings.TrafficTypes[in.TrafficType]
	r := &d.requests[in.Request]
	*r = request{isOpen: true, typeIndex: in.TrafficType, attempts: r.attempts[:0], possiblyRanAt: -1, limit: d.now + in.Timeout,
		target: d.now + min(t.LatencyObjective, in.Timeout)}
	if d.isBrokenPolicy("silent") && d.randomFloat() < 0.05 || d.isBrokenPolicy("late") && d.randomFloat() < 0.05 {
		r.isInFlight = true // as if an attempt were in flight that never ends
		return
	}
	if d.isBrokenPolicy("deaf") && d.randomFloat() < 0.3 {
		r.target = r.limit
		return // sweep sends it shortly before the timeout, even if the client has disconnected
	}
	if !d.send(in.Request) {
		d.reject(in.Request)
	}
}

// reject answers a request with a rejection, which the client may retry.
func (d *decider) reject(request int) {
	d.requests[request].isOpen = false
	d.emit(policy.Effect{Kind: policy.Reject, Request: request})
}

// fail answers a request whose outcome is unknown with a failure.
func (d *decider) fail(request int) {
	d.requests[request].isOpen = false
	d.emit(policy.Effect{Kind: policy.Fail, Request: request})
}

// send sends an attempt to one of the servers that the request may be sent to. It returns false if there is none.
func (d *decider) send(request int) bool {
	r := &d.requests[request]
	candidates := make([]int, 0, len(d.ready))
	for s, ready := range d.ready {
		if ready && !slices.Contains(r.attempts, s) && d.inGroup(r, s) && d.mayPlace(r, s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	s := d.choose(candidates)
	r.attempts = append(r.attempts, s)
	r.isInFlight = true
	d.inFlight[s]++
	d.emit(policy.Effect{Kind: policy.SendAttempt, Request: request, Server: s, Duration: max(r.target-d.now, time.Millisecond)})
	return true
}

// mayPlace reports whether the request's type allows a server.
func (d *decider) mayPlace(r *request, s int) bool {
	for i, placement := range d.settings.Placements {
		isRestricted := d.settings.TrafficTypes[r.typeIndex].PlacementBit&(1<<i) != 0 && !d.isBrokenPolicy("misplaces")
		if isRestricted && (placement.Zones != nil && !slices.Contains(placement.Zones, d.zone[s]) || placement.MachineKinds != nil && !slices.Contains(placement.MachineKinds, d.machine[s])) {
			return false
		}
	}
	return true
}

// inGroup reports whether a server shares idempotency keys with the server of the attempt that may have run.
func (d *decider) inGroup(r *request, s int) bool {
	if r.possiblyRanAt < 0 || d.settings.TrafficTypes[r.typeIndex].Idempotency != policy.IdempotentWithKey || d.isBrokenPolicy("wrong-group") {
		return true
	}
	switch d.settings.TrafficTypes[r.typeIndex].KeyScope {
	case policy.KeyScopeZone:
		return d.zone[s] == d.zone[r.possiblyRanAt]
	case policy.KeyScopeCell:
		return d.cell[s] == d.cell[r.possiblyRanAt]
	}
	return true
}

// choose selects one of the candidate servers, which are in ascending order.
func (d *decider) choose(candidates []int) int {
	anyCandidate := func() int { return candidates[int(d.randomFloat()*float64(len(candidates)))] }
	switch d.name {
	case "random":
		return anyCandidate()
	case "two-choices":
		a, b := anyCandidate(), anyCandidate()
		if d.inFlight[b] < d.inFlight[a] {
			return b
		}
		return a
	case "least-in-flight":
		best, first := -1, int(d.randomFloat()*float64(len(candidates)))
		for i := range candidates {
			if s := candidates[(first+i)%len(candidates)]; best < 0 || d.inFlight[s] < d.inFlight[best] {
				best = s
			}
		}
		return best
	case "floods-cold":
		return slices.MaxFunc(candidates, func(a, b int) int { return int(d.started[a] - d.started[b]) })
	}
	i, _ := slices.BinarySearch(candidates, d.next)
	s := candidates[i%len(candidates)]
	d.next = s + 1
	return s
}

// attemptEnded retries a request after an attempt, or answers it.
func (d *decider) attemptEnded(in *policy.Input) {
	d.inFlight[in.Server]--
	r := &d.requests[in.Request]
	r.isInFlight = false
	mayHaveRun := in.Outcome != policy.Overloaded && in.Outcome != policy.Unreachable && in.Outcome != policy.NotStarted
	if mayHaveRun && r.possiblyRanAt < 0 {
		r.possiblyRanAt, r.firstRunAt = in.Server, d.now-in.Elapsed
	}
	if !r.isOpen || in.Outcome == policy.Success || in.IsSettled {
		r.isOpen = false
		return
	}
	t := &d.settings.TrafficTypes[r.typeIndex]
	mayRetry := r.possiblyRanAt < 0 || t.Idempotency == policy.Idempotent || d.isBrokenPolicy("repeats-binding") ||
		t.Idempotency == policy.IdempotentWithKey && (d.now < r.firstRunAt+t.KeyRetention-2*sweepInterval || d.isBrokenPolicy("past-window"))
	maxAttempts := d.settings.MaxAttempts
	if d.isBrokenPolicy("too-many-hops") {
		maxAttempts = 1 << 30
	}
	if mayRetry && len(r.attempts) < maxAttempts && d.now < r.target && d.send(in.Request) {
		return
	}
	if d.isSafeToRetry(r) || d.isBrokenPolicy("denies-after-run") {
		d.reject(in.Request)
	} else {
		d.fail(in.Request)
	}
}

// isSafeToRetry reports whether the client may safely retry the request after a rejection.
func (d *decider) isSafeToRetry(r *request) bool {
	t := &d.settings.TrafficTypes[r.typeIndex]
	return r.possiblyRanAt < 0 && !r.isInFlight || t.Idempotency == policy.Idempotent || t.Idempotency == policy.IdempotentWithKey && t.KeyScope == policy.KeyScopeAll
}

// endpointsUpdated applies an update of the endpoint list.
func (d *decider) endpointsUpdated(in *policy.Input) {
	if in.Scope == policy.Unavailable {
		d.isSubscribed, d.subscribeAt = false, d.now+resubscribeDelay
		return
	}
	if in.Scope != policy.Incremental && !d.isBrokenPolicy("ignores-drains") {
		clear(d.ready)
	}
	for _, endpoint := range in.Endpoints {
		for endpoint.Server >= len(d.ready) {
			d.ready, d.inFlight = append(d.ready, false), append(d.inFlight, 0)
			d.zone, d.cell, d.machine = append(d.zone, 0), append(d.cell, 0), append(d.machine, 0)
			d.started = append(d.started, 0)
		}
		d.zone[endpoint.Server], d.cell[endpoint.Server], d.machine[endpoint.Server] = endpoint.Zone, endpoint.Cell, endpoint.MachineKind
		if endpoint.HasStartTime {
			d.started[endpoint.Server] = endpoint.StartedAt
		} else {
			d.started[endpoint.Server] = -time.Hour
		}
		if endpoint.Condition == policy.Up || !d.isBrokenPolicy("ignores-drains") {
			d.ready[endpoint.Server] = endpoint.Condition == policy.Up
		}
	}
}

// sweep answers requests near their timeout, and subscribes to discovery if it is not subscribed.
func (d *decider) sweep() {
	d.emit(policy.Effect{Kind: policy.SetTimer, Duration: sweepInterval})
	for i := range d.requests {
		r := &d.requests[i]
		limit := r.limit - answerBeforeTimeout - sweepInterval
		if d.isBrokenPolicy("late") && len(r.attempts) == 0 {
			limit = r.limit + lateDelay
		}
		if d.isBrokenPolicy("deaf") && r.isOpen && len(r.attempts) == 0 && d.now >= limit-sendBeforeTimeout && d.send(i) {
			continue
		}
		if !r.isOpen || d.now < limit || d.isBrokenPolicy("silent") {
			continue
		}
		if d.isSafeToRetry(r) || len(r.attempts) == 0 {
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
