package policy

import (
	"testing"
	"time"
)

// TestRetryCapacity checks that only the highest priority weight is retried while saturated, and that a type that
// breaks servers is not.
func TestRetryCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		trafficType int // 3 has the highest priority weight
		outcome     Outcome
		full        bool
		broke       []int // servers that broke before; the request's own is 0
		ago         time.Duration
		again       bool
	}{
		"saturated":                      {0, Failure, true, nil, 0, false},
		"saturated, highest weight":      {3, Failure, true, nil, 0, true},
		"one broken connection":          {0, ConnectionBroken, false, nil, 0, true},
		"the same server twice":          {0, ConnectionBroken, false, []int{0, 0}, 0, true},
		"another server":                 {0, ConnectionBroken, false, []int{1}, 0, false},
		"another server, long ago":       {0, ConnectionBroken, false, []int{1}, 20 * time.Second, true},
		"another server, highest weight": {3, ConnectionBroken, false, []int{1}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, func(s *Settings) { s.TrafficTypes[3].PriorityWeight = 20 }).fillSubset()
			for _, s := range c.broke {
				h.recordOutcome(s, &request{trafficType: c.trafficType, objectiveAt: time.Minute}, h.now, ConnectionBroken)
			}
			h.at(h.now+c.ago, Input{Kind: TimerFired})
			id, _ := h.arriveAt(h.now, c.trafficType, time.Second)
			h.Policy.requests.all[id].attempts[0].server = 0
			if c.full {
				h.concurrency.inFlight += 100
			}
			if got := effectKinds(h.end(h.now+20*ms, id, 0, c.outcome)); (len(got) > 0 && got[0] == SendAttempt) != c.again {
				t.Errorf("then %v", got)
			}
		})
	}
}
