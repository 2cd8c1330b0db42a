package control

import (
	"context"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
	"fernvane/internal/protocol/http1"
)

const (
	sourceRetry      = time.Second // after a rejected write, and before servers of other processes are compared
	maxSourceChanges = 1024        // in one write
)

// runSource writes the servers that discovery or a registry lists. Only one control process may do so for each source. The first
// list is compared with all servers in the store, because servers may have left the source while no process followed it. The
// source is therefore not followed before this process is current and its store contains what the upstreams have.
func (s *Server) runSource(ctx context.Context) error {
	select {
	case <-s.becameCurrent:
	case <-ctx.Done():
		return nil
	}
	servers := s.newSourcedServers()
	done := make(chan struct{})
	go func() {
		defer close(done)
		servers.runWriter(ctx)
	}()
	defer func() { <-done }()
	if s.config.Ensemble == nil {
		s.followDiscovery(ctx, servers)
		return nil
	}
	return s.followRegistry(ctx, servers)
}

// followDiscovery watches the list of the discovery service; the first list received is complete.
func (s *Server) followDiscovery(ctx context.Context, servers *sourcedServers) {
	watch.Follow(ctx, watch.NewTarget(s.config.DiscoveryAddress), watch.Listener{
		OnError: func(err error) { s.log.Warn().Err(err).Msg("discovery failed") },
		OnList: func(list http1.EndpointList) {
			for _, err := range list.Skipped {
				s.log.Warn().Err(err).Msg("list entry skipped")
			}
			servers.update(watch.EntriesFromList(list), list.IsComplete)
		},
	})
}

// followRegistry follows the registry, beginning with the servers in the store.
func (s *Server) followRegistry(ctx context.Context, servers *sourcedServers) error {
	return zookeeper.Follow(ctx, s.config.Ensemble, zookeeper.Listener{
		Now:      s.now,
		Known:    servers.known,
		Reported: servers.reported,
		OnChange: func(changed []incarnation.Entry, isFirst bool) {
			if isFirst {
				s.log.Info().Int("known", len(servers.known)).Int("changed", len(changed)).Msg("first list of the registry received")
			}
			servers.update(changed, false)
		},
		OnError: func(err error) { s.log.Warn().Err(err).Msg("registry error") },
		OnMassRemoval: func(removal endpoints.MassRemoval) {
			s.log.Error().Bool("suspected", removal.IsSuspected).Int("removed", removal.Removed).Int("total", removal.Total).
				Msg("mass removal suspicion changed")
		},
	})
}
