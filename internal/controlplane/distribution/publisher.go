package distribution

import (
	"container/list"
	"maps"
	"math"
	"slices"
	"time"
)

// SubscriptionID names a subscription at one publisher.
type SubscriptionID uint64

// WaitForever is how long Next has to wait where nothing waits to be sent.
const WaitForever = time.Duration(math.MaxInt64)

const (
	batchBytes  = 32 << 10         // of a batch, unless one entry is larger
	windowBytes = 4 * batchBytes   // that a subscriber has not acknowledged before it is sent more
	slowAfter   = 5 * time.Second  // without an acknowledgement of what was sent, a subscriber is cut off
	digestEvery = 10 * time.Second // to a subscriber for which nothing waits
	rejectMost  = 16               // rejections kept of a subscriber
)

// Publisher decides what each subscriber of a store is sent and when. What waits for one is a set of keys; what is sent is
// their winners at that moment. A change costs what the subscriptions of its service cost, however many there are of others.
type Publisher struct {
	store         *Store
	budget        Budget
	subscriptions map[SubscriptionID]*subscription
	byService     map[string]map[SubscriptionID]*subscription
	ofAll         map[SubscriptionID]*subscription
	last          SubscriptionID
	total         bucket
	lanes         [lanes]lane
	asleep        sleepers
	idle          *list.List // subscriptions by when their digests are due
	touched       int        // subscriptions looked at, for tests that count
}

// subscription is one subscriber's state.
type subscription struct {
	Subscription
	id        SubscriptionID
	services  map[string]bool
	whole     map[string]bool // services of which the vector says nothing
	resetAll  bool            // all services are sent whole, also those that are not held here; to be said in the next batch
	resetting bool            // that was said, and is not complete
	partial   bool            // the store holds some services only of what the subscriber holds: no batch is complete
	told      Vector          // of this store's, in complete batches and digests
	pruned    Vector          // likewise
	resetFor  Vector          // deletions that the last sending of all makes up for

	fresh      []Key                 // changes that wait, oldest first
	freshSince map[Key]time.Duration // and since when
	scan       []string              // services not looked through yet
	scanning   map[string]bool       // the same as a set
	keys       []Key                 // of those looked through, still to be sent
	owed       bool                  // a complete batch is owed: catching up
	since      time.Duration         // of the oldest that a catch-up is for

	bucket   bucket
	deficit  [lanes]int
	queued   [lanes]bool
	sleeping [lanes]bool
	number   uint64
	sent     []sentBatch
	inFlight int // bytes
	moved    time.Duration
	due      *list.Element
	digestAt time.Duration

	acknowledged bool
	clock        uint64
	rejected     []Rejection
}

// sentBatch has not been acknowledged yet.
type sentBatch struct {
	number uint64
	size   int
	since  time.Duration // of its oldest change
	clock  uint64
}

// NewPublisher serves a store.
func NewPublisher(store *Store, budget Budget) *Publisher {
	p := &Publisher{store: store, budget: budget.withDefaults(), subscriptions: map[SubscriptionID]*subscription{},
		byService: map[string]map[SubscriptionID]*subscription{}, ofAll: map[SubscriptionID]*subscription{}, idle: list.New()}
	p.total = newBucket(p.budget.TotalBytesPerSecond, totalDepth)
	return p
}

// Subscribe begins a subscription with what it lacks. Where its vector is ahead of the store's, the caller asks it for what
// lacks here: Store.Lacks.
func (p *Publisher) Subscribe(now time.Duration, asked Subscription) SubscriptionID {
	return p.subscribe(now, asked, false)
}

// SubscribePartial sends what lacks to another holder that has asked for it, from a store of some services only. As that says nothing
// about others, no batch is complete and no digests are told.
func (p *Publisher) SubscribePartial(now time.Duration, asked Subscription) SubscriptionID {
	return p.subscribe(now, asked, true)
}

