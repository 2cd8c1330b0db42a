package policy

import (
	"slices"

	"fernvane/internal/collections/columns"
	"fernvane/internal/collections/indexset"
	"fernvane/policy/internal/failures"
)

// plan is what the planner's last plan says of servers. What it says of admission and quotas is kept there.
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

// updatePlan takes over a plan. Servers that it takes from the node or wants avoided leave the subset unless an attempt
// is in flight there.
func (p *Policy) updatePlan(in *Input) {
	p.settings.NodeCount = in.NodeCount
	p.quotaUsage.withinQuotaShares = in.WithinQuotaShares
	p.admission.maxAdmittedShare = in.MaxAdmittedShare
	before := map[int]float64{}
	for s := range p.plan.assigned.All() {
		before[s] = p.plan.preference[s]
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
		isTakenAway := p.plan.preference[s] == 0 && before[s] > 0
		if (isTakenAway || p.plan.preference[s] < 0) && p.load.inFlight[s] == 0 {
			p.removeFromSubset(i)
		}
	}
}

// ejectByPlan ejects a server for as long as a plan says; a trial follows, as after an ejection of the node's own.
func (p *Policy) ejectByPlan(a Assignment) {
	ejections := &p.outliers.ejections
	until := max(ejections.EjectedUntil(a.Server, failures.AllTypes), p.now+a.EjectFor)
	ejections.SetEjectedUntil(a.Server, failures.AllTypes, until)
	p.outliers.consecutive[a.Server] = max(p.outliers.consecutive[a.Server], 1)
}
