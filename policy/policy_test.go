package policy

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

const ms = time.Millisecond

// rig drives one instance with the clock in its hand.
type rig struct {
	*Policy
	t        *testing.T
	arrivals int
}

func newRig(t *testing.T, servers int, change func(*Settings)) *rig {
	t.Helper()
	s := Settings{NodeCount: 4, TimerGranularity: 5 * ms, MaxAttempts: 4, SlowStartDuration: 8 * time.Second, SlowStartInitialCapacity: 0.3,
		CrashLoadFactor: 3, RequestEndpointsWithin: 10 * time.Second, OverQuotaWeightShare: 0.1, TrafficTypes: []TrafficType{
			{Idempotency: Idempotent, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 1},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeZone, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second,
				KeyRetention: time.Second, PriorityWeight: 5},
			{Idempotency: NonIdempotent, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second, PriorityWeight: 10},
			{Idempotency: IdempotentWithKey, KeyScope: KeyScopeAll, LatencyObjective: 400 * ms, ClientTimeout: 2 * time.Second,
				KeyRetention: time.Second, PriorityWeight: 5}}}
	if change != nil {
		change(&s)
	}
	r := &rig{Policy: New(s, 7), t: t}
	r.at(0, Input{Kind: TimerFired})
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{Server: i, Rank: uint32(i), Zone: i % 2, Cell: i / 2, Weight: 1})
	}
	r.at(0, Input{Kind: EndpointsUpdated, Scope: Cached, Endpoints: list})
	return r
}

// takeAll takes in every server, in the order of their indices.
func (r *rig) takeAll() *rig {
	for s := range r.readiness.Len() {
		if !r.subset.contains[s] {
			r.addToSubset(s)
			r.updateWeights()
		}
	}
	return r
}

func (r *rig) at(now time.Duration, in Input) []Effect { return r.Handle(now, &in, nil) }

func (r *rig) arriveAt(now time.Duration, kind int, budget time.Duration) (int, []Effect) {
	r.arrivals++
	return r.arrivals - 1, r.at(now, Input{Kind: RequestArrived, Request: r.arrivals - 1, TrafficType: kind, Timeout: budget})
}

func (r *rig) end(now time.Duration, op, hop int, how Outcome) []Effect {
	return r.at(now, Input{Kind: AttemptEnded, Request: op, Attempt: hop, Server: 0, Outcome: how, ClientAnswered: how == Success})
}

func kinds(effects []Effect) []EffectKind {
	var k []EffectKind
	for _, e := range effects {
		if e.Kind != SetTimer && e.Kind != Subscribe {
			k = append(k, e.Kind)
		}
	}
	return k
}

func TestForecast(t *testing.T) {
	for name, c := range map[string]struct {
		onsets       []float64
		want, spaces float64 // 0: no forecast
	}{
		"one onset forecasts nothing":     {[]float64{3}, 0, 0},
		"two onsets give the next":        {[]float64{3, 5}, 7, 2},
		"a steady pauser":                 {[]float64{1, 4, 7, 10}, 13, 3},
		"the window slides":               {[]float64{1, 2, 3, 13, 23, 33, 43}, 53, 10},
		"onsets at one time have no line": {[]float64{5, 5}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, nil)
			for _, at := range c.onsets {
				r.load.lastAnswerAt[0] = 0
				sent := time.Duration(at * float64(time.Second))
				r.now = sent + 300*ms
				r.recordPauseSample(0, sent, false)
				r.recordPauseSample(0, sent, true)
				r.recordPauseSample(0, sent, true)
				r.pauses.lastSpike[0] = min(r.pauses.lastSpike[0], sent)
			}
			if got := r.pauses.next[0].Seconds(); math.Abs(got-c.want) > 0.01 {
				t.Errorf("forecast %.2f, want %.2f", got, c.want)
			}
			if got := r.pauses.interval[0].Seconds(); c.want > 0 && math.Abs(got-c.spaces) > 0.01 {
				t.Errorf("interval %.2f, want %.2f", got, c.spaces)
			}
		})
	}
}

func TestPauseCounting(t *testing.T) {
	for name, c := range map[string]struct {
		spikes []bool
		gap    time.Duration
		want   int
	}{
		"one spike is no pause":       {[]bool{true, false, true}, 500 * ms, 0},
		"two in a row are one":        {[]bool{true, true}, 500 * ms, 1},
		"a long run is still one":     {[]bool{true, true, true, true}, 500 * ms, 1},
		"far runs are two":            {[]bool{true, true, false, true, true}, 500 * ms, 2},
		"runs close together merge":   {[]bool{true, true, false, true, true}, 10 * ms, 1},
		"three runs, the last merges": {[]bool{true, true, false, true, false, true, true}, 30 * ms, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, nil)
			r.latency.smoothed.Set(0, 100*ms)
			for i, is := range c.spikes {
				r.now = time.Second + time.Duration(i)*c.gap
				r.recordPauseSample(0, r.now, is)
			}
			if r.pauses.count[0] != c.want {
				t.Errorf("%d pauses, want %d", r.pauses.count[0], c.want)
			}
		})
	}
}

