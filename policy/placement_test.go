package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

const bound = 0 // the traffic type of the tests below that is bound to a placement

// placed is a rig of servers in zones 0 and 1 and of kinds 0 and 1, with the first traffic type bound.
func placed(t *testing.T, servers int, to Placement, change func(*Settings)) *rig {
	t.Helper()
	r := newRig(t, 0, func(s *Settings) {
		s.Placements = []Placement{to}
		s.TrafficTypes[bound].PlacementBit = 1
		if change != nil {
			change(s)
		}
	})
	r.list(0, Cached, servers, func(*Endpoint) {})
	return r
}

// list tells of servers; change alters each line.
func (r *rig) list(now time.Duration, scope UpdateScope, servers int, change func(*Endpoint)) []Effect {
	var list []Endpoint
	for i := range servers {
		m := Endpoint{Server: i, Rank: uint32(i), Zone: i % 2, MachineKind: i / 2 % 2, Cell: i / 2, Weight: 1}
		change(&m)
		list = append(list, m)
	}
	return r.at(now, Input{Kind: EndpointsUpdated, Scope: scope, Endpoints: list})
}

// sentTo are the servers that effects send attempts to.
func sentTo(effects []Effect) (servers []int) {
	for _, e := range effects {
		if e.Kind == SendAttempt {
			servers = append(servers, e.Server)
		}
	}
	return servers
}

// flood has operations of the bound type come, with the first attempt of every second one ending in some way.
func (r *rig) flood(now time.Duration, n int, how Outcome) (effects []Effect) {
	for i := range n {
		at := now + time.Duration(i)*5*ms
		op, sent := r.arriveAt(at, bound, time.Second)
		effects = append(effects, sent...)
		if len(sentTo(sent)) > 0 && i%2 == 0 {
			effects = append(effects, r.end(at+2*ms, op, 0, how)...)
		}
		effects = append(effects, r.at(at+3*ms, Input{Kind: TimerFired})...)
	}
	return effects
}

