package distribution

import (
	"container/list"
	"slices"
	"time"
)

const maxRejections = 16 // kept of a subscriber

// subscription is a publisher's state of one subscriber.
type subscription struct {
	Subscription // Vector is kept up to date with acknowledgements

	id         SubscriptionID
	services   map[string]bool
	isPartial  bool   // the store holds only some of the subscriber's services: no batch is complete
	sentVector Vector // this store's, as far as complete batches and digests have said it
	sentPruned Vector // likewise its pruned vector

	reset    resetState
	fresh    freshChanges
	catchUp  catchUp
	inFlight inFlight

	bucket      tokenBucket
	turns       [laneCount]turn
	batchNumber uint64 // of the last batch
	digestAt    time.Duration
	digestEntry *list.Element // of Publisher.digestQueue

	hasAcknowledged   bool
	acknowledgedClock uint64
	rejected          []Rejection
}

// resetState is the full syncs to a subscriber, which do not go by its vector: entries that are not sent end there.
type resetState struct {
	services      map[string]bool
	isAllPending  bool   // all services are to be, also those not held here; the next batch says so
	isAllUnderWay bool   // a batch has said so, and no complete one has followed
	forPruned     Vector // pruned deletions that the last reset of all makes up for
}

// freshChanges are keys that changed since they were sent.
type freshChanges struct {
	keys  []Key                 // oldest first
	since map[Key]time.Duration // when each one changed
}

// catchUp is what a subscriber lacked when it subscribed (delta sync), and its full syncs.
type catchUp struct {
	isOwed   bool // a complete batch is owed
	since    time.Duration
	services []string        // whose keys were not collected yet
	isQueued map[string]bool // the same as a set
	keys     []Key           // collected, and still to be sent
}

// inFlight is what was sent and is not acknowledged.
type inFlight struct {
	batches      []sentBatch
	bytes        int
	lastProgress time.Duration // last acknowledgement, or the sending of the first batch after one
}

// sentBatch is a batch that has not been acknowledged yet.
type sentBatch struct {
	number      uint64
	bytes       int
	oldestSince time.Duration // of its changes
	newestClock uint64
}

func newSubscription(now time.Duration, id SubscriptionID, asked Subscription, isPartial bool, bytesPerSecond int) *subscription {
	asked.Vector = asked.Vector.Clone()
	s := &subscription{
		Subscription: asked,
		id:           id,
		services:     map[string]bool{},
		isPartial:    isPartial,
		sentVector:   Vector{},
		sentPruned:   Vector{},
		reset:        resetState{services: map[string]bool{}, forPruned: Vector{}},
		fresh:        freshChanges{since: map[Key]time.Duration{}},
		catchUp:      catchUp{isOwed: true, since: now, isQueued: map[string]bool{}},
		inFlight:     inFlight{lastProgress: now},
		bucket:       newTokenBucket(bytesPerSecond, subscriberBurst),
		digestAt:     now + digestInterval,
	}
	s.bucket.lastRefill = now
	return s
}

// queueCatchUp has a service's keys collected.
func (s *subscription) queueCatchUp(service string) {
	if !s.catchUp.isQueued[service] {
		s.catchUp.isQueued[service] = true
		s.catchUp.services = append(s.catchUp.services, service)
	}
}

// resetService starts a full sync of a service.
func (s *subscription) resetService(service string) {
	s.reset.services[service] = true
	s.catchUp.isOwed = true
	s.queueCatchUp(service)
}

// isReset reports whether a service is in full sync.
func (s *subscription) isReset(service string) bool {
	return s.reset.isAllPending || s.reset.isAllUnderWay || s.reset.services[service]
}

// recordRejections keeps the newest rejections, one of a key; one without a reason withdraws it.
func (s *subscription) recordRejections(rejected []Rejection) {
	for _, r := range rejected {
		s.rejected = slices.DeleteFunc(s.rejected, func(other Rejection) bool { return other.Key == r.Key })
		if r.Reason != "" {
			s.rejected = append(s.rejected, r)
		}
	}
	if excess := len(s.rejected) - maxRejections; excess > 0 {
		s.rejected = slices.Delete(s.rejected, 0, excess)
	}
}

// status returns what is known of the subscriber.
func (s *subscription) status(now time.Duration) NodeStatus {
	return NodeStatus{
		Name:                s.Name,
		Role:                s.Role,
		Region:              s.Region,
		Zone:                s.Zone,
		Revision:            s.Vector.Total(),
		AcknowledgedClock:   s.acknowledgedClock,
		Lag:                 s.lag(now),
		PendingKeys:         len(s.fresh.keys) + len(s.catchUp.keys),
		UnacknowledgedBytes: s.inFlight.bytes,
		HasAcknowledged:     s.hasAcknowledged,
		IsCatchingUp:        s.catchUp.isOwed,
		IsConnected:         true,
		Rejected:            slices.Clone(s.rejected),
	}
}

// lag is the age of the oldest change that is not acknowledged, whether it waits or was sent. During a catch-up it is the time
// since that began.
func (s *subscription) lag(now time.Duration) time.Duration {
	oldest := now
	if s.catchUp.isOwed {
		oldest = min(oldest, s.catchUp.since)
	}
	if len(s.fresh.keys) > 0 {
		oldest = min(oldest, s.fresh.since[s.fresh.keys[0]])
	}
	for _, b := range s.inFlight.batches {
		oldest = min(oldest, b.oldestSince)
	}
	return now - oldest
}
