package policy

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"fernvane/policy/internal/failures"
)

// TestCostOfOneChange checks that the visits and allocations of a single endpoint change do not depend on the number
// of servers, except for the logarithmic cost of the rotation.
func TestCostOfOneChange(t *testing.T) {
	up := Endpoint{Zone: 1, Weight: 1, StartedAt: -time.Hour, HasStartTime: true}
	for name, change := range map[string]func(i int) []Endpoint{
		"replaced": func(i int) []Endpoint {
			endpoint := up
			endpoint.Server, endpoint.Rank, endpoint.IndexReused = i, uint32(i)*2654435761, true
			return []Endpoint{endpoint}
		},
		"drained and back": func(i int) []Endpoint {
			endpoint := up
			endpoint.Server, endpoint.Condition = i, Draining
			back := up
			back.Server = i
			return []Endpoint{endpoint, back}
		},
		"removed and back": func(i int) []Endpoint {
			endpoint := up
			endpoint.Server, endpoint.Condition = i, Removed
			back := up
			back.Server = i
			return []Endpoint{endpoint, back}
		},
	} {
		t.Run(name, func(t *testing.T) {
			const changes = 200
			cost := func(servers int) (elements int, allocs float64) {
				p := newLargePolicy(3, 0, servers)
				p.settings.UnlistedUsable = true
				var lists [changes][]Endpoint
				for i := range lists {
					lists[i] = change(i * 4)
				}
				var effects []Effect
				from, i := visits(p), 0
				allocs = testing.AllocsPerRun(changes-1, func() {
					effects = p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Incremental, Endpoints: lists[i]}, effects[:0])
					i++
				})
				return (visits(p) - from) / changes, allocs
			}
			few, fewAllocs := cost(1_000)
			many, manyAllocs := cost(20_000)
			if many > 2*few+8 || many > 16*bits.Len(20_000) { // the logarithm is 1.5 times as large
				t.Errorf("visits per change: got %d with 1,000 servers and %d with 20,000, want at most twice as many plus 8, and at most 16 log n", few, many)
			}
			if fewAllocs > 0 || manyAllocs > 0 { // copying any table would allocate
				t.Errorf("allocations per change: got %g with 1,000 servers and %g with 20,000, want 0", fewAllocs, manyAllocs)
			}
		})
	}
}

// TestCostOfFullList checks that a first full list and a repeated one together cost at most O(n log n) visits.
func TestCostOfFullList(t *testing.T) {
	cost := func(servers int) (elements int) {
		p := newLargePolicy(3, 0, servers)
		p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: largeList(servers)}, nil)
		return visits(p)
	}
	for _, servers := range []int{1_000, 20_000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			if got, most := cost(servers), 4*servers*bits.Len(uint(servers)); got > most {
				t.Errorf("got %d visits for %d servers, want at most %d", got, servers, most)
			}
		})
	}
}

// TestCountsMatchWalk checks that incremental counts and sets equal those of a walk over all servers.
func TestCountsMatchWalk(t *testing.T) {
	for _, unlistedUsable := range []bool{false, true} {
		t.Run(fmt.Sprintf("unlisted usable: %v", unlistedUsable), func(t *testing.T) {
			h := newHarness(t, 40, func(s *Settings) { s.UnlistedUsable = unlistedUsable }).fillSubset()
			for i := range 4_000 {
				h.now += 20 * ms
				scope, list := Incremental, []Endpoint{{Server: i * 7 % 40, Rank: uint32(i), Weight: 1, Condition: Condition(i % 3), IndexReused: i%31 == 0,
					Labels: uint64(i * 5 % 16)}}
				if i%50 == 49 {
					scope = Full
				}
				h.at(h.now, Input{Kind: EndpointsUpdated, Scope: scope, Endpoints: list})
				h.at(h.now, Input{Kind: TimerFired})
				id, _ := h.arriveAt(h.now, i%4, time.Second)
				if len(h.Policy.requests.all[id].attempts) > 0 {
					h.end(h.now, id, 0, Outcome(i%8))
				}
				checkCounts(t, h)
			}
		})
	}
}

