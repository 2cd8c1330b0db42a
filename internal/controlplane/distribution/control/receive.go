package control

import (
	"errors"
	"slices"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// errUnrequestedBatch rejects a peer that sends batches without a Pull or a subscription of this process.
var errUnrequestedBatch = errors.New("a batch that was not asked for")

// receiveBatch takes in a batch of an upstream, or of a subscriber that was asked, passes on what is new and acknowledges it
// with as many rejections as a message takes.
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
	s.passOn(result)
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

// passOn saves what a batch has changed, and passes it on to subscribers. The pruned vector that came with it is not saved. s.mu
// is held.
func (s *Server) passOn(result distribution.BatchResult) {
	now := s.now()
	s.publisher.EntriesChanged(now, result.Changed)
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

// upstreamBatchReceived notes a batch of an upstream. s.mu is held.
func (s *Server) upstreamBatchReceived(l *link, isComplete bool) {
	s.lastBatch = s.now()
	l.follower.subscriber.MessageReceived(s.lastBatch, isComplete)
	if !isComplete {
		return
	}
	s.unheld = nil
	l.hasCaughtUp = true
	s.becomeCurrent(l.peer)
	if l.deferredPull != nil {
		s.answerUpstreamPull(l, l.deferredPull)
	}
}

// recordRejected counts the entries of a batch that were rejected, keeps for the status those for which the store has no room, and logs
// why the first was rejected, unless the last log gave the same reason. s.mu is held.
func (s *Server) recordRejected(l *link, rejected []distribution.Rejection) {
	s.counts.rejectedEntries += len(rejected)
	for _, r := range rejected {
		isKnown := slices.ContainsFunc(s.unheld, func(other distribution.Rejection) bool { return other.Key == r.Key })
		if r.IsStoreFull && !isKnown {
			s.unheld = wire.TruncateRejections(append(s.unheld, r))
		}
	}
	if len(rejected) == 0 || s.lastRejection == rejected[0].Reason {
		return
	}
	s.lastRejection = rejected[0].Reason
	s.log.Error().Str("peer", l.peer).Stringer("key", rejected[0].Key).Str("reason", s.lastRejection).Int("entries", len(rejected)).
		Msg("entries rejected")
}

// batchAcknowledged takes in a peer's acknowledgement.
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

// compareDigests compares what is held here with what the peer holds, and asks for what differs. Digests of an upstream count as
// a complete message, whether or not they were equal or could be compared, unless the store is full.
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

// handlePull gives a peer what it asks for.
func (s *Server) handlePull(l *link, m *wire.Pull) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isUpstream := l.follower != nil
	switch {
	case m.IsContinuous && !isUpstream:
		// a subscriber is sent everything by its subscription
	case m.IsContinuous:
		if l.hasCaughtUp || !m.Vector.CoversAll(s.store.Vector()) {
			s.answerUpstreamPull(l, m)
		} else {
			l.deferredPull = m // what the upstream is about to send need not go back to it
		}
	case m.WantsDigests:
		l.enqueue(&wire.Digests{Digests: distribution.Digests{Services: s.publisher.ServiceDigests()}, IsAllServices: true})
	case len(m.Services) > 0:
		s.publisher.ResyncSubscriber(s.now(), l.sending, m.Services)
		s.signalPublish()
	case !isUpstream:
		l.enqueue(&wire.Pull{}) // the answer to a ping
	}
}

// answerUpstreamPull sends an upstream what it lacks, and from then on what changes. s.mu is held.
func (s *Server) answerUpstreamPull(l *link, m *wire.Pull) {
	l.deferredPull = nil
	s.startSending(l, distribution.Subscription{Name: l.peer, Role: distribution.RoleControl, AllServices: true, Vector: m.Vector})
}
