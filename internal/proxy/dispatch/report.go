package dispatch

import (
	"cmp"
	"slices"
	"time"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
	"fernvane/internal/controlplane/plan"
	"fernvane/policy"
)

// maxReportedTenants is how many tenants a report names at most, the busiest ones. Planners keep as many.
const maxReportedTenants = 4096

// reportCollector gathers what the next report to planners says, once EnableReports has been called.
type reportCollector struct {
	isEnabled      bool
	since          time.Duration
	arrivals       []int // by traffic type
	rejected       []int // by traffic type
	tenantArrivals []int // by tenant
	activeTenants  indexset.Set
	servers        map[string]*serverReport
}

// serverReport is what attempts have shown about one server. It may be empty: see recordAttempt.
type serverReport struct {
	answered   []int           // by traffic type
	latencySum []time.Duration // of those
	timedOut   int
	failed     int
}

// EnableReports starts gathering for Report. It is called once, where there are planners.
func (d *Dispatcher) EnableReports() {
	d.mu.Lock()
	defer d.unlock()
	d.report.reset(d.now(), len(d.settings.TypeNames))
	d.report.isEnabled = true
	d.report.grow(len(d.settings.TenantNames))
}

// Report returns what has happened since the last call, for planners. Its times are those of Now.
func (d *Dispatcher) Report() plan.Report {
	d.mu.Lock()
	defer d.unlock()
	now := d.now()
	report := plan.Report{
		SentAt:   now,
		Interval: now - d.report.since,
		Settings: plan.ForwarderSettings{
			Nodes:             d.settings.NodeCount,
			SlowStartDuration: d.settings.SlowStartDuration,
			InitialCapacity:   d.settings.SlowStartInitialCapacity,
			CrashLoadFactor:   d.settings.CrashLoadFactor,
			TotalAllowance:    d.quotas.sum,
		},
		Types:   d.reportTypes(),
		Tenants: d.reportTenants(),
		Servers: d.report.serverReports(),
	}
	for _, r := range d.requests.byID {
		report.InFlight += len(r.inFlight)
	}
	d.report.reset(now, len(d.settings.TypeNames))
	return report
}

func (d *Dispatcher) reportTypes() (all []plan.TypeReport) {
	for i, name := range d.settings.TypeNames {
		all = append(all, plan.TypeReport{
			Name:       name,
			TargetTime: d.settings.TrafficTypes[i].LatencyObjective,
			Requests:   d.report.arrivals[i],
			Rejected:   d.report.rejected[i],
		})
	}
	return all
}

// reportTenants are the tenants that have a quota and had requests since the last report, at most maxReportedTenants.
func (d *Dispatcher) reportTenants() (all []plan.TenantReport) {
	for tenant := range d.report.activeTenants.All() {
		if quota := d.settings.TenantQuotas[tenant]; quota > 0 {
			all = append(all, plan.TenantReport{
				Name:      d.settings.TenantNames[tenant],
				Allowance: quota,
				Requests:  d.report.tenantArrivals[tenant],
			})
		}
	}
	if len(all) <= maxReportedTenants {
		return all
	}
	slices.SortStableFunc(all, func(a, b plan.TenantReport) int { return cmp.Compare(b.Requests, a.Requests) })
	return all[:maxReportedTenants]
}

func (c *reportCollector) reset(now time.Duration, types int) {
	c.since, c.servers = now, map[string]*serverReport{}
	c.arrivals, c.rejected = make([]int, types), make([]int, types)
	for tenant := range c.activeTenants.All() {
		c.tenantArrivals[tenant] = 0
		c.activeTenants.Remove(tenant)
	}
}

// grow extends the counts to so many tenants.
func (c *reportCollector) grow(tenants int) {
	if c.isEnabled {
		columns.Extend(tenants, &c.tenantArrivals)
	}
}

func (c *reportCollector) recordArrival(trafficType, tenant int) {
	if !c.isEnabled {
		return
	}
	if trafficType < len(c.arrivals) {
		c.arrivals[trafficType]++
	}
	if tenant < len(c.tenantArrivals) {
		c.tenantArrivals[tenant]++
		c.activeTenants.Add(tenant)
	}
}

func (c *reportCollector) recordRejection(trafficType int) {
	if c.isEnabled && trafficType < len(c.rejected) {
		c.rejected[trafficType]++
	}
}

// recordAttempt counts an attempt's result: a success, a timeout, or as failed an error response or a server that could not
// be reached. All other results (broken connections, refusals by a full server, faulty requests, attempts that did not
// start or were abandoned) only make the report name the server.
func (c *reportCollector) recordAttempt(server string, trafficType int, result AttemptResult, elapsed time.Duration) {
	if !c.isEnabled || trafficType >= len(c.arrivals) {
		return
	}
	s := c.servers[server]
	if s == nil {
		s = &serverReport{answered: make([]int, len(c.arrivals)), latencySum: make([]time.Duration, len(c.arrivals))}
		c.servers[server] = s
	}
	switch result.Outcome() {
	case policy.Success:
		s.answered[trafficType]++
		s.latencySum[trafficType] += elapsed
	case policy.TimedOut:
		s.timedOut++
	case policy.Failure, policy.Unreachable:
		s.failed++
	}
}

// serverReports are all servers with attempts, in the order of their IDs.
func (c *reportCollector) serverReports() (all []plan.ServerReport) {
	for id, s := range c.servers {
		report := plan.ServerReport{ID: id, TimedOut: s.timedOut, Failed: s.failed}
		for trafficType, count := range s.answered {
			if count > 0 {
				report.Completions = append(report.Completions, plan.Completions{
					TypeIndex:    trafficType,
					Count:        count,
					TotalLatency: s.latencySum[trafficType],
				})
			}
		}
		all = append(all, report)
	}
	slices.SortFunc(all, func(a, b plan.ServerReport) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
