package distribution

import "time"

// NextDigests returns the digests for the next subscriber whose digests are due and that has no pending changes. The caller
// repeats the call while ok is true.
func (p *Publisher) NextDigests(now time.Duration) (id SubscriptionID, d Digests, ok bool) {
	for e := p.digestQueue.Front(); e != nil; e = p.digestQueue.Front() {
		s := e.Value.(*subscription)
		if s.digestAt > now {
			return 0, Digests{}, false
		}
		s.digestAt = now + digestInterval
		p.digestQueue.MoveToBack(e)
		if s.isPartial || s.hasPending(freshLane) || s.hasPending(catchUpLane) || len(s.inFlight.batches) > 0 {
			continue
		}
		if p.resetIfPruned(s) {
			s.catchUp.since = now
			p.enqueue(now, s)
			continue
		}
		return s.id, p.digestsFor(s), true
	}
	return 0, Digests{}, false
}

// digestsFor returns the total digest for a subscriber to all services, and the digest of each service for other subscribers.
func (p *Publisher) digestsFor(s *subscription) Digests {
	d := Digests{Total: p.store.TotalDigest(), Through: p.store.Vector().AheadOf(s.sentVector)}
	s.sentVector.Join(d.Through)
	if !s.AllServices {
		d.Services = make(map[string]uint64, len(s.services))
		for name := range s.services {
			d.Services[name] = p.store.ServiceDigest(name)
		}
	}
	return d
}

// ServiceDigests returns the digests of all services, for a subscriber to all services whose total digest differs.
func (p *Publisher) ServiceDigests() map[string]uint64 {
	digests := make(map[string]uint64, len(p.store.services))
	for name, svc := range p.store.services {
		digests[name] = svc.digest
	}
	return digests
}
