package distribution

import "time"

// resetUnsynced starts a full sync of the services that a new subscriber's vector does not cover.
func (p *Publisher) resetUnsynced(s *subscription) {
	for _, name := range s.UnsyncedServices {
		if s.AllServices || s.services[name] {
			s.resetService(name)
		}
	}
}

// resetIfPruned starts a full sync of everything if deletions that a subscriber lacks may be forgotten here, and reports whether
// it did. Their pruning may have been learned from another holder since the subscription began.
func (p *Publisher) resetIfPruned(s *subscription) bool {
	pruned := p.store.Pruned()
	if s.isPartial || pruned.isCoveredBy(s.Vector, s.sentVector, s.reset.forPruned) {
		return false
	}
	s.reset.forPruned = pruned.Clone()
	s.reset.isAllPending = true
	s.catchUp.isOwed = true
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

// ResyncServices starts a full sync of services to their subscribers, as after entries were removed here without a deletion.
func (p *Publisher) ResyncServices(now time.Duration, services []string) {
	for _, name := range services {
		for _, s := range p.byService[name] {
			p.ResyncSubscriber(now, s.id, []string{name})
		}
		for _, s := range p.ofAllServices {
			p.ResyncSubscriber(now, s.id, []string{name})
		}
	}
}

// ResyncSubscriber starts a full sync of services to one subscriber, which has asked for them or seen that its digests differ.
func (p *Publisher) ResyncSubscriber(now time.Duration, id SubscriptionID, services []string) {
	s := p.subscriptions[id]
	if s == nil || s.isPartial {
		return
	}
	for _, name := range services {
		if !s.AllServices && !s.services[name] {
			continue
		}
		if !s.catchUp.isOwed {
			s.catchUp.since = now
		}
		s.resetService(name)
	}
	p.enqueue(now, s)
}

// DeletionsPruned says that the store has forgotten deletions of some keys. Subscribers that were not sent them get a
// full sync of everything.
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
