package policy

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
	"fernvane/policy/internal/failures"
)

// visits is how many elements of the module's sets and steps of its rotation were come to.
func visits(p *Policy) int {
	sum := p.subset.rotation.Steps() + p.quotas.tenants.Visits()
	for _, s := range []*indexset.Set{&p.slowStart.servers, p.readiness.ReadyUnlisted(), &p.plan.assigned, p.outliers.ejections.Active(), p.attribution.servers.Active(), &p.admission.activeTypes} {
		sum += s.Visits()
	}
	return sum
}

// What one change costs does not grow with the fleet: a server replaced by another, one drained, one back, each by
// elements come to and by memory taken.
func TestOneChangeCostsWhatItTouches(t *testing.T) {
	up := Endpoint{Zone: 1, Weight: 1, StartedAt: -time.Hour, HasStartTime: true}
	for name, change := range map[string]func(i int) []Endpoint{
		"replaced": func(i int) []Endpoint {
			m := up
			m.Server, m.Rank, m.IndexReused = i, uint32(i)*2654435761, true
			return []Endpoint{m}
		},
		"drained and back": func(i int) []Endpoint {
			m := up
			m.Server, m.Condition = i, Draining
			back := up
			back.Server = i
			return []Endpoint{m, back}
		},
		"gone and back": func(i int) []Endpoint {
			m := up
			m.Server, m.Condition = i, Removed
			back := up
			back.Server = i
			return []Endpoint{m, back}
		},
	} {
		t.Run(name, func(t *testing.T) {
			const changes = 200
			cost := func(servers int) (elements int, allocs float64) {
				p := newFleet(3, 0, servers)
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
			if many > 2*few+8 || many > 16*bits.Len(20_000) { // by the logarithm: half as much again
				t.Errorf("%d elements among 1,000 servers, %d among 20,000", few, many)
			}
			if fewAllocs > 0 || manyAllocs > 0 { // a copy of anything would be one, whatever its size
				t.Errorf("%g allocations among 1,000 servers, %g among 20,000", fewAllocs, manyAllocs)
			}
		})
	}
}

// A whole list costs n log n at most: told anew, and first told.
func TestWholeListIsNotASquare(t *testing.T) {
	cost := func(servers int) (elements int) {
		p := newFleet(3, 0, servers)
		p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: fleetList(servers)}, nil)
		return visits(p)
	}
	for _, servers := range []int{1_000, 20_000} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			if got, most := cost(servers), 4*servers*bits.Len(uint(servers)); got > most {
				t.Errorf("%d elements for %d servers, at most %d", got, servers, most)
			}
		})
	}
}

// The counts and sets that stand for walks over all servers say what a walk would.
func TestCountsAreAsWalked(t *testing.T) {
	for _, only := range []bool{false, true} {
		t.Run(fmt.Sprintf("only draining binds: %v", only), func(t *testing.T) {
			r := newRig(t, 40, func(s *Settings) { s.UnlistedUsable = only }).takeAll()
			for i := range 4_000 {
				r.now += 20 * ms
				scope, list := Incremental, []Endpoint{{Server: i * 7 % 40, Rank: uint32(i), Weight: 1, Condition: Condition(i % 3), IndexReused: i%31 == 0,
					Labels: uint64(i * 5 % 16)}}
				if i%50 == 49 {
					scope = Full
				}
				r.at(r.now, Input{Kind: EndpointsUpdated, Scope: scope, Endpoints: list})
				r.at(r.now, Input{Kind: TimerFired})
				op, _ := r.arriveAt(r.now, i%4, time.Second)
				if len(r.Policy.requests.all[op].attempts) > 0 {
					r.end(r.now, op, 0, Outcome(i%8))
				}
				walked(t, r)
			}
		})
	}
}

