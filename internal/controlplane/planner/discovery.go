package planner

import (
	"context"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/protocol/http1"
)

// followServers follows discovery, or the registry if one is configured, until the context is canceled. Planners send no requests to
// servers; they receive the forwarders' observations of a server in reports.
func (s *Server) followServers(ctx context.Context) error {
	if s.config.Ensemble == nil {
		watch.Follow(ctx, watch.NewTarget(s.config.DiscoveryAddress), watch.Listener{
			OnError: func(err error) { s.log.Warn().Err(err).Msg("discovery failed") },
			OnList:  s.listReceived,
		})
		return nil
	}
	return zookeeper.Follow(ctx, s.config.Ensemble, zookeeper.Listener{
		Now:      s.now,
		OnChange: func(changed []incarnation.Entry, _ bool) { s.registryChanged(changed) },
		OnError:  func(err error) { s.log.Warn().Err(err).Msg("registry error") },
		OnMassRemoval: func(removal endpoints.MassRemoval) {
			s.log.Error().Bool("suspected", removal.IsSuspected).Int("removed", removal.Removed).Int("total", removal.Total).
				Msg("mass removal suspicion changed")
		},
	})
}

// listReceived applies a complete or partial endpoint list from discovery.
func (s *Server) listReceived(list http1.EndpointList) {
	for _, err := range list.Skipped {
		s.log.Warn().Err(err).Msg("list entry skipped")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := watch.EntriesFromList(list)
	if list.IsComplete {
		clear(s.discovered)
	}
	for _, e := range entries {
		s.discovered[e.ID] = e
	}
	s.planner.EndpointsUpdated(s.now(), entries, list.IsComplete)
	s.hasServers = s.hasServers || list.IsComplete
}

// registryChanged applies changed servers from the registry.
func (s *Server) registryChanged(changed []incarnation.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range changed {
		s.discovered[e.ID] = e
	}
	s.planner.EndpointsUpdated(s.now(), changed, false)
	s.hasServers = true
}
