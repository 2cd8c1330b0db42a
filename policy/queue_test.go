package policy

import (
	"slices"
	"testing"
	"time"
)

// TestQueueOrder checks that a free slot goes to the waiting request of the highest weight for the time it takes.
func TestQueueOrder(t *testing.T) {
	h := newHarness(t, 4, nil).fillSubset()
	var first int
	for i := 0; !h.isSaturated(); i++ {
		id, _ := h.arriveAt(0, 0, time.Second)
		if i == 0 {
			first = id
		}
	}
	waiting := map[int]int{} // request by traffic type; their weights are 1, 5, 10 and 5
	for _, trafficType := range []int{0, 2, 1} {
		id, effects := h.arriveAt(1*ms, trafficType, time.Second)
		if len(effects) > 0 {
			t.Fatalf("not queued: %v", effects)
		}
		waiting[trafficType] = id
	}
	var order []int
	for end := first; len(order) < len(waiting); end++ {
		for _, e := range h.end(100*ms, end, 0, Success) { // the typical latency, which stays as it is
			if e.Kind == SendAttempt {
				order = append(order, e.Request)
			}
		}
		if end > first+20 {
			t.Fatalf("sent %v of %v", order, waiting)
		}
	}
	if want := []int{waiting[2], waiting[1], waiting[0]}; !slices.Equal(order, want) {
		t.Errorf("sent %v, want %v", order, want)
	}
}

// TestQueueTime checks how long a request may wait.
func TestQueueTime(t *testing.T) {
	for name, c := range map[string]struct {
		max     time.Duration // of the route; 0: a share of the latency objective
		typical time.Duration // latency
		wants   time.Duration // last tick at which it still waits
	}{
		"a share of the objective":       {0, 50 * ms, 120 * ms},
		"as long as the route says":      {200 * ms, 50 * ms, 200 * ms},
		"while it can still be answered": {380 * ms, 200 * ms, 80 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 0, func(s *Settings) { s.TrafficTypes[0].MaxQueueTime = c.max })
			h.latency.typical[0] = c.typical
			id, _ := h.arriveAt(0, 0, time.Second)
			last := time.Duration(0)
			for now := 20 * ms; now < time.Second; now += 20 * ms {
				h.at(now, Input{Kind: TimerFired})
				if h.request(id).state == stateQueued {
					last = now
				}
			}
			if last != c.wants || h.request(id).state != stateDone {
				t.Errorf("waited until %v, want %v", last, c.wants)
			}
		})
	}
}
