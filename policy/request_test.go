package policy

import (
	"math"
	"testing"
	"time"
)

// TestAttemptTimeoutWithLateWeight checks that an attempt ends at the latency objective only if a late answer is
// worth nothing.
func TestAttemptTimeoutWithLateWeight(t *testing.T) {
	for name, c := range map[string]struct{ late, want float64 }{
		"late answers are worth nothing": {0, 0.39}, "late answers are worth a share": {0.5, 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, func(s *Settings) { s.TrafficTypes[2].LateWeightShare = c.late })
			id, got := h.arriveAt(time.Second, 2, 1500*ms)
			if len(got) != 1 || math.Abs(got[0].Duration.Seconds()-c.want) > 0.001 {
				t.Fatalf("sent %+v, want %.2f s", got, c.want)
			}
			if c.late > 0 {
				if late := effectKinds(h.end(2*time.Second, id, 0, Success)); len(late) > 0 {
					t.Errorf("a late answer did %v", late)
				}
			}
		})
	}
}

// TestRetryAfter checks that a rejected client is told to return while it can still be served, else after the
// longest time.
func TestRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		past, usual time.Duration // of the request's latency objective, and the type's latency
		min, max    time.Duration
	}{
		"time is left":   {0, 50 * ms, 80 * ms, 290 * ms},
		"none is left":   {350 * ms, 50 * ms, 900 * ms, time.Second},
		"it takes long":  {0, 300 * ms, 900 * ms, time.Second},
		"little is left": {250 * ms, 50 * ms, 10 * ms, 40 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, func(s *Settings) { s.MaxRetryAfter = time.Second })
			h.latency.typical[0], h.now, h.effects = c.usual, time.Second+c.past, nil
			h.Policy.requests.all = append(h.Policy.requests.all, request{objectiveAt: 1390 * ms, clientDeadline: 2 * time.Second})
			h.reject(0)
			if back := h.effects[0].Duration; back < c.min || back > c.max {
				t.Errorf("Retry-After of %s", back)
			}
		})
	}
}
