package policy

import (
	"testing"
	"time"
)

// TestHedge checks when a request gets a hedged attempt, and the effects of the end of either attempt.
func TestHedge(t *testing.T) {
	hedges := func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }
	tickAt := func(at time.Duration) func(*harness) []Effect {
		return func(h *harness) []Effect { return h.at(at, Input{Kind: TimerFired}) }
	}
	isSent := []EffectKind{SendAttempt}
	runRouteCases(t, map[string]routeCase{
		"no hedging without a delay":   {0, func(*TrafficType) {}, tickAt(200 * ms), nil},
		"hedged":                       {0, hedges, tickAt(60 * ms), isSent},
		"not before the hedge delay":   {0, hedges, tickAt(40 * ms), nil},
		"not above its budget":         {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 0.5 }, tickAt(60 * ms), nil},
		"non-idempotent is not hedged": {2, hedges, tickAt(60 * ms), nil},
		"not hedged past the key retention": {1, func(t *TrafficType) {
			hedges(t)
			t.KeyRetention = 40 * ms
		}, tickAt(60 * ms), nil},
		"hedged once only": {0, hedges, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			return h.at(160*ms, Input{Kind: TimerFired})
		}, nil},
		"the first attempt fails, the hedged one is in flight": {0, hedges, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			return h.end(70*ms, 0, 0, Failure)
		}, nil},
		"both fail": {0, hedges, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			h.end(70*ms, 0, 0, Failure)
			return h.end(75*ms, 0, 1, Failure)
		}, isSent},
		"the hedged attempt succeeds first": {0, hedges, func(h *harness) []Effect {
			h.at(60*ms, Input{Kind: TimerFired})
			h.end(70*ms, 0, 1, Success)
			return h.end(71*ms, 0, 0, Canceled)
		}, nil},
		"hedged with a key in its scope only": {1, hedges, func(h *harness) []Effect {
			effects := h.at(60*ms, Input{Kind: TimerFired})
			for _, s := range serversSentTo(effects) {
				if !h.servers.zone[s].isSame(h.servers.zone[h.request(0).attempts[0].server]) {
					h.t.Error("hedged attempt sent outside the key scope")
				}
			}
			return effects
		}, isSent},
	})
}
