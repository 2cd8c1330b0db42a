package proxy

import (
	"context"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
)

// registered follows a registry in place of discovery.
func (s *Server) followRegistry(ctx context.Context) error {
	return zookeeper.Follow(ctx, s.cfg.Registry, zookeeper.Listener{
		Now: s.dispatcher.Now, Observations: s.dispatcher.Observations(),
		OnChange: func(changed []incarnation.Entry, first bool) {
			l := watch.ListFromEntries(changed)
			l.Complete = first // what the saved list has beside has gone meanwhile
			s.logSkippedEntries(l)
			if s.endpointCache != nil {
				l, _ = s.endpointCache.confirm(l, endpoints.SourceRegistry) // the registry's own roster doubts what it must
			}
			s.dispatcher.ApplyList(l, endpoints.SourceRegistry)
			s.logger.Info().Int("entries", len(changed)).Msg("list told")
		},
		OnError: func(err error) { s.logger.Warn().Err(err).Msg("registry") },
		OnMassRemoval: func(is bool) {
			if is {
				s.logger.Error().Msg("most servers have vanished from the registry together: the last list holds")
			} else {
				s.logger.Info().Msg("the registry lists most servers again")
			}
		},
	})
}
