package policy

import (
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
	"fernvane/policy/internal/failures"
)

// plan holds the parts of the planner's last plan that concern servers. The parts for admission and quotas are in
// admission and quotaUsage.
type plan struct {
	assigned      indexset.Set // servers that the plan names
	preference    []float64    // see Assignment; 0 for others
	slowStartRate []float64    // see Assignment; 0 for others
}

func (l *plan) addServer(s int) {
	l.assigned.Remove(s)
	columns.Put(s, 0.0, &l.preference, &l.slowStartRate)
}

func (l *plan) clone() plan {
	c := plan{assigned: l.assigned.Clone()}
	c.preference, c.slowStartRate = slices.Clone(l.preference), slices.Clone(l.slowStartRate)
	return c
}

// updatePlan applies a plan. Servers that the plan no longer assigns to the node, or avoids, leave the subset, except a
// server with an attempt in flight and the last member.
func (p *Policy) updatePlan(in *Input) {
	p.settings.NodeCount = in.NodeCount
	p.quotaUsage.withinQuotaShares = in.WithinQuotaShares
	p.admission.maxAdmittedShare = in.MaxAdmittedShare
	previousPreference := map[int]float64{}
	for s := range p.plan.assigned.All() {
		previousPreference[s] = p.plan.preference[s]
		p.plan.preference[s], p.plan.slowStartRate[s] = 0, 0
		p.plan.assigned.Remove(s)
	}
	for _, a := range in.Assignments {
		p.plan.preference[a.Server], p.plan.slowStartRate[a.Server] = a.Preference, a.SlowStartRate
		p.plan.assigned.Add(a.Server)
		if a.EjectFor > 0 {
			p.ejectByPlan(a)
		}
	}
	for i := len(p.subset.members) - 1; i >= 0 && len(p.subset.members) > 1; i-- {
		s := p.subset.members[i]
		isUnassigned := p.plan.preference[s] == 0 && previousPreference[s] > 0
		if (isUnassigned || p.plan.preference[s] < 0) && p.load.inFlight[s] == 0 {
			p.removeFromSubset(i)
		}
	}
}

// ejectByPlan ejects a server for the time that a plan sets; a trial follows, as after the node's own ejections.
func (p *Policy) ejectByPlan(a Assignment) {
	ejections := &p.outliers.ejections
	until := max(ejections.EjectedUntil(a.Server, failures.AllTypes), p.now+a.EjectFor)
	ejections.SetEjectedUntil(a.Server, failures.AllTypes, until)
	p.outliers.consecutive[a.Server] = max(p.outliers.consecutive[a.Server], 1)
}
