package proxy

import (
	"context"
	"net/netip"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// moveTo has discovery followed at another address, at once.
func (s *Server) changeDiscovery(at netip.AddrPort) {
	s.discoveryTarget.Swap(watch.NewTarget(at)).Replace()
}

// follow watches discovery's list whenever the module asks for it, until a call fails. Under planners it waits until
// they have been silent for long enough.
func (s *Server) followDiscovery(ctx context.Context) error {
	w := watch.Watcher{Target: s.discoveryTarget.Load(), Revision: s.cfg.SavedList.Revision, IsPushed: !s.cfg.Settings.MustRequestEndpoints}
	defer w.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.dispatcher.PollRequested():
		case <-w.Target.Replaced.Done():
		}
		for {
			if w.Target.Replaced.Err() != nil {
				w.Close()
				w.Target, w.HasMoved = s.discoveryTarget.Load(), true
			}
			if s.planners != nil {
				if !s.planners.needsDiscovery() {
					w.Close()
				}
				told, ok := s.planners.awaitDiscoveryNeeded(ctx)
				if !ok {
					return nil
				}
				w.Revision = max(w.Revision, told) // only what they have not told is asked for
			}
			if s.distribution != nil {
				if !s.distribution.needsDiscovery() {
					w.Close()
				}
				if !s.distribution.awaitDiscoveryNeeded(ctx) {
					return nil
				}
			}
			began := time.Now()
			list, err := w.Poll(ctx)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil && w.Target.Replaced.Err() != nil {
				continue
			}
			if err != nil {
				s.logger.Warn().Err(err).Msg("discovery failed")
				s.dispatcher.DiscoveryFailed()
				break
			}
			if w.HasMoved && !list.Complete && list.Revision < w.Revision { // it counts from elsewhere: ours says nothing there
				w.WantsFullList = true
				continue
			}
			w.HasMoved, w.WantsFullList, w.Revision = false, false, list.Revision
			if !s.applyDiscoveryList(list) { // what was told is not believed yet
				w.WantsFullList = true
				select {
				case <-ctx.Done():
				case <-time.After(unconfirmedPollInterval):
				}
				continue
			}
			if len(list.Hosts) > 0 {
				s.logger.Info().Uint64("revision", list.Revision).Bool("whole", list.Complete).Int("entries", len(list.Hosts)).Msg("list told")
			}
			if early := watch.MinPollInterval - time.Since(began); early > 0 {
				time.Sleep(early)
			}
		}
	}
}

// listed hands over what discovery has told, joined with what planners have. It is false for a list that is not believed.
func (s *Server) applyDiscoveryList(list http1.EndpointList) bool {
	s.logSkippedEntries(list)
	if s.endpointCache != nil {
		var ok bool
		if list, ok = s.endpointCache.confirm(list, endpoints.SourceDiscovery); !ok {
			return false
		}
	}
	if s.planners != nil {
		s.planners.applyDiscoveryList(list)
	} else if s.distribution != nil {
		s.distribution.applyDiscoveryList(list)
	} else {
		s.dispatcher.ApplyList(list, endpoints.SourceDiscovery)
	}
	return true
}
