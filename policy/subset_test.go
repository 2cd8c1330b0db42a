package policy

import (
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

func TestSubsetGrowsWhenBusy(t *testing.T) {
	for name, c := range map[string]struct {
		servers, inFlight int // requests kept in flight
		ejected           bool
		want              int
	}{
		"one at a time":       {10, 1, false, 1},
		"all busy: grows":     {10, 4, false, 4},
		"at most all servers": {3, 8, false, 3},
		"a single server":     {1, 3, false, 1},
		"member ejected":      {10, 1, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, c.servers, nil)
			h.concurrency.provenLimit = 1000
			for range c.inFlight {
				if _, got := h.arriveAt(time.Second, 0, time.Second); len(got) != 1 {
					t.Fatalf("arrival: got effects %v, want one", got)
				}
				if c.ejected {
					h.end(time.Second, h.arrivals-1, 0, Success)
					h.outliers.ejections.SetEjectedUntil(h.subset.members[0], failures.AllTypes, 2*time.Second)
					h.arriveAt(time.Second, 0, time.Second)
				}
			}
			if len(h.subset.members) != c.want {
				t.Errorf("members of the subset: got %d, want %d", len(h.subset.members), c.want)
			}
		})
	}
}

func TestSubsetShrinksBySlowest(t *testing.T) {
	h := newHarness(t, 6, nil).fillSubset()
	h.latency.slowness[3] = 2
	h.at(100*ms, Input{Kind: TimerFired})
	if h.subset.contains[3] || len(h.subset.members) != 5 {
		t.Errorf("after a tick: got members %v, want all but 3", h.subset.members)
	}
	for now := 200 * ms; now < time.Second; now += 20 * ms {
		h.at(now, Input{Kind: TimerFired})
	}
	if len(h.subset.members) != subsetSlack {
		t.Errorf("members without traffic: got %d, want subsetSlack", len(h.subset.members))
	}
	h.fillSubset()
	h.concurrency.successRate = 6 * minSuccessRatePerServer // enough to compare all six
	h.shrinkSubset(20 * ms)
	if len(h.subset.members) != 6 {
		t.Errorf("members with a sufficient success rate: got %d, want 6", len(h.subset.members))
	}
}

func TestNodesStartEvenly(t *testing.T) {
	const nodes, servers = 50, 20
	users := make([]int, servers) // nodes by server
	for node := range nodes {
		h := newHarness(t, servers, func(s *Settings) { s.NodeCount, s.NodeIndex, s.Zone = nodes, node, node%2 })
		h.arriveAt(0, 0, time.Second)
		if users[h.subset.members[0]]++; h.subset.members[0]%2 != node%2 {
			t.Errorf("node %d starts in another zone", node)
		}
	}
	for s, n := range users {
		if n < 1 || n > 4 { // mean 2.5; uniformly random starts would leave some servers unused
			t.Errorf("server %d: got %d nodes, want 1 to 4", s, n)
		}
	}
}

// TestPoolInSubsetCostsNoWalk checks that a request does not search the rotation if all servers of its pool are in
// the subset.
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
	for id := range 2 * pooled { // the first requests add the pool to the subset
		p.Handle(0, &Input{Kind: RequestArrived, Request: id, Timeout: time.Second}, nil)
	}
	if len(p.subset.members) != pooled || p.readiness.ReadyWithLabels(label) != pooled {
		t.Fatalf("members of the subset: got %d, want %d; ready servers with the label: %d", len(p.subset.members), pooled, p.readiness.ReadyWithLabels(label))
	}
	from := p.subset.rotation.Steps()
	effects := p.Handle(0, &Input{Kind: RequestArrived, Request: 2 * pooled, Timeout: time.Second}, nil)
	if got := p.subset.rotation.Steps() - from; got != 0 || len(effects) != 1 || effects[0].Kind != SendAttempt {
		t.Errorf("arrival: got %d steps of the rotation and effects %v, want 0 and one SendAttempt", got, effects)
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 7, Rank: list[7].Rank, Labels: label, StartedAt: -time.Hour, HasStartTime: true}}}, nil)
	if p.Handle(0, &Input{Kind: RequestArrived, Request: 2*pooled + 1, Timeout: time.Second}, nil); !p.subset.contains[7] {
		t.Error("server added to the pool is not in the subset")
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 7, Condition: Draining, Labels: label}}}, nil)
	if p.readiness.ReadyWithLabels(label) != pooled || !p.isAllInSubset(&TrafficType{PoolLabels: label}) {
		t.Errorf("after draining: got %d ready servers of the pool, want all of them in the subset", p.readiness.ReadyWithLabels(label))
	}
}

// TestUnreachableServerLeavesSubset checks that a server that refuses connections leaves the subset if the other
// members suffice, and rejoins when it is needed.
func TestUnreachableServerLeavesSubset(t *testing.T) {
	connects := func(s *Settings) { s.ConnectTimeout = time.Second }
	h := newHarness(t, 8, connects).fillSubset()
	id, sent := h.arriveAt(0, 0, time.Second)
	s := sent[0].Server
	if got := effectKinds(h.end(5*ms, id, 0, Unreachable)); !slices.Equal(got, []EffectKind{CloseIdle, SendAttempt}) || h.subset.contains[s] || len(h.subset.members) != 7 {
		t.Errorf("server %d unreachable: got members %v and effects %v, want its removal, CloseIdle and SendAttempt", s, h.subset.members, got)
	}
	h.concurrency.provenLimit = 100
	for range 8 { // all others are busy
		h.arriveAt(10*ms, 0, time.Second)
	}
	if !h.subset.contains[s] {
		t.Errorf("server %d did not rejoin the subset %v", s, h.subset.members)
	}
	few := newHarness(t, 2, connects).fillSubset()
	id, sent = few.arriveAt(0, 0, time.Second)
	if few.end(5*ms, id, 0, Unreachable); !few.subset.contains[sent[0].Server] {
		t.Error("unreachable server left a subset of two that are both needed")
	}
}