func TestWalk(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		forecast, interval [3]time.Duration
		inFlight           [3]int
		want               []int
	}{
		"round robin":                          {want: []int{0, 1, 2, 0}},
		"all taken in: busy is no skip":        {inFlight: [3]int{1, 1, 1}, want: []int{0, 1, 2, 0}},
		"a near pause is skipped":              {forecast: [3]time.Duration{0, 12 * second, 0}, interval: [3]time.Duration{0, 20 * second, 0}, want: []int{0, 2, 0, 2}},
		"an overdue pause is skipped":          {forecast: [3]time.Duration{0, 8 * second, 0}, interval: [3]time.Duration{0, 20 * second, 0}, want: []int{0, 2, 0}},
		"the threshold is capped":              {forecast: [3]time.Duration{0, 12 * second, 0}, interval: [3]time.Duration{0, 4 * second, 0}, want: []int{0, 1, 2}},
		"long overdue is fed again":            {forecast: [3]time.Duration{0, 4 * second, 0}, interval: [3]time.Duration{0, 40 * second, 0}, want: []int{0, 1, 2}},
		"all skipped: plain round robin":       {forecast: [3]time.Duration{10 * second, 10 * second, 10 * second}, interval: [3]time.Duration{second, second, second}, want: []int{0, 1, 2, 0}},
		"one with more in flight is passed by": {inFlight: [3]int{0, 3, 0}, want: []int{0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, nil).takeAll()
			r.concurrency.grown, r.now = 1000, 10*second
			copy(r.Policy.pauses.next, c.forecast[:])
			copy(r.Policy.pauses.interval, c.interval[:])
			for s, n := range c.inFlight {
				r.Policy.load.inFlight[s], r.load.lastAnswerAt[s] = n, r.now
				r.concurrency.inFlight += float64(n)
			}
			r.Policy.requests.all = append(r.Policy.requests.all, request{objectiveAt: 20 * second})
			for i, want := range c.want {
				if !r.canSend(0) || r.picked != want {
					t.Errorf("turn %d went to %d, want %d", i, r.picked, want)
				}
			}
		})
	}
}

func TestTakesInServersAsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		servers, out int // hops held out at once
		resting      bool
		want         int
	}{
		"one at a time":         {10, 1, false, 1},
		"all busy: one more":    {10, 4, false, 4},
		"no more than there is": {3, 8, false, 3},
		"one server alone":      {1, 3, false, 1},
		"for a resting one":     {10, 1, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.servers, nil)
			r.concurrency.grown = 1000
			for range c.out {
				if _, got := r.arriveAt(time.Second, 0, time.Second); len(got) != 1 {
					t.Fatalf("not sent: %v", got)
				}
				if c.resting {
					r.end(time.Second, r.arrivals-1, 0, Success)
					r.outliers.ejections.SetEjectedUntil(r.subset.members[0], failures.AllTypes, 2*time.Second)
					r.arriveAt(time.Second, 0, time.Second)
				}
			}
			if len(r.subset.members) != c.want {
				t.Errorf("%d taken in, want %d", len(r.subset.members), c.want)
			}
		})
	}
}

func TestLetsGoTheSlowest(t *testing.T) {
	r := newRig(t, 6, nil).takeAll()
	r.latency.slowness[3] = 2
	r.at(100*ms, Input{Kind: TimerFired})
	if r.subset.contains[3] || len(r.subset.members) != 5 {
		t.Errorf("kept %v", r.subset.members)
	}
	for now := 200 * ms; now < time.Second; now += 20 * ms {
		r.at(now, Input{Kind: TimerFired})
	}
	if len(r.subset.members) != subsetSlack {
		t.Errorf("%d taken in with nothing to do", len(r.subset.members))
	}
	r.takeAll()
	r.concurrency.successRate = 6 * judgingAnswersPerSecond // enough to judge all six
	r.shrinkSubset(20 * ms)
	if len(r.subset.members) != 6 {
		t.Errorf("%d left of six that are all judged", len(r.subset.members))
	}
}

func TestNodesTogetherComeOutEven(t *testing.T) {
	const nodes, servers = 50, 20
	met := make([]int, servers)
	for me := range nodes {
		r := newRig(t, servers, func(s *Settings) { s.NodeCount, s.NodeIndex, s.Zone = nodes, me, me%2 })
		r.arriveAt(0, 0, time.Second)
		if met[r.subset.members[0]]++; r.subset.members[0]%2 != me%2 {
			t.Errorf("node %d starts at another location", me)
		}
	}
	for s, n := range met {
		if n < 1 || n > 4 { // 2.5 in the mean; by chance alone some would be met by none
			t.Errorf("server %d is met by %d nodes", s, n)
		}
	}
}

