package policy

import (
	"testing"
	"time"
)

// TestRetryCapacity checks that only the highest priority weight is retried while saturated, and that a type that
// breaks servers is not.
func TestRetryCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		kind  int // 3 is the dearest
		how   Outcome
		full  bool
		broke []int // servers before; the operation's own is 0
		ago   time.Duration
		again bool
	}{
		"no room":                 {0, Failure, true, nil, 0, false},
		"no room, the dearest":    {3, Failure, true, nil, 0, true},
		"one break":               {0, ConnectionBroken, false, nil, 0, true},
		"its server, twice":       {0, ConnectionBroken, false, []int{0, 0}, 0, true},
		"another server":          {0, ConnectionBroken, false, []int{1}, 0, false},
		"another, long ago":       {0, ConnectionBroken, false, []int{1}, 20 * time.Second, true},
		"another, of the dearest": {3, ConnectionBroken, false, []int{1}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t, 4, func(s *Settings) { s.TrafficTypes[3].PriorityWeight = 20 }).fillSubset()
			for _, s := range c.broke {
				r.recordOutcome(s, &request{trafficType: c.kind, objectiveAt: time.Minute}, r.now, ConnectionBroken)
			}
			r.at(r.now+c.ago, Input{Kind: TimerFired})
			op, _ := r.arriveAt(r.now, c.kind, time.Second)
			r.Policy.requests.all[op].attempts[0].server = 0
			if c.full {
				r.concurrency.inFlight += 100
			}
			if got := effectKinds(r.end(r.now+20*ms, op, 0, c.how)); (len(got) > 0 && got[0] == SendAttempt) != c.again {
				t.Errorf("then %v", got)
			}
		})
	}
}
