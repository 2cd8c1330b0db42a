package policy

import (
	"testing"
	"time"
)

func TestSlowStartShare(t *testing.T) {
	for name, c := range map[string]struct {
		endpoint Endpoint
		scope    UpdateScope
		max      int
		warmAt   time.Duration // the server has left slow start
	}{
		"start time listed": {Endpoint{Server: 2, Weight: 1, StartedAt: 9 * time.Second, HasStartTime: true}, Incremental, 20, 18 * time.Second},
		"first appearance":  {Endpoint{Server: 2, Weight: 1}, Incremental, 20, 19 * time.Second},
		"started long ago":  {Endpoint{Server: 2, Weight: 1, StartedAt: -60 * time.Second, HasStartTime: true}, Incremental, 1000, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, nil).fillSubset()
			h.at(10*time.Second, Input{Kind: EndpointsUpdated, Scope: c.scope, Endpoints: []Endpoint{c.endpoint}})
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
				t.Errorf("got %d attempts in two seconds, want 1 to %d", sent, c.max)
			}
			h.at(c.warmAt, Input{Kind: TimerFired})
			if h.slowStart.servers.Has(2) {
				t.Error("server is still in slow start")
			}
		})
	}
}

func TestSlowStartAfterUnreachable(t *testing.T) {
	for name, c := range map[string]struct {
		unreachable time.Duration
		isWarmingUp bool
	}{
		"unreachable for a short time": {500 * ms, false},
		"long enough to restart":       {2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, nil)
			id, _ := h.arriveAt(time.Second, 0, time.Second)
			h.end(time.Second, id, 0, Unreachable)
			h.end(time.Second+c.unreachable, id, 1, Success) // the retry was sent to the same server immediately
			if h.slowStart.servers.Has(0) != c.isWarmingUp {
				t.Errorf("server in slow start: got %v", h.slowStart.servers.Has(0))
			}
		})
	}
}

// TestSlowStartOverAllNodes checks that the tokens that all nodes together grant to a server in slow start, and those
// saved at the end, are within its budget.
func TestSlowStartOverAllNodes(t *testing.T) {
	for name, rejections := range map[string]int{"others available": 0, "others overloaded": 10} {
		t.Run(name, func(t *testing.T) {
			granted, saved, budget, rate := 0.0, 0.0, 0.0, 0.0
			for node := range 90 {
				h := newHarness(t, 18, func(s *Settings) { s.NodeCount, s.NodeIndex, s.SlowStartDuration = 90, node, 24*time.Second }).fillSubset()
				h.Policy.random.seed, h.now = uint32(1000+node), time.Second
				for i := range 17 * rejections {
					h.recordOutcome(1+i%17, &request{}, h.now, Overloaded)
				}
				h.startSlowStart(0, h.now)
				for range 700 {
					h.now, h.concurrency.successRate = h.now+20*ms, 3
					h.updateWeights()
					tokensBefore := h.slowStart.tokens[0]
					h.refillSlowStart(20 * ms)
					granted += max(h.slowStart.tokens[0]-tokensBefore, 0)
					rate = slowStartShare * h.settings.CrashLoadFactor * h.concurrency.successRate / 18 * h.updateCapacityShare(0)
					budget += rate * 0.02
				}
				saved += h.slowStart.tokens[0]
			}
			if saved > 180*rate*slowStartTokenLifetime.Seconds() || granted > 1.2*budget || granted < 0.5*budget {
				t.Errorf("got %.0f tokens granted with a budget of %.0f, and %.0f saved at the end", granted, budget, saved)
			}
		})
	}
}

// TestSlowStartWhenWeightsFollowLoad checks that a server in slow start gets at most an even share if an idle server
// has the listed weight of several busy ones.
func TestSlowStartWhenWeightsFollowLoad(t *testing.T) {
	const seconds, step = 40, 20 * ms
	for name, c := range map[string]struct {
		followLoad bool
		weight     float64 // of the server in slow start; the nine others have 0.1
		min, max   float64 // tokens a second
	}{
		"follow load, idle":           {true, 1, 0.3, 1.6},
		"follow load, busy":           {true, 0.1, 0.3, 1.6},
		"fixed, ten times the others": {false, 1, 4, 12},
		"fixed, equal to the others":  {false, 0.1, 0.3, 1.6},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 10, func(s *Settings) {
				s.WeightsFollowLoad, s.SlowStartInitialCapacity, s.SlowStartDuration = c.followLoad, 0.1, time.Hour
			}).fillSubset()
			for s := range h.servers.listedWeight {
				h.servers.listedWeight[s] = 0.1
			}
			h.servers.listedWeight[0] = c.weight
			h.startSlowStart(0, 0)
			for k := range h.latency.typical { // makes the minimum rate negligible
				h.latency.typical[k] = time.Hour
			}
			h.concurrency.successRate = 50
			h.updateWeights()
			granted := 0.0
			for range seconds * int(time.Second/step) {
				tokensBefore := h.slowStart.tokens[0]
				h.refillSlowStart(step)
				granted += max(h.slowStart.tokens[0]-tokensBefore, 0)
				h.slowStart.tokens[0] = 0
			}
			if rate := granted / seconds; rate < c.min || rate > c.max {
				t.Errorf("got %.2f tokens a second", rate)
			}
		})
	}
}