func TestNewServerStartsAtTheOthersMean(t *testing.T) {
	r := newRig(t, 2, nil)
	r.latency.smoothed.Set(0, 100*ms)
	r.latency.smoothed.Set(1, 300*ms)
	r.at(time.Second, Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: []Endpoint{{Server: 2, Weight: 1}}})
	if r.latency.smoothed.At(2) != 200*ms {
		t.Errorf("starts at %v", r.latency.smoothed.At(2))
	}
}

func TestOutcomes(t *testing.T) {
	const retriable, fingerZone, binding, fingerAll = 0, 1, 2, 3
	for name, c := range map[string]struct {
		kind    int
		outcome Outcome
		after   time.Duration
		change  func(*Settings)
		want    []EffectKind
	}{
		"handled":                                {retriable, Success, 50 * ms, nil, nil},
		"retriable error goes again":             {retriable, Failure, 50 * ms, nil, []EffectKind{SendAttempt}},
		"retriable time-out at target is denied": {retriable, TimedOut, 390 * ms, nil, []EffectKind{Reject}},
		"fingerprinted error goes again":         {fingerZone, Failure, 50 * ms, nil, []EffectKind{SendAttempt}},
		"fingerprinted may have run, group zone": {fingerZone, TimedOut, 390 * ms, nil, []EffectKind{Fail}},
		"fingerprinted may have run, group all":  {fingerAll, TimedOut, 390 * ms, nil, []EffectKind{Reject}},
		"fingerprinted past its window":          {fingerAll, ConnectionBroken, 60 * ms, func(s *Settings) { s.TrafficTypes[3].KeyRetention = 50 * ms }, []EffectKind{Reject}},
		"binding error is written off":           {binding, Failure, 50 * ms, nil, []EffectKind{Fail}},
		"binding broken is written off":          {binding, ConnectionBroken, 50 * ms, nil, []EffectKind{Fail}},
		"binding recalled may have run":          {binding, Canceled, 50 * ms, nil, []EffectKind{Fail}},
		"binding refused goes again":             {binding, Overloaded, 50 * ms, nil, []EffectKind{SendAttempt}},
		"binding unreachable goes again":         {binding, Unreachable, 50 * ms, nil, []EffectKind{SendAttempt}},
		"binding never sent, too late: denied":   {binding, NotStarted, 390 * ms, nil, []EffectKind{Reject}},
		"no hop left, never ran: denied":         {binding, Overloaded, 50 * ms, func(s *Settings) { s.MaxAttempts = 1 }, []EffectKind{Reject}},
		"no hop left, may have run":              {fingerZone, Failure, 50 * ms, func(s *Settings) { s.MaxAttempts = 1 }, []EffectKind{Fail}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4, c.change)
			op, sent := r.arriveAt(time.Second, c.kind, 2*time.Second)
			if len(sent) != 1 || sent[0].Kind != SendAttempt {
				t.Fatalf("not sent: %v", sent)
			}
			got := r.end(time.Second+c.after, op, 0, c.outcome)
			if !reflect.DeepEqual(kinds(got), c.want) {
				t.Fatalf("got %v, want %v", kinds(got), c.want)
			}
			for _, e := range got {
				if e.Kind == SendAttempt && c.kind == fingerZone && r.servers.zone[e.Server] != r.servers.zone[sent[0].Server] {
					t.Errorf("left the group: server %d after %d", e.Server, sent[0].Server)
				}
			}
			if late := r.end(time.Second+c.after, op, 0, Success); len(kinds(late)) > 0 {
				t.Errorf("a verdict after the end did %v", late)
			}
		})
	}
}

func TestGroupAndWindowOfFingerprinted(t *testing.T) {
	for name, c := range map[string]struct {
		group  KeyScope
		first  Outcome // of the first hop, 50 ms after it is sent
		window time.Duration
		want   []EffectKind // after an error on the second hop, 40 ms later
		same   bool         // second and third hop in one group
	}{
		"cell":                                {KeyScopeCell, Failure, time.Second, []EffectKind{Fail}, true},
		"zone":                                {KeyScopeZone, Failure, time.Second, []EffectKind{SendAttempt}, true},
		"all":                                 {KeyScopeAll, Failure, time.Second, []EffectKind{SendAttempt}, false},
		"window counts from the first send":   {KeyScopeAll, Failure, 80 * ms, []EffectKind{Reject}, false},
		"a hop that never ran does not count": {KeyScopeAll, Unreachable, 80 * ms, []EffectKind{SendAttempt}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 8, func(s *Settings) { s.TrafficTypes[1].KeyScope, s.TrafficTypes[1].KeyRetention = c.group, c.window })
			if c.group == KeyScopeCell { // two a cell: a third hop finds only those it has tried, resting
				for s := range r.readiness.Len() {
					r.readiness.SetReady(s, s < 2)
				}
			}
			op, _ := r.arriveAt(time.Second, 1, 2*time.Second)
			second := r.end(time.Second+50*ms, op, 0, c.first)
			if len(second) != 1 || second[0].Kind != SendAttempt {
				t.Fatalf("no second hop: %v", second)
			}
			if c.group == KeyScopeCell {
				r.readiness.SetReady(0, false)
				r.readiness.SetReady(1, false)
				r.readiness.SetReady(4, true)
			}
			third := r.end(time.Second+90*ms, op, 1, Failure)
			if got := kinds(third); !reflect.DeepEqual(got, c.want) {
				t.Fatalf("got %v, want %v", got, c.want)
			}
			if c.same && third[0].Kind == SendAttempt && r.servers.zone[third[0].Server] != r.servers.zone[second[0].Server] {
				t.Error("left the group")
			}
		})
	}
}

