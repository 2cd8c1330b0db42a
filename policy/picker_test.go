package policy

import (
	"slices"
	"testing"
	"time"
)

func TestPickServer(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		forecast, interval [3]time.Duration
		inFlight           [3]int
		want               []int
	}{
		"round robin":                             {want: []int{0, 1, 2, 0}},
		"all in the subset: busy is not skipped":  {inFlight: [3]int{1, 1, 1}, want: []int{0, 1, 2, 0}},
		"a near pause is skipped":                 {forecast: [3]time.Duration{0, 12 * second, 0}, interval: [3]time.Duration{0, 20 * second, 0}, want: []int{0, 2, 0, 2}},
		"an overdue pause is skipped":             {forecast: [3]time.Duration{0, 8 * second, 0}, interval: [3]time.Duration{0, 20 * second, 0}, want: []int{0, 2, 0}},
		"the threshold is capped":                 {forecast: [3]time.Duration{0, 12 * second, 0}, interval: [3]time.Duration{0, 4 * second, 0}, want: []int{0, 1, 2}},
		"a long overdue pause is ignored":         {forecast: [3]time.Duration{0, 4 * second, 0}, interval: [3]time.Duration{0, 40 * second, 0}, want: []int{0, 1, 2}},
		"all skipped: plain round robin":          {forecast: [3]time.Duration{10 * second, 10 * second, 10 * second}, interval: [3]time.Duration{second, second, second}, want: []int{0, 1, 2, 0}},
		"more in flight than the mean is skipped": {inFlight: [3]int{0, 3, 0}, want: []int{0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, nil).fillSubset()
			h.concurrency.provenLimit, h.now = 1000, 10*second
			copy(h.Policy.pauses.next, c.forecast[:])
			copy(h.Policy.pauses.interval, c.interval[:])
			for s, n := range c.inFlight {
				h.Policy.load.inFlight[s], h.load.lastResponseAt[s] = n, h.now
				h.concurrency.inFlight += float64(n)
			}
			h.Policy.requests.all = append(h.Policy.requests.all, request{objectiveAt: 20 * second})
			for i, want := range c.want {
				if !h.canSend(0) || h.picked != want {
					t.Errorf("turn %d: got server %d, want %d", i, h.picked, want)
				}
			}
		})
	}
}

// TestTurnsFollowWeights checks that turns depend on listed weight and slowness, and that equal servers get equal
// turns.
func TestTurnsFollowWeights(t *testing.T) {
	for name, c := range map[string]struct {
		weight, slowness [3]float64
		want             [3]int // of 60 turns
	}{
		"equal":                 {[3]float64{1, 1, 1}, [3]float64{1, 1, 1}, [3]int{20, 20, 20}},
		"different weights":     {[3]float64{4, 1, 1}, [3]float64{1, 1, 1}, [3]int{30, 15, 15}},
		"one is slow":           {[3]float64{1, 1, 1}, [3]float64{1, 1, 2}, [3]int{24, 24, 12}},
		"all are slow":          {[3]float64{1, 1, 1}, [3]float64{3, 3, 3}, [3]int{20, 20, 20}},
		"large weight but slow": {[3]float64{4, 1, 1}, [3]float64{2, 1, 1}, [3]int{20, 20, 20}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 3, nil).fillSubset()
			copy(h.servers.listedWeight, c.weight[:])
			copy(h.latency.slowness, c.slowness[:])
			h.updateWeights()
			var got [3]int
			for range 60 {
				if !h.pickFromSubset(&request{}, 2) {
					t.Fatal("pickFromSubset: no server picked")
				}
				got[h.picked]++
			}
			for s := range got {
				if d := got[s] - c.want[s]; d < -1 || d > 1 {
					t.Errorf("got turns %v, want %v with a tolerance of 1", got, c.want)
				}
			}
		})
	}
}

