package control

import (
	"errors"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

// Reasons for the rejection of a subscription.
var (
	errSubscribedTwice = errors.New("second subscription on one connection")
	errOwnName         = errors.New("name of the subscriber equals the name of this control process")
)

// subscribe accepts a subscription. Until this process is current, it only requests the entries that the subscriber covers and
// this process lacks.
func (s *Server) subscribe(l *link, request distribution.Subscription) error {
	if l.follower != nil || l.isSubscribed {
		return &protocolError{errSubscribedTwice}
	}
	if request.Role == distribution.RoleControl && l.peer == s.config.Name {
		return &protocolError{errOwnName}
	}
	request.Name = l.peer
	s.mu.Lock()
	defer s.mu.Unlock()
	if older := s.links.subscribers[l.peer]; older != nil {
		older.close(errReplaced)
	}
	s.links.unsubscribed--
	l.isSubscribed, l.subscription = true, request
	s.links.subscribers[l.peer] = l
	s.log.Info().Str("subscriber", l.peer).Str("from", l.from).Stringer("role", request.Role).Int("services", len(request.Services)).
		Msg("subscriber connected")
	if request.Role == distribution.RoleControl || s.store.IsBehind(request.Vector) {
		s.pullFrom(l)
	}
	if s.isCurrent {
		s.startSending(l, request)
	} else {
		s.links.waiting[l] = true
	}
	return nil
}

// pullFrom requests the entries that this process lacks from a subscriber. s.mu is held.
func (s *Server) pullFrom(l *link) {
	l.receiver = distribution.NewReceiver(s.store)
	s.counts.pulls++
	l.enqueue(&wire.Pull{IsContinuous: true, Vector: s.store.Vector().Clone()})
}

// startSending starts to send a peer the entries that it lacks. s.mu is held.
func (s *Server) startSending(l *link, request distribution.Subscription) {
	if l.sending != 0 {
		s.stopSending(l)
	}
	l.sending = s.publisher.Subscribe(s.now(), request)
	s.links.publishing[l.sending] = l
	s.renewOriginIfStale()
	s.signalPublish()
}

// stopSending ends the subscription that this process serves on a connection. s.mu is held.
func (s *Server) stopSending(l *link) {
	s.publisher.Unsubscribe(l.sending)
	delete(s.links.publishing, l.sending)
	l.sending = 0
}
