package plan

import (
	"math"
	"slices"
	"time"

	"fernvane/internal/discovery/incarnation"
)

// Bounds of what a planner holds.
const (
	maxForwarders      = 4096
	maxEntriesPerTable = 4096 // of servers, of tenants and of traffic types
)

// Planner holds what one planner knows of forwarders, servers, traffic types and tenants.
type Planner struct {
	startUnixMS  int64
	number       uint64        // of the last plan
	lastComputed time.Duration // when that was
	incarnations *incarnation.Table
	forwarders   map[string]*forwarder
	servers      map[string]*server
	types        map[string]*trafficType
	tenants      map[string]*tenant
	load         loadStats
	admitted     float64 // share of the requests, 0 to 1
}

// NewPlanner returns a planner without forwarders. startUnixMS is the time of its start, which distinguishes its plans from
// those of other planners and of its earlier runs.
func NewPlanner(startUnixMS int64) *Planner {
	return &Planner{
		startUnixMS:  startUnixMS,
		incarnations: incarnation.NewTable(),
		forwarders:   map[string]*forwarder{},
		servers:      map[string]*server{},
		types:        map[string]*trafficType{},
		tenants:      map[string]*tenant{},
		admitted:     1,
	}
}

// EndpointsUpdated takes in a list of discovery's, or a part of one if isComplete is false.
func (p *Planner) EndpointsUpdated(now time.Duration, list []incarnation.Entry, isComplete bool) {
	p.incarnations.ApplyDiscovery(now, list, isComplete)
}

// ReportReceived takes in a forwarder's report. A report of a forwarder beyond maxForwarders is ignored.
func (p *Planner) ReportReceived(now time.Duration, name string, r *Report) {
	f := p.forwarders[name]
	if f == nil {
		if len(p.forwarders) >= maxForwarders {
			return
		}
		f = &forwarder{}
		p.forwarders[name] = f
	}
	p.incarnations.Join(now, r.NewerIncarnations)
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

// ComputePlans advances the state to now and returns the plans of all forwarders.
func (p *Planner) ComputePlans(now time.Duration) *FleetPlan {
	p.advance(now)
	p.number++
	fleet := p.newFleetPlan()
	forwarders, servers := sortedKeys(p.forwarders), sortedKeys(p.servers)
	settings := p.combineSettings(forwarders)
	ejections := p.updateEjections(now, servers)
	p.updateWeights(servers, settings)
	a := p.newAssignment(forwarders, servers, ejections)
	a.rebalance()
	a.fit()
	rates := p.slowStartRates(servers, settings, a.holderCounts(), len(forwarders))
	for i, name := range forwarders {
		fleet.add(name, p.forwarders[name].reportSentAt, p.serverShares(a, i, rates, ejections))
	}
	fleet.others = p.outsideShares(servers, rates, ejections)
	return fleet
}

// advance applies what the passing of time changes.
func (p *Planner) advance(now time.Duration) {
	passed := max(now-p.lastComputed, 0)
	p.lastComputed = now
	p.removeSilentForwarders(now)
	for _, t := range p.types {
		t.advance(passed)
	}
	p.decayTenants(passed)
	p.updateAdmission(passed)
	p.load.decay(passed)
	p.incarnations.ExpireTombstones(now)
	p.syncServers()
	for _, s := range p.servers {
		s.advance(passed)
	}
}

// decay is the factor of a sum that decays exponentially with a time constant.
func decay(passed, timeConstant time.Duration) float64 {
	return math.Exp(-passed.Seconds() / timeConstant.Seconds())
}

// sortedKeys returns the keys of a map in order, so that equal inputs give equal plans.
func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
