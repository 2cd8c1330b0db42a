package control

import (
	"errors"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// Why a subscription is rejected.
var (
	errSubscribedTwice = errors.New("a second subscription on one connection")
	errOwnName         = errors.New("a control process has this one's name")
)

// subscribe accepts a subscriber. Until this process is current, a subscriber is only asked for what it covers beyond.
func (s *Server) subscribe(l *link, asked distribution.Subscription) error {
	if l.follower != nil || l.isSubscribed {
		return &protocolError{errSubscribedTwice}
	}
	if asked.Role == distribution.RoleControl && l.peer == s.config.Name {
		return &protocolError{errOwnName}
	}
	asked.Name = l.peer
	s.mu.Lock()
	defer s.mu.Unlock()
	if older := s.links.subscribers[l.peer]; older != nil {
		older.close(errReplaced)
	}
	s.links.unsubscribed--
	l.isSubscribed, l.subscription = true, asked
	s.links.subscribers[l.peer] = l
	s.log.Info().Str("subscriber", l.peer).Str("from", l.from).Stringer("role", asked.Role).Int("services", len(asked.Services)).
		Msg("subscriber connected")
	if asked.Role == distribution.RoleControl || s.store.IsBehind(asked.Vector) {
		s.pullFrom(l)
	}
	if s.isCurrent {
		s.startSending(l, asked)
	} else {
		s.links.waiting[l] = true
	}
	return nil
}

// pullFrom has a subscriber send what is missing here. s.mu is held.
func (s *Server) pullFrom(l *link) {
	l.receiver = distribution.NewReceiver(s.store)
	s.counts.pulls++
	l.enqueue(&wire.Pull{IsContinuous: true, Vector: s.store.Vector().Clone()})
}

// startSending begins to send a peer what it lacks. s.mu is held.
func (s *Server) startSending(l *link, asked distribution.Subscription) {
	if l.sending != 0 {
		s.stopSending(l)
	}
	l.sending = s.publisher.Subscribe(s.now(), asked)
	s.links.publishing[l.sending] = l
	s.renewOriginIfStale()
	s.signalPublish()
}

// stopSending ends what is sent to a peer. s.mu is held.
func (s *Server) stopSending(l *link) {
	s.publisher.Unsubscribe(l.sending)
	delete(s.links.publishing, l.sending)
	l.sending = 0
}
