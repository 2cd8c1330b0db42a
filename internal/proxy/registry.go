package proxy

import (
	"context"
	"sync"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/discovery/zookeeper"
)

// registryFollower applies the servers of a registry in place of those of discovery.
type registryFollower struct {
	server *Server

	mu        sync.Mutex
	entries   map[string]incarnation.Entry // latest entry of each server
	isApplied bool                         // the complete list is in effect, and changes are applied as they come
}

// followRegistry follows a registry in place of discovery until the node stops.
func (s *Server) followRegistry(ctx context.Context) error {
	f := &registryFollower{server: s, entries: map[string]incarnation.Entry{}}
	return zookeeper.Follow(ctx, s.cfg.Registry, zookeeper.Listener{
		Now: s.dispatcher.Now, Observations: s.dispatcher.Observations(),
		OnChange: func(changed []incarnation.Entry, _ bool) { f.applyChange(ctx, changed) },
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

// applyChange applies servers that have changed in the registry. The first change is the complete list.
func (f *registryFollower) applyChange(ctx context.Context, changed []incarnation.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range changed {
		f.entries[e.ID] = e
	}
	if !f.isApplied {
		f.applyComplete(ctx)
		return
	}
	l := watch.ListFromEntries(changed)
	f.server.logSkippedEntries(l)
	f.server.dispatcher.ApplyList(l, endpoints.SourceRegistry)
	f.server.logger.Info().Int("entries", len(changed)).Msg("endpoint list updated")
}

// applyComplete applies the complete list: servers of a cached list that it lacks were removed while the node did not run. A list that the
// endpoint cache does not confirm yet is tried again. The caller holds mu.
func (f *registryFollower) applyComplete(ctx context.Context) {
	all := make([]incarnation.Entry, 0, len(f.entries))
	for _, e := range f.entries {
		all = append(all, e)
	}
	l := watch.ListFromEntries(all)
	l.IsComplete = true
	if cache := f.server.endpointCache; cache != nil {
		if _, ok := cache.confirm(l, endpoints.SourceRegistry); !ok {
			time.AfterFunc(unconfirmedPollInterval, func() { f.retryComplete(ctx) })
			return
		}
	}
	f.isApplied = true
	f.server.logSkippedEntries(l)
	f.server.dispatcher.ApplyList(l, endpoints.SourceRegistry)
	f.server.logger.Info().Int("entries", len(all)).Msg("endpoint list updated")
}

// retryComplete applies the complete list unless it has been applied meanwhile or the node stops.
func (f *registryFollower) retryComplete(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isApplied && ctx.Err() == nil {
		f.applyComplete(ctx)
	}
}