func TestAnswersBeforeTheBudgetEnds(t *testing.T) {
	for name, c := range map[string]struct {
		servers, kind int
		budget        time.Duration
		want          EffectKind
	}{
		"no server, short budget":   {0, 0, 100 * ms, Reject},
		"no server, long budget":    {0, 2, 2 * time.Second, Reject},
		"never answered, binding":   {1, 2, 60 * ms, Fail},
		"never answered, may rerun": {1, 0, 60 * ms, Reject},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.servers, nil)
			_, got := r.arriveAt(0, c.kind, c.budget)
			answers := 0
			for now := 5 * ms; now <= c.budget; now += 5 * ms {
				got = append(got, r.at(now, Input{Kind: TimerFired})...)
			}
			for _, e := range got {
				if e.Kind == Reject || e.Kind == Fail {
					answers++
					if e.Kind != c.want {
						t.Errorf("answered %v", e.Kind)
					}
				}
			}
			if answers != 1 {
				t.Errorf("%d answers", answers)
			}
		})
	}
}

func TestList(t *testing.T) {
	up := func(s int) Endpoint { return Endpoint{Server: s, Weight: 1} }
	for name, c := range map[string]struct {
		in   Input
		want []bool
	}{
		"draining":             {Input{Scope: Incremental, Endpoints: []Endpoint{{Server: 1, Condition: Draining, Weight: 1}}}, []bool{true, false, true}},
		"removed":              {Input{Scope: Incremental, Endpoints: []Endpoint{{Server: 1, Condition: Removed, Weight: 1}}}, []bool{true, false, true}},
		"absent from a whole":  {Input{Scope: Full, Endpoints: []Endpoint{up(0), up(2)}}, []bool{true, false, true}},
		"a failure keeps all":  {Input{Scope: Unavailable}, []bool{true, true, true}},
		"an empty whole: none": {Input{Scope: Full}, []bool{false, false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, nil)
			c.in.Kind = EndpointsUpdated
			r.at(time.Second, c.in)
			var ready []bool
			for s := range r.readiness.Len() {
				ready = append(ready, r.readiness.Ready(s))
			}
			if !reflect.DeepEqual(ready, c.want) {
				t.Errorf("ready %v, want %v", ready, c.want)
			}
		})
	}
}

func TestAsksForTheListAgain(t *testing.T) {
	r := newRig(t, 1, func(s *Settings) { s.MustRequestEndpoints = true })
	r.at(0, Input{Kind: EndpointsUpdated, Scope: Unavailable})
	var asked []time.Duration
	for now := time.Duration(0); now < 30*time.Second; now += 20 * ms {
		for _, e := range r.at(now, Input{Kind: TimerFired}) {
			if e.Kind == Subscribe {
				asked = append(asked, now)
				r.at(now, Input{Kind: EndpointsUpdated, Scope: Unavailable})
			}
		}
	}
	if len(asked) < 6 || len(asked) > 20 {
		t.Fatalf("asked %d times", len(asked))
	}
	for i := 1; i < len(asked); i++ {
		if gap := asked[i] - asked[i-1]; gap > r.settings.RequestEndpointsWithin {
			t.Errorf("waited %v", gap)
		}
	}
	if first, last := asked[1]-asked[0], asked[len(asked)-1]-asked[len(asked)-2]; last < 2*first {
		t.Errorf("the wait does not grow: %v to %v", first, last)
	}
}

