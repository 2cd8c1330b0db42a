package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// routed is a rig whose type 0 has other figures, and that may send copies.
func routed(t *testing.T, servers, kind int, change func(*TrafficType)) *rig {
	r := newRig(t, servers, func(s *Settings) {
		s.HedgingAllowed, s.NodeCount = true, 1
		change(&s.TrafficTypes[kind])
	}).takeAll()
	r.subset.needed = 99 // none is let go
	return r
}

// What one operation gets, by the figures of its route: steps in the words of a test, effects as they follow.
func TestFiguresOfARoute(t *testing.T) {
	for name, c := range map[string]struct {
		kind   int
		change func(*TrafficType)
		play   func(r *rig) []Effect
		want   []EffectKind
	}{
		"a further hop": {0, func(*TrafficType) {}, func(r *rig) []Effect { return r.end(50*ms, 0, 0, Failure) }, []EffectKind{SendAttempt}},
		"one hop only":  {0, func(t *TrafficType) { t.MaxAttempts = 1 }, func(r *rig) []Effect { return r.end(50*ms, 0, 0, Failure) }, []EffectKind{Reject}},
		"no more than the settings": {2, func(t *TrafficType) { t.MaxAttempts = 9 }, func(r *rig) []Effect {
			for i := range 3 {
				r.end(time.Duration(10+i)*ms, 0, i, Unreachable)
			}
			return r.end(20*ms, 0, 3, Unreachable)
		}, []EffectKind{Reject}},
		"not after an error":     {0, func(t *TrafficType) { t.RetryOn = 1 << Overloaded }, func(r *rig) []Effect { return r.end(50*ms, 0, 0, Failure) }, []EffectKind{Reject}},
		"but after a refusal":    {0, func(t *TrafficType) { t.RetryOn = 1 << Overloaded }, func(r *rig) []Effect { return r.end(50*ms, 0, 0, Overloaded) }, []EffectKind{SendAttempt}},
		"a budget that is saved": {0, func(t *TrafficType) { t.RetryRatio = 1 }, func(r *rig) []Effect { return r.end(50*ms, 0, 0, Failure) }, []EffectKind{SendAttempt}},
		"a budget that is used":  {0, func(t *TrafficType) { t.RetryRatio = 0.1 }, func(r *rig) []Effect { return r.end(50*ms, 0, 0, Failure) }, []EffectKind{Reject}},
		"the floor of a budget":  {0, func(t *TrafficType) { t.RetryRatio, t.MinRetriesPerSecond = 0.1, 100 }, func(r *rig) []Effect { r.at(40*ms, Input{Kind: TimerFired}); return r.end(50*ms, 0, 0, Failure) }, []EffectKind{SendAttempt}},
		"no copy without a word": {0, func(*TrafficType) {}, func(r *rig) []Effect { return r.at(200*ms, Input{Kind: TimerFired}) }, nil},
		"a copy":                 {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect { return r.at(60*ms, Input{Kind: TimerFired}) }, []EffectKind{SendAttempt}},
		"not before its time":    {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect { return r.at(40*ms, Input{Kind: TimerFired}) }, nil},
		"not beyond its budget":  {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 0.5 }, func(r *rig) []Effect { return r.at(60*ms, Input{Kind: TimerFired}) }, nil},
		"one copy only": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect {
			r.at(60*ms, Input{Kind: TimerFired})
			return r.at(160*ms, Input{Kind: TimerFired})
		}, nil},
		"never of a binding type": {2, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect { return r.at(60*ms, Input{Kind: TimerFired}) }, nil},
		"the first fails, the copy is out": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect {
			r.at(60*ms, Input{Kind: TimerFired})
			return r.end(70*ms, 0, 0, Failure)
		}, nil},
		"both fail": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect {
			r.at(60*ms, Input{Kind: TimerFired})
			r.end(70*ms, 0, 0, Failure)
			return r.end(75*ms, 0, 1, Failure)
		}, []EffectKind{SendAttempt}},
		"the copy answers, the first later": {0, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect {
			r.at(60*ms, Input{Kind: TimerFired})
			r.end(70*ms, 0, 1, Success)
			return r.end(71*ms, 0, 0, Canceled)
		}, nil},
		"a copy of a mark in its group only": {1, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio = 50*ms, 1 }, func(r *rig) []Effect {
			e := r.at(60*ms, Input{Kind: TimerFired})
			for _, x := range e {
				if x.Kind == SendAttempt && r.servers.zone[x.Server] != r.servers.zone[r.operation(0).attempts[0].server] {
					r.t.Error("sent to another group")
				}
			}
			return e
		}, []EffectKind{SendAttempt}},
		"no copy past the window": {1, func(t *TrafficType) { t.HedgeDelay, t.HedgeRatio, t.KeyRetention = 50*ms, 1, 40*ms }, func(r *rig) []Effect { return r.at(60*ms, Input{Kind: TimerFired}) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := routed(t, 6, c.kind, c.change)
			if _, e := r.arriveAt(0, c.kind, 2*time.Second); !slices.Equal(kinds(e), []EffectKind{SendAttempt}) {
				t.Fatalf("on arrival: %v", e)
			}
			if got := kinds(c.play(r)); !slices.Equal(got, c.want) {
				t.Errorf("then %v, not %v", got, c.want)
			}
		})
	}
}

