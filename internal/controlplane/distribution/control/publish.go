package control

import (
	"context"
	"time"

	"fernvane/internal/controlplane/distribution/wire"
)

const (
	publishInterval = 250 * time.Millisecond // longest interval between runs of the publishing goroutine
	batchesPerLock  = 32                     // batches made before Server.mu is released
)

// publish sends pending entries to subscribers, within the budgets, until the context ends.
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

// publishDue queues the batches and digests that may be sent now, and returns the time until the next call.
func (s *Server) publishDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range batchesPerLock {
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

// disconnectSlow closes the connections of peers that don't acknowledge batches in time. s.mu is held.
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
