package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

// bound is the traffic type with a placement.
const bound = 0

// newPlacementHarness returns a harness with servers in zones 0 and 1 and of machine kinds 0 and 1.
func newPlacementHarness(t *testing.T, servers int, placement Placement, change func(*Settings)) *harness {
	t.Helper()
	h := newHarness(t, 0, func(s *Settings) {
		s.Placements = []Placement{placement}
		s.TrafficTypes[bound].PlacementBit = 1
		if change != nil {
			change(s)
		}
	})
	h.listServers(0, Cached, servers, func(*Endpoint) {})
	return h
}

// sendMany starts n requests of the bound type; the first attempt of every second one ends with outcome.
func (h *harness) sendMany(now time.Duration, n int, outcome Outcome) (effects []Effect) {
	for i := range n {
		at := now + time.Duration(i)*5*ms
		id, sent := h.arriveAt(at, bound, time.Second)
		effects = append(effects, sent...)
		if len(serversSentTo(sent)) > 0 && i%2 == 0 {
			effects = append(effects, h.end(at+2*ms, id, 0, outcome)...)
		}
		effects = append(effects, h.at(at+3*ms, Input{Kind: TimerFired})...)
	}
	return effects
}

// TestPlacement checks that a bound type is sent only to servers of its zones and machine kinds under failures,
// retries, hedging, plans, pools, draining and slow start.
func TestPlacement(t *testing.T) {
	north := Placement{Zones: []int{1}} // differs from the zone of the node
	inNorth := func(s int) bool { return s%2 == 1 }
	nowhere := func(int) bool { return false }
	sendingWith := func(outcome Outcome) func(*harness) []Effect {
		return func(h *harness) []Effect { return h.sendMany(0, 60, outcome) }
	}
	for name, c := range map[string]struct {
		to      Placement
		change  func(*Settings)
		run     func(h *harness) []Effect
		allowed func(s int) bool
		none    bool // no attempt is expected
	}{
		"a zone":                           {north, nil, sendingWith(Success), inNorth, false},
		"a machine kind":                   {Placement{MachineKinds: []int{1}}, nil, sendingWith(Success), func(s int) bool { return s/2%2 == 1 }, false},
		"a zone and a machine kind":        {Placement{Zones: []int{1}, MachineKinds: []int{1}}, nil, sendingWith(Success), func(s int) bool { return s%4 == 3 }, false},
		"two zones":                        {Placement{Zones: []int{0, 1}}, nil, sendingWith(Success), func(int) bool { return true }, false},
		"a zone without servers":           {Placement{Zones: []int{5}}, nil, sendingWith(Success), nowhere, true},
		"an empty list":                    {Placement{Zones: []int{}}, nil, sendingWith(Success), nowhere, true},
		"all in the subset":                {north, nil, func(h *harness) []Effect { h.fillSubset(); return h.sendMany(0, 60, Success) }, inNorth, false},
		"retries after errors":             {north, nil, sendingWith(Failure), inNorth, false},
		"retries after broken connections": {north, nil, sendingWith(ConnectionBroken), inNorth, false},
		"retries after overload":           {north, nil, sendingWith(Overloaded), inNorth, false},
		"all unreachable":                  {north, nil, sendingWith(Unreachable), inNorth, false},
		"all time out":                     {north, nil, sendingWith(TimedOut), inNorth, false},
		"hedged": {north, func(s *Settings) {
			s.HedgingAllowed, s.TrafficTypes[bound].HedgeDelay, s.TrafficTypes[bound].HedgeRatio = true, 2*ms, 1
		},
			sendingWith(Failure), inNorth, false},
		"a pool of a route": {north, func(s *Settings) { s.TrafficTypes[bound].PoolLabels = 2 }, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) { endpoint.Labels = uint64(endpoint.Server/4%2 + 1) })
			return h.sendMany(0, 60, Failure)
		}, func(s int) bool { return inNorth(s) && s/4%2 == 1 }, false},
		"a pool in another zone": {north, func(s *Settings) { s.TrafficTypes[bound].PoolLabels = 2 }, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) { endpoint.Labels = uint64(2 - endpoint.Server%2) })
			return h.sendMany(0, 60, Success)
		}, nowhere, true},
		"assigned servers in another zone": {north, nil, func(h *harness) []Effect {
			h.at(0, Input{Kind: PlanChanged, NodeCount: 4, Assignments: []Assignment{{Server: 0, Preference: 1}, {Server: 2, Preference: 1}}})
			return h.sendMany(0, 60, Success)
		}, inNorth, false},
		"slow start": {north, nil, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) { endpoint.HasStartTime = true })
			return h.sendMany(time.Second, 200, Success)
		}, inNorth, false},
		"all draining": {north, nil, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) {
				if inNorth(endpoint.Server) {
					endpoint.Condition = Draining
				}
			})
			return h.sendMany(0, 60, Success)
		}, nowhere, true},
		"a zone that changes": {Placement{Zones: []int{0}}, nil, func(h *harness) []Effect {
			h.sendMany(0, 20, Success)
			h.listServers(100*ms, Incremental, 12, func(endpoint *Endpoint) { endpoint.Zone = 1 - endpoint.Zone })
			return h.sendMany(100*ms, 60, Failure)
		}, inNorth, false},
		"a machine kind that changes": {Placement{MachineKinds: []int{1}}, nil, func(h *harness) []Effect {
			h.sendMany(0, 20, Success)
			h.listServers(100*ms, Incremental, 12, func(endpoint *Endpoint) { endpoint.MachineKind = 1 - endpoint.MachineKind })
			return h.sendMany(100*ms, 60, Failure)
		}, func(s int) bool { return s/2%2 == 0 }, false},
		"key scope": {north, func(s *Settings) { s.TrafficTypes[bound] = s.TrafficTypes[1]; s.TrafficTypes[bound].PlacementBit = 1 },
			sendingWith(Failure), inNorth, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPlacementHarness(t, 12, c.to, c.change)
			sent := serversSentTo(c.run(h))
			if (len(sent) == 0) != c.none {
				t.Errorf("got %d attempts", len(sent))
			}
			for _, s := range sent {
				if !c.allowed(s) {
					t.Errorf("attempt sent to server %d, which the placement excludes", s)
				}
			}
		})
	}
}