func (r *rig) operation(op int) *request { return &r.Policy.requests.all[op] }

// A hop may take as long as its route says, which leaves time for another.
func TestHopTime(t *testing.T) {
	r := routed(t, 6, 0, func(t *TrafficType) { t.AttemptTimeout = 90 * ms })
	_, e := r.arriveAt(0, 0, 2*time.Second)
	if e[0].Duration != 90*ms {
		t.Errorf("the first has %s", e[0].Duration)
	}
	if e = r.end(90*ms, 0, 0, TimedOut); len(e) == 0 || e[0].Kind != SendAttempt || e[0].Duration != 90*ms {
		t.Errorf("after it: %+v", e)
	}
}

// Servers outside the pool get nothing; where the pool is empty the operation is denied in its time, and others go on.
func TestPool(t *testing.T) {
	r := routed(t, 6, 0, func(t *TrafficType) { t.PoolLabels = 2 })
	label := func(server int, labels uint64) {
		r.at(r.now, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: server, Rank: uint32(server), Weight: 1, Labels: labels}}})
	}
	label(3, 2)
	for range 5 {
		op, e := r.arriveAt(r.now, 0, 2*time.Second)
		if len(e) != 1 || e[0].Kind != SendAttempt || e[0].Server != 3 {
			t.Fatalf("sent as %+v", e)
		}
		r.end(r.now, op, 0, Success)
	}
	label(3, 1)
	waits, e := r.arriveAt(r.now, 0, 2*time.Second)
	if len(e) != 0 {
		t.Errorf("with an empty pool: %+v", e)
	}
	if _, e = r.arriveAt(r.now, 2, 2*time.Second); !slices.Equal(kinds(e), []EffectKind{SendAttempt}) {
		t.Errorf("another type: %+v", e)
	}
	if e = r.at(r.now+300*ms, Input{Kind: TimerFired}); !slices.ContainsFunc(e, func(e Effect) bool { return e.Kind == Reject && e.Request == waits }) {
		t.Errorf("in the end: %+v", e)
	}
}

// A room lets so many have a hop out, the next goes when one ends, and a smaller limit lets the others end first.
func TestRoom(t *testing.T) {
	r := routed(t, 6, 0, func(*TrafficType) {})
	types := r.settings.TrafficTypes
	limit := func(n int) {
		r.at(r.now, Input{Kind: TrafficTypesChanged, TrafficTypes: types, LearnFrom: []int{0, 1, 2, 3}, RouteLimits: []int{0, n}})
	}
	arrive := func() []EffectKind {
		r.arrivals++
		return kinds(r.at(r.now, Input{Kind: RequestArrived, Request: r.arrivals - 1, TrafficType: 0, RouteLimit: 1, Timeout: 2 * time.Second}))
	}
	limit(3)
	var got []int
	for range 5 {
		got = append(got, len(arrive()))
	}
	if !slices.Equal(got, []int{1, 1, 1, 0, 0}) {
		t.Fatalf("sent at arrival: %v", got)
	}
	limit(2)
	for op, want := range []int{0, 1, 1} { // of three out one must end before the next of two may go
		if e := kinds(r.end(10*ms, op, 0, Success)); len(e) != want {
			t.Errorf("after %d: %v", op, e)
		}
	}
}

// Types change under way: what stays keeps its figures, what is new learns from what it is like, and is not bound to it.
func TestRetyped(t *testing.T) {
	r := routed(t, 6, 0, func(*TrafficType) {})
	for range 30 {
		op, _ := r.arriveAt(r.now, 0, 2*time.Second)
		r.end(r.now+30*ms, op, 0, Success)
	}
	held, _ := r.arriveAt(r.now, 0, 2*time.Second)
	types := slices.Clone(r.settings.TrafficTypes)
	short := types[0]
	short.MaxAttempts = 1
	types = append(types, short)
	learned := r.latency.typical[0]
	r.at(r.now, Input{Kind: TrafficTypesChanged, TrafficTypes: types, LearnFrom: []int{0, 1, 2, 3, 0}, RouteLimits: []int{0}})
	if r.latency.typical[0] != learned || r.latency.typical[4] != learned || r.latency.answers[4] != r.latency.answers[0] || len(r.admission.classes) != 10 {
		t.Errorf("learned %s, kept %s, passed on %s, order %v", learned, r.latency.typical[0], r.latency.typical[4], r.admission.classes)
	}
	fresh, _ := r.arriveAt(r.now, 4, 2*time.Second)
	for op, want := range map[int]EffectKind{held: SendAttempt, fresh: Reject} {
		if e := kinds(r.end(r.now+10*ms, op, 0, Failure)); !slices.Equal(e, []EffectKind{want}) {
			t.Errorf("operation %d then gets %v", op, e)
		}
	}
	order := slices.Clone(r.admission.classes)
	if slices.Sort(order); fmt.Sprint(order) != "[0 1 2 3 4 5 6 7 8 9]" {
		t.Errorf("order %v", r.admission.classes)
	}
}
