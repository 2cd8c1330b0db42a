package policy

import (
	"slices"
	"testing"
	"time"
)

// TestRouteSettings checks what a route's settings change for one request.
func TestRouteSettings(t *testing.T) {
	for name, c := range map[string]struct {
		trafficType int
		change      func(*TrafficType)
		play        func(h *harness) []Effect
		want        []EffectKind
	}{
		"a retry":          {0, func(*TrafficType) {}, func(h *harness) []Effect { return h.end(50*ms, 0, 0, Failure) }, []EffectKind{SendAttempt}},
		"one attempt only": {0, func(t *TrafficType) { t.MaxAttempts = 1 }, func(h *harness) []Effect { return h.end(50*ms, 0, 0, Failure) }, []EffectKind{Reject}},
		"no more than the settings": {2, func(t *TrafficType) { t.MaxAttempts = 9 }, func(h *harness) []Effect {
			for i := range 3 {
				h.end(time.Duration(10+i)*ms, 0, i, Unreachable)
			}
			return h.end(20*ms, 0, 3, Unreachable)
		}, []EffectKind{Reject}},
		"not after an error":          {0, func(t *TrafficType) { t.RetryOn = 1 << Overloaded }, func(h *harness) []Effect { return h.end(50*ms, 0, 0, Failure) }, []EffectKind{Reject}},
		"but after overload":          {0, func(t *TrafficType) { t.RetryOn = 1 << Overloaded }, func(h *harness) []Effect { return h.end(50*ms, 0, 0, Overloaded) }, []EffectKind{SendAttempt}},
		"within the retry budget":     {0, func(t *TrafficType) { t.RetryRatio = 1 }, func(h *harness) []Effect { return h.end(50*ms, 0, 0, Failure) }, []EffectKind{SendAttempt}},
		"beyond the retry budget":     {0, func(t *TrafficType) { t.RetryRatio = 0.1 }, func(h *harness) []Effect { return h.end(50*ms, 0, 0, Failure) }, []EffectKind{Reject}},
		"minimum of the retry budget": {0, func(t *TrafficType) { t.RetryRatio, t.MinRetriesPerSecond = 0.1, 100 }, func(h *harness) []Effect { h.at(40*ms, Input{Kind: TimerFired}); return h.end(50*ms, 0, 0, Failure) }, []EffectKind{SendAttempt}},
		"no hedging without a delay":  {0, func(*TrafficType) {}, func(h *harness) []Effect { return h.at(200*ms, Input{Kind: TimerFired}) }, nil},
		"hedged":                      {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect { return h.at(60*ms, Input{Kind: TimerFired}) }, []EffectKind{SendAttempt}},
		"not before its time":         {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect { return h.at(40*ms, Input{Kind: TimerFired}) }, nil},
		"not beyond its budget":       {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 0.5 }, func(h *harness) []Effect { return h.at(60*ms, Input{Kind: TimerFired}) }, nil},
		"hedged once only": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			return h.at(160*ms, Input{Kind: TimerFired})
		}, nil},
		"non-idempotent is not hedged": {2, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect { return h.at(60*ms, Input{Kind: TimerFired}) }, nil},
		"the first fails, the hedged one is in flight": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			return h.end(70*ms, 0, 0, Failure)
		}, nil},
		"both fail": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			h.end(70*ms, 0, 0, Failure)
			return h.end(75*ms, 0, 1, Failure)
		}, []EffectKind{SendAttempt}},
		"the hedged one answers first": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			h.end(70*ms, 0, 1, Success)
			return h.end(71*ms, 0, 0, Canceled)
		}, nil},
		"hedged with a key in its scope only": {1, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(h *harness) []Effect {
			e := h.at(60*ms, Input{Kind: TimerFired})
			for _, x := range e {
				if x.Kind == SendAttempt && h.servers.zone[x.Server] != h.servers.zone[h.request(0).attempts[0].server] {
					h.t.Error("sent outside the key scope")
				}
			}
			return e
		}, []EffectKind{SendAttempt}},
		"not hedged past the key retention": {1, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio, t.KeyRetention = 50*ms, 1, 40*ms }, func(h *harness) []Effect { return h.at(60*ms, Input{Kind: TimerFired}) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRouteHarness(t, 6, c.trafficType, c.change)
			if _, e := h.arriveAt(0, c.trafficType, 2*time.Second); !slices.Equal(effectKinds(e), []EffectKind{SendAttempt}) {
				t.Fatalf("on arrival: %v", e)
			}
			if got := effectKinds(c.play(h)); !slices.Equal(got, c.want) {
				t.Errorf("then %v, not %v", got, c.want)
			}
		})
	}
}

// TestRouteAttemptTimeout checks that an attempt may take as long as its route says.
func TestRouteAttemptTimeout(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(t *TrafficType) { t.AttemptTimeout = 90 * ms })
	_, e := h.arriveAt(0, 0, 2*time.Second)
	if e[0].Duration != 90*ms {
		t.Errorf("the first has %s", e[0].Duration)
	}
	if e = h.end(90*ms, 0, 0, TimedOut); len(e) == 0 || e[0].Kind != SendAttempt || e[0].Duration != 90*ms {
		t.Errorf("after it: %+v", e)
	}
}

// TestRoutePool checks that requests of a route go to its pool, and that an empty pool does not block others.
func TestRoutePool(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(t *TrafficType) { t.PoolLabels = 2 })
	label := func(server int, labels uint64) {
		h.at(h.now, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: server, Rank: uint32(server), Weight: 1, Labels: labels}}})
	}
	label(3, 2)
	for range 5 {
		id, e := h.arriveAt(h.now, 0, 2*time.Second)
		if len(e) != 1 || e[0].Kind != SendAttempt || e[0].Server != 3 {
			t.Fatalf("sent as %+v", e)
		}
		h.end(h.now, id, 0, Success)
	}
	label(3, 1)
	waits, e := h.arriveAt(h.now, 0, 2*time.Second)
	if len(e) != 0 {
		t.Errorf("with an empty pool: %+v", e)
	}
	if _, e = h.arriveAt(h.now, 2, 2*time.Second); !slices.Equal(effectKinds(e), []EffectKind{SendAttempt}) {
		t.Errorf("another type: %+v", e)
	}
	if e = h.at(h.now+300*ms, Input{Kind: TimerFired}); !slices.ContainsFunc(e, func(e Effect) bool { return e.Kind == Reject && e.Request == waits }) {
		t.Errorf("in the end: %+v", e)
	}
}
