package policy

import (
	"math"
	"testing"
	"time"
)

// TestAttemptTimeoutWithLateWeight checks that an attempt times out at the latency objective only if late responses
// have no weight.
func TestAttemptTimeoutWithLateWeight(t *testing.T) {
	for name, c := range map[string]struct{ late, want float64 }{
		"late responses have no weight": {0, 0.39}, "late responses have a weight": {0.5, 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, func(s *Settings) { s.TrafficTypes[2].LateWeightShare = c.late })
			id, got := h.arriveAt(time.Second, 2, 1500*ms)
			if len(got) != 1 || math.Abs(got[0].Duration.Seconds()-c.want) > 0.001 {
				t.Fatalf("got effects %+v, want one with a duration of %.2f s", got, c.want)
			}
			if c.late > 0 {
				if late := effectKinds(h.end(2*time.Second, id, 0, Success)); len(late) > 0 {
					t.Errorf("late response: got effects %v, want none", late)
				}
			}
		})
	}
}

// TestRetryAfter checks that a rejected client gets a Retry-After within which it can still be served, or else the
// longest one.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		elapsed, typical time.Duration // time since arrival, and typical latency of the type
		min, max         time.Duration
	}{
		"time remains":        {0, 50 * ms, 80 * ms, 290 * ms},
		"no time remains":     {350 * ms, 50 * ms, 900 * ms, time.Second},
		"high latency":        {0, 300 * ms, 900 * ms, time.Second},
		"little time remains": {250 * ms, 50 * ms, 10 * ms, 40 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, func(s *Settings) { s.MaxRetryAfter = time.Second })
			h.latency.typical[0], h.now, h.effects = c.typical, time.Second+c.elapsed, nil
			h.Policy.requests.all = append(h.Policy.requests.all, request{objectiveAt: 1390 * ms, clientDeadline: 2 * time.Second})
			h.reject(0)
			if retryAfter := h.effects[0].Duration; retryAfter < c.min || retryAfter > c.max {
				t.Errorf("got Retry-After of %s", retryAfter)
			}
		})
	}
}
