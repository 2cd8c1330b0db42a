package engine

import (
	"testing"
	"time"

	"fernvane/policy"
)

type record struct {
	forwards, answers int
	forgotten         []uint32
}

func (r *record) SendAttempt(uint64, uint32, time.Duration) { r.forwards++ }
func (r *record) Reject(uint64, time.Duration)              { r.answers++ }
func (r *record) Fail(uint64)                               { r.answers++ }
func (r *record) SetTimer(time.Duration)                    {}
func (r *record) CloseIdle(uint32)                          {}
func (r *record) Forget(s uint32)                           { r.forgotten = append(r.forgotten, s) }
func (r *record) Subscribe()                                {}

func TestIndicesAreReleased(t *testing.T) {
	settings := policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}
	for name, c := range map[string]struct {
		do   func(*Engine[uint32], *record)
		held int
	}{
		"handled": {func(n *Engine[uint32], r *record) {
			n.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.Success, ClientAnswered: true}, r)
		}, 0},
		"left, the hop still out": {func(n *Engine[uint32], r *record) { n.ClientLeft(0, 7, r) }, 1},
		"left, then the hop ends": {func(n *Engine[uint32], r *record) {
			n.ClientLeft(0, 7, r)
			n.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.TimedOut, ClientAnswered: true}, r)
		}, 0},
		"an unknown server's verdict is dropped": {func(n *Engine[uint32], r *record) {
			if n.AttemptEnded(0, 7, 6, policy.Input{Outcome: policy.Success, ClientAnswered: true}, r) {
				t.Error("taken")
			}
		}, 1},
		"the same id again is not taken": {func(n *Engine[uint32], r *record) {
			if n.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r) {
				t.Error("taken")
			}
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &record{}
			n := New[uint32](0, policy.New(settings, 1), r)
			n.EndpointsUpdated(0, policy.Cached, []Endpoint[uint32]{{Server: 5, Info: policy.Endpoint{Weight: 1}}}, r)
			n.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r)
			if r.forwards != 1 {
				t.Fatal("not sent")
			}
			c.do(n, r)
			if len(n.ops) != c.held || len(n.slots)-len(n.free) != c.held {
				t.Errorf("%d ids and %d indices held, want %d", len(n.ops), len(n.slots)-len(n.free), c.held)
			}
		})
	}
}

// Servers come and go under ever new ids: their indices are used again, but none that an operation still names.
func TestServersAreForgotten(t *testing.T) {
	r := &record{}
	n := New[uint32](0, policy.New(policy.Settings{NodeCount: 1, MaxAttempts: 1, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}, 1), r)
	list := func(scope policy.UpdateScope, server uint32, c policy.Condition) {
		n.EndpointsUpdated(0, scope, []Endpoint[uint32]{{Server: server, Info: policy.Endpoint{Weight: 1, Condition: c, HasStartTime: true}}}, r)
	}
	list(policy.Full, 5, policy.Up)
	n.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r) // its hop is out at server 5
	list(policy.Incremental, 5, policy.Removed)
	list(policy.Incremental, 6, policy.Up)
	if len(r.forgotten) > 0 || len(n.ids) != 2 {
		t.Fatalf("forgot %v, %d indices", r.forgotten, len(n.ids))
	}
	n.AttemptEnded(0, 7, 5, policy.Input{Outcome: policy.Success, ClientAnswered: true}, r)
	if len(r.forgotten) != 1 || r.forgotten[0] != 5 {
		t.Fatalf("forgot %v", r.forgotten)
	}
	for id := range uint32(100) {
		list(policy.Full, 10+id, policy.Up)
		list(policy.Incremental, 200+id, policy.Removed) // never known
	}
	if len(n.ids) > 3 || len(n.servers) != 1 || n.servers[109] >= len(n.ids) {
		t.Errorf("%d indices, %d ids", len(n.ids), len(n.servers))
	}
	n.RequestArrived(0, 8, policy.Input{Timeout: time.Second}, r)
	if r.forwards != 2 {
		t.Error("not sent to the server that is left")
	}
}

// A server that the list drops keeps its index while the module may still send to it, and no longer.
func TestDroppedServersAreKept(t *testing.T) {
	r := &record{}
	n := New[uint32](0, policy.New(policy.Settings{NodeCount: 1, MaxAttempts: 1, UnlistedUsable: true, TrafficTypes: []policy.TrafficType{
		{LatencyObjective: 400 * time.Millisecond, ClientTimeout: time.Second, PriorityWeight: 1}}}, 1), r)
	for id := range uint32(200) { // ever new ones, each dropped by the next list; the last by three empty ones
		n.EndpointsUpdated(0, policy.Full, []Endpoint[uint32]{{Server: id, Info: policy.Endpoint{HasStartTime: true, StartedAt: -time.Hour}}}, r)
		n.TimerFired(0, r)
	}
	for range 3 {
		n.EndpointsUpdated(0, policy.Full, nil, r)
	}
	n.RequestArrived(0, 7, policy.Input{Timeout: time.Second}, r)
	if _, known := n.servers[199]; r.forwards != 1 || !known || len(n.ids) > 4 {
		t.Fatalf("%d sent, the last known: %v, %d indices", r.forwards, known, len(n.ids))
	}
}

// What one change costs the node does not grow with the servers, nor with those that have gone and are in use still.
func TestOneChangeCostsWhatItTouches(t *testing.T) {
	cost := func(servers int) (visits int, allocs float64) {
		r := &record{}
		n := New[uint32](0, still{}, r)
		n.EndpointsUpdated(0, policy.Full, lines(servers), r)
		from, one := n.gone.Visits(), lines(1)
		allocs = testing.AllocsPerRun(100, func() { n.EndpointsUpdated(0, policy.Incremental, one, r) })
		return n.gone.Visits() - from, allocs
	}
	few, fewAllocs := cost(1_000)
	many, manyAllocs := cost(20_000)
	if few > 0 || many > 0 || manyAllocs > fewAllocs {
		t.Errorf("%d servers come to and %g allocations among 1,000, %d and %g among 20,000", few, fewAllocs, many, manyAllocs)
	}
}

// Allowances reach the module as they are.
func TestAllowancesReachTheModule(t *testing.T) {
	var got []policy.Quota
	r := &record{}
	n := New[uint32](0, asked(func(in *policy.Input) {
		if in.Kind == policy.QuotasChanged {
			got = in.Quotas
		}
	}), r)
	n.QuotasChanged(time.Second, []policy.Quota{{Tenant: 7, PerSecond: 3}}, r)
	if len(got) != 1 || got[0].Tenant != 7 || got[0].PerSecond != 3 {
		t.Errorf("told %v", got)
	}
}

type asked func(*policy.Input)

func (a asked) Handle(_ time.Duration, in *policy.Input, effects []policy.Effect) []policy.Effect {
	a(in)
	return effects
}
