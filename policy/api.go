package policy

import (
	"hash/crc32"
	"time"
)

// Idempotency says what may be done with an operation that may already have run.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // repeats are dropped within a group of servers, for a while
	NonIdempotent                        // must never run twice
)

// KeyScope is the set of servers that drops repeats of a fingerprinted operation.
type KeyScope uint8

const (
	KeyScopeAll KeyScope = iota
	KeyScopeZone
	KeyScopeCell
)

// TrafficType holds what the settings say of one type of operation.
type TrafficType struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	LatencyObjective time.Duration
	ClientTimeout    time.Duration
	KeyRetention     time.Duration
	PriorityWeight   float64
	LateWeightShare  float64 // the share of it that an answer after the target time still earns

	// What a route may set beside. Zero leaves it to the settings and to the module.
	AttemptTimeout      time.Duration // for one hop, so that time is left for another
	MaxAttempts         int
	RetryOn             OutcomeSet    // after which a further hop is allowed
	RetryRatio          float64       // further hops for each first one, saved up for a while; 0: no budget
	MinRetriesPerSecond float64       // and so many a second beside
	MaxQueueTime        time.Duration // for an operation's turn here
	HedgeDelay          time.Duration // a second copy goes out when the first hop has taken so long; 0: none
	HedgeRatio          float64       // copies for each operation, likewise saved up
	PoolLabels          uint64        // labels, of which a server needs one
	MaxShedShare        float64       // of the type that may be denied by chance

	PlacementBit uint64 // the bit of the placement that it is bound to, by its place in Settings.Placements; 0: free
}

// MaxPlacements is how many placements settings may hold; twice as many fit the word that tells which ones a server meets,
// so that an instance can be asked what it would do under other settings.
const MaxPlacements = 32

// Placement is where a traffic type may be sent, and nowhere else. A nil list leaves its part free, an empty one names none.
type Placement struct {
	Zones        []int
	MachineKinds []int
}

// HashKey makes the number of a key, the same at every node; 0 is none.
func HashKey(key []byte) uint32 {
	if len(key) == 0 {
		return 0
	}
	return max(crc32.ChecksumIEEE(key), 1)
}

// OutcomeSet is a set of them, a bit for each.
type OutcomeSet uint16

// Contains tells whether an outcome is in the set.
func (o OutcomeSet) Contains(how Outcome) bool { return o&(1<<how) != 0 }

// Settings are the figures the module reads; they are decoded once, at start.
type Settings struct {
	NodeCount                int
	NodeIndex                int           // this node's number among them
	Zone                     int           // where it stands
	TimerGranularity         time.Duration // shortest gap between two calls
	TrafficTypes             []TrafficType
	Placements               []Placement // that types are bound to
	TenantQuotas             []float64   // by tenant, over all nodes
	OverQuotaWeightShare     float64
	MustRequestEndpoints     bool // the server list must be asked for
	WeightsFollowLoad        bool // scales go down with what servers hold
	MaxAttempts              int
	ServersCacheKeys         bool          // servers that met a key lately do less work for it
	HedgingAllowed           bool          // two hops of one operation may be out together
	MaxRetryAfter            time.Duration // 0 when clients are not told when to return
	RequestEndpointsWithin   time.Duration
	ConnectTimeout           time.Duration
	SlowStartDuration        time.Duration
	SlowStartInitialCapacity float64
	CrashLoadFactor          float64
	UnlistedUsable           bool // a server that the list drops without a word of draining may still be sent to
	CloseOnDrain             bool // idle connections to a server that may not be sent to any more must be closed
	// DrainClose is the time for that, from the notice or, if later, from the last send or outcome there.
	DrainCloseTimeout time.Duration
}

// UpdateScope says how a server list is to be taken.
type UpdateScope uint8

const (
	Incremental UpdateScope = iota
	Full
	Cached
	Unavailable
)

// Condition of a listed server.
type Condition uint8

const (
	Up Condition = iota
	Draining
	Removed
)

// Endpoint is one line of a server list.
type Endpoint struct {
	Server            int    // at most one more than so far
	IndexReused       bool   // not the one that had this index before, of which no hop is out nor an open operation's
	Rank              uint32 // place in the rotation, the same at every node
	Zone              int
	MachineKind       int // of machine
	Cell              int
	Condition         Condition
	Weight            float64
	Labels            uint64        // as TrafficType.Pool names them
	StartedAt         time.Duration // since the instance's start, mostly negative
	HasStartTime      bool
	AddressReassigned bool // another is at its address now: gone for certain
}

// Outcome tells how a hop ended.
type Outcome uint8

const (
	Success Outcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	ConnectionBroken
	Canceled
	NotStarted
	ClientError // the server finds fault with the operation itself
)

// InputKind names what has happened.
type InputKind uint8

const (
	RequestArrived InputKind = iota
	AttemptEnded
	ClientLeft
	EndpointsUpdated
	TimerFired
	TrafficTypesChanged // traffic types have been added or changed
	PlanChanged         // what only the whole of the nodes can know has changed
	QuotasChanged
)

// Input is one event, with all ids replaced by dense indices.
type Input struct {
	Kind              InputKind
	Request           int
	Attempt           int
	Server            int
	TrafficType       int
	Tenant            int
	RouteLimit        int    // of its route; 0: none
	Key               uint32 // of what it is about, see KeyOf; 0: none
	IsClientRetry     bool   // the client says that it repeats it
	Timeout           time.Duration
	Outcome           Outcome
	Elapsed           time.Duration
	ClientAnswered    bool
	Scope             UpdateScope
	Endpoints         []Endpoint
	TrafficTypes      []TrafficType // all; the index of one with operations in hand keeps its figures
	LearnFrom         []int         // by type: itself where it stays, another whose figures it learns from, or -1
	RouteLimits       []int         // operations that may have a hop out at a time, by room; 0: any number
	Assignments       []Assignment  // of a plan: the servers that it says anything of
	NodeCount         int           // of a plan: how many share the load
	MaxAdmittedShare  float64       // of a plan: the most of the offered work that is let in; 0: all
	Quotas            []Quota       // those that have changed
	WithinQuotaShares []float64     // of a plan, by tenant: its share within its allowance; none: by own figures
}

// Quota is a tenant's, a second over all nodes. A tenant beyond those known so far is known from then on, as
// are all before it, with none until theirs are told.
type Quota struct {
	Tenant    int
	PerSecond float64
}

// Assignment is what a plan says of one server for this node. Those with a part are the node's part of them.
type Assignment struct {
	Server        int
	Preference    float64       // how soon it joins, over the largest; 0: not in its part; below: to be avoided
	SlowStartRate float64       // hops a second while it is cold, were it warm; 0: as the node knows itself
	EjectFor      time.Duration // for which several nodes agree that it be left alone
}

// EffectKind names what is to be done.
type EffectKind uint8

const (
	SendAttempt EffectKind = iota
	Reject
	Fail
	SetTimer
	Subscribe
	CloseIdle // close idle connections to the server
	Retain    // the server may still be sent to, though the list has dropped it
	Forget    // it has gone for good, unless it is listed again
)

// Effect is one thing the caller must do, in the order given.
type Effect struct {
	Kind     EffectKind
	Request  int
	Server   int
	Duration time.Duration // hop time-out, wait before a wake, or when a denied client may return
}
