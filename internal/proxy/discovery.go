package proxy

import (
	"context"
	"net/netip"
	"time"

	"fernvane/internal/discovery/endpoints"
	"fernvane/internal/discovery/watch"
	"fernvane/internal/protocol/http1"
)

// unconfirmedPollInterval is the pause before discovery is polled again after a list that was not applied.
const unconfirmedPollInterval = time.Second

// changeDiscovery immediately switches discovery to another address.
func (s *Server) changeDiscovery(address netip.AddrPort) {
	s.discoveryTarget.Swap(watch.NewTarget(address)).Replace()
}

// followDiscovery polls discovery until the node stops. It starts when the policy requests a poll or the address of discovery changes,
// continues until a poll fails, and then waits again. While planners or control processes supply the list, it waits until discovery is
// needed as their fallback.
func (s *Server) followDiscovery(ctx context.Context) error {
	w := &watch.Watcher{Target: s.discoveryTarget.Load(), Revision: s.cfg.SavedList.Revision, HasNoQueue: !s.cfg.Settings.MustRequestEndpoints}
	defer w.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.dispatcher.PollRequested():
		case <-w.Target.Replaced.Done():
		}
		for s.pollDiscovery(ctx, w) {
		}
		if ctx.Err() != nil {
			return nil
		}
	}
}

// pollDiscovery polls once and applies the list. It reports whether to poll again: not when ctx has ended, nor after a failed poll, unless
// the address of discovery has changed meanwhile.
func (s *Server) pollDiscovery(ctx context.Context, w *watch.Watcher) bool {
	if w.Target.Replaced.Err() != nil {
		w.Close()
		w.Target, w.HasNewTarget = s.discoveryTarget.Load(), true
	}
	if !s.awaitDiscoveryNeeded(ctx, w) {
		return false
	}
	startedAt := time.Now()
	list, err := w.Poll(ctx)
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil && w.Target.Replaced.Err() != nil:
		return true
	case err != nil:
		s.logger.Warn().Err(err).Msg("discovery failed")
		s.dispatcher.DiscoveryFailed()
		return false
	case w.HasNewTarget && !list.IsComplete && list.Revision < w.Revision: // revisions of the new address are counted independently
		w.WantsFullList = true
		return true
	}
	w.HasNewTarget, w.WantsFullList, w.Revision = false, false, list.Revision
	if !s.applyDiscoveryList(list) {
		w.WantsFullList = true
		select {
		case <-ctx.Done():
		case <-time.After(unconfirmedPollInterval):
		}
		return true
	}
	if len(list.Endpoints) > 0 {
		s.logger.Info().Uint64("revision", list.Revision).Bool("whole", list.IsComplete).Int("entries", len(list.Endpoints)).Msg("endpoint list updated")
	}
	if early := watch.MinPollInterval - time.Since(startedAt); early > 0 {
		time.Sleep(early)
	}
	return true
}

// awaitDiscoveryNeeded waits while planners or control processes supply the list, without a connection to discovery. It returns false when
// ctx has ended. It advances the revision of w to the latest that planners have announced, so that only later changes are polled.
func (s *Server) awaitDiscoveryNeeded(ctx context.Context, w *watch.Watcher) bool {
	if s.planners != nil {
		if !s.planners.needsDiscovery() {
			w.Close()
		}
		announced, ok := s.planners.awaitDiscoveryNeeded(ctx)
		if !ok {
			return false
		}
		w.Revision = max(w.Revision, announced)
	}
	if s.distribution != nil {
		if !s.distribution.needsDiscovery() {
			w.Close()
		}
		return s.distribution.awaitDiscoveryNeeded(ctx)
	}
	return true
}

// applyDiscoveryList applies a list of discovery, merged with the announcements of planners. It returns false if the list is not applied
// because it lacks most of the servers that are proven to serve.
func (s *Server) applyDiscoveryList(list http1.EndpointList) bool {
	s.logSkippedEntries(list)
	if s.endpointCache != nil {
		var ok bool
		if list, ok = s.endpointCache.confirm(list, endpoints.SourceDiscovery); !ok {
			return false
		}
	}
	switch {
	case s.planners != nil:
		s.planners.applyDiscoveryList(list)
	case s.distribution != nil:
		s.distribution.applyDiscoveryList(list)
	default:
		s.dispatcher.ApplyList(list, endpoints.SourceDiscovery)
	}
	return true
}
