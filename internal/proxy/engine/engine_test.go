package engine

import (
	"testing"
	"time"

	"fernvane/policy"
)

// effectCounter is an EffectHandler that counts attempts and final responses and records released servers.
type effectCounter struct {
	sent, finalResponses int
	released             []uint32
}

func (r *effectCounter) SendAttempt(uint64, uint32, time.Duration) { r.sent++ }
func (r *effectCounter) Reject(uint64, time.Duration)              { r.finalResponses++ }
func (r *effectCounter) Fail(uint64)                               { r.finalResponses++ }
func (r *effectCounter) SetTimer(time.Duration)                    {}
func (r *effectCounter) CloseIdle(uint32)                          {}
func (r *effectCounter) ReleaseServer(s uint32)                    { r.released = append(r.released, s) }
func (r *effectCounter) Subscribe()                                {}

// TestIndicesAreReleased checks that a request's index is freed when the request is settled and has no attempt in flight.
func TestIndicesAreReleased(t *testing.T) {
	settings := policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}
	for name, c := range map[string]struct {
		do        func(*Engine[uint32], *effectCounter)
		wantInUse int
	}{
		"responded": {func(e *Engine[uint32], r *effectCounter) {
			e.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.Success, IsSettled: true}, r)
		}, 0},
		"client left, attempt in flight": {func(e *Engine[uint32], r *effectCounter) { e.ClientLeft(0, 7, r) }, 1},
		"client left, then the attempt ends": {func(e *Engine[uint32], r *effectCounter) {
			e.ClientLeft(0, 7, r)
			e.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.TimedOut, IsSettled: true}, r)
		}, 0},
		"attempt at an unknown server is ignored": {func(e *Engine[uint32], r *effectCounter) {
			if e.AttemptEnded(0, 7, 6, policy.Input{Outcome: policy.Success, IsSettled: true}, r) {
				t.Error("AttemptEnded returned true for an unknown server")
			}
		}, 1},
		"ID of an open request is not accepted": {func(e *Engine[uint32], r *effectCounter) {
			if e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r) {
				t.Error("RequestArrived returned true for the ID of an open request")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &effectCounter{}
			e := New[uint32](0, policy.New(settings, 1), r)
			e.EndpointsUpdated(0, policy.Cached, []Endpoint[uint32]{{Server: 5, Info: policy.Endpoint{Weight: 1}}}, r)
			e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r)
			if r.sent != 1 {
				t.Fatal("no attempt was sent")
			}
			c.do(e, r)
			if len(e.requestIndex) != c.wantInUse || len(e.requests)-len(e.freeRequests) != c.wantInUse {
				t.Errorf("got %d IDs and %d indices in use, want %d of each", len(e.requestIndex), len(e.requests)-len(e.freeRequests), c.wantInUse)
			}
		})
	}
}

// TestServersAreReleased checks that indices of removed servers are reused, except those that an open request refers to.
func TestServersAreReleased(t *testing.T) {
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
	if len(r.released) > 0 || len(e.serverIDs) != 2 {
		t.Fatalf("with an attempt in flight: got released servers %v and %d indices, want none and 2 indices", r.released, len(e.serverIDs))
	}
	e.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.Success, IsSettled: true}, r)
	if len(r.released) != 1 || r.released[0] != 5 {
		t.Fatalf("after the attempt: got released servers %v, want [5]", r.released)
	}
	for id := range uint32(100) {
		list(policy.Full, 10+id, policy.Up)
		list(policy.Incremental, 200+id, policy.Removed) // a server that was never known
	}
	if len(e.serverIDs) > 3 || len(e.serverIndex) != 1 || e.serverIndex[109] >= len(e.serverIDs) {
		t.Errorf("got %d server indices and %d server IDs, want at most 3 indices and 1 ID", len(e.serverIDs), len(e.serverIndex))
	}
	e.RequestArrived(0, 8, policy.Input{Timeout: time.Second}, r)
	if r.sent != 2 {
		t.Error("no attempt was sent to the remaining server")
	}
}

// TestRetainedServersKeepTheirIndex checks that an unlisted server retains its index while the policy may still send to it.
func TestRetainedServersKeepTheirIndex(t *testing.T) {
	r := &effectCounter{}
	e := New[uint32](0, policy.New(policy.Settings{NodeCount: 1, MaxAttempts: 1, UnlistedUsable: true, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}, 1), r)
	for id := range uint32(200) { // each is omitted by the next list, the last one by three empty lists
		e.EndpointsUpdated(0, policy.Full, []Endpoint[uint32]{{Server: id, Info: policy.Endpoint{HasStartTime: true, StartedAt: -time.Hour}}}, r)
		e.TimerFired(0, r)
	}
	for range 3 {
		e.EndpointsUpdated(0, policy.Full, nil, r)
	}
	e.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r)
	if _, isKnown := e.serverIndex[199]; r.sent != 1 || !isKnown || len(e.serverIDs) > 4 {
		t.Fatalf("got %d attempts, last server known %v and %d indices, want 1 attempt, true and at most 4 indices", r.sent, isKnown, len(e.serverIDs))
	}
}

// TestCostOfOneChange checks that the cost of an incremental list grows neither with the number of known servers
// nor with the number of removed servers whose index is still in use.
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
		t.Errorf("got %d visits and %g allocations with 1,000 servers, %d and %g with 20,000, want no visits and no more allocations", few, fewAllocs, many, manyAllocs)
	}
}

// TestQuotasReachTheDecider checks that the Engine passes quotas to the Decider unchanged.
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
		t.Errorf("got quotas %v, want tenant 7 with 3 per second", got)
	}
}

// inputObserver is a Decider that calls a function with each input and returns no effects.
type inputObserver func(*policy.Input)

func (observe inputObserver) Handle(_ time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	observe(in)
	return effects
}
