package policy

import (
	"slices"
	"testing"
	"time"
)

// TestQueueOrder checks that a free slot is assigned to the queued request of the highest weight per latency.
func TestQueueOrder(t *testing.T) {
	h := newHarness(t, 4, nil).fillSubset()
	var first int
	for i := 0; !h.isSaturated(); i++ {
		id, _ := h.arriveAt(0, 0, time.Second)
		if i == 0 {
			first = id
		}
	}
	queued := map[int]int{} // request by traffic type; the types' weights are 1, 5, 10 and 5
	for _, trafficType := range []int{0, 2, 1} {
		id, effects := h.arriveAt(1*ms, trafficType, time.Second)
		if len(effects) > 0 {
			t.Fatalf("arrival: got effects %v, want none", effects)
		}
		queued[trafficType] = id
	}
	var order []int
	for end := first; len(order) < len(queued); end++ {
		for _, e := range h.end(100*ms, end, 0, Success) { // equals the typical latency, so that it does not change
			if e.Kind == SendAttempt {
				order = append(order, e.Request)
			}
		}
		if end > first+20 {
			t.Fatalf("got attempts of requests %v, want all of %v", order, queued)
		}
	}
	if want := []int{queued[2], queued[1], queued[0]}; !slices.Equal(order, want) {
		t.Errorf("order of attempts: got requests %v, want %v", order, want)
	}
}

// TestQueueTime checks how long a request stays queued.
func TestQueueTime(t *testing.T) {
	for name, c := range map[string]struct {
		max     time.Duration // limit of the route; 0: a share of the latency objective
		typical time.Duration // latency of the type
		want    time.Duration // last tick at which the request is queued
	}{
		"a share of the objective":       {0, 50 * ms, 120 * ms},
		"limit of the route":             {200 * ms, 50 * ms, 200 * ms},
		"while the objective can be met": {380 * ms, 200 * ms, 80 * ms},
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
			if last != c.want || h.request(id).state != stateDone {
				t.Errorf("queued until: got %v, want %v", last, c.want)
			}
		})
	}
}
