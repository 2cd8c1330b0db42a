package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

func TestSubsetGrowsWhenBusy(t *testing.T) {
	for name, c := range map[string]struct {
		servers, out int // attempts held in flight at once
		ejected      bool
		want         int
	}{
		"one at a time":         {10, 1, false, 1},
		"all busy: one more":    {10, 4, false, 4},
		"no more than there is": {3, 8, false, 3},
		"one server alone":      {1, 3, false, 1},
		"for an ejected one":    {10, 1, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.servers, nil)
			h.concurrency.provenLimit = 1000
			for range c.out {
				if _, got := h.arriveAt(time.Second, 0, time.Second); len(got) != 1 {
					t.Fatalf("not sent: %v", got)
				}
				if c.ejected {
					h.end(time.Second, h.arrivals-1, 0, Success)
					h.outliers.ejections.SetEjectedUntil(h.subset.members[0], failures.AllTypes, 2*time.Second)
					h.arriveAt(time.Second, 0, time.Second)
				}
			}
			if len(h.subset.members) != c.want {
				t.Errorf("%d in the subset, want %d", len(h.subset.members), c.want)
			}
		})
	}
}

func TestSubsetShrinksBySlowest(t *testing.T) {
	h := newHarness(t, 6, nil).fillSubset()
	h.latency.slowness[3] = 2
	h.at(100*ms, Input{Kind: TimerFired})
	if h.subset.contains[3] || len(h.subset.members) != 5 {
		t.Errorf("kept %v", h.subset.members)
	}
	for now := 200 * ms; now < time.Second; now += 20 * ms {
		h.at(now, Input{Kind: TimerFired})
	}
	if len(h.subset.members) != subsetSlack {
		t.Errorf("%d in the subset with nothing to do", len(h.subset.members))
	}
	h.fillSubset()
	h.concurrency.successRate = 6 * minSuccessRatePerServer // enough to judge all six
	h.shrinkSubset(20 * ms)
	if len(h.subset.members) != 6 {
		t.Errorf("%d left of six that are all judged", len(h.subset.members))
	}
}

func TestNodesStartEvenly(t *testing.T) {
	const nodes, servers = 50, 20
	met := make([]int, servers)
	for me := range nodes {
		h := newHarness(t, servers, func(s *Settings) { s.NodeCount, s.NodeIndex, s.Zone = nodes, me, me%2 })
		h.arriveAt(0, 0, time.Second)
		if met[h.subset.members[0]]++; h.subset.members[0]%2 != me%2 {
			t.Errorf("node %d starts in another zone", me)
		}
	}
	for s, n := range met {
		if n < 1 || n > 4 { // 2.5 in the mean; by chance alone some would be used by none
			t.Errorf("server %d is used by %d nodes", s, n)
		}
	}
}

// TestPoolInSubsetCostsNoWalk checks that a request whose pool is in the subset as a whole looks for no further
// server.
func TestPoolInSubsetCostsNoWalk(t *testing.T) {
	const servers, pooled, label = 20_000, 5, 1 << 9
	p := New(largeSettings(1, 0), 7)
	p.settings.TrafficTypes[0].PoolLabels = label
	p.Handle(0, &Input{Kind: TimerFired}, nil)
	list := largeList(servers)
	for i := range pooled {
		list[i*1_000].Labels = label | 1
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: list}, nil)
	for id := range 2 * pooled { // the first ones put them into the subset
		p.Handle(0, &Input{Kind: RequestArrived, Request: id, Timeout: time.Second}, nil)
	}
	if len(p.subset.members) != pooled || p.readiness.ReadyWithLabels(label) != pooled {
		t.Fatalf("%d of %d in the subset, counted %d", len(p.subset.members), pooled, p.readiness.ReadyWithLabels(label))
	}
	from := p.subset.rotation.Steps()
	effects := p.Handle(0, &Input{Kind: RequestArrived, Request: 2 * pooled, Timeout: time.Second}, nil)
	if got := p.subset.rotation.Steps() - from; got != 0 || len(effects) != 1 || effects[0].Kind != SendAttempt {
		t.Errorf("%d steps of the rotation; %v", got, effects)
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 7, Rank: list[7].Rank, Labels: label, StartedAt: -time.Hour, HasStartTime: true}}}, nil)
	if p.Handle(0, &Input{Kind: RequestArrived, Request: 2*pooled + 1, Timeout: time.Second}, nil); !p.subset.contains[7] {
		t.Error("a server that joined the pool is not in the subset")
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 7, Condition: Draining, Labels: label}}}, nil)
	if p.readiness.ReadyWithLabels(label) != pooled || !p.isAllInSubset(&TrafficType{PoolLabels: label}) {
		t.Errorf("counted %d of the pool", p.readiness.ReadyWithLabels(label))
	}
}

// TestUnreachableServerLeavesSubset checks that a server without a free connection leaves the subset if the rest
// suffices, and is back when it is needed.
func TestUnreachableServerLeavesSubset(t *testing.T) {
	connects := func(s *Settings) { s.ConnectTimeout = time.Second }
	h := newHarness(t, 8, connects).fillSubset()
	id, sent := h.arriveAt(0, 0, time.Second)
	s := sent[0].Server
	if got := effectKinds(h.end(5*ms, id, 0, Unreachable)); !slices.Equal(got, []EffectKind{CloseIdle, SendAttempt}) || h.subset.contains[s] || len(h.subset.members) != 7 {
		t.Errorf("server %d of %v, %v", s, h.subset.members, got)
	}
	h.concurrency.provenLimit = 100
	for range 8 { // all others are busy
		h.arriveAt(10*ms, 0, time.Second)
	}
	if !h.subset.contains[s] {
		t.Errorf("server %d stays out of %v", s, h.subset.members)
	}
	few := newHarness(t, 2, connects).fillSubset()
	id, sent = few.arriveAt(0, 0, time.Second)
	if few.end(5*ms, id, 0, Unreachable); !few.subset.contains[sent[0].Server] {
		t.Error("one of two has left, though both are needed")
	}
}
