package proxy

import (
	"context"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
)

// registered follows a registry in place of discovery.
func (s *Server) registered(ctx context.Context) error {
	return zookeeper.Follow(ctx, s.cfg.Registry, zookeeper.Listener{
		Now: s.fleet.Now, Observations: s.fleet.Observations(),
		OnChange: func(changed []incarnation.Entry, first bool) {
			l := watch.ListFromEntries(changed)
			l.Complete = first // what the saved list has beside has gone meanwhile
			s.skipped(l)
			if s.kept != nil {
				l, _ = s.kept.believe(l, endpoints.SourceRegistry) // the registry's own roster doubts what it must
			}
			s.fleet.ApplyList(l, endpoints.SourceRegistry)
			s.log.Info().Int("entries", len(changed)).Msg("list told")
		},
		OnError: func(err error) { s.log.Warn().Err(err).Msg("registry") },
		OnMassRemoval: func(is bool) {
			if is {
				s.log.Error().Msg("most servers have vanished from the registry together: the last list holds")
			} else {
				s.log.Info().Msg("the registry lists most servers again")
			}
		},
	})
}
