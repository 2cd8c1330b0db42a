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
const maxReportedTenants = 4096

// digests are what a report to planners tells, gathered while there are planners.
type reportCollector struct {
	isEnabled      bool
	since          time.Duration
	arrivals       []int // by type
	rejected       []int
	tenantArrivals []int        // arrivals by tenant
	activeTenants  indexset.Set // tenants with arrivals
	servers        map[string]*serverReport
}

type serverReport struct {
	answered   []int // by type
	latencySum []time.Duration
	timedOut   int
	failed     int
}

// EnableReports has reports gathered from now on.
func (f *Dispatcher) EnableReports() {
	f.mu.Lock()
	defer f.unlock()
	f.report.reset(f.now(), len(f.settings.TypeNames))
	f.report.isEnabled = true
	f.report.grow(len(f.settings.TenantNames))
}

func (d *reportCollector) reset(now time.Duration, types int) {
	d.since, d.servers = now, map[string]*serverReport{}
	d.arrivals, d.rejected = make([]int, types), make([]int, types)
	for tenant := range d.activeTenants.All() {
		d.tenantArrivals[tenant] = 0
		d.activeTenants.Remove(tenant)
	}
}

// grow makes room for tenants that have come to be known.
func (d *reportCollector) grow(tenants int) {
	if d.isEnabled {
		columns.Extend(tenants, &d.tenantArrivals)
	}
}

func (d *reportCollector) recordArrival(kind, tenant int) {
	if !d.isEnabled {
		return
	}
	if kind < len(d.arrivals) {
		d.arrivals[kind]++
	}
	if tenant < len(d.tenantArrivals) {
		d.tenantArrivals[tenant]++
		d.activeTenants.Add(tenant)
	}
}

func (d *reportCollector) recordRejection(kind int) {
	if d.isEnabled && kind < len(d.rejected) {
		d.rejected[kind]++
	}
}

// ended books a hop's end. What says nothing of its server, or of the request alone, is left out.
func (d *reportCollector) recordAttempt(server string, kind int, how AttemptResult, spent time.Duration) {
	if !d.isEnabled || kind >= len(d.arrivals) {
		return
	}
	s := d.servers[server]
	if s == nil {
		s = &serverReport{answered: make([]int, len(d.arrivals)), latencySum: make([]time.Duration, len(d.arrivals))}
		d.servers[server] = s
	}
	switch how.Outcome() {
	case policy.Success:
		s.answered[kind]++
		s.latencySum[kind] += spent
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
	now, d := f.now(), &f.report
	r := plan.Report{SentAt: now, Interval: now - d.since, Settings: plan.ForwarderSettings{Nodes: f.settings.NodeCount, SlowStartDuration: f.settings.SlowStartDuration,
		InitialCapacity: f.settings.SlowStartInitialCapacity, FallMultiple: f.settings.CrashLoadFactor, TotalAllowance: f.quotaSum}}
	for _, o := range f.requests {
		r.InFlight += len(o.inFlight)
	}
	for k, name := range f.settings.TypeNames {
		r.Types = append(r.Types, plan.TypeReport{Name: name, TargetTime: f.settings.TrafficTypes[k].LatencyObjective, Requests: d.arrivals[k], Rejected: d.rejected[k]})
	}
	r.Tenants = f.reportTenants()
	for id, s := range d.servers {
		told := plan.ServerReport{ID: id, TimedOut: s.timedOut, Failed: s.failed}
		for k, n := range s.answered {
			if n > 0 {
				told.Completions = append(told.Completions, plan.Completions{TypeIndex: k, Count: n, TotalLatency: s.latencySum[k]})
			}
		}
		r.Servers = append(r.Servers, told)
	}
	slices.SortFunc(r.Servers, func(a, b plan.ServerReport) int { return cmp.Compare(a.ID, b.ID) })
	d.reset(now, len(f.settings.TypeNames))
	return r
}

// reportTenants tells of those tenants only that have an allowance and had traffic since the last report.
func (f *Dispatcher) reportTenants() (told []plan.TenantReport) {
	d := &f.report
	for t := range d.activeTenants.All() {
		if allowance := f.settings.TenantQuotas[t]; allowance > 0 {
			told = append(told, plan.TenantReport{Name: f.settings.TenantNames[t], Allowance: allowance, Requests: d.tenantArrivals[t]})
		}
	}
	if len(told) <= maxReportedTenants {
		return told
	}
	slices.SortStableFunc(told, func(a, b plan.TenantReport) int { return cmp.Compare(b.Requests, a.Requests) })
	return told[:maxReportedTenants]
}

// Now is the fleet's clock, which Report tells.
func (f *Dispatcher) Now() time.Duration { return f.now() }

// tenantShares are the shares of operations within the allowance, by tenant, that the last plan tells. The module holds
// the slice, which changes only under the fleet's lock and before it is told of a plan.
type planShares struct {
	shares    []float64
	lastNamed []int // tenants that the last plan names
}

// follow takes over what a plan names, and costs no more than that: all other tenants are within their allowance.
// Tenants without an allowance have no share, as in the module.
func (t *planShares) update(plan map[string]float64, tenants map[string]int, allowances []float64) []float64 {
	for _, tenant := range t.lastNamed {
		t.shares[tenant] = 1
	}
	t.lastNamed = t.lastNamed[:0]
	for len(t.shares) < len(allowances) {
		t.shares = append(t.shares, 1)
	}
	for name, share := range plan {
		if tenant, known := tenants[name]; known && allowances[tenant] > 0 {
			t.shares[tenant] = share
			t.lastNamed = append(t.lastNamed, tenant)
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
		in.WithinQuotaShares = f.planShares.update(within, f.tenants, f.settings.TenantQuotas)
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
	f.engine.PlanChanged(f.now(), in, shares, (*effectHandler)(f))
}