// A bound type goes only to servers whose zone and kind are named, whatever happens there.
func TestPlacement(t *testing.T) {
	north := Placement{Zones: []int{1}} // not the zone of the node
	inNorth := func(s int) bool { return s%2 == 1 }
	nowhere := func(int) bool { return false }
	failing := func(how Outcome) func(*rig) []Effect {
		return func(r *rig) []Effect { return r.flood(0, 60, how) }
	}
	for name, c := range map[string]struct {
		to     Placement
		change func(*Settings)
		day    func(r *rig) []Effect
		open   func(s int) bool
		none   bool // nothing is sent
	}{
		"a zone":                {north, nil, failing(Success), inNorth, false},
		"a kind":                {Placement{MachineKinds: []int{1}}, nil, failing(Success), func(s int) bool { return s/2%2 == 1 }, false},
		"a zone and a kind":     {Placement{Zones: []int{1}, MachineKinds: []int{1}}, nil, failing(Success), func(s int) bool { return s%4 == 3 }, false},
		"two zones":             {Placement{Zones: []int{0, 1}}, nil, failing(Success), func(int) bool { return true }, false},
		"a zone of no server":   {Placement{Zones: []int{5}}, nil, failing(Success), nowhere, true},
		"an empty list":         {Placement{Zones: []int{}}, nil, failing(Success), nowhere, true},
		"all taken in":          {north, nil, func(r *rig) []Effect { r.takeAll(); return r.flood(0, 60, Success) }, inNorth, false},
		"repeats after errors":  {north, nil, failing(Failure), inNorth, false},
		"repeats after breaks":  {north, nil, failing(ConnectionBroken), inNorth, false},
		"repeats where full":    {north, nil, failing(Overloaded), inNorth, false},
		"none can be connected": {north, nil, failing(Unreachable), inNorth, false},
		"none answers":          {north, nil, failing(TimedOut), inNorth, false},
		"second copies": {north, func(s *Settings) {
			s.HedgingAllowed, s.TrafficTypes[bound].HedgeDelay, s.TrafficTypes[bound].HedgeRatio = true, 2*ms, 1
		},
			failing(Failure), inNorth, false},
		"a pool of a route": {north, func(s *Settings) { s.TrafficTypes[bound].PoolLabels = 2 }, func(r *rig) []Effect {
			r.list(0, Incremental, 12, func(m *Endpoint) { m.Labels = uint64(m.Server/4%2 + 1) })
			return r.flood(0, 60, Failure)
		}, func(s int) bool { return inNorth(s) && s/4%2 == 1 }, false},
		"a pool elsewhere": {north, func(s *Settings) { s.TrafficTypes[bound].PoolLabels = 2 }, func(r *rig) []Effect {
			r.list(0, Incremental, 12, func(m *Endpoint) { m.Labels = uint64(2 - m.Server%2) })
			return r.flood(0, 60, Success)
		}, nowhere, true},
		"a plan's part elsewhere": {north, nil, func(r *rig) []Effect {
			r.at(0, Input{Kind: PlanChanged, NodeCount: 4, Assignments: []Assignment{{Server: 0, Preference: 1}, {Server: 2, Preference: 1}}})
			return r.flood(0, 60, Success)
		}, inNorth, false},
		"cold servers": {north, nil, func(r *rig) []Effect {
			r.list(0, Incremental, 12, func(m *Endpoint) { m.HasStartTime = true })
			return r.flood(time.Second, 200, Success)
		}, inNorth, false},
		"all drain": {north, nil, func(r *rig) []Effect {
			r.list(0, Incremental, 12, func(m *Endpoint) {
				if inNorth(m.Server) {
					m.Condition = Draining
				}
			})
			return r.flood(0, 60, Success)
		}, nowhere, true},
		"a zone that changes": {Placement{Zones: []int{0}}, nil, func(r *rig) []Effect {
			r.flood(0, 20, Success)
			r.list(100*ms, Incremental, 12, func(m *Endpoint) { m.Zone = 1 - m.Zone })
			return r.flood(100*ms, 60, Failure)
		}, inNorth, false},
		"a kind that changes": {Placement{MachineKinds: []int{1}}, nil, func(r *rig) []Effect {
			r.flood(0, 20, Success)
			r.list(100*ms, Incremental, 12, func(m *Endpoint) { m.MachineKind = 1 - m.MachineKind })
			return r.flood(100*ms, 60, Failure)
		}, func(s int) bool { return s/2%2 == 0 }, false},
		"a mark kept to its group": {north, func(s *Settings) { s.TrafficTypes[bound] = s.TrafficTypes[1]; s.TrafficTypes[bound].PlacementBit = 1 },
			failing(Failure), inNorth, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := placed(t, 12, c.to, c.change)
			sent := sentTo(c.day(r))
			if (len(sent) == 0) != c.none {
				t.Errorf("%d attempts", len(sent))
			}
			for _, s := range sent {
				if !c.open(s) {
					t.Errorf("sent to %d, which is not open to the type", s)
				}
			}
		})
	}
}

// An operation with no server open to it is held, and then ended in time, while others go on.
func TestPlacementHoldsOrEnds(t *testing.T) {
	r := placed(t, 6, Placement{Zones: []int{5}}, nil)
	op, got := r.arriveAt(0, bound, time.Second)
	if len(kinds(got)) > 0 {
		t.Fatalf("not held: %v", got)
	}
	if _, got = r.arriveAt(0, 2, time.Second); len(sentTo(got)) != 1 {
		t.Errorf("another type is not sent: %v", got)
	}
	var ends []Effect
	for now := 20 * ms; now < time.Second; now += 20 * ms {
		for _, e := range r.at(now, Input{Kind: TimerFired}) {
			if e.Kind != SetTimer && e.Request == op {
				ends = append(ends, e)
			}
		}
	}
	if len(ends) != 1 || ends[0].Kind != Reject {
		t.Errorf("ended by %v", ends)
	}
}

