package proxy

import (
	"slices"

	"fernvane/internal/controlplane/plan"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// applyChange applies a change of planner i: its servers' incarnations at once, its plan by the follower's rules.
func (p *plannerClient) applyChange(i int, change plan.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, now := &p.sources[i], p.dispatcher.Now()
	for _, e := range change.Incarnations {
		s.announced[e.ID] = e
	}
	s.plan = plan.Apply(s.plan, change)
	if changed := p.incarnations.Join(now, change.Incarnations); len(change.Incarnations) > 0 {
		p.applyIncarnations(changed)
	}
	p.follower.PlanReceived(now, i, s.plan)
}

// applyIncarnations hands over the servers that have changed. mu is held, so that they arrive in order. The first after a cached list
// confirm it; all known servers are handed over then, for the dispatcher was not given those that had left before the start.
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

// applyDiscoveryList applies what discovery has announced while it was polled in place of planners.
func (p *plannerClient) applyDiscoveryList(l http1.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyIncarnations(p.incarnations.ApplyDiscovery(p.dispatcher.Now(), watch.EntriesFromList(l), l.Complete))
}

// applySavedList takes over the list of the start. Of a suspect one, only servers that had left are taken over: what planners announce of
// the others is a change then, which confirms the list, and no report announces servers to planners that no source has confirmed.
func (p *plannerClient) applySavedList(l http1.EndpointList, isSuspect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isListSuspect = isSuspect; isSuspect {
		l.Hosts = slices.DeleteFunc(slices.Clone(l.Hosts), func(e http1.Endpoint) bool { return e.Phase == http1.Serving })
	}
	p.incarnations.ApplyDiscovery(p.dispatcher.Now(), watch.EntriesFromList(l), false)
}
