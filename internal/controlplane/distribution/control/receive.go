package control

import (
	"errors"
	"slices"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// errUnrequestedBatch rejects a peer that sends batches without a pull or a subscription of this process.
var errUnrequestedBatch = errors.New("batch was not requested")

// receiveBatch merges a batch of an upstream, or of a subscriber after a pull. It forwards new entries, and acknowledges the batch
// with as many rejections as fit into a message.
func (s *Server) receiveBatch(l *link, b distribution.Batch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.receiver == nil {
		return &protocolError{errUnrequestedBatch}
	}
	s.counts.receivedBatches++
	result := l.receiver.ReceiveBatch(b)
	s.counts.mergedEntries += len(result.Changed)
	if result.IsComplete && l.sending != 0 {
		s.publisher.VectorLearned(l.sending, b.Through)
	}
	s.propagate(result)
	s.recordRejected(l, result.Rejected)
	acknowledgement := distribution.Acknowledgement{BatchNumber: b.Number, Rejected: wire.TruncateRejections(result.Rejected)}
	if result.IsComplete {
		acknowledgement.Applied = s.store.Vector().Clone()
	}
	l.enqueue(&wire.Acknowledge{Acknowledgement: acknowledgement})
	if l.follower != nil {
		s.upstreamBatchReceived(l, result.IsComplete)
	}
	s.renewOriginIfStale()
	return nil
}

// propagate saves the effects of a batch and forwards them to subscribers. The pruned vector of the batch is not saved. s.mu
// is held.
func (s *Server) propagate(result distribution.BatchResult) {
	now := s.now()
	s.publisher.EntriesChanged(now, result.Changed)
	if s.sourced != nil {
		s.sourced.entriesReceived(result.Changed)
	}
	var removed []distribution.Key
	for _, e := range result.Removed {
		removed = append(removed, e.Key)
	}
	if len(result.ResyncServices) > 0 {
		s.publisher.ResyncServices(now, result.ResyncServices)
	}
	var vector distribution.Vector
	if result.IsComplete {
		vector = s.store.Vector()
	}
	if vector != nil || len(result.Changed)+len(removed) > 0 {
		s.disk.Save(result.Changed, removed, vector)
	}
	s.signalPublish()
}

// upstreamBatchReceived updates the follower after a batch of an upstream, and on a complete batch makes this process current.
// s.mu is held.
func (s *Server) upstreamBatchReceived(l *link, isComplete bool) {
	s.lastBatch = s.now()
	l.follower.subscriber.MessageReceived(s.lastBatch, isComplete)
	if !isComplete {
		return
	}
	s.unstored = nil
	l.hasCaughtUp = true
	s.becomeCurrent(l.peer)
	if l.deferredPull != nil {
		s.serveUpstreamPull(l, l.deferredPull)
	}
}

// recordRejected counts the rejected entries of a batch, stores those rejected by a full store for the status, and logs the reason
// of the first one unless the last logged reason is equal. s.mu is held.
func (s *Server) recordRejected(l *link, rejected []distribution.Rejection) {
	s.counts.rejectedEntries += len(rejected)
	for _, r := range rejected {
		isKnown := slices.ContainsFunc(s.unstored, func(other distribution.Rejection) bool { return other.Key == r.Key })
		if r.IsStoreFull && !isKnown {
			s.unstored = wire.TruncateRejections(append(s.unstored, r))
		}
	}
	if len(rejected) == 0 || s.lastRejection == rejected[0].Reason {
		return
	}
	s.lastRejection = rejected[0].Reason
	s.log.Error().Str("peer", l.peer).Stringer("key", rejected[0].Key).Str("reason", s.lastRejection).Int("entries", len(rejected)).
		Msg("entries rejected")
}

// batchAcknowledged processes a peer's acknowledgement.
func (s *Server) batchAcknowledged(l *link, a distribution.Acknowledgement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.sending == 0 {
		return
	}
	s.publisher.BatchAcknowledged(s.now(), l.sending, a)
	s.renewOriginIfStale()
	s.signalPublish()
}

// compareDigests compares the store with a peer's digests, and requests the services that differ. Digests of an upstream count
// as a complete message, whether or not they are equal or can be compared, unless the store is full.
func (s *Server) compareDigests(l *link, m *wire.Digests) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.receiver == nil {
		return
	}
	services, needsServiceDigests, hasAdvanced := l.receiver.CompareDigests(m.Digests)
	if hasAdvanced {
		s.disk.Save(nil, nil, s.store.Vector())
	}
	if l.follower != nil {
		l.follower.subscriber.MessageReceived(s.now(), !l.receiver.IsStoreFull())
	}
	if needsServiceDigests || len(services) > 0 {
		s.counts.pulls++
		l.enqueue(&wire.Pull{Services: services, WantsDigests: needsServiceDigests})
	}
}

// handlePull sends a peer the entries or digests that it requests.
func (s *Server) handlePull(l *link, m *wire.Pull) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isUpstream := l.follower != nil
	switch {
	case m.IsContinuous && !isUpstream:
		// the subscription already covers all entries
	case m.IsContinuous:
		if l.hasCaughtUp || !m.Vector.CoversAll(s.store.Vector()) {
			s.serveUpstreamPull(l, m)
		} else {
			l.deferredPull = m // until the upstream's entries have arrived, which need not be sent back to it
		}
	case m.WantsDigests:
		l.enqueue(&wire.Digests{Digests: distribution.Digests{Services: s.publisher.ServiceDigests()}, IsAllServices: true})
	case len(m.Services) > 0:
		s.publisher.ResyncSubscriber(s.now(), l.sending, m.Services)
		s.signalPublish()
	case !isUpstream:
		l.enqueue(&wire.Pull{}) // response to a ping
	}
}

// serveUpstreamPull starts to send an upstream the entries that it lacks, and all later changes. s.mu is held.
func (s *Server) serveUpstreamPull(l *link, m *wire.Pull) {
	l.deferredPull = nil
	s.startSending(l, distribution.Subscription{Name: l.peer, Role: distribution.RoleControl, AllServices: true, Vector: m.Vector})
}
