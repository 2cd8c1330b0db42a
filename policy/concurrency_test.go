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
				t.Errorf("%d attempts in flight before any answer, want %d to %d", sent, c.min, c.max)
			}
		})
	}
}

func TestSlowAnswersLowerConcurrencyLimit(t *testing.T) {
	h := newHarness(t, 8, nil)
	h.concurrency.sustainedLoad, h.concurrency.provenLimit = 16, 40
	if h.concurrency.limit() != 40 {
		t.Errorf("limit %.0f although attempts are fast", h.concurrency.limit())
	}
	for range 20 { // each takes three times as long as allowed
		h.concurrency.adjust(3, 1)
	}
	if w := h.concurrency.limit(); w > 20/h.concurrency.latencyRatio || h.concurrency.latencyRatio < 1.5 {
		t.Errorf("limit %.1f at latency ratio %.1f", w, h.concurrency.latencyRatio)
	}
	h.concurrency.latencyRatio, h.concurrency.sustainedLoad, h.concurrency.provenLimit = 1e6, 0, 0 // as after a time when all servers were slow
	if _, got := h.arriveAt(0, 0, time.Second); len(got) != 1 || got[0].Kind != SendAttempt {
		t.Errorf("nothing is sent any more: %v", got)
	}
}

// TestLateAttemptsLeaveConcurrencyLimit checks that attempts that run on for a late answer leave the concurrency
// limit, once each.
func TestLateAttemptsLeaveConcurrencyLimit(t *testing.T) {
	for name, c := range map[string]struct {
		late float64
		want float64 // attempts counted once all are late
	}{"late answers are worth a share": {0.5, 0}, "they are worth nothing": {0, 3}} {
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
				t.Errorf("%g attempts counted", h.concurrency.inFlight)
			}
			for id := range 3 {
				h.end(1600*ms, id, 0, Success)
			}
			if h.concurrency.inFlight != 0 || h.load.inFlight[0] != 0 {
				t.Errorf("%g attempts counted when none is in flight", h.concurrency.inFlight)
			}
		})
	}
}

// TestRouteLimit checks that a route has as many requests in flight as its limit allows, and that others go out as
// they end.
func TestRouteLimit(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(*TrafficType) {})
	types := h.settings.TrafficTypes
	limit := func(n int) {
		h.at(h.now, Input{Kind: TrafficTypesChanged, TrafficTypes: types, LearnFrom: []int{0, 1, 2, 3}, RouteLimits: []int{0, n}})
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
		t.Fatalf("sent at arrival: %v", got)
	}
	limit(2)
	for id, want := range []int{0, 1, 1} { // two of three must end before the next may go out
		if e := effectKinds(h.end(10*ms, id, 0, Success)); len(e) != want {
			t.Errorf("after %d: %v", id, e)
		}
	}
}