// TestNodesAgreeOnServerOfKey checks that nodes send a key to the same server without exchanging messages, that turns
// stay even, and that keys have no effect if servers do not cache.
func TestNodesAgreeOnServerOfKey(t *testing.T) {
	const servers, each = 5, 40
	for name, c := range map[string]struct {
		caches bool
		keys   uint32
		same   float64 // least share, or without caching largest share, of requests that both nodes send to the same server
	}{
		"cached":       {true, 200, 0.45},
		"a single key": {true, 1, 0},
		"not cached":   {false, 200, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			var servedBy [2][]int // by node and request
			for node := range servedBy {
				h := newHarness(t, servers, func(s *Settings) { s.ServersCacheKeys, s.NodeIndex = c.caches, node }).fillSubset()
				h.picker.position, h.subset.peakInFlight, h.concurrency.provenLimit = 2*node, servers, 1000
				turns := make([]int, servers)
				for i := range uint32(servers * each) {
					h.arrivals++
					h.at(h.now, Input{Kind: RequestArrived, Request: h.arrivals - 1, Key: 1 + i%c.keys*7919, Timeout: time.Second})
					s := h.request(h.arrivals - 1).attempts[0].server
					servedBy[node] = append(servedBy[node], s)
					turns[s]++
					h.end(h.now, h.arrivals-1, 0, Success)
				}
				for s, n := range turns {
					if n < each-servers*maxTurnsAhead || n > each+servers*maxTurnsAhead {
						t.Errorf("server %d: got %d turns, want %d with a tolerance of servers*maxTurnsAhead; all: %v", s, n, each, turns)
					}
				}
			}
			same := 0.0
			for i := range servedBy[0] {
				if servedBy[0][i] == servedBy[1][i] {
					same += 1 / float64(len(servedBy[0]))
				}
			}
			if c.caches && same < c.same || !c.caches && same > c.same {
				t.Errorf("share of requests sent to the same server by both nodes: got %.2f", same)
			}
		})
	}
}

// TestRefusedConnections checks that busy servers get no requests while connections are refused, because attempts
// there would fail.
func TestRefusedConnections(t *testing.T) {
	type condition struct {
		refused     int  // recent attempts, all with a refused connection
		busy        int  // busy servers of four
		unreachable bool // the request's first attempt gets no connection
	}
	for name, c := range map[string]struct {
		condition
		want int // attempts sent immediately
		then int // attempts sent when a response makes a server idle
	}{
		"no refusals, all busy":                                 {condition{0, 4, false}, 1, 0},
		"one refusal, all busy":                                 {condition{1, 4, false}, 1, 0},
		"many refusals, one idle":                               {condition{20, 3, false}, 1, 0},
		"many refusals, all busy":                               {condition{20, 4, false}, 0, 1},
		"no refusals, first attempt unreachable":                {condition{0, 3, true}, 1, 0},
		"many refusals, first attempt unreachable":              {condition{20, 3, true}, 0, 1},
		"many refusals, first attempt unreachable, others idle": {condition{20, 1, true}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 4, nil).fillSubset()
			h.concurrency.provenLimit = 100
			for range c.busy {
				h.arriveAt(0, 0, time.Second)
			}
			for range c.refused {
				h.subset.refusedConnects.Observe(1, 2*attributionMemory)
			}
			id, got := h.arriveAt(10*ms, 0, time.Second)
			h.at(10*ms, Input{Kind: TimerFired})
			if c.unreachable {
				got = h.end(20*ms, id, 0, Unreachable)
			}
			if got := countSent(got); got != c.want {
				t.Fatalf("got %d attempts sent immediately", got)
			}
			if got := countSent(h.end(30*ms, 0, 0, Success)); got != c.then {
				t.Errorf("got %d attempts sent after a response", got)
			}
		})
	}
}

// TestRoutePool checks that requests of a route are sent to its pool, and that an empty pool does not block other types.
func TestRoutePool(t *testing.T) {
	h := newRouteHarness(t, 6, 0, func(t *TrafficType) { t.PoolLabels = 2 })
	label := func(server int, labels uint64) {
		h.at(h.now, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: server, Rank: uint32(server), Weight: 1, Labels: labels}}})
	}
	label(3, 2)
	for range 5 {
		id, e := h.arriveAt(h.now, 0, 2*time.Second)
		if len(e) != 1 || e[0].Kind != SendAttempt || e[0].Server != 3 {
			t.Fatalf("arrival: got effects %+v, want one SendAttempt to server 3", e)
		}
		h.end(h.now, id, 0, Success)
	}
	label(3, 1)
	queued, e := h.arriveAt(h.now, 0, 2*time.Second)
	if len(e) != 0 {
		t.Errorf("arrival with an empty pool: got effects %+v, want none", e)
	}
	if _, e = h.arriveAt(h.now, 2, 2*time.Second); !slices.Equal(effectKinds(e), []EffectKind{SendAttempt}) {
		t.Errorf("arrival of another type: got effects %+v, want one SendAttempt", e)
	}
	if e = h.at(h.now+300*ms, Input{Kind: TimerFired}); !slices.ContainsFunc(e, func(e Effect) bool { return e.Kind == Reject && e.Request == queued }) {
		t.Errorf("tick after 300 ms: got effects %+v, want a Reject of the queued request", e)
	}
}
