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
		OnMassRemoval: func(removal endpoints.MassRemoval) {
			if removal.IsSuspected {
				s.log.Error().Int("removed", removal.Removed).Int("total", removal.Total).Msg("mass removal suspected, keeping last endpoint list")
			} else {
				s.log.Info().Int("removed", removal.Removed).Int("total", removal.Total).Msg("mass removal over, following the registry again")
			}
		},
	})
}
