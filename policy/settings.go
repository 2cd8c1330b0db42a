package policy

import (
	"hash/crc32"
	"time"
)

// Idempotency says whether a request that may already have run may run again.
type Idempotency uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry a key by which a group of servers drops repeats for a while.
	IdempotentWithKey
	// NonIdempotent requests must never run twice.
	NonIdempotent
)

// KeyScope is the group of servers that drops repeats of a request with an idempotency key.
type KeyScope uint8

const (
	// KeyScopeAll is all servers.
	KeyScopeAll KeyScope = iota
	// KeyScopeZone is the servers of one zone.
	KeyScopeZone
	// KeyScopeCell is the servers of one cell.
	KeyScopeCell
)

// TrafficType holds the settings of one type of request, and what an operator's route sets on top of them.
type TrafficType struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	LatencyObjective time.Duration // an answer within it counts in full
	ClientTimeout    time.Duration // after which clients give up
	KeyRetention     time.Duration // for which servers remember an idempotency key
	PriorityWeight   float64       // what an answer within the latency objective is worth
	LateWeightShare  float64       // share of the weight that a later answer is still worth, 0 to 1

	// Zero leaves each of the following to the settings and to the policy.

	AttemptTimeout      time.Duration
	MaxAttempts         int
	RetryOn             OutcomeSet // outcomes after which a retry is allowed
	RetryRatio          float64    // retries per request; 0: no budget
	MinRetriesPerSecond float64    // added to the retry budget, whatever the traffic
	MaxQueueTime        time.Duration
	HedgeDelay          time.Duration // after which a hedged attempt is sent; 0: none
	HedgeRatio          float64       // hedged attempts per request
	PoolLabels          uint64        // labels, one a bit, of which a server needs at least one

	// MaxShedShare is the largest share of the type that overload may shed. Requests that fail wherever they go are shed
	// beyond it.
	MaxShedShare float64

	PlacementBit uint64 // the bit of the type's entry in Settings.Placements; 0: any server
}

// MaxPlacements is how many placements settings may hold. It is half the bits of a word, so that those of the watched
// settings fit beside an instance's own in WhatIf.
const MaxPlacements = 32

// Placement binds a traffic type to servers. A nil list allows all, an empty one none.
type Placement struct {
	Zones        []int
	MachineKinds []int
}

// HashKey returns the number of an affinity or idempotency key, the same at every node; 0 for no key.
func HashKey(key []byte) uint32 {
	if len(key) == 0 {
		return 0
	}
	return max(crc32.ChecksumIEEE(key), 1)
}

// OutcomeSet is a set of outcomes, one a bit.
type OutcomeSet uint16

// Contains reports whether an outcome is in the set.
func (o OutcomeSet) Contains(outcome Outcome) bool { return o&(1<<outcome) != 0 }

// Settings are what the policy reads of a node's configuration. They are decoded once, at start.
type Settings struct {
	NodeCount        int // nodes that share the load
	NodeIndex        int // this node's number among them
	Zone             int // of this node
	TimerGranularity time.Duration
	MaxAttempts      int // per request
	ConnectTimeout   time.Duration
	MaxRetryAfter    time.Duration // 0: clients are not told when to retry
	HedgingAllowed   bool
	ServersCacheKeys bool // a server that met a key lately does less work for it

	TrafficTypes         []TrafficType
	Placements           []Placement
	TenantQuotas         []float64 // requests a second over all nodes, by tenant; 0: never over quota
	OverQuotaWeightShare float64   // share of the priority weight of requests beyond a tenant's quota

	MustRequestEndpoints   bool          // the endpoint list comes only when it is requested
	RequestEndpointsWithin time.Duration // bounds the pause after a failed request for it to a quarter of this
	WeightsFollowLoad      bool          // listed weights go down with what servers hold

	SlowStartDuration        time.Duration
	SlowStartInitialCapacity float64 // share of its full capacity that a server has at its start
	CrashLoadFactor          float64 // load over present capacity at which a server in slow start crashes

	UnlistedUsable    bool          // a server that a list omits without a drain notice may still get requests
	CloseOnDrain      bool          // idle connections to servers that get no new requests must be closed
	DrainCloseTimeout time.Duration // for that, from the notice or the last activity there, whichever is later
}
