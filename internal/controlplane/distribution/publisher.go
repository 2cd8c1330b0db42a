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
	slowTimeout    = 5 * time.Second  // without an acknowledgement of what was sent, after which a subscriber is cut off
	digestInterval = 10 * time.Second // to a subscriber for which nothing waits
)

// Publisher decides what each subscriber of a store is sent, and when. What waits for a subscriber is a set of keys; what is
// sent is their winners at that moment. A change costs as much as its service has subscribers, however many other services
// have.
type Publisher struct {
	store         *Store
	budget        Budget
	subscriptions map[SubscriptionID]*subscription
	lastID        SubscriptionID
	byService     map[string]map[SubscriptionID]*subscription
	ofAllServices map[SubscriptionID]*subscription
	bucket        tokenBucket // of the whole budget
	lanes         [laneCount]lane
	asleep        sleepers
	digestQueue   *list.List // subscriptions by when their digests are due
	visited       int        // subscriptions looked at by EntriesChanged, which tests count
}

// NewPublisher returns a publisher of a store.
func NewPublisher(store *Store, budget Budget) *Publisher {
	budget = budget.withDefaults()
	return &Publisher{
		store:         store,
		budget:        budget,
		subscriptions: map[SubscriptionID]*subscription{},
		byService:     map[string]map[SubscriptionID]*subscription{},
		ofAllServices: map[SubscriptionID]*subscription{},
		bucket:        newTokenBucket(budget.TotalBytesPerSecond, totalBurst),
		digestQueue:   list.New(),
	}
}

// Subscribe starts a subscription by what the subscriber lacks. If its vector is ahead of the store's, see Store.IsBehind, the
// caller asks the subscriber for what is missing here.
func (p *Publisher) Subscribe(now time.Duration, asked Subscription) SubscriptionID {
	return p.subscribe(now, asked, false)
}

// SubscribePartial sends what another holder lacks from a store of only some of its services. No batch is complete and no
// digests are sent, as the store says nothing of the other services.
func (p *Publisher) SubscribePartial(now time.Duration, asked Subscription) SubscriptionID {
	return p.subscribe(now, asked, true)
}

func (p *Publisher) subscribe(now time.Duration, asked Subscription, isPartial bool) SubscriptionID {
	p.store.ObserveVector(asked.Vector)
	p.lastID++
	s := newSubscription(now, p.lastID, asked, isPartial, p.budget.forRole(asked.Role))
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

// index registers a subscription for changes of its services, and queues these for its catch-up.
func (p *Publisher) index(s *subscription) {
	names := s.Services
	if s.AllServices {
		p.ofAllServices[s.id] = s
		s.Services = nil
		names = p.store.Services()
	}
	for _, name := range sortedSet(names) {
		s.queueCatchUp(name)
		if s.AllServices {
			continue
		}
		s.services[name] = true
		of := p.byService[name]
		if of == nil {
			of = map[SubscriptionID]*subscription{}
			p.byService[name] = of
		}
		of[s.id] = s
	}
}

// Unsubscribe ends a subscription. An unknown one is ignored.
func (p *Publisher) Unsubscribe(id SubscriptionID) {
	s := p.subscriptions[id]
	if s == nil {
		return
	}
	delete(p.subscriptions, id)
	delete(p.ofAllServices, id)
	for name := range s.services {
		delete(p.byService[name], id)
		if len(p.byService[name]) == 0 {
			delete(p.byService, name)
		}
	}
	p.digestQueue.Remove(s.digestEntry)
}

func (p *Publisher) isSubscribed(s *subscription) bool { return p.subscriptions[s.id] == s }

// EntriesChanged announces new winners of the store. They wait for the subscribers of their services.
func (p *Publisher) EntriesChanged(now time.Duration, entries []Entry) {
	for _, e := range entries {
		for _, s := range p.byService[e.Key.Service] {
			p.addFresh(now, s, e)
		}
		for _, s := range p.ofAllServices {
			p.addFresh(now, s, e)
		}
	}
}

func (p *Publisher) addFresh(now time.Duration, s *subscription, e Entry) {
	p.visited++
	if s.Vector.Covers(e) && !s.isReset(e.Key.Service) {
		return
	}
	if _, isWaiting := s.fresh.since[e.Key]; isWaiting {
		return
	}
	s.fresh.since[e.Key] = now
	s.fresh.keys = append(s.fresh.keys, e.Key)
	p.enqueue(now, s)
}

// VectorLearned says what a subscriber covers as it was learned otherwise, as from its own batches in the other direction: that
// need not be sent.
func (p *Publisher) VectorLearned(id SubscriptionID, v Vector) {
	if s := p.subscriptions[id]; s != nil {
		s.Vector.Join(v)
	}
}

// BatchAcknowledged takes in a subscriber's acknowledgement.
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

// SlowSubscribers returns those that have not acknowledged for slowTimeout what they were sent. The caller cuts them off; they
// come back with their vectors.
func (p *Publisher) SlowSubscribers(now time.Duration) (slow []SubscriptionID) {
	for id, s := range p.subscriptions {
		if len(s.inFlight.batches) > 0 && now-s.inFlight.lastProgress >= slowTimeout {
			slow = append(slow, id)
		}
	}
	slices.Sort(slow)
	return slow
}

// SubscriberStatus returns the status of one subscriber, and whether there is one.
func (p *Publisher) SubscriberStatus(now time.Duration, id SubscriptionID) (NodeStatus, bool) {
	s := p.subscriptions[id]
	if s == nil {
		return NodeStatus{}, false
	}
	return s.status(now), true
}

// sortedSet returns names in order, each once.
func sortedSet(names []string) []string {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return slices.Sorted(maps.Keys(set))
}
