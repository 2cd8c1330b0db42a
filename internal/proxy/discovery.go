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
func (s *Server) moveTo(at netip.AddrPort) { s.discovery.Swap(watch.NewTarget(at)).Replace() }

// follow watches discovery's list whenever the module asks for it, until a call fails. Under planners it waits until
// they have been silent for long enough.
func (s *Server) follow(ctx context.Context) error {
	w := watch.Watcher{Target: s.discovery.Load(), Revision: s.cfg.SavedList.Revision, IsPushed: !s.cfg.Settings.MustRequestEndpoints}
	defer w.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.fleet.PollRequested():
		case <-w.Target.Replaced.Done():
		}
		for {
			if w.Target.Replaced.Err() != nil {
				w.Close()
				w.Target, w.HasMoved = s.discovery.Load(), true
			}
			if s.planners != nil {
				if !s.planners.needed() {
					w.Close()
				}
				told, ok := s.planners.await(ctx)
				if !ok {
					return nil
				}
				w.Revision = max(w.Revision, told) // only what they have not told is asked for
			}
			if s.distribution != nil {
				if !s.distribution.lacks() {
					w.Close()
				}
				if !s.distribution.await(ctx) {
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
				s.log.Warn().Err(err).Msg("discovery failed")
				s.fleet.DiscoveryFailed()
				break
			}
			if w.HasMoved && !list.Complete && list.Revision < w.Revision { // it counts from elsewhere: ours says nothing there
				w.WantsFullList = true
				continue
			}
			w.HasMoved, w.WantsFullList, w.Revision = false, false, list.Revision
			if !s.listed(list) { // what was told is not believed yet
				w.WantsFullList = true
				select {
				case <-ctx.Done():
				case <-time.After(askAgain):
				}
				continue
			}
			if len(list.Hosts) > 0 {
				s.log.Info().Uint64("revision", list.Revision).Bool("whole", list.Complete).Int("entries", len(list.Hosts)).Msg("list told")
			}
			if early := watch.MinPollInterval - time.Since(began); early > 0 {
				time.Sleep(early)
			}
		}
	}
}

// listed hands over what discovery has told, joined with what planners have. It is false for a list that is not believed.
func (s *Server) listed(list http1.EndpointList) bool {
	s.skipped(list)
	if s.kept != nil {
		var ok bool
		if list, ok = s.kept.believe(list, endpoints.SourceDiscovery); !ok {
			return false
		}
	}
	if s.planners != nil {
		s.planners.discovered(list)
	} else if s.distribution != nil {
		s.distribution.discovered(list)
	} else {
		s.fleet.ApplyList(list, endpoints.SourceDiscovery)
	}
	return true
}
