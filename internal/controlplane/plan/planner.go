package plan

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Limits on the state of a Planner.
const (
	maxForwarders      = 4096
	maxEntriesPerTable = 4096 // applies to servers, tenants and traffic types separately
	maxTextBytes       = 300  // of each text of a report that is stored
)

// Planner stores the state of all forwarders, servers, traffic types and tenants, and computes the plans.
type Planner struct {
	startUnixMS   int64
	lastNumber    uint64        // number of the latest plan
	lastComputed  time.Duration // time of the latest plan
	incarnations  *incarnation.Table
	forwarders    map[string]*forwarder
	servers       map[string]*server
	types         map[string]*trafficType
	tenants       map[string]*tenant
	load          loadStats
	admittedShare float64 // share of requests to admit, 0 to 1
}

// NewPlanner returns a Planner without forwarders. startUnixMS is the Unix time of the planner's start in ms. It distinguishes
// the planner's plans from those of other planners and of earlier runs.
func NewPlanner(startUnixMS int64) *Planner {
	return &Planner{
		startUnixMS:   startUnixMS,
		incarnations:  incarnation.NewTable(),
		forwarders:    map[string]*forwarder{},
		servers:       map[string]*server{},
		types:         map[string]*trafficType{},
		tenants:       map[string]*tenant{},
		admittedShare: 1,
	}
}

// EndpointsUpdated applies an endpoint list from discovery. If isComplete is false, the list contains only a part of the servers.
func (p *Planner) EndpointsUpdated(now time.Duration, list []incarnation.Entry, isComplete bool) {
	p.incarnations.ApplyDiscovery(now, list, isComplete)
}

// ServersUnlisted removes servers that forwarders have reported and that discovery does not list. revision is that of the latest list:
// a server that a forwarder has heard of in a later list stays.
func (p *Planner) ServersUnlisted(now time.Duration, ids []string, revision uint64) {
	p.incarnations.RemoveUnlisted(now, ids, revision)
}

// Incarnations returns the stored entries of servers. Servers without an entry are omitted.
func (p *Planner) Incarnations(ids []string) (entries []incarnation.Entry) {
	for _, id := range ids {
		if entry, ok := p.incarnations.Get(id); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// ReportReceived applies a forwarder's report. It ignores reports of new forwarders once maxForwarders are registered, and what a report
// says under names longer than maxTextBytes.
func (p *Planner) ReportReceived(now time.Duration, name string, r *Report) {
	f := p.forwarders[name]
	if f == nil {
		if len(p.forwarders) >= maxForwarders {
			return
		}
		f = &forwarder{}
		p.forwarders[name] = f
	}
	p.incarnations.Join(now, slices.DeleteFunc(slices.Clone(r.NewerIncarnations), hasLongText))
	attempts := 0
	f.beginReport(now, r)
	for _, s := range r.Servers {
		attempts += p.serverReported(now, name, r, &s)
	}
	f.updateRates(r, attempts)
	for _, t := range r.Tenants {
		p.tenantReported(t)
	}
}

// hasLongText reports whether a text of an entry exceeds maxTextBytes.
func hasLongText(e incarnation.Entry) bool {
	return max(len(e.ID), len(e.Address), len(e.Zone), len(e.MachineKind)) > maxTextBytes
}

// ComputePlans advances the state to now and computes the plans of all forwarders.
func (p *Planner) ComputePlans(now time.Duration) *FleetPlan {
	p.advance(now)
	p.lastNumber++
	fleet := p.newFleetPlan()
	forwarders, servers := sortedKeys(p.forwarders), sortedKeys(p.servers)
	settings := p.combineSettings(forwarders)
	ejections := p.updateEjections(now, servers)
	p.updateWeights(servers, settings)
	a := p.newAssignment(forwarders, servers, ejections)
	a.rebalance()
	a.fit()
	rates := p.slowStartRates(servers, settings, a.forwarderCounts(), len(forwarders))
	for i, name := range forwarders {
		fleet.add(name, p.forwarders[name].reportSentAt, p.serverShares(a, i, rates, ejections))
	}
	fleet.unassigned = p.unassignedShares(servers, rates, ejections)
	return fleet
}

// advance decays averages, expires stale state and synchronizes the servers with the endpoint list.
func (p *Planner) advance(now time.Duration) {
	elapsed := max(now-p.lastComputed, 0)
	p.lastComputed = now
	p.expireForwarders(now)
	for _, t := range p.types {
		t.advance(elapsed)
	}
	p.decayTenants(elapsed)
	p.updateAdmission(elapsed)
	p.load.decay(elapsed)
	p.incarnations.ExpireTombstones(now)
	p.syncServers()
	for _, s := range p.servers {
		s.advance(elapsed)
	}
}

// decayFactor returns the remaining fraction of a sum that decays exponentially with a time constant.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// sortedKeys returns the keys of a map in sorted order. Iterating in this order makes plans deterministic.
func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