// TestPlacementWithoutServer checks that a bound request without a server is queued and rejected before its deadline,
// while other requests are sent.
func TestPlacementWithoutServer(t *testing.T) {
	h := newPlacementHarness(t, 6, Placement{Zones: []int{5}}, nil)
	id, got := h.arriveAt(0, bound, time.Second)
	if len(effectKinds(got)) > 0 {
		t.Fatalf("arrival of bound request: got effects %v, want none", got)
	}
	if _, got = h.arriveAt(0, 2, time.Second); len(serversSentTo(got)) != 1 {
		t.Errorf("arrival of another type: got effects %v, want one SendAttempt", got)
	}
	var ends []Effect
	for now := 20 * ms; now < time.Second; now += 20 * ms {
		for _, e := range h.at(now, Input{Kind: TimerFired}) {
			if e.Kind != SetTimer && e.Request == id {
				ends = append(ends, e)
			}
		}
	}
	if len(ends) != 1 || ends[0].Kind != Reject {
		t.Errorf("bound request: got effects %v, want one Reject", ends)
	}
}

// TestPlacementDoesNotBlockQueue checks that queued bound requests without a server do not block other requests.
func TestPlacementDoesNotBlockQueue(t *testing.T) {
	h := newPlacementHarness(t, 6, Placement{Zones: []int{5}}, func(s *Settings) { s.TrafficTypes[bound].PriorityWeight = 1e6 })
	var first int
	for i := 0; !h.isSaturated(); i++ {
		id, _ := h.arriveAt(0, 2, time.Second)
		if i == 0 {
			first = id
		}
	}
	h.arriveAt(1*ms, bound, time.Second)
	h.arriveAt(1*ms, bound, time.Second)
	if queued, got := h.arriveAt(1*ms, 2, time.Second); len(serversSentTo(got)) != 0 || h.Policy.requests.all[queued].state != stateQueued {
		t.Fatalf("arrival at a saturated node: got effects %v, want none", got)
	}
	if got := h.end(2*ms, first, 0, Success); len(serversSentTo(got)) != 1 {
		t.Errorf("end of an attempt: got effects %v, want one SendAttempt for the unbound queued request", got)
	}
}

