package distribution

import (
	"container/list"
	"slices"
	"time"
)

const maxRejections = 16 // stored for each subscriber

// subscription is a publisher's state of one subscriber.
type subscription struct {
	Subscription // acknowledgements advance Vector

	id         SubscriptionID
	services   map[string]bool
	isPartial  bool   // the store has only some of the subscriber's services: no batch is complete
	sentVector Vector // part of the store's vector that complete batches and digests have sent
	sentPruned Vector // part of the store's pruned vector that complete batches have sent

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

// resetState is the state of the full syncs to a subscriber. They ignore the subscriber's vector, and the subscriber removes
// entries that are not sent.
type resetState struct {
	services      map[string]bool
	isAllPending  bool   // the next batch starts a full sync of all services, including those without entries in this store
	isAllUnderWay bool   // a batch has started a full sync of all services, and no complete batch has followed
	forPruned     Vector // pruned vector that the last full sync of all services accounts for
}

// freshChanges is the set of keys that changed since they were last sent.
type freshChanges struct {
	keys  []Key                 // oldest first
	since map[Key]time.Duration // time of the first unsent change of each key
}

// catchUp is the state of the delta sync after a subscription, and of full syncs.
type catchUp struct {
	needsComplete bool // a complete batch must still be sent
	since         time.Duration
	services      []string        // services whose keys were not collected yet
	isQueued      map[string]bool // services as a set
	keys          []Key           // collected keys that were not sent yet
}

// inFlight is the state of the batches that were sent and not acknowledged.
type inFlight struct {
	batches      []sentBatch
	bytes        int
	lastProgress time.Duration // time of the last acknowledgement, or of the first batch sent after it
}

// sentBatch is a batch that has not been acknowledged yet.
type sentBatch struct {
	number      uint64
	bytes       int
	oldestSince time.Duration // time of its oldest change
	newestClock uint64
}

func newSubscription(now time.Duration, id SubscriptionID, request Subscription, isPartial bool, bytesPerSecond int) *subscription {
	request.Vector = request.Vector.Clone()
	s := &subscription{
		Subscription: request,
		id:           id,
		services:     map[string]bool{},
		isPartial:    isPartial,
		sentVector:   Vector{},
		sentPruned:   Vector{},
		reset:        resetState{services: map[string]bool{}, forPruned: Vector{}},
		fresh:        freshChanges{since: map[Key]time.Duration{}},
		catchUp:      catchUp{needsComplete: true, since: now, isQueued: map[string]bool{}},
		inFlight:     inFlight{lastProgress: now},
		bucket:       newTokenBucket(bytesPerSecond, subscriberBurst),
		digestAt:     now + digestInterval,
	}
	s.bucket.lastRefill = now
	return s
}

// queueCatchUp adds a service to the catch-up.
func (s *subscription) queueCatchUp(service string) {
	if !s.catchUp.isQueued[service] {
		s.catchUp.isQueued[service] = true
		s.catchUp.services = append(s.catchUp.services, service)
	}
}

// resetService starts a full sync of a service.
func (s *subscription) resetService(service string) {
	s.reset.services[service] = true
	s.catchUp.needsComplete = true
	s.queueCatchUp(service)
}

// isReset reports whether a service is in full sync.
func (s *subscription) isReset(service string) bool {
	return s.reset.isAllPending || s.reset.isAllUnderWay || s.reset.services[service]
}

// recordRejections stores the newest rejections, one for each key. A rejection without a reason removes that of its key.
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

// status returns the subscriber's replication status.
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
		IsCatchingUp:        s.catchUp.needsComplete,
		IsConnected:         true,
		Rejected:            slices.Clone(s.rejected),
	}
}

// lag returns the age of the oldest change that is pending or not acknowledged. During a catch-up it is at least the time since
// the catch-up started.
func (s *subscription) lag(now time.Duration) time.Duration {
	oldest := now
	if s.catchUp.needsComplete {
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