// That a bound operation finds no server does not keep others, that wait behind it, from theirs.
func TestPlacementLeavesRoomToOthers(t *testing.T) {
	r := placed(t, 6, Placement{Zones: []int{5}}, func(s *Settings) { s.TrafficTypes[bound].PriorityWeight = 1e6 })
	var first int
	for i := 0; !r.isSaturated(); i++ {
		op, _ := r.arriveAt(0, 2, time.Second)
		if i == 0 {
			first = op
		}
	}
	r.arriveAt(1*ms, bound, time.Second)
	r.arriveAt(1*ms, bound, time.Second)
	if waits, got := r.arriveAt(1*ms, 2, time.Second); len(sentTo(got)) != 0 || r.Policy.requests.all[waits].state != stateQueued {
		t.Fatalf("the window is not full: %v", got)
	}
	if got := r.end(2*ms, first, 0, Success); len(sentTo(got)) != 1 {
		t.Errorf("an operation that could be sent waits behind one that cannot: %v", got)
	}
}

// At most a share of the servers open to a type rests, whatever the whole fleet would bear.
func TestPlacementBoundsRests(t *testing.T) {
	for name, c := range map[string]struct {
		kind  int
		share float64
		tried int // servers that fail; of 16, the first 4 are open to the bound type
		most  int
	}{
		"for the bound type":               {bound, maxTypeEjectedShare, 4, 3},
		"for all":                          {failures.AllTypes, maxEjectedShare, 4, 2},
		"for all, where others are open":   {failures.AllTypes, maxEjectedShare, 16, 8},
		"for a type that may go elsewhere": {2, maxTypeEjectedShare, 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			r := placed(t, 16, Placement{Zones: []int{3}}, nil)
			r.list(0, Incremental, 16, func(m *Endpoint) {
				if m.Server < 4 {
					m.Zone = 3
				}
			})
			r.takeAll()
			resting := 0
			for s := range c.tried {
				r.eject(s, c.kind, 0, c.share)
				if r.now < r.outliers.ejections.EjectedUntil(s, c.kind) {
					resting++
				}
			}
			if resting != c.most {
				t.Errorf("%d rest, want %d", resting, c.most)
			}
		})
	}
}

// A walk of the rotation for another server open to a type is spared when all of them are taken in, and only then.
func TestPlacementCountsOpenServers(t *testing.T) {
	r := placed(t, 12, Placement{Zones: []int{0}}, nil)
	if open := r.readiness.ReadyWithPlacements(1); open != 6 || r.isAllInSubset(&r.settings.TrafficTypes[bound]) {
		t.Errorf("%d open", open)
	}
	for s := 0; s < 12; s += 2 {
		r.addToSubset(s)
		r.updateWeights()
	}
	if !r.isAllInSubset(&r.settings.TrafficTypes[bound]) || r.isAllInSubset(&r.settings.TrafficTypes[2]) {
		t.Error("not seen that all are taken in")
	}
	r.list(0, Incremental, 4, func(m *Endpoint) { m.Zone = 1 })
	if open := r.readiness.ReadyWithPlacements(1); open != 4 {
		t.Errorf("%d open after two have moved", open)
	}
	r.list(0, Full, 4, func(*Endpoint) {})
	if open := r.readiness.ReadyWithPlacements(1); open != 2 {
		t.Errorf("%d open after all but four have gone", open)
	}
}

