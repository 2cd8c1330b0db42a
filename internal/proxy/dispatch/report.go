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

// maxReportedTenants limits the tenants in a report to those with the most requests. Planners store as many.
const maxReportedTenants = 4096

// reportCollector accumulates the counts of the next report to planners, once EnableReports has been called.
type reportCollector struct {
	isEnabled      bool
	since          time.Duration
	arrivals       []int // by traffic type
	rejected       []int // by traffic type
	tenantArrivals []int // by tenant
	activeTenants  indexset.Set
	servers        map[string]*serverReport
}

// serverReport contains the attempt counts of one server. It may be empty: see recordAttempt.
type serverReport struct {
	succeeded  []int           // by traffic type
	latencySum []time.Duration // by traffic type, sum over the attempts in succeeded
	timedOut   int
	failed     int
}

// EnableReports starts the collection for Report. It is called once, on nodes with planners.
func (d *Dispatcher) EnableReports() {
	d.mu.Lock()
	defer d.unlock()
	d.report.reset(d.now(), len(d.settings.TypeNames))
	d.report.isEnabled = true
	d.report.grow(len(d.settings.TenantNames))
}

// Report returns the report to planners on the interval since the previous call. Its times are times of Now.
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

// reportTenants returns the tenants with a quota and with requests since the previous report, at most maxReportedTenants.
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

// reset starts a new interval. It visits only the tenants with requests in the previous one.
func (c *reportCollector) reset(now time.Duration, types int) {
	c.since, c.servers = now, map[string]*serverReport{}
	c.arrivals, c.rejected = make([]int, types), make([]int, types)
	for tenant := range c.activeTenants.All() {
		c.tenantArrivals[tenant] = 0
		c.activeTenants.Remove(tenant)
	}
}

// grow extends the counts to the given number of tenants.
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

// recordAttempt counts the result of an attempt as a success, a timeout or a failure (an error response or an unreachable
// server). All other results (broken connections, refusals by an overloaded server, faulty requests, attempts that did not
// start or were abandoned) are not counted, but the report lists their server.
func (c *reportCollector) recordAttempt(server string, trafficType int, result AttemptResult, elapsed time.Duration) {
	if !c.isEnabled || trafficType >= len(c.arrivals) {
		return
	}
	s := c.servers[server]
	if s == nil {
		s = &serverReport{succeeded: make([]int, len(c.arrivals)), latencySum: make([]time.Duration, len(c.arrivals))}
		c.servers[server] = s
	}
	switch result.Outcome() {
	case policy.Success:
		s.succeeded[trafficType]++
		s.latencySum[trafficType] += elapsed
	case policy.TimedOut:
		s.timedOut++
	case policy.Failure, policy.Unreachable:
		s.failed++
	}
}

// serverReports returns all servers with ended attempts, sorted by ID.
func (c *reportCollector) serverReports() (all []plan.ServerReport) {
	for id, s := range c.servers {
		report := plan.ServerReport{ID: id, TimedOut: s.timedOut, Failed: s.failed}
		for trafficType, count := range s.succeeded {
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