func walked(t *testing.T, r *rig) {
	t.Helper()
	ready, listed, sum := 0, 0, time.Duration(0)
	var dropped []int
	var labelled [64]int
	for s := range r.readiness.Len() {
		if r.readiness.Ready(s) {
			ready++
		}
		if r.readiness.Listed(s) {
			listed++
		}
		if r.readiness.Ready(s) && !r.readiness.Listed(s) {
			dropped = append(dropped, s)
		}
		if (r.outliers.ejections.EntryCount(s) > 0 || r.outliers.ejections.EjectedUntil(s, failures.AllTypes) > r.now) && !r.outliers.ejections.Active().Has(s) {
			t.Fatalf("server %d has troubles that no walk comes to", s)
		}
		sum += r.latency.smoothed.At(s)
		for bit := range labelled {
			if r.readiness.Ready(s) && r.readiness.Labels(s)&(1<<bit) != 0 {
				labelled[bit]++
			}
		}
	}
	for bit, want := range labelled {
		if got := r.readiness.ReadyWithLabels(1 << bit); got != want {
			t.Fatalf("at %v: %d with label %d, counted %d", r.now, want, bit, got)
		}
	}
	if ready != r.readiness.ReadyCount() || listed != r.readiness.ListedCount() || sum != r.latency.smoothed.Sum() || !slices.Equal(dropped, slices.Collect(r.readiness.ReadyUnlisted().All())) {
		t.Fatalf("at %v: %d ready, counted %d; %d listed, counted %d; sum %v, kept %v; dropped %v, kept %v", r.now,
			ready, r.readiness.ReadyCount(), listed, r.readiness.ListedCount(), sum, r.latency.smoothed.Sum(), dropped, slices.Collect(r.readiness.ReadyUnlisted().All()))
	}
}

// A tick costs what is in use: nothing of types, tenants and servers without traffic lately, however many there are, and
// what had traffic is let go of when it has had none for long.
func TestTickCostsWhatIsInUse(t *testing.T) {
	const types, tenants, servers, inUse = 10_000, 390_000, 20_000, 3
	p := newFleet(types, tenants, servers)
	now := time.Duration(0)
	tick := func(times int) (visited int) {
		from := visits(p)
		for range times {
			now += 20 * ms
			p.Handle(now, &Input{Kind: TimerFired}, nil)
		}
		return visits(p) - from
	}
	tick(200) // budgets of retries are full now
	if got := tick(50); got != 0 {
		t.Errorf("%d elements come to where nothing has had traffic", got)
	}
	for i := range inUse {
		p.Handle(now, &Input{Kind: RequestArrived, Request: i, TrafficType: i * 1_000, Tenant: i * 100_000, Timeout: time.Second}, nil)
		p.Handle(now+5*ms, &Input{Kind: AttemptEnded, Request: i, Outcome: Success, ClientAnswered: true}, nil)
	}
	if got := tick(1); got == 0 || got > 4*inUse { // tenants, servers, types twice
		t.Errorf("%d elements come to for %d in use", got, inUse)
	}
	var effects []Effect
	if got := testing.AllocsPerRun(20, func() { effects = p.Handle(now, &Input{Kind: TimerFired}, effects[:0]) }); got > 0 {
		t.Errorf("%g allocations a tick", got)
	}
	const marked, idle = 0.5, 7 // what a tick walks, it fades
	p.admission.arrivalRates[2*idle], p.attribution.types[2*idle].Total, p.attribution.servers.At(idle).Total, p.latency.unloaded[idle+1] = marked, marked, marked, 1
	tick(1)
	if p.admission.arrivalRates[2*idle] != marked || p.attribution.types[2*idle].Total != marked || p.attribution.servers.At(idle).Total != marked || p.latency.unloaded[idle+1] != 1 {
		t.Error("a tick comes to a type or a server without traffic")
	}
	for range 300 { // a second each: what has had no traffic for five minutes is let go of
		now += time.Second
		p.Handle(now, &Input{Kind: TimerFired}, nil)
	}
	if got := tick(10); got != 0 || p.quotas.tenants.Len() != 0 || p.attribution.servers.Active().Len() != 0 || len(p.admission.classes) != 0 {
		t.Errorf("%d elements come to long after, %d tenants, %d servers, %d buckets held", got, p.quotas.tenants.Len(), p.attribution.servers.Active().Len(), len(p.admission.classes))
	}
}

// A type that has been idle is denied as it would have been, had each tick worked out its share.
func TestIdleTypeIsDeniedAsOthersAre(t *testing.T) {
	for name, c := range map[string]struct {
		revenue float64
		want    float64
	}{
		"the cheapest":       {0.05, defaultMaxShedShare},
		"dearer than others": {50, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4, func(s *Settings) {
				s.TrafficTypes = append(s.TrafficTypes, s.TrafficTypes[0])
				s.TrafficTypes[4].PriorityWeight = c.revenue
			})
			r.admission.activeTypes.Remove(4)
			for b := range r.admission.arrivalRates[:8] {
				r.admission.arrivalRates[b] = 10
			}
			r.admission.admitted, r.admission.saturated, r.now = 0.7, 1, time.Second
			r.adjustAdmission(100 * ms)
			if len(r.admission.classes) != 8 {
				t.Fatalf("order %v", r.admission.classes)
			}
			r.activateType(4)
			if got := r.admission.rejectShare[8]; got != c.want || len(r.admission.classes) != 10 {
				t.Errorf("share %g, want %g; order %v", got, c.want, r.admission.classes)
			}
		})
	}
}

