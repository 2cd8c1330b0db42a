package engine

import (
	"testing"
	"time"

	"fernvane/policy"
)

type effectCounter struct {
	sent, answers int
	forgotten     []uint32
}

func (r *effectCounter) SendAttempt(uint64, uint32, time.Duration) { r.sent++ }
func (r *effectCounter) Reject(uint64, time.Duration)              { r.answers++ }
func (r *effectCounter) Fail(uint64)                               { r.answers++ }
func (r *effectCounter) SetTimer(time.Duration)                    {}
func (r *effectCounter) CloseIdle(uint32)                          {}
func (r *effectCounter) Forget(s uint32)                           { r.forgotten = append(r.forgotten, s) }
func (r *effectCounter) Subscribe()                                {}

func TestIndicesAreReleased(t *testing.T) {
	settings := policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}
	for name, c := range map[string]struct {
		do   func(*Engine[uint32], *effectCounter)
		held int
	}{
		"answered": {func(e *Engine[uint32], r *effectCounter) {
			e.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.Success, ClientAnswered: true}, r)
		}, 0},
		"client left, attempt in flight": {func(e *Engine[uint32], r *effectCounter) { e.ClientLeft(0, 7, r) }, 1},
		"client left, then the attempt ends": {func(e *Engine[uint32], r *effectCounter) {
			e.ClientLeft(0, 7, r)
			e.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.TimedOut, ClientAnswered: true}, r)
		}, 0},
		"an outcome of an unknown server is ignored": {func(e *Engine[uint32], r *effectCounter) {
			if e.AttemptEnded(0, 7, 6, policy.Input{Outcome: policy.Success, ClientAnswered: true}, r) {
				t.Error("accepted")
			}
		}, 1},
		"a request id in hand is not accepted again": {func(e *Engine[uint32], r *effectCounter) {
			if e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r) {
				t.Error("accepted")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &effectCounter{}
			e := New[uint32](0, policy.New(settings, 1), r)
			e.EndpointsUpdated(0, policy.Cached, []Endpoint[uint32]{{Server: 5, Info: policy.Endpoint{Weight: 1}}}, r)
			e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r)
			if r.sent != 1 {
				t.Fatal("not sent")
			}
			c.do(e, r)
			if len(e.requestIndex) != c.held || len(e.requests)-len(e.freeRequests) != c.held {
				t.Errorf("%d ids and %d indices in use, want %d", len(e.requestIndex), len(e.requests)-len(e.freeRequests), c.held)
			}
		})
	}
}

// TestServersAreForgotten checks that indices of removed servers are used again, but none that a request still refers to.
func TestServersAreForgotten(t *testing.T) {
	r := &effectCounter{}
	e := New[uint32](0, policy.New(policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}, 1), r)
	list := func(scope policy.UpdateScope, server uint32, c policy.Condition) {
		e.EndpointsUpdated(0, scope, []Endpoint[uint32]{{Server: server, Info: policy.Endpoint{Weight: 1, Condition: c, HasStartTime: true}}}, r)
	}
	list(policy.Full, 5, policy.Up)
	e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r) // its attempt is in flight at server 5
	list(policy.Incremental, 5, policy.Removed)
	list(policy.Incremental, 6, policy.Up)
	if len(r.forgotten) > 0 || len(e.serverIDs) != 2 {
		t.Fatalf("forgot %v, %d indices", r.forgotten, len(e.serverIDs))
	}
	e.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.Success, ClientAnswered: true}, r)
	if len(r.forgotten) != 1 || r.forgotten[0] != 5 {
		t.Fatalf("forgot %v", r.forgotten)
	}
	for id := range uint32(100) {
		list(policy.Full, 10+id, policy.Up)
		list(policy.Incremental, 200+id, policy.Removed) // never known
	}
	if len(e.serverIDs) > 3 || len(e.serverIndex) != 1 || e.serverIndex[109] >= len(e.serverIDs) {
		t.Errorf("%d indices, %d ids", len(e.serverIDs), len(e.serverIndex))
	}
	e.RequestArrived(0, 8, policy.Input{Timeout: time.Second}, r)
	if r.sent != 2 {
		t.Error("not sent to the server that is left")
	}
}

// TestRetainedServersKeepTheirIndex checks that an unlisted server keeps its index while the policy may still send to it.
func TestRetainedServersKeepTheirIndex(t *testing.T) {
	r := &effectCounter{}
	e := New[uint32](0, policy.New(policy.Settings{NodeCount: 1, MaxAttempts: 1, UnlistedUsable: true, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}, 1), r)
	for id := range uint32(200) { // each omitted by the next list, the last one by three empty lists
		e.EndpointsUpdated(0, policy.Full, []Endpoint[uint32]{{Server: id, Info: policy.Endpoint{HasStartTime: true, StartedAt: -time.Hour}}}, r)
		e.TimerFired(0, r)
	}
	for range 3 {
		e.EndpointsUpdated(0, policy.Full, nil, r)
	}
	e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r)
	if _, known := e.serverIndex[199]; r.sent != 1 || !known || len(e.serverIDs) > 4 {
		t.Fatalf("%d sent, the last known: %v, %d indices", r.sent, known, len(e.serverIDs))
	}
}

// TestCostOfOneChange checks that the cost of a change grows neither with the servers nor with the removed ones in use.
func TestCostOfOneChange(t *testing.T) {
	cost := func(servers int) (visits int, allocs float64) {
		r := &effectCounter{}
		e := New[uint32](0, idleDecider{}, r)
		e.EndpointsUpdated(0, policy.Full, largeList(servers), r)
		from, one := e.removed.Visits(), largeList(1)
		allocs = testing.AllocsPerRun(100, func() { e.EndpointsUpdated(0, policy.Incremental, one, r) })
		return e.removed.Visits() - from, allocs
	}
	few, fewAllocs := cost(1_000)
	many, manyAllocs := cost(20_000)
	if few > 0 || many > 0 || manyAllocs > fewAllocs {
		t.Errorf("%d servers visited and %g allocations among 1,000, %d and %g among 20,000", few, fewAllocs, many, manyAllocs)
	}
}

// TestQuotasReachTheDecider checks that quotas are handed on unchanged.
func TestQuotasReachTheDecider(t *testing.T) {
	var got []policy.Quota
	r := &effectCounter{}
	e := New[uint32](0, inputObserver(func(in *policy.Input) {
		if in.Kind == policy.QuotasChanged {
			got = in.Quotas
		}
	}), r)
	e.QuotasChanged(time.Second, []policy.Quota{{Tenant: 7, PerSecond: 3}}, r)
	if len(got) != 1 || got[0].Tenant != 7 || got[0].PerSecond != 3 {
		t.Errorf("quotas %v", got)
	}
}

type inputObserver func(*policy.Input)

func (a inputObserver) Handle(_ time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	a(in)
	return effects
}
