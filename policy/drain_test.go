package policy

import (
	"slices"
	"testing"
	"time"
)

// TestCloseOnDrain checks that idle connections to a server without new requests are closed at once, when its
// attempts end, and once more in time.
func TestCloseOnDrain(t *testing.T) {
	const within = 300 * ms
	closes := func(s *Settings) { s.CloseOnDrain, s.DrainCloseTimeout = true, within }
	closed := func(effects []Effect) (n int) {
		for _, e := range effects {
			if e.Kind == CloseIdle && e.Server == 0 {
				n++
			}
		}
		return n
	}
	drain := func(h *harness, now time.Duration, outcome Condition) []Effect {
		return h.listServers(now, Incremental, 1, func(endpoint *Endpoint) { endpoint.Condition = outcome })
	}
	// closedDuring lets time pass and returns when the server's connections were closed.
	closedDuring := func(h *harness, from, to time.Duration) (at []time.Duration) {
		for now := from; now <= to; now += 10 * ms {
			if closed(h.at(now, Input{Kind: TimerFired})) > 0 {
				at = append(at, now)
			}
		}
		return at
	}
	for name, c := range map[string]struct {
		change func(*Settings)
		day    func(t *testing.T, h *harness)
	}{
		"at the notice and once more": {closes, func(t *testing.T, h *harness) {
			if got := closed(drain(h, 0, Draining)); got != 1 {
				t.Errorf("closed %d times at the notice", got)
			}
			if at := closedDuring(h, 10*ms, time.Second); len(at) != 1 || at[0] > within {
				t.Errorf("closed again at %v", at)
			}
		}},
		"removed": {closes, func(t *testing.T, h *harness) {
			if got := closed(drain(h, 0, Removed)); got != 1 {
				t.Errorf("closed %d times", got)
			}
		}},
		"after the last outcome": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			closedDuring(h, 10*ms, 400*ms)
			if got := closed(h.end(410*ms, 0, 0, Success)); got != 1 {
				t.Errorf("closed %d times at the outcome", got)
			}
			if at := closedDuring(h, 420*ms, 2*time.Second); len(at) != 1 || at[0]-410*ms > within {
				t.Errorf("closed again at %v", at)
			}
		}},
		"a connect that fails after the notice": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			if got := closed(h.end(10*ms, 0, 0, Unreachable)); got != 1 {
				t.Errorf("closed %d times at the outcome", got)
			}
		}},
		"two notices": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			drain(h, 20*ms, Draining)
			if at := closedDuring(h, 30*ms, time.Second); len(at) != 1 || at[0] > within {
				t.Errorf("closed again at %v", at)
			}
		}},
		"up again": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			drain(h, 5*ms, Up)
			if got := closed(h.end(10*ms, 0, 0, Success)); got != 0 {
				t.Errorf("closed %d times though it is ready again", got)
			}
			if at := closedDuring(h, 20*ms, time.Second); len(at) != 0 {
				t.Errorf("closed at %v though it is ready again", at)
			}
		}},
		"not asked for": {nil, func(t *testing.T, h *harness) {
			if got := closed(drain(h, 0, Draining)) + closed(h.end(10*ms, 0, 0, Success)) + len(closedDuring(h, 20*ms, time.Second)); got != 0 {
				t.Errorf("closed %d times", got)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, c.change)
			if _, got := h.arriveAt(0, 0, time.Second); !slices.Equal(serversSentTo(got), []int{0}) {
				t.Fatalf("sent to %v", serversSentTo(got))
			}
			c.day(t, h)
		})
	}
}
