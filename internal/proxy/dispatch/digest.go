package dispatch

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/proxy/engine"
	"fernvane/policy"
)

// reportedTenants is how many tenants a report names at most, as many as a planner keeps: the busiest.
const reportedTenants = 4096

// digests are what a report to planners tells, gathered while there are planners.
type digests struct {
	on      bool
	since   time.Duration
	asked   []int // by type
	denied  []int
	tenants []int        // arrivals by tenant
	active  indexset.Set // tenants with arrivals
	servers map[string]*digest
}

type digest struct {
	answered []int // by type
	spent    []time.Duration
	timedOut int
	failed   int
}

// EnableReports has reports gathered from now on.
func (f *Dispatcher) EnableReports() {
	f.mu.Lock()
	defer f.unlock()
	f.digests.reset(f.now(), len(f.set.TypeNames))
	f.digests.on = true
	f.digests.grow(len(f.set.TenantNames))
}

func (d *digests) reset(now time.Duration, types int) {
	d.since, d.servers = now, map[string]*digest{}
	d.asked, d.denied = make([]int, types), make([]int, types)
	for tenant := range d.active.All() {
		d.tenants[tenant] = 0
		d.active.Remove(tenant)
	}
}

// grow makes room for tenants that have come to be known.
func (d *digests) grow(tenants int) {
	if d.on {
		columns.Extend(tenants, &d.tenants)
	}
}

func (d *digests) arrived(kind, tenant int) {
	if !d.on {
		return
	}
	if kind < len(d.asked) {
		d.asked[kind]++
	}
	if tenant < len(d.tenants) {
		d.tenants[tenant]++
		d.active.Add(tenant)
	}
}

func (d *digests) turnedAway(kind int) {
	if d.on && kind < len(d.denied) {
		d.denied[kind]++
	}
}

// ended books a hop's end. What says nothing of its server, or of the request alone, is left out.
func (d *digests) ended(server string, kind int, how AttemptResult, spent time.Duration) {
	if !d.on || kind >= len(d.asked) {
		return
	}
	s := d.servers[server]
	if s == nil {
		s = &digest{answered: make([]int, len(d.asked)), spent: make([]time.Duration, len(d.asked))}
		d.servers[server] = s
	}
	switch how.Outcome() {
	case policy.Success:
		s.answered[kind]++
		s.spent[kind] += spent
	case policy.TimedOut:
		s.timedOut++
	case policy.Failure, policy.Unreachable:
		s.failed++
	}
}

// Report is what has happened since the last one.
func (f *Dispatcher) Report() plan.Report {
	f.mu.Lock()
	defer f.unlock()
	now, d := f.now(), &f.digests
	r := plan.Report{SentAt: now, Interval: now - d.since, Settings: plan.ForwarderSettings{Nodes: f.set.NodeCount, SlowStartDuration: f.set.SlowStartDuration,
		InitialCapacity: f.set.SlowStartInitialCapacity, FallMultiple: f.set.CrashLoadFactor, TotalAllowance: f.allowances}}
	for _, o := range f.ops {
		r.InFlight += len(o.outs)
	}
	for k, name := range f.set.TypeNames {
		r.Types = append(r.Types, plan.TypeReport{Name: name, TargetTime: f.set.TrafficTypes[k].LatencyObjective, Requests: d.asked[k], Rejected: d.denied[k]})
	}
	r.Tenants = f.reportTenants()
	for id, s := range d.servers {
		told := plan.ServerReport{ID: id, TimedOut: s.timedOut, Failed: s.failed}
		for k, n := range s.answered {
			if n > 0 {
				told.Completions = append(told.Completions, plan.Completions{TypeIndex: k, Count: n, TotalLatency: s.spent[k]})
			}
		}
		r.Servers = append(r.Servers, told)
	}
	slices.SortFunc(r.Servers, func(a, b plan.ServerReport) int { return cmp.Compare(a.ID, b.ID) })
	d.reset(now, len(f.set.TypeNames))
	return r
}

// reportTenants tells of those tenants only that have an allowance and had traffic since the last report.
func (f *Dispatcher) reportTenants() (told []plan.TenantReport) {
	d := &f.digests
	for t := range d.active.All() {
		if allowance := f.set.TenantQuotas[t]; allowance > 0 {
			told = append(told, plan.TenantReport{Name: f.set.TenantNames[t], Allowance: allowance, Requests: d.tenants[t]})
		}
	}
	if len(told) <= reportedTenants {
		return told
	}
	slices.SortStableFunc(told, func(a, b plan.TenantReport) int { return cmp.Compare(b.Requests, a.Requests) })
	return told[:reportedTenants]
}

// Now is the fleet's clock, which Report tells.
func (f *Dispatcher) Now() time.Duration { return f.now() }

// tenantShares are the shares of operations within the allowance, by tenant, that the last plan tells. The module holds
// the slice, which changes only under the fleet's lock and before it is told of a plan.
type tenantShares struct {
	shares []float64
	named  []int // tenants that the last plan names
}

// follow takes over what a plan names, and costs no more than that: all other tenants are within their allowance.
// Tenants without an allowance have no share, as in the module.
func (t *tenantShares) follow(plan map[string]float64, tenants map[string]int, allowances []float64) []float64 {
	for _, tenant := range t.named {
		t.shares[tenant] = 1
	}
	t.named = t.named[:0]
	for len(t.shares) < len(allowances) {
		t.shares = append(t.shares, 1)
	}
	for name, share := range plan {
		if tenant, known := tenants[name]; known && allowances[tenant] > 0 {
			t.shares[tenant] = share
			t.named = append(t.named, tenant)
		}
	}
	return t.shares
}

// ApplyPlan has the module follow what a plan says. within is by tenant name; nil leaves tenants to the module.
func (f *Dispatcher) ApplyPlan(nodes int, admit float64, within map[string]float64, servers []plan.ServerShare) {
	f.mu.Lock()
	defer f.unlock()
	in := policy.Input{NodeCount: max(nodes, 1), MaxAdmittedShare: admit}
	if within != nil {
		in.WithinQuotaShares = f.within.follow(within, f.tenants, f.set.TenantQuotas)
	}
	most := 0.0
	for _, s := range servers {
		most = max(most, s.Share)
	}
	shares := make([]engine.Assignment[string], 0, len(servers))
	for _, s := range servers {
		line := policy.Assignment{Preference: s.Share / max(most, 1e-9), SlowStartRate: s.SlowStartRate, EjectFor: s.EjectionRemaining}
		if s.IsAvoided {
			line.Preference = -1
		}
		shares = append(shares, engine.Assignment[string]{Server: s.ID, Info: line})
	}
	f.door.PlanChanged(f.now(), in, shares, (*hands)(f))
}
