package policy

import (
	"slices"
	"testing"
	"time"
)

// TestCloseOnDrain checks that idle connections to a server without new requests are closed immediately, when its
// attempts end, and a second time within the drain timeout.
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
	drain := func(h *harness, now time.Duration, condition Condition) []Effect {
		return h.listServers(now, Incremental, 1, func(endpoint *Endpoint) { endpoint.Condition = condition })
	}
	// closedDuring sends ticks and returns the times at which the server's connections were closed.
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
		run    func(t *testing.T, h *harness)
	}{
		"at the notice and a second time": {closes, func(t *testing.T, h *harness) {
			if got := closed(drain(h, 0, Draining)); got != 1 {
				t.Errorf("closes at the notice: got %d, want 1", got)
			}
			if at := closedDuring(h, 10*ms, time.Second); len(at) != 1 || at[0] > within {
				t.Errorf("closed a second time at %v, want once within the drain timeout", at)
			}
		}},
		"removed": {closes, func(t *testing.T, h *harness) {
			if got := closed(drain(h, 0, Removed)); got != 1 {
				t.Errorf("closes at the notice: got %d, want 1", got)
			}
		}},
		"after the last outcome": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			closedDuring(h, 10*ms, 400*ms)
			if got := closed(h.end(410*ms, 0, 0, Success)); got != 1 {
				t.Errorf("closes at the outcome: got %d, want 1", got)
			}
			if at := closedDuring(h, 420*ms, 2*time.Second); len(at) != 1 || at[0]-410*ms > within {
				t.Errorf("closed a second time at %v, want once within the drain timeout", at)
			}
		}},
		"a connect that fails after the notice": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			if got := closed(h.end(10*ms, 0, 0, Unreachable)); got != 1 {
				t.Errorf("closes at the outcome: got %d, want 1", got)
			}
		}},
		"two notices": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			drain(h, 20*ms, Draining)
			if at := closedDuring(h, 30*ms, time.Second); len(at) != 1 || at[0] > within {
				t.Errorf("closed a second time at %v, want once within the drain timeout", at)
			}
		}},
		"up again": {closes, func(t *testing.T, h *harness) {
			drain(h, 0, Draining)
			drain(h, 5*ms, Up)
			if got := closed(h.end(10*ms, 0, 0, Success)); got != 0 {
				t.Errorf("closes after the server became ready again: got %d, want 0", got)
			}
			if at := closedDuring(h, 20*ms, time.Second); len(at) != 0 {
				t.Errorf("closed at %v after the server became ready again, want no close", at)
			}
		}},
		"CloseOnDrain not set": {nil, func(t *testing.T, h *harness) {
			if got := closed(drain(h, 0, Draining)) + closed(h.end(10*ms, 0, 0, Success)) + len(closedDuring(h, 20*ms, time.Second)); got != 0 {
				t.Errorf("closes without CloseOnDrain: got %d, want 0", got)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, c.change)
			if _, got := h.arriveAt(0, 0, time.Second); !slices.Equal(serversSentTo(got), []int{0}) {
				t.Fatalf("arrival: got attempts to servers %v, want [0]", serversSentTo(got))
			}
			c.run(t, h)
		})
	}
}
