package policy

import (
	"slices"
	"testing"
	"time"
)

func TestInitialConcurrencyLimit(t *testing.T) {
	for name, c := range map[string]struct{ nodes, servers, min, max int }{
		"few nodes":                    {4, 10, 8, 20},
		"many nodes share the servers": {40, 10, 1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.servers, func(s *Settings) { s.NodeCount = c.nodes })
			sent := 0
			for range 100 {
				_, got := h.arriveAt(0, 0, time.Second)
				sent += len(got)
			}
			if sent < c.min || sent > c.max {
				t.Errorf("attempts in flight before the first response: got %d, want %d to %d", sent, c.min, c.max)
			}
		})
	}
}

func TestSlowAnswersLowerConcurrencyLimit(t *testing.T) {
	h := newHarness(t, 8, nil)
	h.concurrency.sustainedLoad, h.concurrency.provenLimit = 16, 40
	if h.concurrency.limit() != 40 {
		t.Errorf("limit with fast attempts: got %.0f, want 40", h.concurrency.limit())
	}
	for range 20 { // each takes three times as long as allowed
		h.concurrency.adjust(3, 1)
	}
	if limit := h.concurrency.limit(); limit > 20/h.concurrency.latencyRatio || h.concurrency.latencyRatio < 1.5 {
		t.Errorf("after slow attempts: got limit %.1f at latency ratio %.1f", limit, h.concurrency.latencyRatio)
	}
	h.concurrency.latencyRatio, h.concurrency.sustainedLoad, h.concurrency.provenLimit = 1e6, 0, 0 // state after a time in which all servers were slow
	if _, got := h.arriveAt(0, 0, time.Second); len(got) != 1 || got[0].Kind != SendAttempt {
		t.Errorf("arrival: got effects %v, want one SendAttempt", got)
	}
}

// TestLateAttemptsLeaveConcurrencyLimit checks that attempts that continue toward a late response are removed from
// the concurrency limit exactly once.
func TestLateAttemptsLeaveConcurrencyLimit(t *testing.T) {
	for name, c := range map[string]struct {
		late float64
		want float64 // counted attempts after all are late
	}{"late responses have a weight": {0.5, 0}, "late responses have no weight": {0, 3}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 8, func(s *Settings) { s.TrafficTypes[2].LateWeightShare = c.late })
			h.concurrency.provenLimit = 1000
			for range 3 {
				h.arriveAt(time.Second, 2, 2*time.Second)
			}
			h.concurrency.provenLimit = 0
			for now := 1400 * ms; now < 1500*ms; now += 20 * ms {
				h.at(now, Input{Kind: TimerFired})
			}
			if h.concurrency.inFlight != c.want {
				t.Errorf("got %g counted attempts", h.concurrency.inFlight)
			}
			for id := range 3 {
				h.end(1600*ms, id, 0, Success)
			}
			if h.concurrency.inFlight != 0 || h.load.inFlight[0] != 0 {
				t.Errorf("after all attempts ended: got %g counted attempts, want 0", h.concurrency.inFlight)
			}
		})
	}
}

// TestRouteLimit checks that a route has as many requests in flight as its limit allows, and that queued requests are
// sent when others end.
func TestRouteLimit(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(*TrafficType) {})
	types := h.settings.TrafficTypes
	limit := func(n int) {
		h.at(h.now, Input{Kind: TrafficTypesChanged, TrafficTypes: types, LatencySources: []int{0, 1, 2, 3}, RouteLimits: []int{0, n}})
	}
	arrive := func() []EffectKind {
		h.arrivals++
		return effectKinds(h.at(h.now, Input{Kind: RequestArrived, Request: h.arrivals - 1, TrafficType: 0, RouteLimit: 1, Timeout: 2 * time.Second}))
	}
	limit(3)
	var got []int
	for range 5 {
		got = append(got, len(arrive()))
	}
	if !slices.Equal(got, []int{1, 1, 1, 0, 0}) {
		t.Fatalf("effects on arrival: got counts %v, want [1 1 1 0 0]", got)
	}
	limit(2)
	for id, want := range []int{0, 1, 1} { // two of three must end before the next request is sent
		if e := effectKinds(h.end(10*ms, id, 0, Success)); len(e) != want {
			t.Errorf("end of request %d: got effects %v", id, e)
		}
	}
}
