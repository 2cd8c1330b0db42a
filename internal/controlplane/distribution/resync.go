package distribution

import "time"

// resetUnsynced starts a full sync of the services that a new subscriber reports as unsynced.
func (p *Publisher) resetUnsynced(s *subscription) {
	for _, name := range s.UnsyncedServices {
		if s.AllServices || s.services[name] {
			s.resetService(name)
		}
	}
}

// resetIfPruned starts a full sync of all services if deletions that a subscriber lacks may have been pruned from this store,
// and reports whether it did. The store may have received the pruned vector from another store after the subscription started.
func (p *Publisher) resetIfPruned(s *subscription) bool {
	pruned := p.store.Pruned()
	if s.isPartial || pruned.isCoveredBy(s.Vector, s.sentVector, s.reset.forPruned) {
		return false
	}
	s.reset.forPruned = pruned.Clone()
	s.reset.isAllPending = true
	s.catchUp.needsComplete = true
	names := s.Services
	if s.AllServices {
		names = p.store.Services()
	}
	s.catchUp.keys = nil
	for _, name := range names {
		s.resetService(name)
	}
	return true
}

// ResyncServices starts a full sync of services for all their subscribers, as after entries were removed from this store without
// a deletion.
func (p *Publisher) ResyncServices(now time.Duration, services []string) {
	for _, name := range services {
		for _, s := range p.byService[name] {
			p.ResyncSubscriber(now, s.id, []string{name})
		}
		for _, s := range p.allServicesSubscribers {
			p.ResyncSubscriber(now, s.id, []string{name})
		}
	}
}

// ResyncSubscriber starts a full sync of services for one subscriber, as after it has requested them or reported that its
// digests differ.
func (p *Publisher) ResyncSubscriber(now time.Duration, id SubscriptionID, services []string) {
	s := p.subscriptions[id]
	if s == nil || s.isPartial {
		return
	}
	for _, name := range services {
		if !s.AllServices && !s.services[name] {
			continue
		}
		if !s.catchUp.needsComplete {
			s.catchUp.since = now
		}
		s.resetService(name)
	}
	p.enqueue(now, s)
}

// DeletionsPruned starts a full sync of all services for each subscriber that has not been sent the pruned deletions.
func (p *Publisher) DeletionsPruned(now time.Duration, keys []Key) {
	if len(keys) == 0 {
		return
	}
	for _, s := range p.subscriptions {
		if p.resetIfPruned(s) {
			p.enqueue(now, s)
		}
	}
}
