package planner

import (
	"context"
	"time"

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
		Reported: s.reported,
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
	s.listRevision = list.Revision
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

// unlistedReported removes servers that a forwarder has reported and that discovery or the registry does not list: they left while this
// planner was away, and the forwarder has them from an earlier plan. A registry may list them a little later than another planner has
// read them there. Server.mu is held.
func (s *Server) unlistedReported(now time.Duration, ids []string) {
	switch {
	case s.config.Ensemble != nil:
		s.reported.Add(s.planner.Incarnations(ids))
	case s.hasServers:
		s.planner.ServersUnlisted(now, ids, s.listRevision)
	}
}
