package control

import (
	"context"
	"time"

	"fernvane/internal/controlplane/distribution/wire"
)

const (
	publishInterval  = 250 * time.Millisecond // at most, between two runs of the publishing goroutine
	batchesPerLocked = 32                     // made while the lock is held once
)

// publish sends subscribers what waits for them, as the budgets allow, until the context ends.
func (s *Server) publish(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakePublish:
		case <-t.C:
		}
		t.Reset(min(s.publishDue(), publishInterval))
	}
}

// signalPublish wakes the publishing goroutine.
func (s *Server) signalPublish() {
	select {
	case s.wakePublish <- struct{}{}:
	default:
	}
}

// publishDue hands over what may be sent now, and returns how long to wait.
func (s *Server) publishDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range batchesPerLocked {
		id, batch, ok, wait := s.publisher.NextBatch(s.now())
		if !ok {
			s.sendDigests()
			s.disconnectSlow()
			return wait
		}
		if l := s.links.publishing[id]; l != nil {
			l.enqueue(&wire.Batch{Batch: batch})
		}
	}
	return 0
}

// sendDigests sends the digests that are due. s.mu is held.
func (s *Server) sendDigests() {
	for {
		id, digests, ok := s.publisher.NextDigests(s.now())
		if !ok {
			return
		}
		if l := s.links.publishing[id]; l != nil {
			l.enqueue(&wire.Digests{Digests: digests})
		}
	}
}

// disconnectSlow ends the connections of peers that don't acknowledge. s.mu is held.
func (s *Server) disconnectSlow() {
	for _, id := range s.publisher.SlowSubscribers(s.now()) {
		l := s.links.publishing[id]
		if l == nil {
			continue
		}
		s.counts.disconnected++
		s.log.Warn().Str("peer", l.peer).Str("from", l.from).Msg("slow peer disconnected")
		s.stopSending(l)
		l.close(errSlow)
	}
}
