package policy

import (
	"hash/crc32"
	"time"
)

// Repeat says what may be done with an operation that may already have run.
type Repeat uint8

const (
	Retriable     Repeat = iota // may run again
	Fingerprinted               // repeats are dropped within a group of servers, for a while
	Binding                     // must never run twice
)

// Group is the set of servers that drops repeats of a fingerprinted operation.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// TrafficType holds what the settings say of one type of operation.
type TrafficType struct {
	Repeat      Repeat
	Group       Group
	TargetTime  time.Duration
	AbandonTime time.Duration
	Window      time.Duration
	Revenue     float64
	LateRevenue float64 // the share of it that an answer after the target time still earns

	// What a route may set beside. Zero leaves it to the settings and to the module.
	HopTime    time.Duration // for one hop, so that time is left for another
	MostHops   int
	Further    Outcomes      // after which a further hop is allowed
	RetryShare float64       // further hops for each first one, saved up for a while; 0: no budget
	RetryFloor float64       // and so many a second beside
	WaitMost   time.Duration // for an operation's turn here
	CopyAfter  time.Duration // a second copy goes out when the first hop has taken so long; 0: none
	CopyShare  float64       // copies for each operation, likewise saved up
	Pool       uint64        // labels, of which a server needs one
	ShedMost   float64       // of the type that may be denied by chance

	Placement uint64 // the bit of the placement that it is bound to, by its place in Settings.Placements; 0: free
}

// PlacementsMost is how many placements settings may hold; twice as many fit the word that tells which ones a server meets,
// so that an instance can be asked what it would do under other settings.
const PlacementsMost = 32

// Placement is where a traffic type may be sent, and nowhere else. A nil list leaves its part free, an empty one names none.
type Placement struct {
	Zones []int
	Kinds []int
}

// KeyOf makes the number of a key, the same at every node; 0 is none.
func KeyOf(key []byte) uint32 {
	if len(key) == 0 {
		return 0
	}
	return max(crc32.ChecksumIEEE(key), 1)
}

// Outcomes is a set of them, a bit for each.
type Outcomes uint16

// Holds tells whether an outcome is in the set.
func (o Outcomes) Holds(how Outcome) bool { return o&(1<<how) != 0 }

// Settings are the figures the module reads; they are decoded once, at start.
type Settings struct {
	Nodes          int
	Me             int           // this node's number among them
	Zone           int           // where it stands
	Tick           time.Duration // shortest gap between two calls
	Types          []TrafficType
	Placements     []Placement // that types are bound to
	AllowancePerS  []float64   // by tenant, over all nodes
	OverageRevenue float64
	OnRequest      bool // the server list must be asked for
	LiveWeights    bool // scales go down with what servers hold
	MostHops       int
	WarmKeys       bool          // servers that met a key lately do less work for it
	Copies         bool          // two hops of one operation may be out together
	MaxRetryIn     time.Duration // 0 when clients are not told when to return
	AskWithin      time.Duration
	ConnectTimeout time.Duration
	ColdFor        time.Duration
	ColdStart      float64
	FallMultiple   float64
	OnlyDraining   bool // a server that the list drops without a word of draining may still be sent to
	CloseOnDrain   bool // idle connections to a server that may not be sent to any more must be closed
	// DrainClose is the time for that, from the notice or, if later, from the last send or outcome there.
	DrainClose time.Duration
}

// Scope says how a server list is to be taken.
type Scope uint8

const (
	Changes Scope = iota
	Whole
	Saved
	Unavailable
)

// Condition of a listed server.
type Condition uint8

const (
	Up Condition = iota
	Draining
	Gone
)

// Member is one line of a server list.
type Member struct {
	Server    int    // at most one more than so far
	Other     bool   // not the one that had this index before, of which no hop is out nor an open operation's
	Rank      uint32 // place in the rotation, the same at every node
	Zone      int
	Kind      int // of machine
	Cell      int
	Condition Condition
	Scale     float64
	Labels    uint64        // as TrafficType.Pool names them
	Started   time.Duration // since the instance's start, mostly negative
	HasStart  bool
	Replaced  bool // another is at its address now: gone for certain
}

// Outcome tells how a hop ended.
type Outcome uint8

const (
	Success Outcome = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	Broken
	Withdrawn
	Void
	Declined // the server finds fault with the operation itself
)

// InputKind names what has happened.
type InputKind uint8

const (
	Arrival InputKind = iota
	HopEnded
	Left
	List
	Woken
	Retyped // traffic types have been added or changed
	Planned // what only the whole of the nodes can know has changed
	AllowancesChanged
)

// Input is one event, with all ids replaced by dense indices.
type Input struct {
	Kind       InputKind
	Op         int
	Hop        int
	Server     int
	Type       int
	Tenant     int
	Room       int    // of its route; 0: none
	Key        uint32 // of what it is about, see KeyOf; 0: none
	Again      bool   // the client says that it repeats it
	Budget     time.Duration
	Outcome    Outcome
	Spent      time.Duration
	Final      bool
	Scope      Scope
	Members    []Member
	Types      []TrafficType // all; the index of one with operations in hand keeps its figures
	Like       []int         // by type: itself where it stays, another whose figures it learns from, or -1
	Rooms      []int         // operations that may have a hop out at a time, by room; 0: any number
	Shares     []Share       // of a plan: the servers that it says anything of
	Nodes      int           // of a plan: how many share the load
	Admit      float64       // of a plan: the most of the offered work that is let in; 0: all
	Allowances []Allowance   // those that have changed
	Within     []float64     // of a plan, by tenant: its share within its allowance; none: by own figures
}

// Allowance is a tenant's, a second over all nodes. A tenant beyond those known so far is known from then on, as
// are all before it, with none until theirs are told.
type Allowance struct {
	Tenant int
	PerS   float64
}

// Share is what a plan says of one server for this node. Those with a part are the node's part of them.
type Share struct {
	Server int
	Part   float64       // how soon it joins, over the largest; 0: not in its part; below: to be avoided
	Pace   float64       // hops a second while it is cold, were it warm; 0: as the node knows itself
	Rest   time.Duration // for which several nodes agree that it be left alone
}

// EffectKind names what is to be done.
type EffectKind uint8

const (
	SendHop EffectKind = iota
	Deny
	WriteOff
	Wake
	Subscribe
	Release // close idle connections to the server
	Keep    // the server may still be sent to, though the list has dropped it
	Forget  // it has gone for good, unless it is listed again
)

// Effect is one thing the caller must do, in the order given.
type Effect struct {
	Kind   EffectKind
	Op     int
	Server int
	For    time.Duration // hop time-out, wait before a wake, or when a denied client may return
}