func TestColdServerGetsItsShareOnly(t *testing.T) {
	for name, c := range map[string]struct {
		member   Endpoint
		scope    UpdateScope
		most     int
		unbarred time.Duration
	}{
		"told start":       {Endpoint{Server: 2, Weight: 1, StartedAt: 9 * time.Second, HasStartTime: true}, Incremental, 20, 18 * time.Second},
		"first appearance": {Endpoint{Server: 2, Weight: 1}, Incremental, 20, 19 * time.Second},
		"started long ago": {Endpoint{Server: 2, Weight: 1, StartedAt: -60 * time.Second, HasStartTime: true}, Incremental, 1000, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, nil).takeAll()
			r.at(10*time.Second, Input{Kind: EndpointsUpdated, Scope: c.scope, Endpoints: []Endpoint{c.member}})
			sent := 0
			for now := 10 * time.Second; now < 12*time.Second; now += 10 * ms {
				op, got := r.arriveAt(now, 0, time.Second)
				for _, e := range append(got, r.at(now, Input{Kind: TimerFired})...) {
					if e.Kind == SendAttempt && e.Server == 2 {
						sent++
					}
				}
				r.end(now, op, 0, Success)
			}
			if sent > c.most || sent == 0 {
				t.Errorf("sent %d in two seconds, at most %d", sent, c.most)
			}
			r.at(c.unbarred, Input{Kind: TimerFired})
			if r.slowStart.servers.Has(2) {
				t.Error("still held for cold")
			}
		})
	}
}

func TestReturnAfterSilenceIsCold(t *testing.T) {
	for name, c := range map[string]struct {
		lost time.Duration
		cold bool
	}{
		"a short loss":           {500 * ms, false},
		"long enough to restart": {2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, nil)
			op, _ := r.arriveAt(time.Second, 0, time.Second)
			r.end(time.Second, op, 0, Unreachable)
			r.end(time.Second+c.lost, op, 1, Success) // it had been sent there again at once
			if r.slowStart.servers.Has(0) != c.cold {
				t.Errorf("cold: %v", r.slowStart.servers.Has(0))
			}
		})
	}
}

func TestWindow(t *testing.T) {
	for name, c := range map[string]struct{ nodes, servers, least, most int }{
		"few nodes":                        {4, 10, 8, 20},
		"a large group shares the servers": {40, 10, 1, 4},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.servers, func(s *Settings) { s.NodeCount = c.nodes })
			sent := 0
			for range 100 {
				_, got := r.arriveAt(0, 0, time.Second)
				sent += len(got)
			}
			if sent < c.least || sent > c.most {
				t.Errorf("%d hops out before any answer, want %d to %d", sent, c.least, c.most)
			}
		})
	}
}

func TestGivenUpHopsKeepTheirRoom(t *testing.T) {
	r := newRig(t, 2, nil).takeAll()
	op, _ := r.arriveAt(0, 2, time.Second)
	s := r.Policy.requests.all[op].attempts[0].server
	r.at(385*ms, Input{Kind: TimerFired})
	r.end(390*ms, op, 0, TimedOut)
	r.concurrency.inFlight = 1
	if !r.isCrowded(s) {
		t.Error("the server looks idle after a time-out")
	}
	r.Policy.requests.all[op].state = stateDone
	r.recordOutcome(s, &r.Policy.requests.all[op], 395*ms, Success)
	if r.load.abandoned[s] != 0 {
		t.Error("a later hop was answered, and the given-up one still counts")
	}
}

func TestStrainNarrowsTheWindow(t *testing.T) {
	r := newRig(t, 8, nil)
	r.concurrency.finished, r.concurrency.grown = 16, 40
	if r.concurrency.limit() != 40 {
		t.Errorf("window %.0f without strain", r.concurrency.limit())
	}
	for range 20 { // each takes three times as long as it may
		r.concurrency.adjust(3, 1)
	}
	if w := r.concurrency.limit(); w > 20/r.concurrency.latencyRatio || r.concurrency.latencyRatio < 1.5 {
		t.Errorf("window %.1f at strain %.1f", w, r.concurrency.latencyRatio)
	}
	r.concurrency.latencyRatio, r.concurrency.finished, r.concurrency.grown = 1e6, 0, 0 // as after a slowness that all share
	if _, got := r.arriveAt(0, 0, time.Second); len(got) != 1 || got[0].Kind != SendAttempt {
		t.Errorf("nothing is sent any more: %v", got)
	}
}

func TestCheaperDeniedMoreOften(t *testing.T) {
	r := newRig(t, 4, func(s *Settings) { s.TenantQuotas = []float64{1e6, 4} })
	for b := range r.admission.arrivalRates {
		r.admission.arrivalRates[b] = 10
	}
	r.admission.admitted, r.admission.saturated = 0.5, 1
	r.now = time.Second
	r.adjustAdmission(100 * ms)
	for i := 1; i < len(r.admission.classes); i++ {
		a, b := r.admission.classes[i-1], r.admission.classes[i]
		if r.admission.rejectShare[a] < r.admission.rejectShare[b] {
			t.Errorf("bucket %d at %.2f, dearer %d at %.2f", a, r.admission.rejectShare[a], b, r.admission.rejectShare[b])
		}
	}
	if r.admission.rejectShare[r.admission.classes[0]] == 0 || r.classWeight(1) >= r.classWeight(0) {
		t.Error("nothing denied, or beyond its share worth as much")
	}
}

