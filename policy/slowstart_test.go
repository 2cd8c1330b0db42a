package policy

import (
	"testing"
	"time"
)

func TestSlowStartShare(t *testing.T) {
	for name, c := range map[string]struct {
		member   Endpoint
		scope    UpdateScope
		max      int
		unbarred time.Duration
	}{
		"start time listed": {Endpoint{Server: 2, Weight: 1, StartedAt: 9 * time.Second, HasStartTime: true}, Incremental, 20, 18 * time.Second},
		"first appearance":  {Endpoint{Server: 2, Weight: 1}, Incremental, 20, 19 * time.Second},
		"started long ago":  {Endpoint{Server: 2, Weight: 1, StartedAt: -60 * time.Second, HasStartTime: true}, Incremental, 1000, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil).fillSubset()
			h.at(10*time.Second, Input{Kind: EndpointsUpdated, Scope: c.scope, Endpoints: []Endpoint{c.member}})
			sent := 0
			for now := 10 * time.Second; now < 12*time.Second; now += 10 * ms {
				id, got := h.arriveAt(now, 0, time.Second)
				for _, e := range append(got, h.at(now, Input{Kind: TimerFired})...) {
					if e.Kind == SendAttempt && e.Server == 2 {
						sent++
					}
				}
				h.end(now, id, 0, Success)
			}
			if sent > c.max || sent == 0 {
				t.Errorf("sent %d in two seconds, at most %d", sent, c.max)
			}
			h.at(c.unbarred, Input{Kind: TimerFired})
			if h.slowStart.servers.Has(2) {
				t.Error("still in slow start")
			}
		})
	}
}

func TestSlowStartAfterUnreachable(t *testing.T) {
	for name, c := range map[string]struct {
		lost        time.Duration
		isWarmingUp bool
	}{
		"unreachable for a short time": {500 * ms, false},
		"long enough to restart":       {2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			id, _ := h.arriveAt(time.Second, 0, time.Second)
			h.end(time.Second, id, 0, Unreachable)
			h.end(time.Second+c.lost, id, 1, Success) // it had been sent there again at once
			if h.slowStart.servers.Has(0) != c.isWarmingUp {
				t.Errorf("slow start: %v", h.slowStart.servers.Has(0))
			}
		})
	}
}

// TestSlowStartOverAllNodes checks that what all nodes together grant a server in slow start, and hold at the end,
// is within its budget.
func TestSlowStartOverAllNodes(t *testing.T) {
	for name, refusals := range map[string]int{"others answer": 0, "others are overloaded": 10} {
		t.Run(name, func(t *testing.T) {
			granted, held, budget, rate := 0.0, 0.0, 0.0, 0.0
			for me := range 90 {
				h := newHarness(t, 18, func(s *Settings) { s.NodeCount, s.NodeIndex, s.SlowStartDuration = 90, me, 24*time.Second }).fillSubset()
				h.Policy.random.seed, h.now = uint32(1000+me), time.Second
				for i := range 17 * refusals {
					h.recordOutcome(1+i%17, &request{}, h.now, Overloaded)
				}
				h.startSlowStart(0, h.now)
				for range 700 {
					h.now, h.concurrency.successRate = h.now+20*ms, 3
					h.updateWeights()
					was := h.slowStart.tokens[0]
					h.refillSlowStart(20 * ms)
					granted += max(h.slowStart.tokens[0]-was, 0)
					rate = slowStartShare * h.settings.CrashLoadFactor * h.concurrency.successRate / 18 * h.updateCapacityShare(0)
					budget += rate * 0.02
				}
				held += h.slowStart.tokens[0]
			}
			if held > 180*rate*slowStartTokenLifetime.Seconds() || granted > 1.2*budget || granted < 0.5*budget {
				t.Errorf("%.0f granted, budget %.0f; %.0f held", granted, budget, held)
			}
		})
	}
}

// TestSlowStartWhenWeightsFollowLoad checks that a server in slow start gets an even share at most where idle
// servers are listed for several busy ones.
func TestSlowStartWhenWeightsFollowLoad(t *testing.T) {
	const seconds, step = 40, 20 * ms
	for name, c := range map[string]struct {
		live     bool
		weight   float64 // its weight; the nine others have 0.1
		min, max float64 // tokens a second
	}{
		"follow load, idle":             {true, 1, 0.3, 1.6},
		"follow load, busy":             {true, 0.1, 0.3, 1.6},
		"fixed, ten times the size":     {false, 1, 4, 12},
		"fixed, as small as the others": {false, 0.1, 0.3, 1.6},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 10, func(s *Settings) {
				s.WeightsFollowLoad, s.SlowStartInitialCapacity, s.SlowStartDuration = c.live, 0.1, time.Hour
			}).fillSubset()
			for s := range h.servers.listedWeight {
				h.servers.listedWeight[s] = 0.1
			}
			h.servers.listedWeight[0] = c.weight
			h.startSlowStart(0, 0)
			for k := range h.latency.typical { // so that the least rate does not count
				h.latency.typical[k] = time.Hour
			}
			h.concurrency.successRate = 50
			h.updateWeights()
			granted := 0.0
			for range seconds * int(time.Second/step) {
				was := h.slowStart.tokens[0]
				h.refillSlowStart(step)
				granted += max(h.slowStart.tokens[0]-was, 0)
				h.slowStart.tokens[0] = 0
			}
			if rate := granted / seconds; rate < c.min || rate > c.max {
				t.Errorf("%.2f tokens a second", rate)
			}
		})
	}
}