// TestPlacementLimitsEjections checks that at most a share of the servers allowed for a bound type is ejected.
func TestPlacementLimitsEjections(t *testing.T) {
	for name, c := range map[string]struct {
		trafficType int
		share       float64
		failing     int // servers that fail; of 16 servers, the first 4 are allowed for the bound type
		want        int
	}{
		"for the bound type":              {bound, maxTypeEjectedShare, 4, 3},
		"for all types":                   {failures.AllTypes, maxEjectedShare, 4, 2},
		"for all types, all servers fail": {failures.AllTypes, maxEjectedShare, 16, 8},
		"for a type without placement":    {2, maxTypeEjectedShare, 4, 4},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPlacementHarness(t, 16, Placement{Zones: []int{3}}, nil)
			h.listServers(0, Incremental, 16, func(endpoint *Endpoint) {
				if endpoint.Server < 4 {
					endpoint.Zone = 3
				}
			})
			h.fillSubset()
			ejected := 0
			for s := range c.failing {
				h.eject(s, c.trafficType, 0, c.share)
				if h.now < h.outliers.ejections.EjectedUntil(s, c.trafficType) {
					ejected++
				}
			}
			if ejected != c.want {
				t.Errorf("ejected servers: got %d, want %d", ejected, c.want)
			}
		})
	}
}

// TestPlacementCounts checks the counts from which the policy determines that all servers of a placement are in the
// subset.
func TestPlacementCounts(t *testing.T) {
	h := newPlacementHarness(t, 12, Placement{Zones: []int{0}}, nil)
	if ready := h.readiness.ReadyWithPlacements(1); ready != 6 || h.isAllInSubset(&h.settings.TrafficTypes[bound]) {
		t.Errorf("got %d ready servers of the placement, want 6 and not all in the subset", ready)
	}
	for s := 0; s < 12; s += 2 {
		h.addToSubset(s)
		h.updateWeights()
	}
	if !h.isAllInSubset(&h.settings.TrafficTypes[bound]) || h.isAllInSubset(&h.settings.TrafficTypes[2]) {
		t.Error("isAllInSubset: want true for the bound type and false for another type")
	}
	h.listServers(0, Incremental, 4, func(endpoint *Endpoint) { endpoint.Zone = 1 })
	if ready := h.readiness.ReadyWithPlacements(1); ready != 4 {
		t.Errorf("after two servers changed zone: got %d ready servers of the placement, want 4", ready)
	}
	h.listServers(0, Full, 4, func(*Endpoint) {})
	if ready := h.readiness.ReadyWithPlacements(1); ready != 2 {
		t.Errorf("after removal of all but four servers: got %d ready servers of the placement, want 2", ready)
	}
}

// TestPlacementWhatIf checks that WhatIf uses the placements of the settings passed to it.
func TestPlacementWhatIf(t *testing.T) {
	for name, c := range map[string]struct {
		current, other []Placement
		want           int // zone
	}{
		"placement in the other settings only": {nil, []Placement{{Zones: []int{1}}}, 1},
		"different placements":                 {[]Placement{{Zones: []int{0}}}, []Placement{{Zones: []int{1}}}, 1},
		"equal placements":                     {[]Placement{{Zones: []int{0}}}, []Placement{{Zones: []int{0}}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bit := func(p []Placement) uint64 { return uint64(len(p)) }
			h := newHarness(t, 12, func(s *Settings) { s.Placements, s.TrafficTypes[bound].PlacementBit = c.current, bit(c.current) })
			other := h.settings
			other.TrafficTypes, other.Placements = slices.Clone(other.TrafficTypes), c.other
			other.TrafficTypes[bound].PlacementBit = bit(c.other)
			for id := range 20 {
				in := Input{Kind: RequestArrived, Request: id, TrafficType: bound, Timeout: time.Second}
				sent := serversSentTo(h.WhatIf(&other, 0, &in, nil))
				if len(sent) != 1 || sent[0]%2 != c.want {
					t.Errorf("WhatIf sends to servers %v, want one in the expected zone", sent)
				}
				h.at(0, in)
				h.end(time.Duration(id)*ms, id, 0, Success)
			}
		})
	}
}