func (p *Publisher) subscribe(now time.Duration, asked Subscription, partial bool) SubscriptionID {
	p.store.ObserveVector(asked.Vector)
	p.last++
	asked.Vector = asked.Vector.Clone()
	s := &subscription{Subscription: asked, id: p.last, partial: partial, owed: true, since: now, moved: now, digestAt: now + digestEvery,
		services: map[string]bool{}, whole: map[string]bool{}, scanning: map[string]bool{}, freshSince: map[Key]time.Duration{},
		told: Vector{}, pruned: Vector{}, resetFor: Vector{}}
	s.bucket = newBucket(p.budget.of(asked.Role), nodeDepth)
	s.bucket.at = now
	p.subscriptions[s.id] = s
	p.index(s)
	if !partial {
		p.resetAtStart(s)
	}
	s.due = p.idle.PushBack(s)
	p.place(now, s)
	return s.id
}

// index has the subscription told of changes of its services, and these looked through.
func (p *Publisher) index(s *subscription) {
	names := s.Services
	if s.AllServices {
		p.ofAll[s.id] = s
		s.Services = nil
		names = p.store.Services()
	}
	for _, name := range sortedSet(names) {
		s.look(name)
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

// resetAtStart has sent whole what the vector does not hold for, or all where deletions that it lacks may be forgotten here.
func (p *Publisher) resetAtStart(s *subscription) {
	for _, name := range s.UnsyncedServices {
		if s.AllServices || s.services[name] {
			s.reset(name)
		}
	}
	p.resetForgotten(s)
}

// resetForgotten has all sent whole where deletions that a subscriber lacks may be forgotten here, and tells whether it did.
// Their forgetting may have been learnt from another holder since it subscribed.
func (p *Publisher) resetForgotten(s *subscription) bool {
	pruned := p.store.Pruned()
	if s.partial || pruned.within(s.Vector, s.told, s.resetFor) {
		return false
	}
	s.resetFor = pruned.Clone()
	s.resetAll, s.owed = true, true
	names := s.Services
	if s.AllServices {
		names = p.store.Services()
	}
	s.keys = nil
	for _, name := range names {
		s.reset(name)
	}
	return true
}

// look has a service looked through.
func (s *subscription) look(name string) {
	if !s.scanning[name] {
		s.scanning[name] = true
		s.scan = append(s.scan, name)
	}
}

// reset has a service sent whole.
func (s *subscription) reset(name string) {
	s.whole[name] = true
	s.owed = true
	s.look(name)
}

// Unsubscribe ends a subscription.
func (p *Publisher) Unsubscribe(id SubscriptionID) {
	s := p.subscriptions[id]
	if s == nil {
		return
	}
	delete(p.subscriptions, id)
	delete(p.ofAll, id)
	for name := range s.services {
		delete(p.byService[name], id)
		if len(p.byService[name]) == 0 {
			delete(p.byService, name)
		}
	}
	p.idle.Remove(s.due)
}

// EntriesChanged tells of new winners of the store: they wait for the subscribers of their services.
func (p *Publisher) EntriesChanged(now time.Duration, entries []Entry) {
	for _, e := range entries {
		for _, s := range p.byService[e.Key.Service] {
			p.mark(now, s, e)
		}
		for _, s := range p.ofAll {
			p.mark(now, s, e)
		}
	}
}

func (p *Publisher) mark(now time.Duration, s *subscription, e Entry) {
	p.touched++
	if s.Vector.Covers(e) && !s.sendsWhole(e.Key.Service) {
		return
	}
	if _, waits := s.freshSince[e.Key]; waits {
		return
	}
	s.freshSince[e.Key] = now
	s.fresh = append(s.fresh, e.Key)
	p.place(now, s)
}

// sendsWhole tells whether all of a service is to be named, whatever the vector covers: what is not named ends.
func (s *subscription) sendsWhole(name string) bool {
	return s.resetAll || s.resetting || s.whole[name]
}

// VectorLearned says what a subscriber holds as it was learnt otherwise, as from its own batches in the other direction: that need
// not be sent.
func (p *Publisher) VectorLearned(id SubscriptionID, v Vector) {
	if s := p.subscriptions[id]; s != nil {
		s.Vector.Join(v)
	}
}

// ResyncServices has services sent whole to those of their subscribers, as after entries were removed here without a deletion.
func (p *Publisher) ResyncServices(now time.Duration, services []string) {
	for _, name := range services {
		for _, s := range p.byService[name] {
			p.ResyncSubscriber(now, s.id, []string{name})
		}
		for _, s := range p.ofAll {
			p.ResyncSubscriber(now, s.id, []string{name})
		}
	}
}

// DeletionsPruned tells that the store has forgotten deletions of some keys. Who has not been told of them gets all whole.
func (p *Publisher) DeletionsPruned(now time.Duration, keys []Key) {
	if len(keys) == 0 {
		return
	}
	for _, s := range p.subscriptions {
		if p.resetForgotten(s) {
			p.place(now, s)
		}
	}
}

// ResyncSubscriber has services sent whole to a subscriber, who has asked for them or seen that its digests differ.
func (p *Publisher) ResyncSubscriber(now time.Duration, id SubscriptionID, services []string) {
	s := p.subscriptions[id]
	if s == nil || s.partial {
		return
	}
	for _, name := range services {
		if !s.AllServices && !s.services[name] {
			continue
		}
		if !s.owed {
			s.since = now
		}
		s.reset(name)
	}
	p.place(now, s)
}

// BatchAcknowledged takes in what a subscriber says, and tells of rejections that are new.
func (p *Publisher) BatchAcknowledged(now time.Duration, id SubscriptionID, a Acknowledgement) {
	s := p.subscriptions[id]
	if s == nil {
		return
	}
	p.store.ObserveVector(a.Applied)
	s.Vector.Join(a.Applied)
	n := 0
	for n < len(s.sent) && s.sent[n].number <= a.BatchNumber {
		s.inFlight -= s.sent[n].size
		s.clock = max(s.clock, s.sent[n].clock)
		n++
	}
	if n > 0 {
		s.sent = slices.Delete(s.sent, 0, n)
		s.moved, s.acknowledged = now, true
	}
	s.reject(a.Rejected)
	p.place(now, s)
}

// reject keeps the newest rejections, one of a key; one without a reason is over.
func (s *subscription) reject(rejected []Rejection) {
	for _, r := range rejected {
		s.rejected = slices.DeleteFunc(s.rejected, func(other Rejection) bool { return other.Key == r.Key })
		if r.Reason != "" {
			s.rejected = append(s.rejected, r)
		}
	}
	if n := len(s.rejected) - rejectMost; n > 0 {
		s.rejected = slices.Delete(s.rejected, 0, n)
	}
}

// SlowSubscribers are the subscribers to be cut off: what was sent to them has not been acknowledged for too long. They come back with
// their vectors.
func (p *Publisher) SlowSubscribers(now time.Duration) (slow []SubscriptionID) {
	for id, s := range p.subscriptions {
		if len(s.sent) > 0 && now-s.moved >= slowAfter {
			slow = append(slow, id)
		}
	}
	slices.Sort(slow)
	return slow
}

// NextDigests are of the next subscriber for whom nothing waits and whose digests are due.
func (p *Publisher) NextDigests(now time.Duration) (id SubscriptionID, d Digests, ok bool) {
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		s := e.Value.(*subscription)
		if s.digestAt > now {
			return 0, Digests{}, false
		}
		s.digestAt = now + digestEvery
		p.idle.MoveToBack(e)
		if s.partial || s.waits(freshLane) || s.waits(catchUpLane) || len(s.sent) > 0 {
			continue
		}
		if p.resetForgotten(s) {
			s.since = now
			p.place(now, s)
			continue
		}
		return s.id, p.digestsOf(s), true
	}
	return 0, Digests{}, false
}

// digestsOf tells a subscriber of all one sum, others one of each service.
func (p *Publisher) digestsOf(s *subscription) Digests {
	d := Digests{Total: p.store.TotalDigest(), Through: p.store.Vector().AheadOf(s.told)}
	s.told.Join(d.Through)
	if !s.AllServices {
		d.Services = make(map[string]uint64, len(s.services))
		for name := range s.services {
			d.Services[name] = p.store.ServiceDigest(name)
		}
	}
	return d
}

// ServiceDigests are those of all services, for a subscriber of all whose sum differs.
func (p *Publisher) ServiceDigests() map[string]uint64 {
	digests := make(map[string]uint64, len(p.store.services))
	for name, of := range p.store.services {
		digests[name] = of.digest
	}
	return digests
}

// SubscriberCount counts the subscriptions.
func (p *Publisher) SubscriberCount() int { return len(p.subscriptions) }

// sortedSet is names in order, each once.
func sortedSet(names []string) []string {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return slices.Sorted(maps.Keys(set))
}