func TestRefusalRestsTheServerForThatTypeOnly(t *testing.T) {
	r := newRig(t, 4, nil).takeAll()
	op, _ := r.arriveAt(time.Second, 0, time.Second)
	s := r.Policy.requests.all[op].attempts[0].server
	r.end(time.Second, op, 0, Overloaded)
	for kind, want := range []bool{true, false, false, false} {
		if got := r.isUnhealthy(s, &request{trafficType: kind}); got != want {
			t.Errorf("type %d: unwell %v", kind, got)
		}
	}
	r.at(time.Second+initialEjection, Input{Kind: TimerFired})
	if r.isUnhealthy(s, &request{trafficType: 0}) {
		t.Error("still resting")
	}
}

// A server may fail one type and answer the others; one that answers neither, and one whose single connection broke.
func TestFailuresOfOneType(t *testing.T) {
	type end struct {
		kind int
		how  Outcome
		old  bool // sent before the last one ended
	}
	a, b, q := end{kind: 2, how: TimedOut}, end{kind: 0, how: Success}, end{2, TimedOut, true}
	no := func(n int, how Outcome) (ends []end) {
		for range n {
			ends = append(ends, end{kind: 0, how: how})
		}
		return ends
	}
	for name, c := range map[string]struct {
		ends  []end
		want  []bool // unwell, by type
		trial bool   // is left to see
	}{
		"twice":                          {[]end{a, b, a, b}, []bool{false, false, false, false}, false},
		"again, the others answered":     {[]end{a, b, a, b, a, b}, []bool{false, false, true, false}, true},
		"and then answered":              {[]end{a, b, a, b, a, b, {kind: 2, how: Success}}, []bool{false, false, false, false}, false},
		"a queue of them":                {[]end{a, q, q, q, b}, []bool{false, false, false, false}, false},
		"all types":                      {[]end{a, {kind: 0, how: TimedOut}}, []bool{true, true, true, true}, false},
		"one connection refused":         {no(1, Unreachable), []bool{false, false, true, false}, false},
		"two refused":                    {no(2, Unreachable), []bool{true, true, true, true}, false},
		"one connection broke":           {no(1, ConnectionBroken), []bool{false, false, false, false}, false},
		"breaks all that it is sent":     {no(minSoftFailures, ConnectionBroken), []bool{true, true, true, true}, false},
		"breaks between answers":         {append(append(no(minSoftFailures-1, ConnectionBroken), b), no(1, ConnectionBroken)...), []bool{false, false, false, false}, false},
		"declined as clients erred":      {append(no(minSoftFailures-1, ClientError), b), []bool{false, false, false, false}, false},
		"declined again after an answer": {append(append(no(minSoftFailures-1, ClientError), b), no(1, ClientError)...), []bool{false, false, false, false}, false},
		"declines all that it is sent":   {no(minSoftFailures, ClientError), []bool{true, true, true, true}, false},
		"all but one declined":           {no(minSoftFailures-1, ClientError), []bool{false, false, false, false}, false},
		"turned two in a row away":       {[]end{{kind: 0, how: Overloaded}, {kind: 2, how: Overloaded}}, []bool{true, true, true, true}, false},
		"turned away, answered, again":   {[]end{{kind: 0, how: Overloaded}, b, {kind: 2, how: Overloaded}}, []bool{false, false, true, false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4, func(s *Settings) { s.ConnectTimeout = 250 * ms }).takeAll()
			r.now = time.Second
			for _, e := range c.ends {
				sent := r.now
				if r.now += 40 * ms; e.old {
					sent -= 400 * ms
				}
				r.recordOutcome(1, &request{trafficType: e.kind, objectiveAt: sent + 400*ms}, sent, e.how)
			}
			for kind, want := range c.want {
				if got := r.isUnhealthy(1, &request{trafficType: kind}); got != want {
					t.Errorf("type %d: unwell %v", kind, got)
				}
			}
			if !c.trial {
				return
			}
			if r.now += 2 * initialEjection; r.isUnhealthy(1, &request{trafficType: 2}) {
				t.Error("still resting")
			}
			r.Policy.requests.all = append(r.Policy.requests.all, request{trafficType: 2, objectiveAt: r.now + 400*ms})
			r.picked = 1
			if r.sendAttempt(len(r.Policy.requests.all) - 1); !r.isUnhealthy(1, &request{trafficType: 2}) || r.isUnhealthy(1, &request{trafficType: 0}) {
				t.Error("more than one on trial")
			}
		})
	}
}

