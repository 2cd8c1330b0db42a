package plan

import (
	"math"
	"slices"
	"time"
)

// shareSteps is the resolution of shares. Multiples of 1/shareSteps fit into a half-precision number, which CBOR encodes in three
// bytes including the initial byte.
const shareSteps = 2048

// FleetPlan contains the plans of all forwarders from one computation. It is immutable after ComputePlans returns.
type FleetPlan struct {
	common     Plan // values that are equal for all forwarders
	forwarders map[string]forwarderPlan
	unassigned []ServerShare // entries for servers outside a forwarder's subset
}

// forwarderPlan contains the values that differ between forwarders.
type forwarderPlan struct {
	reportSentAt time.Duration
	servers      []ServerShare // entries for the forwarder's subset
}

// newFleetPlan returns a FleetPlan without forwarders.
func (p *Planner) newFleetPlan() *FleetPlan {
	return &FleetPlan{forwarders: map[string]forwarderPlan{}, common: Plan{
		PlannerStartMs:      p.startUnixMS,
		Number:              p.lastNumber,
		ReportingForwarders: len(p.forwarders),
		Nodes:               max(len(p.forwarders), 1),
		AdmittedShare:       p.admittedShare,
		WithinAllowance:     p.withinAllowance(),
		Incarnations:        p.incarnations.All(),
	}}
}

func (f *FleetPlan) add(name string, reportSentAt time.Duration, servers []ServerShare) {
	f.forwarders[name] = forwarderPlan{reportSentAt: reportSentAt, servers: servers}
}

// ForForwarder returns the plan of one forwarder. The plan of an unknown forwarder contains no servers.
func (f *FleetPlan) ForForwarder(name string) Plan {
	p := f.common
	assigned, ok := f.forwarders[name]
	if !ok {
		return p
	}
	p.ReportSentAt = assigned.reportSentAt
	p.Servers = append([]ServerShare(nil), assigned.servers...)
	for _, other := range f.unassigned {
		if !slices.ContainsFunc(assigned.servers, func(s ServerShare) bool { return s.ID == other.ID }) {
			p.Servers = append(p.Servers, other)
		}
	}
	return p
}

// serverShares returns the plan entries for the servers in a forwarder's subset.
func (p *Planner) serverShares(a *assignment, forwarder int, rates []float64, ejections map[string]time.Duration) (shares []ServerShare) {
	for _, slot := range a.subsets[forwarder] {
		id := a.servers[slot.server]
		shares = append(shares, ServerShare{
			ID:                id,
			Share:             math.Round(slot.share*shareSteps) / shareSteps,
			IsAvoided:         p.servers[id].isAvoided,
			SlowStartRate:     rates[slot.server],
			EjectionRemaining: ejections[id],
		})
	}
	return shares
}

// unassignedShares returns the plan entries that forwarders receive for servers outside their subsets. Only servers that are in slow
// start, ejected or avoided have such an entry.
func (p *Planner) unassignedShares(servers []string, rates []float64, ejections map[string]time.Duration) (shares []ServerShare) {
	for i, id := range servers {
		s := ServerShare{ID: id, IsAvoided: p.servers[id].isAvoided, EjectionRemaining: ejections[id]}
		if rates[i] > 0 {
			s.SlowStartRate = negligibleRate
		}
		if s.SlowStartRate > 0 || s.EjectionRemaining > 0 || s.IsAvoided {
			shares = append(shares, s)
		}
	}
	return shares
}