// What would be decided under other settings keeps to their placements.
func TestPlacementWhatIf(t *testing.T) {
	for name, c := range map[string]struct {
		own, other []Placement
		want       int // zone
	}{
		"bound only there":      {nil, []Placement{{Zones: []int{1}}}, 1},
		"bound otherwise there": {[]Placement{{Zones: []int{0}}}, []Placement{{Zones: []int{1}}}, 1},
		"bound alike":           {[]Placement{{Zones: []int{0}}}, []Placement{{Zones: []int{0}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bit := func(p []Placement) uint64 { return uint64(len(p)) }
			r := newRig(t, 12, func(s *Settings) { s.Placements, s.TrafficTypes[bound].PlacementBit = c.own, bit(c.own) })
			other := r.settings
			other.TrafficTypes, other.Placements = slices.Clone(other.TrafficTypes), c.other
			other.TrafficTypes[bound].PlacementBit = bit(c.other)
			for op := range 20 {
				in := Input{Kind: RequestArrived, Request: op, TrafficType: bound, Timeout: time.Second}
				sent := sentTo(r.WhatIf(&other, 0, &in, nil))
				if len(sent) != 1 || sent[0]%2 != c.want {
					t.Errorf("would send to %v", sent)
				}
				r.at(0, in)
				r.end(time.Duration(op)*ms, op, 0, Success)
			}
		})
	}
}

// Idle connections to a server that drains or has gone are closed at once, when its attempts end, and once more in time.
func TestCloseOnDrain(t *testing.T) {
	const within = 300 * ms
	closes := func(s *Settings) { s.CloseOnDrain, s.DrainCloseTimeout = true, within }
	released := func(effects []Effect) (n int) {
		for _, e := range effects {
			if e.Kind == CloseIdle && e.Server == 0 {
				n++
			}
		}
		return n
	}
	drain := func(r *rig, now time.Duration, how Condition) []Effect {
		return r.list(now, Incremental, 1, func(m *Endpoint) { m.Condition = how })
	}
	// woken lets time pass and tells when the server's connections were released.
	woken := func(r *rig, from, to time.Duration) (at []time.Duration) {
		for now := from; now <= to; now += 10 * ms {
			if released(r.at(now, Input{Kind: TimerFired})) > 0 {
				at = append(at, now)
			}
		}
		return at
	}
	for name, c := range map[string]struct {
		change func(*Settings)
		day    func(t *testing.T, r *rig)
	}{
		"on the notice and once more": {closes, func(t *testing.T, r *rig) {
			if got := released(drain(r, 0, Draining)); got != 1 {
				t.Errorf("released %d times on the notice", got)
			}
			if at := woken(r, 10*ms, time.Second); len(at) != 1 || at[0] > within {
				t.Errorf("released again at %v", at)
			}
		}},
		"gone": {closes, func(t *testing.T, r *rig) {
			if got := released(drain(r, 0, Removed)); got != 1 {
				t.Errorf("released %d times", got)
			}
		}},
		"after the last outcome": {closes, func(t *testing.T, r *rig) {
			drain(r, 0, Draining)
			woken(r, 10*ms, 400*ms)
			if got := released(r.end(410*ms, 0, 0, Success)); got != 1 {
				t.Errorf("released %d times on the outcome", got)
			}
			if at := woken(r, 420*ms, 2*time.Second); len(at) != 1 || at[0]-410*ms > within {
				t.Errorf("released again at %v", at)
			}
		}},
		"a connect given up after the notice": {closes, func(t *testing.T, r *rig) {
			drain(r, 0, Draining)
			if got := released(r.end(10*ms, 0, 0, Unreachable)); got != 1 {
				t.Errorf("released %d times on the outcome", got)
			}
		}},
		"told twice": {closes, func(t *testing.T, r *rig) {
			drain(r, 0, Draining)
			drain(r, 20*ms, Draining)
			if at := woken(r, 30*ms, time.Second); len(at) != 1 || at[0] > within {
				t.Errorf("released again at %v", at)
			}
		}},
		"up again": {closes, func(t *testing.T, r *rig) {
			drain(r, 0, Draining)
			drain(r, 5*ms, Up)
			if got := released(r.end(10*ms, 0, 0, Success)); got != 0 {
				t.Errorf("released %d times though it serves again", got)
			}
			if at := woken(r, 20*ms, time.Second); len(at) != 0 {
				t.Errorf("released at %v though it serves again", at)
			}
		}},
		"not asked for": {nil, func(t *testing.T, r *rig) {
			if got := released(drain(r, 0, Draining)) + released(r.end(10*ms, 0, 0, Success)) + len(woken(r, 20*ms, time.Second)); got != 0 {
				t.Errorf("released %d times", got)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, c.change)
			if _, got := r.arriveAt(0, 0, time.Second); !slices.Equal(sentTo(got), []int{0}) {
				t.Fatalf("sent to %v", sentTo(got))
			}
			c.day(t, r)
		})
	}
}