// Nothing of a server that has gone is another's under its index.
func TestAnotherUnderTheSameIndex(t *testing.T) {
	r := newRig(t, 3, nil).takeAll()
	untouched := newRig(t, 3, nil).takeAll()
	for _, how := range []Outcome{TimedOut, ConnectionBroken, Unreachable, Overloaded, Success, TimedOut, ClientError} {
		r.now += 100 * ms
		r.recordOutcome(1, &request{trafficType: 2}, r.now-90*ms, how)
	}
	r.startSlowStart(1, r.now)
	r.at(time.Second, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 1, Rank: 1, Condition: Removed}}})
	r.at(time.Second, Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 1, IndexReused: true, Rank: 9, Cell: 5, Weight: 1, StartedAt: -time.Minute, HasStartTime: true}}})
	for kind := range r.settings.TrafficTypes {
		if r.isUnhealthy(1, &request{trafficType: kind}) {
			t.Errorf("type %d: unwell", kind)
		}
	}
	if r.slowStart.servers.Has(1) || r.latency.slowness[1] != 1 || r.pauses.count[1] != 0 || r.servers.cell[1] != 5 || !r.readiness.Ready(1) || r.outliers.soft[1] != 0 {
		t.Error("something is left of the one before")
	}
	if want := []int{0, 2, 1}; !slices.Equal(slices.Collect(r.subset.rotation.From(0)), want) || r.readiness.Len() != untouched.readiness.Len() {
		t.Errorf("rotation %v", slices.Collect(r.subset.rotation.From(0)))
	}
}

func TestTenantsShareAtOneNode(t *testing.T) {
	for name, c := range map[string]struct {
		rates  []float64 // of two tenants with ten a second each over all nodes
		nodes  int
		beyond bool // the first
	}{
		"within its share":                     {[]float64{4, 5}, 2, false},
		"beyond it":                            {[]float64{9, 5}, 2, true},
		"beyond it, all others as far":         {[]float64{9, 10}, 2, false},
		"far beyond, others beyond too":        {[]float64{30, 10}, 2, true},
		"one arrival at one node among many":   {[]float64{0.33, 0.1}, 50, false},
		"many arrivals at one node among many": {[]float64{3, 0.1}, 50, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, func(s *Settings) { s.NodeCount, s.TenantQuotas = c.nodes, []float64{10, 10} })
			for tenant, rate := range c.rates {
				r.quotas.tenants.RecordArrival(tenant, rate)
			}
			if got := r.quotas.tenants.ArrivalRate(0) > r.fairShare(0); got != c.beyond {
				t.Errorf("beyond %v: %.2f of %.2f", got, r.quotas.tenants.ArrivalRate(0), r.fairShare(0))
			}
		})
	}
}

func TestFailingServerRests(t *testing.T) {
	for name, c := range map[string]struct {
		failing, ready, want int
	}{
		"one of four rests":        {1, 4, 1},
		"never more than the half": {4, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, c.ready, nil)
			r.now = time.Second
			for s := range c.failing {
				r.recordFailure(s, 1)
			}
			resting := 0
			for s := range r.readiness.Len() {
				until := r.outliers.ejections.EjectedUntil(s, failures.AllTypes)
				if until > r.now {
					resting++
				}
			}
			if resting != c.want {
				t.Errorf("%d rest, want %d", resting, c.want)
			}
		})
	}
}

func TestSameInputsSameEffects(t *testing.T) {
	run := func() (all []Effect) {
		r := newRig(t, 5, nil)
		for i := range 400 {
			now := time.Duration(i) * 7 * ms
			op, got := r.arriveAt(now, i%4, time.Second)
			all = append(append(all, got...), r.at(now, Input{Kind: TimerFired})...)
			if i%3 > 0 {
				all = append(all, r.end(now+5*ms, op, 0, Outcome(i%8))...)
			}
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs differ")
	}
}

// A late answer that still earns something is waited for: a hop ends at the target time only where nothing is left to earn.
func TestHopsRunOnForLateRevenue(t *testing.T) {
	for name, c := range map[string]struct{ late, want float64 }{
		"late answers earn nothing": {0, 0.39}, "late answers earn a share": {0.5, 1.5},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, func(s *Settings) { s.TrafficTypes[2].LateWeightShare = c.late })
			op, got := r.arriveAt(time.Second, 2, 1500*ms)
			if len(got) != 1 || math.Abs(got[0].Duration.Seconds()-c.want) > 0.001 {
				t.Fatalf("sent %+v, want %.2f s", got, c.want)
			}
			if c.late > 0 {
				if late := kinds(r.end(2*time.Second, op, 0, Success)); len(late) > 0 {
					t.Errorf("a late answer did %v", late)
				}
			}
		})
	}
}

// A denied client that can only come back here is told a time within which it can still be served; else the longest.
func TestDeniedClientsReturnInTime(t *testing.T) {
	for name, c := range map[string]struct {
		past, usual time.Duration // of the operation's target time, and the type's latency
		least, most time.Duration
	}{
		"time is left":   {0, 50 * ms, 80 * ms, 290 * ms},
		"none is left":   {350 * ms, 50 * ms, 900 * ms, time.Second},
		"it takes long":  {0, 300 * ms, 900 * ms, time.Second},
		"little is left": {250 * ms, 50 * ms, 10 * ms, 40 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, func(s *Settings) { s.MaxRetryAfter = time.Second })
			r.latency.typical[0], r.now, r.effects = c.usual, time.Second+c.past, nil
			r.Policy.requests.all = append(r.Policy.requests.all, request{objectiveAt: 1390 * ms, clientDeadline: 2 * time.Second})
			r.reject(0)
			if back := r.effects[0].Duration; back < c.least || back > c.most {
				t.Errorf("told to come back in %s", back)
			}
		})
	}
}

