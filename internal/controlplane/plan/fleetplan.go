package plan

import (
	"math"
	"slices"
	"time"
)

// shareSteps is the resolution of shares: they are multiples of 1/shareSteps, which CBOR encodes as a half-precision number, in three
// bytes with its head.
const shareSteps = 2048

// FleetPlan is the result of one computation: the plans of all forwarders. It does not change afterwards.
type FleetPlan struct {
	common     Plan // what is the same for all
	forwarders map[string]forwarderPlan
	others     []ServerShare // what a forwarder is sent of servers outside its subset
}

// forwarderPlan is what differs between forwarders.
type forwarderPlan struct {
	reportSentAt time.Duration
	servers      []ServerShare // its subset
}

// newFleetPlan returns a plan that assigns no servers yet.
func (p *Planner) newFleetPlan() *FleetPlan {
	return &FleetPlan{forwarders: map[string]forwarderPlan{}, common: Plan{
		PlannerStartMs:      p.startUnixMS,
		Number:              p.number,
		ReportingForwarders: len(p.forwarders),
		Nodes:               max(len(p.forwarders), 1),
		AdmittedShare:       p.admitted,
		WithinAllowance:     p.withinAllowance(),
		Incarnations:        p.incarnations.All(),
	}}
}

func (f *FleetPlan) add(name string, reportSentAt time.Duration, servers []ServerShare) {
	f.forwarders[name] = forwarderPlan{reportSentAt: reportSentAt, servers: servers}
}

// ForForwarder returns one forwarder's plan. A forwarder that has not reported yet is assigned no servers.
func (f *FleetPlan) ForForwarder(name string) Plan {
	p := f.common
	own, ok := f.forwarders[name]
	if !ok {
		return p
	}
	p.ReportSentAt = own.reportSentAt
	p.Servers = append([]ServerShare(nil), own.servers...)
	for _, other := range f.others {
		if !slices.ContainsFunc(own.servers, func(s ServerShare) bool { return s.ID == other.ID }) {
			p.Servers = append(p.Servers, other)
		}
	}
	return p
}

// serverShares returns what a forwarder is sent of the servers of its subset.
func (p *Planner) serverShares(a *assignment, forwarder int, rates []float64, ejections map[string]time.Duration) (shares []ServerShare) {
	for _, c := range a.subsets[forwarder] {
		id := a.servers[c.server]
		shares = append(shares, ServerShare{
			ID:                id,
			Share:             math.Round(c.share*shareSteps) / shareSteps,
			IsAvoided:         p.servers[id].isAvoided,
			SlowStartRate:     rates[c.server],
			EjectionRemaining: ejections[id],
		})
	}
	return shares
}

// outsideShares returns what forwarders are sent of servers outside their subsets: those that are in slow start, ejected or
// avoided.
func (p *Planner) outsideShares(servers []string, rates []float64, ejections map[string]time.Duration) (shares []ServerShare) {
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
