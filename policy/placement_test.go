package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

// bound is the traffic type that is bound to a placement.
const bound = 0

// newPlacementHarness returns a harness of servers in zones 0 and 1 and of machine kinds 0 and 1.
func newPlacementHarness(t *testing.T, servers int, to Placement, change func(*Settings)) *harness {
	t.Helper()
	h := newHarness(t, 0, func(s *Settings) {
		s.Placements = []Placement{to}
		s.TrafficTypes[bound].PlacementBit = 1
		if change != nil {
			change(s)
		}
	})
	h.listServers(0, Cached, servers, func(*Endpoint) {})
	return h
}

// sendMany has requests of the bound type arrive; the first attempt of every second one ends with outcome.
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

// TestPlacement checks that a bound type goes only to servers of its zones and machine kinds, whatever happens
// there.
func TestPlacement(t *testing.T) {
	north := Placement{Zones: []int{1}} // not the zone of the node
	inNorth := func(s int) bool { return s%2 == 1 }
	nowhere := func(int) bool { return false }
	failing := func(outcome Outcome) func(*harness) []Effect {
		return func(h *harness) []Effect { return h.sendMany(0, 60, outcome) }
	}
	for name, c := range map[string]struct {
		to     Placement
		change func(*Settings)
		day    func(h *harness) []Effect
		open   func(s int) bool
		none   bool // nothing is sent
	}{
		"a zone":                           {north, nil, failing(Success), inNorth, false},
		"a machine kind":                   {Placement{MachineKinds: []int{1}}, nil, failing(Success), func(s int) bool { return s/2%2 == 1 }, false},
		"a zone and a machine kind":        {Placement{Zones: []int{1}, MachineKinds: []int{1}}, nil, failing(Success), func(s int) bool { return s%4 == 3 }, false},
		"two zones":                        {Placement{Zones: []int{0, 1}}, nil, failing(Success), func(int) bool { return true }, false},
		"a zone of no server":              {Placement{Zones: []int{5}}, nil, failing(Success), nowhere, true},
		"an empty list":                    {Placement{Zones: []int{}}, nil, failing(Success), nowhere, true},
		"all in the subset":                {north, nil, func(h *harness) []Effect { h.fillSubset(); return h.sendMany(0, 60, Success) }, inNorth, false},
		"retries after errors":             {north, nil, failing(Failure), inNorth, false},
		"retries after broken connections": {north, nil, failing(ConnectionBroken), inNorth, false},
		"retries after overload":           {north, nil, failing(Overloaded), inNorth, false},
		"none can be connected":            {north, nil, failing(Unreachable), inNorth, false},
		"none answers":                     {north, nil, failing(TimedOut), inNorth, false},
		"hedged": {north, func(s *Settings) {
			s.HedgingAllowed, s.TrafficTypes[bound].HedgeDelay, s.TrafficTypes[bound].HedgeRatio = true, 2*ms, 1
		},
			failing(Failure), inNorth, false},
		"a pool of a route": {north, func(s *Settings) { s.TrafficTypes[bound].PoolLabels = 2 }, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) { endpoint.Labels = uint64(endpoint.Server/4%2 + 1) })
			return h.sendMany(0, 60, Failure)
		}, func(s int) bool { return inNorth(s) && s/4%2 == 1 }, false},
		"a pool elsewhere": {north, func(s *Settings) { s.TrafficTypes[bound].PoolLabels = 2 }, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) { endpoint.Labels = uint64(2 - endpoint.Server%2) })
			return h.sendMany(0, 60, Success)
		}, nowhere, true},
		"assigned elsewhere": {north, nil, func(h *harness) []Effect {
			h.at(0, Input{Kind: PlanChanged, NodeCount: 4, Assignments: []Assignment{{Server: 0, Preference: 1}, {Server: 2, Preference: 1}}})
			return h.sendMany(0, 60, Success)
		}, inNorth, false},
		"slow start": {north, nil, func(h *harness) []Effect {
			h.listServers(0, Incremental, 12, func(endpoint *Endpoint) { endpoint.HasStartTime = true })
			return h.sendMany(time.Second, 200, Success)
		}, inNorth, false},
		"all drain": {north, nil, func(h *harness) []Effect {
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
		"a key kept to its scope": {north, func(s *Settings) { s.TrafficTypes[bound] = s.TrafficTypes[1]; s.TrafficTypes[bound].PlacementBit = 1 },
			failing(Failure), inNorth, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newPlacementHarness(t, 12, c.to, c.change)
			sent := serversSentTo(c.day(h))
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

// TestPlacementWithoutServer checks that a bound request without a server waits and is answered in time, while
// others go on.
func TestPlacementWithoutServer(t *testing.T) {
	h := newPlacementHarness(t, 6, Placement{Zones: []int{5}}, nil)
	id, got := h.arriveAt(0, bound, time.Second)
	if len(effectKinds(got)) > 0 {
		t.Fatalf("not queued: %v", got)
	}
	if _, got = h.arriveAt(0, 2, time.Second); len(serversSentTo(got)) != 1 {
		t.Errorf("another type is not sent: %v", got)
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
		t.Errorf("ended by %v", ends)
	}
}

// TestPlacementDoesNotBlockQueue checks that a bound request without a server does not block the queue.
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
	if waits, got := h.arriveAt(1*ms, 2, time.Second); len(serversSentTo(got)) != 0 || h.Policy.requests.all[waits].state != stateQueued {
		t.Fatalf("the node is not saturated: %v", got)
	}
	if got := h.end(2*ms, first, 0, Success); len(serversSentTo(got)) != 1 {
		t.Errorf("a request that could be sent waits behind one that cannot: %v", got)
	}
}

// TestPlacementLimitsEjections checks that at most a share of the servers open to a bound type is ejected.
func TestPlacementLimitsEjections(t *testing.T) {
	for name, c := range map[string]struct {
		trafficType int
		share       float64
		tried       int // servers that fail; of 16, the first 4 are open to the bound type
		most        int
	}{
		"for the bound type":               {bound, maxTypeEjectedShare, 4, 3},
		"for all":                          {failures.AllTypes, maxEjectedShare, 4, 2},
		"for all, where others are open":   {failures.AllTypes, maxEjectedShare, 16, 8},
		"for a type that may go elsewhere": {2, maxTypeEjectedShare, 4, 4},
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
			for s := range c.tried {
				h.eject(s, c.trafficType, 0, c.share)
				if h.now < h.outliers.ejections.EjectedUntil(s, c.trafficType) {
					ejected++
				}
			}
			if ejected != c.most {
				t.Errorf("%d ejected, want %d", ejected, c.most)
			}
		})
	}
}

