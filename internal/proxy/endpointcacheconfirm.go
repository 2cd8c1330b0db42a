package proxy

import (
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/staleness"
	"fernvane/internal/protocol/http1"
)

const (
	// incompleteListDuration is how long an empty list of discovery is not applied, incompleteRegistryListDuration how long a list of a
	// registry that lacks most proven servers is not. The latter is shorter than the 6 s after which a change in the registry counts as
	// announced.
	incompleteListDuration         = 30 * time.Second
	incompleteRegistryListDuration = 3 * time.Second

	maxMissingShare = 0.5 // of the proven servers
	minMissing      = 2   // a list that lacks fewer proven servers is applied
)

// confirm ends the suspicion of the cached list when a source announces a list, and returns the list to apply. Without a suspect list it
// returns l. An incomplete list of discovery contains only changes to the cached list, which it confirms: the returned list then includes the
// cached one. ok is false if the list must not be applied yet, because it lacks most proven servers; the cached list stays suspect then.
func (c *endpointCache) confirm(l http1.EndpointList, source endpoints.Source) (out http1.EndpointList, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRevision = max(c.lastRevision, l.Revision)
	if c.evaluator == nil {
		return l, true
	}
	if l.IsComplete && c.lacksProvenServers(l, source) {
		return l, false
	}
	if !l.IsComplete && source == endpoints.SourceDiscovery {
		merged := make([]http1.Endpoint, 0, len(c.endpoints)+len(l.Endpoints))
		for _, e := range c.endpoints {
			merged = append(merged, listedEndpoint(e))
		}
		l.Endpoints = append(merged, l.Endpoints...)
	}
	c.evaluator, c.endpoints = nil, nil
	c.dispatcher.LeaveCautiousMode()
	c.logger.Info().Stringer("from", source).Dur("after", time.Since(c.startedAt)).Msg("cached endpoint list confirmed")
	return l, true
}

// lacksProvenServers reports whether a complete list must not be applied because it lacks most of the servers that have proven since the
// start that they serve: a source that has restarted may announce no servers at first. After incompleteListDuration such a list is applied.
// A list of discovery that names any server is applied, because the servers that it lacks must not receive new requests once it is received.
func (c *endpointCache) lacksProvenServers(l http1.EndpointList, source endpoints.Source) bool {
	if source == endpoints.SourceDiscovery && len(l.Endpoints) > 0 {
		return false
	}
	isListed := map[string]bool{} // also those that are draining
	for _, e := range l.Endpoints {
		isListed[e.ID] = true
	}
	proven, missing := 0, 0
	for id := range c.endpoints {
		if c.evaluator.Status(id) == staleness.Proven {
			if proven++; !isListed[id] {
				missing++
			}
		}
	}
	if missing < minMissing || float64(missing) <= maxMissingShare*float64(proven) {
		return false
	}
	now := time.Now()
	if c.incompleteSince.IsZero() {
		c.incompleteSince = now
		c.logger.Error().Int("missing", missing).Int("serving", proven).Msg("endpoint list lacks most serving servers")
	}
	limit := incompleteListDuration
	if source == endpoints.SourceRegistry {
		limit = incompleteRegistryListDuration
	}
	return now.Sub(c.incompleteSince) < limit
}
