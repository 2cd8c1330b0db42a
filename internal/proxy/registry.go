package proxy

import (
	"context"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
)

// followRegistry follows a registry in place of discovery until the node stops.
func (s *Server) followRegistry(ctx context.Context) error {
	return zookeeper.Follow(ctx, s.cfg.Registry, zookeeper.Listener{
		Now: s.dispatcher.Now, Observations: s.dispatcher.Observations(),
		OnChange: s.applyRegistryChange,
		OnError:  func(err error) { s.logger.Warn().Err(err).Msg("registry error") },
		OnMassRemoval: func(removal endpoints.MassRemoval) {
			if removal.IsSuspected {
				s.logger.Error().Int("removed", removal.Removed).Int("total", removal.Total).Msg("mass removal suspected, keeping last endpoint list")
			} else {
				s.logger.Info().Int("removed", removal.Removed).Int("total", removal.Total).Msg("mass removal over, following the registry again")
			}
		},
	})
}

// applyRegistryChange applies servers that have changed in the registry. The first change is the complete list: servers of a saved list that
// it lacks were removed while the node did not run.
func (s *Server) applyRegistryChange(changed []incarnation.Entry, isFirst bool) {
	l := watch.ListFromEntries(changed)
	l.IsComplete = isFirst
	s.logSkippedEntries(l)
	if s.endpointCache != nil {
		l, _ = s.endpointCache.confirm(l, endpoints.SourceRegistry) // the registry's endpoint set withholds lists that lack most servers
	}
	s.dispatcher.ApplyList(l, endpoints.SourceRegistry)
	s.logger.Info().Int("entries", len(changed)).Msg("endpoint list updated")
}