// TestPlacementCounts checks the counts by which the policy sees that all servers of a placement are in the
// subset.
func TestPlacementCounts(t *testing.T) {
	h := newPlacementHarness(t, 12, Placement{Zones: []int{0}}, nil)
	if open := h.readiness.ReadyWithPlacements(1); open != 6 || h.isAllInSubset(&h.settings.TrafficTypes[bound]) {
		t.Errorf("%d open", open)
	}
	for s := 0; s < 12; s += 2 {
		h.addToSubset(s)
		h.updateWeights()
	}
	if !h.isAllInSubset(&h.settings.TrafficTypes[bound]) || h.isAllInSubset(&h.settings.TrafficTypes[2]) {
		t.Error("not seen that all are in the subset")
	}
	h.listServers(0, Incremental, 4, func(endpoint *Endpoint) { endpoint.Zone = 1 })
	if open := h.readiness.ReadyWithPlacements(1); open != 4 {
		t.Errorf("%d open after two have moved", open)
	}
	h.listServers(0, Full, 4, func(*Endpoint) {})
	if open := h.readiness.ReadyWithPlacements(1); open != 2 {
		t.Errorf("%d open after all but four were removed", open)
	}
}

// TestPlacementWhatIf checks that other settings are asked with their own placements.
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
			h := newHarness(t, 12, func(s *Settings) { s.Placements, s.TrafficTypes[bound].PlacementBit = c.own, bit(c.own) })
			other := h.settings
			other.TrafficTypes, other.Placements = slices.Clone(other.TrafficTypes), c.other
			other.TrafficTypes[bound].PlacementBit = bit(c.other)
			for id := range 20 {
				in := Input{Kind: RequestArrived, Request: id, TrafficType: bound, Timeout: time.Second}
				sent := serversSentTo(h.WhatIf(&other, 0, &in, nil))
				if len(sent) != 1 || sent[0]%2 != c.want {
					t.Errorf("would send to %v", sent)
				}
				h.at(0, in)
				h.end(time.Duration(id)*ms, id, 0, Success)
			}
		})
	}
}