// Allowances change while running: the sum goes with them, more tenants than at the start are known, the settings that
// the module was given stay as they are, and what a watcher asks goes by those that hold.
func TestAllowancesChange(t *testing.T) {
	for name, c := range map[string]struct {
		changed []Quota
		tenant  int
		beyond  bool // after ten arrivals in a second and a half
	}{
		"none":                          {nil, 0, true},
		"raised":                        {[]Quota{{0, 100}}, 0, false},
		"another's raised":              {[]Quota{{1, 100}}, 0, true},
		"a new tenant's":                {[]Quota{{5, 100}}, 5, false},
		"a new tenant with little":      {[]Quota{{5, 1}}, 5, true},
		"a tenant that is not known":    {[]Quota{{5, 1}}, 9, false},
		"raised, and lowered in one":    {[]Quota{{0, 100}, {0, 1}}, 0, true},
		"a new tenant, then known none": {[]Quota{{5, 1}}, 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			given := []float64{1, 1}
			r := newRig(t, 2, func(s *Settings) { s.NodeCount, s.TenantQuotas = 1, given })
			r.at(0, Input{Kind: QuotasChanged, Quotas: c.changed})
			beyond := false
			for i := range 10 {
				now := time.Duration(i) * 150 * ms
				in := Input{Kind: RequestArrived, Request: i, Tenant: c.tenant, Timeout: time.Second}
				set := r.settings
				set.TenantQuotas = given
				asked := r.WhatIf(&set, now, &in, nil)
				if got := r.at(now, in); len(c.changed) > 0 && !slices.Equal(asked, got) {
					t.Errorf("a watcher has %v, the module decides %v", asked, got)
				}
				beyond = beyond || r.Policy.requests.all[i].class == 1
			}
			if beyond != c.beyond {
				t.Errorf("beyond its share: %v", beyond)
			}
			if got := columns.Sum(r.settings.TenantQuotas); got != r.quotas.total || !slices.Equal(given, []float64{1, 1}) {
				t.Errorf("the sum is %g, kept %g; given %v", got, r.quotas.total, given)
			}
		})
	}
}

// A request for a pool of which all servers are taken in walks no others in search of one more.
func TestSmallPoolCostsNoWalkOfAllServers(t *testing.T) {
	const servers, pooled, label = 20_000, 5, 1 << 9
	p := New(fleetSettings(1, 0), 7)
	p.settings.TrafficTypes[0].PoolLabels = label
	p.Handle(0, &Input{Kind: TimerFired}, nil)
	list := fleetList(servers)
	for i := range pooled {
		list[i*1_000].Labels = label | 1
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Scope: Full, Endpoints: list}, nil)
	for op := range 2 * pooled { // the first ones take them in
		p.Handle(0, &Input{Kind: RequestArrived, Request: op, Timeout: time.Second}, nil)
	}
	if len(p.subset.members) != pooled || p.readiness.ReadyWithLabels(label) != pooled {
		t.Fatalf("%d of %d taken in, counted %d", len(p.subset.members), pooled, p.readiness.ReadyWithLabels(label))
	}
	from := p.subset.rotation.Steps()
	effects := p.Handle(0, &Input{Kind: RequestArrived, Request: 2 * pooled, Timeout: time.Second}, nil)
	if got := p.subset.rotation.Steps() - from; got != 0 || len(effects) != 1 || effects[0].Kind != SendAttempt {
		t.Errorf("%d steps of the rotation; %v", got, effects)
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 7, Rank: list[7].Rank, Labels: label, StartedAt: -time.Hour, HasStartTime: true}}}, nil)
	if p.Handle(0, &Input{Kind: RequestArrived, Request: 2*pooled + 1, Timeout: time.Second}, nil); !p.subset.contains[7] {
		t.Error("one that has come to the pool is not taken in")
	}
	p.Handle(0, &Input{Kind: EndpointsUpdated, Endpoints: []Endpoint{{Server: 7, Condition: Draining, Labels: label}}}, nil)
	if p.readiness.ReadyWithLabels(label) != pooled || !p.isAllInSubset(&TrafficType{PoolLabels: label}) {
		t.Errorf("counted %d of the pool", p.readiness.ReadyWithLabels(label))
	}
}
