package proxy

import (
	"slices"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// applyChange applies a change of planner i. Incarnations of servers take effect immediately; the follower decides when the plan does.
func (p *plannerClient) applyChange(i int, change plan.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := &p.planners[i], p.dispatcher.Now()
	for _, e := range change.Incarnations {
		s.announced[e.ID] = e
	}
	s.plan = plan.Apply(s.plan, change)
	if changed := p.incarnations.Join(now, change.Incarnations); len(change.Incarnations) > 0 {
		p.applyIncarnations(changed)
	}
	p.follower.PlanReceived(now, i, s.plan)
}

// applyIncarnations applies changed servers to the dispatcher. The caller holds mu, so that changes are applied in order. The first change
// after a cached list confirms that list. All known servers are applied then, because the dispatcher has not received the servers that the
// cached list has as draining or gone.
func (p *plannerClient) applyIncarnations(changed []incarnation.Entry) {
	if p.isListSuspect {
		p.isListSuspect, changed = false, p.incarnations.All()
	}
	if len(changed) == 0 {
		return
	}
	l := watch.ListFromEntries(changed)
	for _, err := range l.Skipped {
		p.logger.Warn().Err(err).Msg("endpoint list entry skipped")
	}
	if p.endpointCache != nil {
		l, _ = p.endpointCache.confirm(l, endpoints.SourcePlanners)
	}
	p.dispatcher.ApplyList(l, endpoints.SourcePlanners)
}

// applyDiscoveryList applies a list of discovery that was polled in place of planners.
func (p *plannerClient) applyDiscoveryList(l http1.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyIncarnations(p.incarnations.ApplyDiscovery(p.dispatcher.Now(), watch.EntriesFromList(l), l.IsComplete))
}

// applySavedList adds the initial list to the known incarnations. From a suspect list it adds only servers that are draining or gone: an
// announcement of any other server by a planner is then a change, which confirms the list, and reports do not announce unconfirmed servers to
// planners.
func (p *plannerClient) applySavedList(l http1.EndpointList, isSuspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isListSuspect = isSuspect; isSuspect {
		l.Endpoints = slices.DeleteFunc(slices.Clone(l.Endpoints), func(e http1.Endpoint) bool { return e.Condition == http1.Serving })
	}
	p.incarnations.ApplyDiscovery(p.dispatcher.Now(), watch.EntriesFromList(l), false)
}
