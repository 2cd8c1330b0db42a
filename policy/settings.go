package policy

import (
	"hash/crc32"
	"time"
)

// Idempotency determines whether a request that may already have run may run again.
type Idempotency uint8

const (
	// Idempotent requests may run any number of times.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests carry a key with which a group of servers discards duplicates for a limited time.
	IdempotentWithKey
	// NonIdempotent requests must never run twice.
	NonIdempotent
)

// KeyScope is the group of servers that discards duplicates of a request with an idempotency key.
type KeyScope uint8

const (
	// KeyScopeAll covers all servers.
	KeyScopeAll KeyScope = iota
	// KeyScopeZone covers the servers of one zone.
	KeyScopeZone
	// KeyScopeCell covers the servers of one cell.
	KeyScopeCell
)

// TrafficType holds the settings of one type of request, including those of an operator's route, which override them.
type TrafficType struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	LatencyObjective time.Duration // a response within it has the full weight
	ClientTimeout    time.Duration // time until clients give up
	KeyRetention     time.Duration // time for which servers store an idempotency key
	PriorityWeight   float64       // value of a response within the latency objective
	LateWeightShare  float64       // share of the weight that a later response retains, 0 to 1

	// In each of the following fields, 0 selects the default of the settings or of the policy.

	AttemptTimeout      time.Duration
	MaxAttempts         int
	RetryOn             OutcomeSet // outcomes after which a retry is allowed
	RetryRatio          float64    // retries per request; 0: no budget
	MinRetriesPerSecond float64    // added to the retry budget at any request rate
	MaxQueueTime        time.Duration
	HedgeDelay          time.Duration // time until a hedged attempt is sent; 0: none
	HedgeRatio          float64       // hedged attempts per request
	PoolLabels          uint64        // bit set of labels; a server needs at least one of them

	// MaxShedShare is the largest share of the type's requests that may be shed under overload. Requests that share an
	// attribute (type, tenant or key) with requests that fail at every server may be shed beyond it.
	MaxShedShare float64

	PlacementBit uint64 // bit of the type's entry in Settings.Placements; 0: any server
}

// MaxPlacements is the largest number of placements in settings. It is half the bits of a word, because WhatIf
// combines the placements of the watched settings with those of the instance in one word.
const MaxPlacements = 32

// Placement restricts a traffic type to servers. A nil list allows all values, an empty one none.
type Placement struct {
	Zones        []int
	MachineKinds []int
}

// HashKey returns the checksum of an affinity or idempotency key, identical at every node, or 0 for an empty key.
func HashKey(key []byte) uint32 {
	if len(key) == 0 {
		return 0
	}
	return max(crc32.ChecksumIEEE(key), 1)
}

// OutcomeSet is a bit set of outcomes.
type OutcomeSet uint16

// Contains reports whether an outcome is in the set.
func (o OutcomeSet) Contains(outcome Outcome) bool { return o&(1<<outcome) != 0 }

// Settings is the part of a node's configuration that the policy uses. It is decoded once, at start.
type Settings struct {
	NodeCount        int // nodes that share the load
	NodeIndex        int // index of this node among them
	Zone             int // zone of this node
	TimerGranularity time.Duration
	MaxAttempts      int // per request
	ConnectTimeout   time.Duration
	MaxRetryAfter    time.Duration // 0: rejections carry no Retry-After
	HedgingAllowed   bool
	ServersCacheKeys bool // servers process requests faster whose key they received recently

	TrafficTypes         []TrafficType
	Placements           []Placement
	TenantQuotas         []float64 // requests a second over all nodes, by tenant; 0: never over quota
	OverQuotaWeightShare float64   // share of the priority weight that requests above a tenant's quota retain

	MustRequestEndpoints   bool          // the endpoint list is delivered only on request
	RequestEndpointsWithin time.Duration // limits the backoff of requests for the list to a quarter of this, but not below initialPollBackoff
	WeightsFollowLoad      bool          // listed weights decrease with the load of servers

	SlowStartDuration        time.Duration
	SlowStartInitialCapacity float64 // share of its full capacity that a server has when it starts
	CrashLoadFactor          float64 // load over present capacity at which a server in slow start crashes

	UnlistedUsable    bool          // a server that a list omits without a drain notice may still get requests
	CloseOnDrain      bool          // idle connections to servers that get no new requests must be closed
	DrainCloseTimeout time.Duration // deadline for closing them, from the drain notice or the last activity of the server, whichever is later
}
