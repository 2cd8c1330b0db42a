// Package baseline holds plain policies that stand behind the same door as the project's own, to have a figure beside
// its figure, and broken ones, to show that the audit finds what they break. None of them serves traffic.
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
	sweepEvery = 20 * time.Millisecond  // between looks at open requests
	askAgain   = time.Second            // after discovery failed
	holdBack   = 100 * time.Millisecond // before the client's time is up
	tooLate    = 400 * time.Millisecond // after the client's leaving, beyond any slack
	ahead      = 5 * time.Millisecond   // of the client's leaving, the last moment to answer
)

// Names of the baselines.
var Names = []string{"random", "round-robin", "least-in-flight", "two-choices"}

// Broken names those that break one rule each, and the rule that the audit has to name.
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

// Find returns the maker of a baseline, a broken one, or the project's own; ok is false for another name.
func Find(name string) (m engine.DeciderFactory, ok bool) {
	_, broken := Broken[name]
	switch {
	case name == "" || name == "fernvane":
		return engine.NewPolicy, true
	case broken || slices.Contains(Names, name):
		return func(s policy.Settings, seed uint32) engine.Decider {
			return &module{set: s, seed: seed, name: name, broken: broken}
		}, true
	}
	return nil, false
}

type request struct {
	open     bool
	out      bool
	kind     int
	limit    time.Duration // the client is gone
	target   time.Duration
	attempts []int
	mayRun   int // server whose group must be kept; -1: none may have run
	firstRun time.Duration
}

type module struct {
	set    policy.Settings
	seed   uint32
	draws  uint32
	name   string
	broken bool

	now      time.Duration
	effects  []policy.Effect
	requests []request

	ready    []bool
	zone     []int
	cell     []int
	machine  []int // its kind
	started  []time.Duration
	inFlight []int
	turn     int
	asked    bool
	askAt    time.Duration
}

func (m *module) is(broken string) bool { return m.broken && m.name == broken }

func (m *module) chance() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:4], m.seed)
	binary.LittleEndian.PutUint32(b[4:], m.draws)
	m.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (m *module) emit(e policy.Effect) { m.effects = append(m.effects, e) }

// Handle decides on one input.
func (m *module) Handle(now time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	m.now, m.effects = now, effects
	switch in.Kind {
	case policy.RequestArrived:
		m.arrive(in)
	case policy.AttemptEnded:
		m.attemptEnded(in)
	case policy.ClientLeft:
		if in.Request < len(m.requests) {
			m.requests[in.Request].open = false
		}
	case policy.EndpointsUpdated:
		m.list(in)
	case policy.TimerFired:
		m.sweep()
	}
	return m.effects
}

func (m *module) arrive(in *policy.Input) {
	for in.Request >= len(m.requests) {
		m.requests = append(m.requests, request{})
	}
	t := &m.set.TrafficTypes[in.TrafficType]
	o := &m.requests[in.Request]
	*o = request{open: true, kind: in.TrafficType, attempts: o.attempts[:0], mayRun: -1, limit: m.now + in.Timeout,
		target: m.now + min(t.LatencyObjective, in.Timeout)}
	if m.is("silent") && m.chance() < 0.05 || m.is("late") && m.chance() < 0.05 {
		o.out = true // as if an attempt were out, of which nothing is heard
		return
	}
	if m.is("deaf") && m.chance() < 0.3 {
		o.target = o.limit
		return // it waits for nearly all of its time, and then goes whether or not its client is there
	}
	if !m.send(in.Request) {
		m.reject(in.Request)
	}
}

func (m *module) reject(op int) {
	m.requests[op].open = false
	m.emit(policy.Effect{Kind: policy.Reject, Request: op})
}

func (m *module) writeOff(op int) {
	m.requests[op].open = false
	m.emit(policy.Effect{Kind: policy.Fail, Request: op})
}

// send puts an attempt out, if there is a server that the request may go to.
func (m *module) send(op int) bool {
	o := &m.requests[op]
	fits := make([]int, 0, len(m.ready))
	for s, ready := range m.ready {
		if ready && !slices.Contains(o.attempts, s) && m.inGroup(o, s) && m.open(o, s) {
			fits = append(fits, s)
		}
	}
	if len(fits) == 0 {
		return false
	}
	s := m.choose(fits)
	o.attempts = append(o.attempts, s)
	o.out = true
	m.inFlight[s]++
	m.emit(policy.Effect{Kind: policy.SendAttempt, Request: op, Server: s, Duration: max(o.target-m.now, time.Millisecond)})
	return true
}

// open reports whether a request's type may be sent to a server.
func (m *module) open(o *request, s int) bool {
	for i, to := range m.set.Placements {
		bound := m.set.TrafficTypes[o.kind].PlacementBit&(1<<i) != 0 && !m.is("misplaces")
		if bound && (to.Zones != nil && !slices.Contains(to.Zones, m.zone[s]) || to.MachineKinds != nil && !slices.Contains(to.MachineKinds, m.machine[s])) {
			return false
		}
	}
	return true
}

