package control

import (
	"errors"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

var (
	errSubscribed = errors.New("a second subscription on one connection")
	errUnasked    = errors.New("a batch that was not asked for")
)

// receive takes in a batch, from an upstream or from a subscriber that was asked, passes on what is new and acknowledges.
func (s *Server) receive(l *link, b distribution.Batch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.receiver == nil {
		return l.refuse(errUnasked)
	}
	s.Received++
	got := l.receiver.ReceiveBatch(b)
	s.Entries += len(got.Changed)
	if got.IsComplete && l.sending != 0 {
		s.publisher.VectorLearned(l.sending, b.Through)
	}
	s.spread(got)
	s.rejected(l, got.Rejected)
	acknowledgement := distribution.Acknowledgement{BatchNumber: b.Number, Rejected: got.Rejected}
	if got.IsComplete {
		acknowledgement.Applied = s.store.Vector().Clone()
	}
	l.put(&wire.Acknowledge{Acknowledgement: acknowledgement})
	if l.via != nil {
		s.followed(l, got.IsComplete)
	}
	s.renew()
	return nil
}

// spread saves what a batch has brought and passes it on.
func (s *Server) spread(got distribution.BatchResult) {
	now := s.now()
	s.publisher.EntriesChanged(now, got.Changed)
	var removed []distribution.Key
	for _, e := range got.Removed {
		removed = append(removed, e.Key)
	}
	if len(got.ResyncServices) > 0 {
		s.publisher.ResyncServices(now, got.ResyncServices)
	}
	var vector distribution.Vector
	if got.IsComplete {
		vector = s.store.Vector()
	}
	if vector != nil || len(got.Changed)+len(removed) > 0 {
		s.disk.Save(got.Changed, removed, vector)
	}
	s.signal()
}

// followed notes a batch of an upstream.
func (s *Server) followed(l *link, complete bool) {
	s.heard = s.now()
	l.via.subscriber.MessageReceived(s.heard, complete)
	if !complete {
		return
	}
	l.complete = true
	s.becomeCurrent(l.peer)
	if l.wanted != nil {
		s.offer(l, l.wanted)
	}
}

// rejected says once what a store has no room for.
func (s *Server) rejected(l *link, rejected []distribution.Rejection) {
	if len(rejected) == 0 || s.pending == rejected[0].Reason {
		return
	}
	s.pending = rejected[0].Reason
	s.log.Error().Str("peer", l.peer).Stringer("key", rejected[0].Key).Str("reason", s.pending).Int("entries", len(rejected)).Msg("entries not taken")
}

func (s *Server) acknowledged(l *link, a distribution.Acknowledgement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.sending == 0 {
		return
	}
	s.publisher.BatchAcknowledged(s.now(), l.sending, a)
	s.renew()
	s.signal()
}

// compare looks whether what is held here is what the peer holds, and asks for what differs.
func (s *Server) compare(l *link, m *wire.Digests) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.receiver == nil {
		return
	}
	services, total, advanced := l.receiver.CompareDigests(m.Digests)
	if advanced {
		s.disk.Save(nil, nil, s.store.Vector())
	}
	if l.via != nil {
		l.via.subscriber.MessageReceived(s.now(), true)
	}
	if total || len(services) > 0 {
		s.Wants++
		l.put(&wire.Pull{Services: services, WantsDigests: total})
	}
}

// want gives a peer what it asks for.
func (s *Server) want(l *link, m *wire.Pull) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case m.IsContinuous && l.via == nil:
		// a subscriber has subscribed already
	case m.IsContinuous:
		if l.complete || !m.Vector.CoversAll(s.store.Vector()) {
			s.offer(l, m)
		} else {
			l.wanted = m // what the upstream is about to send need not go back to it
		}
	case m.WantsDigests:
		l.put(&wire.Digests{Digests: distribution.Digests{Services: s.publisher.ServiceDigests()}, IsAllServices: true})
	case len(m.Services) > 0:
		s.publisher.ResyncSubscriber(s.now(), l.sending, m.Services)
		s.signal()
	case l.via == nil:
		l.put(&wire.Pull{}) // the peer asks for a sign of life
	}
}

// offer sends an upstream what it lacks, and from then on what changes.
func (s *Server) offer(l *link, m *wire.Pull) {
	l.wanted = nil
	s.serve(l, distribution.Subscription{Name: l.peer, Role: distribution.RoleControl, AllServices: true, Vector: m.Vector})
}