// checkCounts compares the counts with those of a walk over all servers.
func checkCounts(t *testing.T, h *harness) {
	t.Helper()
	ready, listed, sum := 0, 0, time.Duration(0)
	var unlisted []int
	var labelled [64]int
	for s := range h.readiness.Len() {
		if h.readiness.Ready(s) {
			ready++
		}
		if h.readiness.Listed(s) {
			listed++
		}
		if h.readiness.Ready(s) && !h.readiness.Listed(s) {
			unlisted = append(unlisted, s)
		}
		if (h.outliers.ejections.EntryCount(s) > 0 || h.outliers.ejections.EjectedUntil(s, failures.AllTypes) > h.now) && !h.outliers.ejections.Active().Has(s) {
			t.Fatalf("server %d has entries or an ejection but is not in Active", s)
		}
		sum += h.latency.smoothed.At(s)
		for bit := range labelled {
			if h.readiness.Ready(s) && h.readiness.Labels(s)&(1<<bit) != 0 {
				labelled[bit]++
			}
		}
	}
	for bit, want := range labelled {
		if got := h.readiness.ReadyWithLabels(1 << bit); got != want {
			t.Fatalf("at %v: walk finds %d ready servers with label %d, count is %d", h.now, want, bit, got)
		}
	}
	if ready != h.readiness.ReadyCount() || listed != h.readiness.ListedCount() || sum != h.latency.smoothed.Sum() || !slices.Equal(unlisted, slices.Collect(h.readiness.ReadyUnlisted().All())) {
		t.Fatalf("at %v, walk and table: ready %d, %d; listed %d, %d; latency sum %v, %v; ready unlisted %v, %v", h.now,
			ready, h.readiness.ReadyCount(), listed, h.readiness.ListedCount(), sum, h.latency.smoothed.Sum(), unlisted, slices.Collect(h.readiness.ReadyUnlisted().All()))
	}
}

// TestCostOfTick checks that a tick visits no types, tenants or servers without recent traffic.
func TestCostOfTick(t *testing.T) {
	const types, tenants, servers, inUse = 10_000, 390_000, 20_000, 3
	p := newLargePolicy(types, tenants, servers)
	now := time.Duration(0)
	tick := func(times int) (visited int) {
		from := visits(p)
		for range times {
			now += 20 * ms
			p.Handle(now, &Input{Kind: TimerFired}, nil)
		}
		return visits(p) - from
	}
	tick(200) // fills the retry budgets
	if got := tick(50); got != 0 {
		t.Errorf("ticks without traffic: got %d visits, want 0", got)
	}
	for i := range inUse {
		p.Handle(now, &Input{Kind: RequestArrived, Request: i, TrafficType: i * 1_000, Tenant: i * 100_000, Timeout: time.Second}, nil)
		p.Handle(now+5*ms, &Input{Kind: AttemptEnded, Request: i, Outcome: Success, IsSettled: true}, nil)
	}
	if got := tick(1); got == 0 || got > 4*inUse { // tenants and servers once, types twice
		t.Errorf("tick: got %d visits for %d active elements of each table, want at least one, and at most 4 per element", got, inUse)
	}
	var effects []Effect
	if got := testing.AllocsPerRun(20, func() { effects = p.Handle(now, &Input{Kind: TimerFired}, effects[:0]) }); got > 0 {
		t.Errorf("got %g allocations per tick, want 0", got)
	}
	const marked, idle = 0.5, 7 // a tick would decay the marked value
	p.admission.arrivalRates[2*idle], p.attribution.types[2*idle].Total, p.attribution.servers.At(idle).Total, p.latency.unloaded[idle+1] = marked, marked, marked, 1
	tick(1)
	if p.admission.arrivalRates[2*idle] != marked || p.attribution.types[2*idle].Total != marked || p.attribution.servers.At(idle).Total != marked || p.latency.unloaded[idle+1] != 1 {
		t.Error("tick changed a type or a server without traffic")
	}
	for range 300 { // of one second each: after five minutes without traffic, entries are removed
		now += time.Second
		p.Handle(now, &Input{Kind: TimerFired}, nil)
	}
	if got := tick(10); got != 0 || p.quotaUsage.tenants.Len() != 0 || p.attribution.servers.Active().Len() != 0 || len(p.admission.classes) != 0 {
		t.Errorf("five minutes without traffic: got %d visits, %d tenants, %d servers and %d classes, want 0", got, p.quotaUsage.tenants.Len(), p.attribution.servers.Active().Len(), len(p.admission.classes))
	}
}
