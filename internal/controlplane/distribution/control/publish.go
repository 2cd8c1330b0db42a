package control

import (
	"context"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/controlplane/distribution/wire"
)

const (
	lookMost    = 250 * time.Millisecond // between two looks at who is slow and whose digests are due
	batchesHeld = 32                     // made under one hold of the lock
	startLook   = 100 * time.Millisecond
)

// publish sends subscribers what waits for them, as the budgets allow.
func (s *Server) publish(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-t.C:
		}
		t.Reset(min(s.publishDue(), lookMost))
	}
}

// publishDue hands over what may be sent now and says how long to wait.
func (s *Server) publishDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range batchesHeld {
		id, batch, ok, wait := s.publisher.NextBatch(s.now())
		if !ok {
			s.idle()
			return wait
		}
		if l := s.publishing[id]; l != nil {
			l.put(&wire.Batch{Batch: batch})
		}
	}
	return 0
}

// idle sends the digests that are due, and cuts off who is slow.
func (s *Server) idle() {
	for {
		id, digests, ok := s.publisher.NextDigests(s.now())
		if !ok {
			break
		}
		if l := s.publishing[id]; l != nil {
			l.put(&wire.Digests{Digests: digests})
		}
	}
	for _, id := range s.publisher.SlowSubscribers(s.now()) {
		l := s.publishing[id]
		if l == nil {
			continue
		}
		s.CutOff++
		s.log.Warn().Str("peer", l.peer).Str("from", l.from).Msg("slow peer cut off")
		s.unpublish(l)
		l.end(errSlow)
	}
}

// serve begins to send a peer what it lacks. For who holds the lock.
func (s *Server) serve(l *link, asked distribution.Subscription) {
	if l.sending != 0 {
		s.unpublish(l)
	}
	l.sending = s.publisher.Subscribe(s.now(), asked)
	s.publishing[l.sending] = l
	s.renew()
	s.signal()
}

func (s *Server) unpublish(l *link) {
	s.publisher.Unsubscribe(l.sending)
	delete(s.publishing, l.sending)
	l.sending = 0
}

// subscribe takes a subscriber in. Until this process is current it is only asked for what it holds beyond.
func (s *Server) subscribe(l *link, asked distribution.Subscription) error {
	if l.via != nil || l.subscribed {
		return l.refuse(errSubscribed)
	}
	if asked.Role == distribution.RoleControl && l.peer == s.config.Name {
		return l.refuse(errSelf)
	}
	asked.Name = l.peer
	s.mu.Lock()
	defer s.mu.Unlock()
	if older := s.subscribers[l.peer]; older != nil {
		older.end(errReplaced)
	}
	s.commands--
	l.subscribed, l.subscription = true, asked
	s.subscribers[l.peer] = l
	s.log.Info().Str("subscriber", l.peer).Str("from", l.from).Stringer("role", asked.Role).Int("services", len(asked.Services)).Msg("subscriber came")
	if asked.Role == distribution.RoleControl || s.store.IsBehind(asked.Vector) {
		s.ask(l)
	}
	if s.current {
		s.serve(l, asked)
	} else {
		s.waiting[l] = true
	}
	return nil
}

// ask has a subscriber send what lacks here.
func (s *Server) ask(l *link) {
	l.receiver = distribution.NewReceiver(s.store)
	s.Wants++
	l.put(&wire.Pull{IsContinuous: true, Vector: s.store.Vector().Clone()})
}

// lookAtStart has this process go by what it holds when no upstream has sent anything for a while.
func (s *Server) lookAtStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.current && s.now()-s.heard >= s.alone {
		s.becomeCurrent("no upstream")
	}
}

// becomeCurrent serves those who have waited. For who holds the lock.
func (s *Server) becomeCurrent(by string) {
	if s.current {
		return
	}
	s.current = true
	entries, _ := s.store.Size()
	s.log.Info().Str("by", by).Int("entries", entries).Uint64("revision", s.store.Vector().Total()).Dur("after", s.now()).Msg("current")
	for l := range s.waiting {
		s.serve(l, l.subscription)
	}
	clear(s.waiting)
}

// renew takes another origin where others have shown this disk to be an old one. For who holds the lock.
func (s *Server) renew() {
	if !s.store.IsStale() {
		return
	}
	before := s.store.Origin()
	again := s.store.RenewOrigin(time.Now(), s.drawn())
	s.disk.SetOrigin(s.store.Origin())
	s.disk.Save(again, nil, s.store.Vector())
	s.publisher.EntriesChanged(s.now(), again)
	s.log.Warn().Str("before", string(before)).Str("origin", string(s.store.Origin())).Int("written_again", len(again)).
		Msg("others hold more of this origin than its disk: going on under another")
}
