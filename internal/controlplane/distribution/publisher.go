package distribution

import (
	"container/list"
	"maps"
	"slices"
	"time"
)

// SubscriptionID identifies a subscription at one publisher. 0 is none.
type SubscriptionID uint64

const (
	slowTimeout    = 5 * time.Second  // without an acknowledgement of sent batches, after which a subscriber is disconnected
	digestInterval = 10 * time.Second // between digests to a subscriber without pending changes
)

// Publisher selects and schedules the entries that are sent to each subscriber of a store. The pending changes of a subscriber
// are a set of keys; the winning entries at the time of sending are sent. The cost of a change is proportional to the number
// of subscribers of its service or of all services, and does not depend on the subscribers of other services.
type Publisher struct {
	store                  *Store
	budget                 Budget
	subscriptions          map[SubscriptionID]*subscription
	lastID                 SubscriptionID
	byService              map[string]map[SubscriptionID]*subscription
	allServicesSubscribers map[SubscriptionID]*subscription
	bucket                 tokenBucket // for the total budget
	lanes                  [laneCount]lane
	asleep                 sleepers
	digestQueue            *list.List // subscriptions, ordered by the times at which their digests are due
	visited                int        // subscriptions visited by EntriesChanged, for tests
}

// NewPublisher returns a publisher of a store without subscriptions.
func NewPublisher(store *Store, budget Budget) *Publisher {
	budget = budget.withDefaults()
	return &Publisher{
		store:                  store,
		budget:                 budget,
		subscriptions:          map[SubscriptionID]*subscription{},
		byService:              map[string]map[SubscriptionID]*subscription{},
		allServicesSubscribers: map[SubscriptionID]*subscription{},
		bucket:                 newTokenBucket(budget.TotalBytesPerSecond, totalBurst),
		digestQueue:            list.New(),
	}
}

// Subscribe starts a subscription, and first sends the entries that the subscriber lacks. If its vector is ahead of the
// store's (see Store.IsBehind), the caller requests the missing entries from the subscriber.
func (p *Publisher) Subscribe(now time.Duration, request Subscription) SubscriptionID {
	return p.subscribe(now, request, false)
}

// SubscribePartial starts a subscription for a peer that subscribes to more services than this store replicates. No batch is
// marked complete and no digests are sent, because the store has no information about the other services.
func (p *Publisher) SubscribePartial(now time.Duration, request Subscription) SubscriptionID {
	return p.subscribe(now, request, true)
}

func (p *Publisher) subscribe(now time.Duration, request Subscription, isPartial bool) SubscriptionID {
	p.store.ObserveVector(request.Vector)
	p.lastID++
	s := newSubscription(now, p.lastID, request, isPartial, p.budget.forRole(request.Role))
	p.subscriptions[s.id] = s
	p.index(s)
	if !isPartial {
		p.resetUnsynced(s)
		p.resetIfPruned(s)
	}
	s.digestEntry = p.digestQueue.PushBack(s)
	p.enqueue(now, s)
	return s.id
}

// index registers a subscription for changes of its services, and queues these services for its catch-up.
func (p *Publisher) index(s *subscription) {
	names := s.Services
	if s.AllServices {
		p.allServicesSubscribers[s.id] = s
		s.Services = nil
		names = p.store.Services()
	}
	for _, name := range sortedSet(names) {
		s.queueCatchUp(name)
		if s.AllServices {
			continue
		}
		s.services[name] = true
		subscribers := p.byService[name]
		if subscribers == nil {
			subscribers = map[SubscriptionID]*subscription{}
			p.byService[name] = subscribers
		}
		subscribers[s.id] = s
	}
}

// Unsubscribe ends a subscription. An unknown ID is ignored.
func (p *Publisher) Unsubscribe(id SubscriptionID) {
	s := p.subscriptions[id]
	if s == nil {
		return
	}
	delete(p.subscriptions, id)
	delete(p.allServicesSubscribers, id)
	for name := range s.services {
		delete(p.byService[name], id)
		if len(p.byService[name]) == 0 {
			delete(p.byService, name)
		}
	}
	p.digestQueue.Remove(s.digestEntry)
}

func (p *Publisher) isSubscribed(s *subscription) bool { return p.subscriptions[s.id] == s }

// EntriesChanged queues new winning entries of the store for the subscribers of their services.
func (p *Publisher) EntriesChanged(now time.Duration, entries []Entry) {
	for _, e := range entries {
		for _, s := range p.byService[e.Key.Service] {
			p.addFresh(now, s, e)
		}
		for _, s := range p.allServicesSubscribers {
			p.addFresh(now, s, e)
		}
	}
}

func (p *Publisher) addFresh(now time.Duration, s *subscription, e Entry) {
	p.visited++
	if s.Vector.Covers(e) && !s.isReset(e.Key.Service) {
		return
	}
	if _, isPending := s.fresh.since[e.Key]; isPending {
		return
	}
	s.fresh.since[e.Key] = now
	s.fresh.keys = append(s.fresh.keys, e.Key)
	p.enqueue(now, s)
}

// VectorLearned records writes that a subscriber covers according to another source, such as its own batches in the opposite
// direction. These writes are not sent to it.
func (p *Publisher) VectorLearned(id SubscriptionID, v Vector) {
	if s := p.subscriptions[id]; s != nil {
		s.Vector.Join(v)
	}
}

// BatchAcknowledged processes a subscriber's acknowledgement.
func (p *Publisher) BatchAcknowledged(now time.Duration, id SubscriptionID, a Acknowledgement) {
	s := p.subscriptions[id]
	if s == nil {
		return
	}
	p.store.ObserveVector(a.Applied)
	s.Vector.Join(a.Applied)
	acknowledged := 0
	for _, b := range s.inFlight.batches {
		if b.number > a.BatchNumber {
			break
		}
		s.inFlight.bytes -= b.bytes
		s.acknowledgedClock = max(s.acknowledgedClock, b.newestClock)
		acknowledged++
	}
	if acknowledged > 0 {
		s.inFlight.batches = slices.Delete(s.inFlight.batches, 0, acknowledged)
		s.inFlight.lastProgress = now
		s.hasAcknowledged = true
	}
	s.recordRejections(a.Rejected)
	p.enqueue(now, s)
}

// SlowSubscribers returns the subscribers with sent batches and no acknowledgement for slowTimeout. The caller disconnects
// them; they resume from their vectors when they reconnect.
func (p *Publisher) SlowSubscribers(now time.Duration) (slow []SubscriptionID) {
	for id, s := range p.subscriptions {
		if len(s.inFlight.batches) > 0 && now-s.inFlight.lastProgress >= slowTimeout {
			slow = append(slow, id)
		}
	}
	slices.Sort(slow)
	return slow
}

// SubscriberStatus returns the status of a subscriber, and whether the subscription exists.
func (p *Publisher) SubscriberStatus(now time.Duration, id SubscriptionID) (NodeStatus, bool) {
	s := p.subscriptions[id]
	if s == nil {
		return NodeStatus{}, false
	}
	return s.status(now), true
}

// sortedSet returns the names sorted and without duplicates.
func sortedSet(names []string) []string {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return slices.Sorted(maps.Keys(set))
}