func (m *module) inGroup(o *request, s int) bool {
	if o.mayRun < 0 || m.set.TrafficTypes[o.kind].Idempotency != policy.IdempotentWithKey || m.is("wrong-group") {
		return true
	}
	switch m.set.TrafficTypes[o.kind].KeyScope {
	case policy.KeyScopeZone:
		return m.zone[s] == m.zone[o.mayRun]
	case policy.KeyScopeCell:
		return m.cell[s] == m.cell[o.mayRun]
	}
	return true
}

// choose picks one of the servers that fit; they come in the order of their indices.
func (m *module) choose(fits []int) int {
	any := func() int { return fits[int(m.chance()*float64(len(fits)))] }
	switch m.name {
	case "random":
		return any()
	case "two-choices":
		a, b := any(), any()
		if m.inFlight[b] < m.inFlight[a] {
			return b
		}
		return a
	case "least-in-flight":
		best, from := -1, int(m.chance()*float64(len(fits)))
		for i := range fits {
			if s := fits[(from+i)%len(fits)]; best < 0 || m.inFlight[s] < m.inFlight[best] {
				best = s
			}
		}
		return best
	case "floods-cold":
		return slices.MaxFunc(fits, func(a, b int) int { return int(m.started[a] - m.started[b]) })
	}
	i, _ := slices.BinarySearch(fits, m.turn)
	s := fits[i%len(fits)]
	m.turn = s + 1
	return s
}

func (m *module) attemptEnded(in *policy.Input) {
	m.inFlight[in.Server]--
	o := &m.requests[in.Request]
	o.out = false
	ran := in.Outcome != policy.Overloaded && in.Outcome != policy.Unreachable && in.Outcome != policy.NotStarted
	if ran && o.mayRun < 0 {
		o.mayRun, o.firstRun = in.Server, m.now-in.Elapsed
	}
	if !o.open || in.Outcome == policy.Success || in.ClientAnswered {
		o.open = false
		return
	}
	t := &m.set.TrafficTypes[o.kind]
	may := o.mayRun < 0 || t.Idempotency == policy.Idempotent || m.is("repeats-binding") ||
		t.Idempotency == policy.IdempotentWithKey && (m.now < o.firstRun+t.KeyRetention-2*sweepEvery || m.is("past-window"))
	most := m.set.MaxAttempts
	if m.is("too-many-hops") {
		most = 1 << 30
	}
	if may && len(o.attempts) < most && m.now < o.target && m.send(in.Request) {
		return
	}
	if m.harmless(o) || m.is("denies-after-run") {
		m.reject(in.Request)
	} else {
		m.writeOff(in.Request)
	}
}

func (m *module) harmless(o *request) bool {
	t := &m.set.TrafficTypes[o.kind]
	return o.mayRun < 0 && !o.out || t.Idempotency == policy.Idempotent || t.Idempotency == policy.IdempotentWithKey && t.KeyScope == policy.KeyScopeAll
}

func (m *module) list(in *policy.Input) {
	if in.Scope == policy.Unavailable {
		m.asked, m.askAt = false, m.now+askAgain
		return
	}
	if in.Scope != policy.Incremental && !m.is("ignores-drains") {
		clear(m.ready)
	}
	for _, l := range in.Endpoints {
		for l.Server >= len(m.ready) {
			m.ready, m.inFlight = append(m.ready, false), append(m.inFlight, 0)
			m.zone, m.cell, m.machine = append(m.zone, 0), append(m.cell, 0), append(m.machine, 0)
			m.started = append(m.started, 0)
		}
		m.zone[l.Server], m.cell[l.Server], m.machine[l.Server] = l.Zone, l.Cell, l.MachineKind
		if l.HasStartTime {
			m.started[l.Server] = l.StartedAt
		} else {
			m.started[l.Server] = -time.Hour
		}
		if l.Condition == policy.Up || !m.is("ignores-drains") {
			m.ready[l.Server] = l.Condition == policy.Up
		}
	}
}

func (m *module) sweep() {
	m.emit(policy.Effect{Kind: policy.SetTimer, Duration: sweepEvery})
	for i := range m.requests {
		o := &m.requests[i]
		limit := o.limit - ahead - sweepEvery
		if m.is("late") && len(o.attempts) == 0 {
			limit = o.limit + tooLate
		}
		if m.is("deaf") && o.open && len(o.attempts) == 0 && m.now >= limit-holdBack && m.send(i) {
			continue
		}
		if !o.open || m.now < limit || m.is("silent") {
			continue
		}
		if m.harmless(o) || len(o.attempts) == 0 {
			m.reject(i)
		} else {
			m.writeOff(i)
		}
	}
	if !m.asked && m.now >= m.askAt {
		m.asked = true
		m.emit(policy.Effect{Kind: policy.Subscribe})
	}
}