// Turns go by what the list says of a server and by how slow its answers are; equal servers take even turns.
func TestTurnsFollowWhatServersCanDo(t *testing.T) {
	for name, c := range map[string]struct {
		scale, slowness [3]float64
		want            [3]int // of 60 turns
	}{
		"equal":          {[3]float64{1, 1, 1}, [3]float64{1, 1, 1}, [3]int{20, 20, 20}},
		"sizes":          {[3]float64{4, 1, 1}, [3]float64{1, 1, 1}, [3]int{30, 15, 15}},
		"one is slow":    {[3]float64{1, 1, 1}, [3]float64{1, 1, 2}, [3]int{24, 24, 12}},
		"all are slow":   {[3]float64{1, 1, 1}, [3]float64{3, 3, 3}, [3]int{20, 20, 20}},
		"large but slow": {[3]float64{4, 1, 1}, [3]float64{2, 1, 1}, [3]int{20, 20, 20}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, nil).takeAll()
			copy(r.servers.listedWeight, c.scale[:])
			copy(r.latency.slowness, c.slowness[:])
			r.updateWeights()
			var got [3]int
			for range 60 {
				if !r.pickFromSubset(&request{}, 2) {
					t.Fatal("nobody's turn")
				}
				got[r.picked]++
			}
			for s := range got {
				if d := got[s] - c.want[s]; d < -1 || d > 1 {
					t.Errorf("turns %v, want %v", got, c.want)
				}
			}
		})
	}
}

// Nodes agree on who takes a key, without a word, and turns stay even; where servers remember no keys nothing changes.
func TestKeysMeetTheSameServer(t *testing.T) {
	const servers, each = 5, 40
	for name, c := range map[string]struct {
		warm bool
		keys uint32
		same float64 // at least, or else at most, of the operations with a key go where the other node sends it
	}{
		"remembered":     {true, 200, 0.45},
		"one key alone":  {true, 1, 0},
		"not remembered": {false, 200, 0.3},
	} {
		t.Run(name, func(t *testing.T) {
			var met [2][]int
			for me := range met {
				r := newRig(t, servers, func(s *Settings) { s.ServersCacheKeys, s.NodeIndex = c.warm, me }).takeAll()
				r.picker.position, r.subset.needed, r.concurrency.grown = 2*me, servers, 1000
				turns := make([]int, servers)
				for i := range uint32(servers * each) {
					r.arrivals++
					r.at(r.now, Input{Kind: RequestArrived, Request: r.arrivals - 1, Key: 1 + i%c.keys*7919, Timeout: time.Second})
					s := r.operation(r.arrivals - 1).attempts[0].server
					met[me] = append(met[me], s)
					turns[s]++
					r.end(r.now, r.arrivals-1, 0, Success)
				}
				for s, n := range turns {
					if n < each-servers*maxTurnsAhead || n > each+servers*maxTurnsAhead {
						t.Errorf("server %d had %d turns of %d: %v", s, n, each, turns)
					}
				}
			}
			same := 0.0
			for i := range met[0] {
				if met[0][i] == met[1][i] {
					same += 1 / float64(len(met[0]))
				}
			}
			if c.warm && same < c.same || !c.warm && same > c.same {
				t.Errorf("%.2f alike", same)
			}
		})
	}
}

// Hops that run on for late answers to silent servers must not have all else denied: they leave the window, once each.
func TestOverdueHopsLeaveTheWindow(t *testing.T) {
	for name, c := range map[string]struct {
		late float64
		want float64 // hops in the window once all are overdue
	}{"late answers earn": {0.5, 0}, "they do not": {0, 3}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 8, func(s *Settings) { s.TrafficTypes[2].LateWeightShare = c.late })
			r.concurrency.grown = 1000
			for range 3 {
				r.arriveAt(time.Second, 2, 2*time.Second)
			}
			r.concurrency.grown = 0
			for now := 1400 * ms; now < 1500*ms; now += 20 * ms {
				r.at(now, Input{Kind: TimerFired})
			}
			if r.concurrency.inFlight != c.want {
				t.Errorf("%g hops in the window", r.concurrency.inFlight)
			}
			for op := range 3 {
				r.end(1600*ms, op, 0, Success)
			}
			if r.concurrency.inFlight != 0 || r.load.inFlight[0] != 0 {
				t.Errorf("%g hops in the window when none is out", r.concurrency.inFlight)
			}
		})
	}
}
