package proxy

import (
	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/value"
	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
)

// ApplyServers applies changed servers, or the complete list if isComplete. An older version does not revive a server that was announced as
// draining or gone.
func (a *distributionApplier) ApplyServers(changed []distribution.Entry, isComplete bool) (rejected []distribution.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries, keys := make([]incarnation.Entry, 0, len(changed)), make([]distribution.Key, 0, len(changed))
	for _, e := range changed {
		server, err := value.DecodeServer(e)
		if err != nil {
			rejected = append(rejected, distribution.Rejection{Key: e.Key, Reason: err.Error()})
			continue
		}
		entries, keys = append(entries, server), append(keys, e.Key)
	}
	now := a.dispatcher.Now()
	a.incarnations.ExpireTombstones(now)
	updates := a.incarnations.ApplyDiscovery(now, entries, false)
	for i, e := range entries {
		if _, isKnown := a.incarnations.Get(e.ID); !isKnown {
			rejected = append(rejected, distribution.Rejection{Key: keys[i], Reason: "server limit of the node exceeded"})
		}
	}
	if isComplete { // includes the servers of earlier parts of the list
		updates = a.currentIncarnations(entries)
	}
	if len(updates) == 0 && !isComplete {
		return rejected
	}
	l := watch.ListFromEntries(updates)
	l.IsComplete = isComplete
	for _, err := range l.Skipped {
		a.logger.Warn().Err(err).Msg("endpoint list entry skipped")
	}
	a.dispatcher.ApplyList(l, endpoints.SourceDistribution)
	a.hasAppliedServers = true
	return rejected
}

// currentIncarnations returns the current incarnations of servers. Servers that are not known are left out.
func (a *distributionApplier) currentIncarnations(servers []incarnation.Entry) (all []incarnation.Entry) {
	for _, s := range servers {
		if e, isKnown := a.incarnations.Get(s.ID); isKnown {
			all = append(all, e)
		}
	}
	return all
}
